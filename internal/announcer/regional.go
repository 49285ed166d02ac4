package announcer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

const (
	// maxDirectInterval is the interval of full announcements above which load is announced within the data centre and as digests
	// between data centres.
	maxDirectInterval = 100 * time.Millisecond
	// digestSenders is the number of instances of a data centre that send its digest to one instance elsewhere in an interval. A lost
	// digest is made up for by the next one, which comes from another instance.
	digestSenders = 1
	// regionalMemberTimeout is how long an instance remains a member after the last sign of life, where digests carry those of other
	// data centres.
	regionalMemberTimeout = 2 * time.Second
	// helloTime is how long after its start an instance sends full announcements to all peers even if they are empty, so that those of
	// other data centres discover it.
	helloTime = 4 * time.Second
	// expiryInterval is the time between two checks for loads that are too old.
	expiryInterval = 250 * time.Millisecond
)

// Load is the load of one instance, or in a digest that of all instances of a data centre, with how far the sender has read its sources.
type Load struct {
	InFlightByTarget map[TargetHash]InFlight `msgpack:"f"`
	Progress         watcher.Progress        `msgpack:"o"`
	ConfirmedAgeMs   int64                   `msgpack:"y,omitempty"`
	Targets          watcher.TargetsProgress `msgpack:"t"`
	// Slowdowns holds the targets that were recently slow. A digest repeats those that the sender has learned from others.
	Slowdowns map[TargetHash]Slowdown `msgpack:"w,omitempty"`
	// Saves holds the blocks whose saves to KV stores wait at targets.
	Saves []archiver.SaveKey `msgpack:"s,omitempty"`
}

// digest is the load of all instances of one data centre, with their signs of life. Its size depends on the numbers of targets and of
// instances of the data centre, not on that of all instances.
type digest struct {
	Load
	Alive []signOfLife `msgpack:"a"`
}

// signOfLife is when an instance was last heard of. It is encoded as an array.
type signOfLife struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Hash identifies the instance.
	Hash  uint32
	AgeMs int64
}

// loadPlan is how load is announced among the known peers.
type loadPlan struct {
	// isRegional reports whether load is announced within the data centre and as digests between data centres.
	isRegional bool
	// interval is the time between two announcements of load to the same peer. It is also the mean age of a load in a decision: a full
	// announcement waits for its turn, and a digest adds up loads that were announced before.
	interval time.Duration
}

// newLoadPlan returns the plan for the number of peers in each data centre; local is the own one. Peers that do not state theirs are
// counted under "".
func newLoadPlan(local string, peersByDataCentre map[string]int) loadPlan {
	all, receivers, isSpread := 0, 0, false
	for dataCentre, n := range peersByDataCentre {
		all += n
		if dataCentre != "" && dataCentre != local {
			isSpread = true
			senders := peersByDataCentre[local] + 1
			receivers += (digestSenders*n + senders - 1) / senders
		}
	}
	direct := intervalFor(all)
	if local == "" || !isSpread || direct <= maxDirectInterval {
		return loadPlan{interval: direct}
	}
	return loadPlan{isRegional: true, interval: intervalFor(peersByDataCentre[local] + receivers)}
}

// replan adapts the plan to the peers; a.mu is held.
func (a *Announcer) replan() {
	n := map[string]int{}
	for _, p := range a.peers {
		n[p.DataCentre]++
	}
	local := a.Self.DataCentre
	if a.LocalLoad == nil {
		local = ""
	}
	a.plan = newLoadPlan(local, n)
}

// runRegional announces the load to the instances of the own data centre, and digests to those of the others, until ctx is done.
func (a *Announcer) runRegional(ctx context.Context) {
	if a.LocalLoad == nil {
		return
	}
	for ctx.Err() == nil {
		a.mu.RLock()
		plan := a.plan
		var local, receivers []Peer
		if plan.isRegional {
			local, receivers = a.regionalPeers(time.Now(), plan.interval)
		}
		a.mu.RUnlock()
		if !plan.isRegional {
			sleeper.Sleep(ctx, minInterval)
			continue
		}
		steps := int(plan.interval / minInterval)
		for i := range steps {
			a.sendLoad(part(local, i, steps))
			a.sendDigest(part(receivers, i, steps))
			if !sleeper.Sleep(ctx, plan.interval/time.Duration(steps)) {
				return
			}
		}
	}
}

// part returns the i-th of n parts of almost the same length.
func part[T any](s []T, i, n int) []T { return s[i*len(s)/n : (i+1)*len(s)/n] }

