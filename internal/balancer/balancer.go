// Package balancer decides which target a call is sent to, and whether it is sent at all.
//
// [Choose] is pure: it takes the candidates as this instance sees them and
// returns one with the reason and the expected wait. What an instance sees is
// kept in a [Book], which is guarded by a lock of its own and is the only state
// that traffic goroutines share.
//
// # Load patterns
//
// Plain services answer short calls on few slots. At a burst of 1.7 times the
// load for 3 s their queues would outlast the deadline, so the least occupied
// target is chosen, in the own data centre among equals, and a call is refused
// at once if even the shortest queue is longer than the time that is left.
//
// Model engines are chosen by the time to the first token: the prompt's parts
// that are not cached are read again, and each running request slows the others
// down. At an overload of a third for 10 s, as when a quarter of the engines falls silent, a call whose first event would
// come after its objective is refused at once. Where many instances send to the same engines, each is told of the larger
// calls of the others one by one: with announcements alone, calls of several instances meet at one engine. Each conversation has a home by rendezvous hashing, which all instances
// compute alike, so that its parts are cached at few engines.
//
// # Usage
//
//	d, err := balancer.Choose(balancer.Input{Candidates: cs, Left: left, Seed: rand.Uint64()})
package balancer

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/hasher"
)

var (
	// ErrNoTarget says that no target can take the call.
	ErrNoTarget = errors.New("no usable target")
	// ErrLate says that no target could answer the call on time.
	ErrLate = errors.New("no target could answer on time")
)

const (
	// remoteCost is the extra time of a request and its answer between two data centres.
	remoteCost = 3 * time.Millisecond
	// readRate is how many prompt tokens an engine reads in a second while it serves few requests.
	readRate = 90_000
	// fetchRate is how many kept tokens an engine fetches in a second.
	fetchRate = 400_000
	// slowdownPerRun is the share by which each running request slows an engine down.
	slowdownPerRun = 0.03
	// workPrice weighs the time to read a call's own prompt against the time that it waits: whoever comes next waits for it.
	// It keeps conversations at their homes while load moves.
	workPrice = 3
	// fillShare is the part of an engine's memory that calls may fill; beyond it cached parts are lost and calls preempted.
	fillShare = 0.9
	// homeShare is the chance that the parts of a conversation are cached at its home.
	homeShare = 0.7
	// seenShare is the chance that parts which this instance sent elsewhere are still cached there.
	seenShare = 0.5
	// oldCost is what an answer on older weights is worth less, as time.
	oldCost = 120 * time.Millisecond
	// spread is the part of a cost that is drawn at random, so that instances with the same view do not choose alike.
	spread = 0.1
)

// Candidate is one target as this instance sees it.
type Candidate struct {
	Target *cataloger.Target
	// Remote targets are in another data centre.
	Remote bool
	// Busy counts the requests that run or wait there.
	Busy int
	// Tokens are those of the requests that run or wait there.
	Tokens int
	// Reading are the prompt tokens of requests that wait to be read.
	Reading int
	// Home is the place of the target in the conversation's hash order; 0 is its home.
	Home int
	// Seen counts the shared prompt tokens that this instance sent there lately.
	Seen int
	// Kept counts the shared prompt tokens that can be fetched from a store.
	Kept int
	// Service is the mean time of a call.
	Service time.Duration
	// Old: newer weights than the target's were named a while ago.
	Old bool
}

// Input is what a decision depends on.
type Input struct {
	Candidates []Candidate
	// Engine is set for model engines.
	Engine bool
	// Shared and Own are the prompt tokens that other requests share, and the rest.
	Shared, Own int
	// Objective is the time to the first event within which an answer is on time.
	Objective time.Duration
	// Out is the number of output tokens that is expected.
	Out int
	// Capacity is the memory of an engine in tokens, and Hold the mean time for which a request holds its part of it.
	Capacity int
	Hold     time.Duration
	// Seed gives the random choices.
	Seed uint64
}

// Decision is the outcome.
type Decision struct {
	Target *cataloger.Target
	// Wait is the expected time before the target begins with the call.
	Wait time.Duration
	// Cost is the expected time to the first event or the answer.
	Cost time.Duration
	// Read is how many prompt tokens are expected to be read; Busy is what was in flight there.
	Read, Busy int
	Reason     string
}

// The reasons of decisions.
const (
	ReasonHome  = "home of the conversation"
	ReasonLeast = "least expected time"
)

// Choose returns the candidate with the least expected time, and [ErrLate] beside it if even that is past the objective.
// Engines that take in more than they can answer on time lose their cached parts, preempt calls and read prompts again,
// so that all answers are late until the load is far below what they could bear.
func Choose(in Input) (Decision, error) {
	r := rand.New(rand.NewPCG(in.Seed, 1))
	best := Decision{}
	least := time.Duration(math.MaxInt64)
	for _, c := range in.Candidates {
		d := in.estimate(c)
		if drawn := time.Duration(float64(d.Cost) * (1 + spread*r.Float64())); drawn < least {
			least, best = drawn, d
		}
	}
	if best.Target == nil {
		return Decision{}, ErrNoTarget
	}
	if in.Engine && in.Objective > 0 && best.Cost > in.Objective {
		return best, ErrLate
	}
	return best, nil
}

// estimate returns the decision for a candidate.
func (in Input) estimate(c Candidate) Decision {
	d := Decision{Target: c.Target, Reason: ReasonLeast, Busy: c.Busy}
	slots := max(1, c.Target.Slots)
	if over := c.Busy + 1 - slots; over > 0 {
		d.Wait = time.Duration(float64(c.Service) * float64(over) / float64(slots))
	}
	if c.Remote {
		d.Cost += remoteCost
	}
	if c.Old {
		d.Cost += oldCost
	}
	if !in.Engine {
		fill := float64(c.Busy) / float64(slots)
		d.Cost += d.Wait + time.Duration(float64(c.Service)*(1+fill*fill))
		return d
	}
	if c.Home == 0 {
		d.Reason = ReasonHome
	}
	if over := c.Tokens + in.Shared + in.Own + in.Out - int(fillShare*float64(in.Capacity)); in.Capacity > 0 && over > 0 {
		d.Wait = max(d.Wait, time.Duration(float64(in.Hold)*float64(over)/float64(in.Capacity)))
	}
	cached := seenShare * float64(c.Seen)
	if c.Home == 0 {
		cached = max(cached, homeShare*float64(in.Shared))
	}
	fetch := max(0, float64(c.Kept)-cached) / fetchRate
	d.Read = in.Shared + in.Own - int(max(cached, float64(c.Kept)))
	slow := 1 + slowdownPerRun*float64(c.Busy)
	read := (float64(c.Reading)+workPrice*float64(d.Read))/readRate*slow + fetch
	d.Cost += d.Wait + time.Duration(read*float64(time.Second))
	return d
}

// ReadTime returns how long an engine takes to read so many prompt tokens.
func ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}

// Homes returns the places of the targets in the hash order of a key: rendezvous hashing, so that a target that comes
// or goes moves only its own keys.
func Homes(key string, targets []*cataloger.Target) []int {
	weights := make([]uint64, len(targets))
	for i, t := range targets {
		weights[i] = hasher.Hash(key, t.ID)
	}
	places := make([]int, len(targets))
	for i, w := range weights {
		for _, o := range weights {
			if o > w {
				places[i]++
			}
		}
	}
	return places
}
