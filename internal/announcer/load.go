package announcer

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

// InFlight is the load of an instance's requests in flight at one target. It is encoded as an array, so the order of
// the fields is part of the format.
type InFlight struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Requests int
	// Tokens is the sum of the prompt tokens and the expected output tokens.
	Tokens int
	// PrefillTokens is the sum of the prompt tokens of requests without a first response event.
	PrefillTokens int
}

// Add returns the sum of both loads.
func (f InFlight) Add(o InFlight) InFlight {
	return InFlight{Requests: f.Requests + o.Requests, Tokens: f.Tokens + o.Tokens, PrefillTokens: f.PrefillTokens + o.PrefillTokens}
}

func (f InFlight) sub(o InFlight) InFlight {
	return InFlight{Requests: f.Requests - o.Requests, Tokens: f.Tokens - o.Tokens, PrefillTokens: f.PrefillTokens - o.PrefillTokens}
}

// TargetHash identifies a target in loads and digests. It is shorter than the ID, which would be most of a digest.
type TargetHash uint32

// TargetHashOf returns the hash of a target's ID.
func TargetHashOf(id string) TargetHash { return TargetHash(hasher.Hash(id)) }

// Slowdown is how long work takes on a target, as the target stated AgeMs ago. It is encoded as an array.
type Slowdown struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Percent is 100 for a target that is as fast as usual, and 250 if work takes 2.5 times as long.
	Percent int
	AgeMs   int64
}

// HashTargets returns the loads by the hashes of their targets.
func HashTargets(byID map[string]InFlight) map[TargetHash]InFlight {
	out := make(map[TargetHash]InFlight, len(byID))
	for id, f := range byID {
		h := TargetHashOf(id)
		out[h] = out[h].Add(f)
	}
	return out
}

// startedRequest is the load of a request received in a start announcement. The next announcement of the sender's load
// includes it if the request is still in flight.
type startedRequest struct {
	sequence uint64
	target   TargetHash
	inFlight InFlight
}

// loadReport is the last load that one instance, or another data centre as a whole, has announced.
type loadReport struct {
	receivedAt time.Time
	inFlight   map[TargetHash]InFlight
	// started holds the start announcements received since.
	started []startedRequest
	// isCounted reports whether the load is part of the totals.
	isCounted bool
}

// loadTotals holds the sum of the loads of several reports by target, so that a decision does not add up the reports of all instances.
type loadTotals map[TargetHash]InFlight

// update changes a report and adjusts the totals. The changed report counts.
func (t loadTotals) update(r *loadReport, change func(r *loadReport)) {
	t.remove(r)
	change(r)
	r.isCounted = true
	r.each(func(target TargetHash, f InFlight) { t[target] = t[target].Add(f) })
}

// remove removes a report from the totals.
func (t loadTotals) remove(r *loadReport) {
	if !r.isCounted {
		return
	}
	r.isCounted = false
	r.each(func(target TargetHash, f InFlight) {
		if left := t[target].sub(f); left == (InFlight{}) {
			delete(t, target)
		} else {
			t[target] = left
		}
	})
}

// each calls f with each part of the load.
func (r *loadReport) each(f func(target TargetHash, in InFlight)) {
	for target, in := range r.inFlight {
		f(target, in)
	}
	for _, s := range r.started {
		f(s.target, s.inFlight)
	}
}