// regionalPeers returns the peers of the own data centre and those elsewhere that receive a digest from this instance in the current
// interval; a.mu is held. All instances of the data centre send digests in turn, so that one which is slow, frozen or cut off does not
// leave others without any.
func (a *Announcer) regionalPeers(now time.Time, interval time.Duration) (local, receivers []Peer) {
	remote := map[string][]Peer{}
	senders := []string{a.Self.ID}
	for _, p := range a.peers {
		switch p.DataCentre {
		case "":
		case a.Self.DataCentre:
			local = append(local, p.Peer)
			if now.Sub(p.receivedAt) < regionalMemberTimeout {
				senders = append(senders, p.ID)
			}
		default:
			remote[p.DataCentre] = append(remote[p.DataCentre], p.Peer)
		}
	}
	byID := func(x, y Peer) int { return cmp.Compare(x.ID, y.ID) }
	slices.SortFunc(local, byID)
	slices.Sort(senders)
	self, _ := slices.BinarySearch(senders, a.Self.ID)
	n := len(senders)
	// The time of day lets the instances take turns without messages. Where clocks differ, some digests arrive early.
	round := int(now.UnixNano() / int64(interval) % int64(n))
	for _, peers := range remote {
		slices.SortFunc(peers, byID)
		for j, p := range peers {
			for k := range min(digestSenders, n) {
				if (j+round+k*n/digestSenders)%n == self {
					receivers = append(receivers, p)
				}
			}
		}
	}
	return local, receivers
}

// sendLoad sends the local load to peers of the own data centre.
func (a *Announcer) sendLoad(peers []Peer) {
	if len(peers) == 0 {
		return
	}
	l := a.LocalLoad()
	a.sendEncoded(peers, announcement{Load: &l})
}

// sendDigest sends the load of the own data centre to peers elsewhere.
func (a *Announcer) sendDigest(peers []Peer) {
	if len(peers) == 0 {
		return
	}
	now := time.Now()
	d := &digest{Load: a.LocalLoad()}
	a.mu.RLock()
	for _, p := range a.peers {
		if p.DataCentre != a.Self.DataCentre {
			continue
		}
		if age := now.Sub(p.receivedAt); age < regionalMemberTimeout {
			d.Alive = append(d.Alive, signOfLife{Hash: p.hash, AgeMs: age.Milliseconds()})
		}
		if p.load.isCounted && p.isRegional { // the others announce their load to all instances themselves
			p.load.each(func(target TargetHash, f InFlight) { d.InFlightByTarget[target] = d.InFlightByTarget[target].Add(f) })
			d.Saves = append(d.Saves, p.saves...)
		}
	}
	a.mu.RUnlock()
	a.sendEncoded(peers, announcement{Digest: d})
}

// sendEncoded sends an announcement to peers.
func (a *Announcer) sendEncoded(peers []Peer, an announcement) {
	an.ID, an.DataCentre, an.Sequence, an.StartedUnixNano = a.Self.ID, a.Self.DataCentre, a.sequence.Add(1), a.startedUnixNano
	data, err := marshal(an)
	if err != nil {
		logger.WithError(a.Log, err).Error("could not encode announcement")
		return
	}
	for _, p := range peers {
		a.send(p, data)
	}
}

// applyDigest replaces the load of another data centre; a.mu is held.
func (a *Announcer) applyDigest(dataCentre string, d *digest, now time.Time) {
	if dataCentre == "" || dataCentre == a.Self.DataCentre {
		return
	}
	r := a.digests[dataCentre]
	if r == nil {
		r = &loadReport{}
		a.digests[dataCentre] = r
	}
	a.totals.update(r, func(r *loadReport) { r.receivedAt, r.inFlight = now, d.InFlightByTarget })
	for _, s := range d.Alive {
		if p := a.byHash[s.Hash]; p != nil && p.DataCentre == dataCentre && s.AgeMs >= 0 {
			if at := now.Add(-min(time.Duration(s.AgeMs)*time.Millisecond, peerTTL)); at.After(p.receivedAt) {
				p.receivedAt = at
			}
		}
	}
}

// expireLoads removes the loads that are too old from the totals; a.mu is held.
func (a *Announcer) expireLoads(now time.Time) {
	if now.Sub(a.expiredAt) < expiryInterval {
		return
	}
	a.expiredAt = now
	direct := intervalFor(len(a.peers))
	for _, p := range a.peers {
		interval := direct
		if p.isRegional {
			interval = a.plan.interval
		}
		if now.Sub(p.load.receivedAt) > timeoutIntervals*interval {
			a.totals.remove(&p.load)
		}
	}
	for _, r := range a.digests {
		if now.Sub(r.receivedAt) > timeoutIntervals*a.plan.interval {
			a.totals.remove(r)
		}
	}
}

// hashOf returns the hash that identifies an instance in digests.
func hashOf(id string) uint32 { return uint32(hasher.Hash(id)) }
