package ledger

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/appender"
)

// TestMain fixes the seed of the random tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "800", "rapid.steps": "120",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	simRetention = 30 * time.Minute
	simOwners    = 3
)

// simAttempt is one attempt at one owner.
type simAttempt struct {
	key     string
	body    Hash
	owner   int
	a       *Attempt
	outcome Outcome
	// earlierRuns is how often the key had run when the attempt started.
	earlierRuns int
	ran         bool
	ownerDied   bool
}

// delayedAppend is an append that was sent and has not arrived yet.
type delayedAppend struct {
	data   []byte
	intent *simAttempt
}

// sim runs the real Fold and Attempt of several owners on a fake log with a virtual clock.
type sim struct {
	t        *rapid.T
	now      time.Time
	log      *appender.Fake
	folds    [simOwners]*Fold
	attempts []*simAttempt
	active   []*simAttempt
	delayed  []delayedAppend
	keys     []string
	runs     map[string]int
	ids      uint64
	oracle   *Fold // applies every record and expires none
	observed int64
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), runs: map[string]int{}, oracle: NewFold(1000 * time.Hour)}
	s.log = appender.NewFake(func() time.Time { return s.now })
	s.log.Retention = simRetention
	for i := range s.folds {
		s.folds[i] = NewFold(simRetention)
	}
	return s
}

func (s *sim) chance(percent int, label string) bool {
	return rapid.IntRange(0, 99).Draw(s.t, label) < percent
}

func pick[T any](s *sim, list []T, label string) T {
	if len(list) == 0 {
		s.t.Skip("nothing to pick from")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(s.t, label)]
}

// observe applies new records to the oracle before they can expire.
func (s *sim) observe() {
	b, err := s.log.Read(context.Background(), "s", s.observed, 0, 0)
	if err != nil {
		return
	}
	for _, r := range b.Records {
		if r.Offset >= s.observed {
			s.oracle.Apply(appender.Batch{Records: []appender.Record{r}, NextOffset: r.Offset + 1})
			s.observed = r.Offset + 1
		}
	}
}

func (s *sim) append(data []byte) (int64, error) {
	first, err := s.log.Append(context.Background(), "s", [][]byte{data})
	s.observe()
	return first, err
}

// appendUnreliably appends a record of an attempt immediately, later or not at all.
func (s *sim) appendUnreliably(sa *simAttempt, r *Record) {
	r.Key, r.Account, r.AttemptID = sa.key, "a", sa.a.ID[:]
	data := r.Encode()
	intent := r.Kind == kindIntent
	switch rapid.IntRange(0, 5).Draw(s.t, "append") {
	case 0: // delayed on the network
		d := delayedAppend{data: data}
		if intent {
			d.intent = sa
		}
		s.delayed = append(s.delayed, d)
	case 1: // never sent
		if intent {
			sa.a.IntentAppendEnded(0, true, false)
		}
	default:
		first, err := s.append(data)
		if intent {
			sa.a.IntentAppendEnded(first, err != nil, appender.MayHaveAppended(err))
		}
	}
}

func (s *sim) read(owner, limit int) error {
	f := s.folds[owner]
	b, err := s.log.Read(context.Background(), "s", f.NextOffset(), limit, 0)
	if err != nil {
		return err
	}
	f.Expire(s.now)
	f.Apply(b)
	return nil
}

// newAttempt starts an attempt with a new or a used key.
func (s *sim) newAttempt(t *rapid.T) {
	if len(s.keys) == 0 || s.chance(35, "new key") {
		s.ids++
		s.keys = append(s.keys, NewKey(s.now, s.ids, s.ids))
	}
	key := pick(s, s.keys, "key")
	if _, err := CheckKey(key, s.now, simRetention); err != nil {
		t.Skip("key is too old")
	}
	s.startRandom(key, rapid.IntRange(0, simOwners-1).Draw(t, "owner"))
	if s.chance(40, "at once at another owner") {
		s.startRandom(key, rapid.IntRange(0, simOwners-1).Draw(t, "other owner"))
	}
}

func (s *sim) startRandom(key string, owner int) {
	body := "body"
	if s.chance(5, "other body") {
		body = "other"
	}
	s.start(key, owner, body, time.Duration(rapid.IntRange(1, 20).Draw(s.t, "seconds"))*time.Second)
}

func (s *sim) start(key string, owner int, body string, timeout time.Duration) *simAttempt {
	s.ids++
	sa := &simAttempt{key: key, owner: owner, body: HashOf([]byte(body))}
	deadline := s.now.Add(timeout)
	sa.a = NewAttempt(AttemptID{byte(s.ids), byte(s.ids >> 8), 1}, keyHash("a", key), sa.body, s.now, deadline)
	sa.earlierRuns = s.runs[key]
	s.attempts, s.active = append(s.attempts, sa), append(s.active, sa)
	if err := s.read(sa.owner, 0); err != nil {
		sa.a.ResolveWithoutLog(s.entry(sa), "log is down")
	}
	return sa
}

// forceOutcomes drives one attempt to each outcome without drawing anything.
func (s *sim) forceOutcomes(t *rapid.T) {
	s.t = t
	fresh := func() string {
		s.ids++
		return NewKey(s.now, s.ids, s.ids)
	}
	key := fresh()
	for _, x := range []struct {
		key, body string
		wait      time.Duration
		want      Outcome
	}{
		{key, "body", 0, Responded},
		{key, "other", 0, BodyMismatch},
		{fresh(), "body", 0, Unknown},
		{fresh(), "body", 20*time.Second - maxAbandonMargin/2, NotRun},
	} {
		sa := s.start(x.key, 0, x.body, 20*time.Second)
		s.now = s.now.Add(x.wait)
		for range 10 {
			_ = s.read(sa.owner, 0)
			switch e := s.entry(sa); sa.a.Next(e, s.now) {
			case StepIntent:
				sa.a.IntentAppendStarted()
				first, err := s.append((&Record{Kind: kindIntent, Key: sa.key, Account: "a", AttemptID: sa.a.ID[:], BodyHash: sa.body[:]}).Encode())
				sa.a.IntentAppendEnded(first, err != nil, appender.MayHaveAppended(err))
			case StepDispatch:
				require.True(t, sa.a.StartDispatch())
				s.runs[sa.key]++
				sa.ran = true
				sa.a.End(x.want, "")
				_, _ = s.append((&Record{Kind: kindDone, Key: sa.key, Account: "a", AttemptID: sa.a.ID[:], Status: 201}).Encode())
			case StepRespond:
				s.respond(sa, e)
			}
			if sa.outcome != 0 {
				break
			}
		}
		require.Equal(t, x.want, sa.outcome)
	}
}

func (s *sim) entry(sa *simAttempt) Entry { return s.folds[sa.owner].Get(sa.a.KeyHash, sa.a.ID) }

// step performs the next step of one attempt.
func (s *sim) step(*rapid.T) { s.stepOf(pick(s, s.active, "attempt")) }

func (s *sim) stepOf(sa *simAttempt) {
	e := s.entry(sa)
	switch sa.a.Next(e, s.now) {
	case StepIntent:
		sa.a.IntentAppendStarted()
		s.appendUnreliably(sa, &Record{Kind: kindIntent, BodyHash: sa.body[:]})
	case StepAbandon:
		sa.a.AbandonStarted()
		s.appendUnreliably(sa, &Record{Kind: kindAbandon})
	case StepDispatch:
		s.dispatch(sa)
	case StepRespond:
		s.respond(sa, e)
	}
}

func (s *sim) dispatch(sa *simAttempt) {
	require.True(s.t, sa.a.StartDispatch(), "attempt was dispatched twice")
	require.True(s.t, s.now.Before(sa.a.Deadline), "dispatch after the deadline")
	if s.chance(15, "connection refused") {
		sa.a.NotSent()
		return
	}
	s.runs[sa.key]++
	sa.ran = true
	switch rapid.IntRange(0, 4).Draw(s.t, "after the run") {
	case 0:
		s.killOwner(sa.owner)
	case 1:
		sa.a.End(Unknown, "response lost")
		s.appendUnreliably(sa, &Record{Kind: kindDone})
	default:
		sa.a.End(Responded, "")
		s.appendUnreliably(sa, &Record{Kind: kindDone, Status: 200 + s.runs[sa.key]})
	}
}

func (s *sim) respond(sa *simAttempt, e Entry) {
	if sa.a.MustAbandon(e) {
		sa.a.AbandonStarted()
		s.appendUnreliably(sa, &Record{Kind: kindAbandon})
	}
	require.Zero(s.t, sa.outcome, "attempt has two outcomes")
	sa.outcome, _ = sa.a.Outcome()
	s.deactivate(sa)
	switch sa.outcome {
	case NotRun:
		require.True(s.t, e.State == Free || e.Abandoned || e.Holder != sa.a.ID, "not run, although the attempt holds the key")
		require.Zero(s.t, sa.earlierRuns, "not run, although the key had run before the attempt started")
	case Responded:
		if !sa.ran {
			require.Equal(s.t, 201, sa.a.RecordedEntry().Status, "a retry gets another response than the first attempt")
		}
	case Unknown, BodyMismatch:
	default:
		s.t.Fatalf("unexpected outcome %v", sa.outcome)
	}
}

func (s *sim) deactivate(sa *simAttempt) {
	for i, x := range s.active {
		if x == sa {
			s.active = append(s.active[:i:i], s.active[i+1:]...)
		}
	}
}

// killOwner kills an owner; its replacement starts without state.
func (s *sim) killOwner(owner int) {
	s.folds[owner] = NewFold(simRetention)
	for _, sa := range append([]*simAttempt(nil), s.active...) {
		if sa.owner == owner {
			sa.ownerDied = true
			s.deactivate(sa)
		}
	}
}

// deliverDelayed lets a delayed append arrive; its response may be lost, and it may arrive twice.
func (s *sim) deliverDelayed(t *rapid.T) {
	if len(s.delayed) == 0 {
		t.Skip("nothing is delayed")
	}
	i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "delayed append")
	d := s.delayed[i]
	if !s.chance(10, "arrives twice") {
		s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	}
	first, err := s.append(d.data)
	if d.intent != nil && d.intent.outcome == 0 && !s.chance(30, "response lost") {
		d.intent.a.IntentAppendEnded(first, err != nil, true)
	}
}

// advance reads and steps several times for one attempt, so that many attempts reach a run.
func (s *sim) advance(t *rapid.T) {
	sa := pick(s, s.active, "attempt")
	for range rapid.IntRange(1, 5).Draw(t, "steps") {
		if s.chance(70, "read") {
			_ = s.read(sa.owner, 0)
		}
		if slices.Contains(s.active, sa) {
			s.stepOf(sa)
		}
	}
}

// rareEvent kills an owner, disconnects a caller or changes the log's faults.
func (s *sim) rareEvent(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		s.killOwner(rapid.IntRange(0, simOwners-1).Draw(t, "owner"))
	case 1:
		pick(s, s.active, "attempt").a.End(Unknown, "the caller has gone")
	default:
		s.log.SetFaults(appender.Faults{Down: s.chance(20, "down"), DropResponses: s.chance(30, "lose"), Duplicate: s.chance(20, "twice")})
		s.observe()
	}
}

// passTime advances the clock: mostly by less than a request's time, sometimes by up to more than the retention.
func (s *sim) passTime(t *rapid.T) {
	if s.chance(8, "pause") {
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 35).Draw(t, "minutes")) * time.Minute)
		return
	}
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// check checks the invariants on all attempts so far.
func (s *sim) check(t *rapid.T) {
	allNotRun, attempted := map[string]bool{}, map[string]bool{}
	for _, sa := range s.attempts {
		if !attempted[sa.key] {
			attempted[sa.key], allNotRun[sa.key] = true, true
		}
		allNotRun[sa.key] = allNotRun[sa.key] && sa.outcome == NotRun
		if sa.outcome == NotRun {
			require.False(t, sa.ran, "an attempt with outcome not run has run")
			e := s.oracle.Get(sa.a.KeyHash, sa.a.ID)
			require.False(t, e.State != Free && e.Holder == sa.a.ID, "an attempt with outcome not run holds key %s", sa.key)
		}
	}
	for key, n := range s.runs {
		require.LessOrEqual(t, n, 1, "key %s has run %d times", key, n)
		require.False(t, allNotRun[key] && n > 0, "every attempt with key %s ended as not run, but it has run", key)
	}
}

// Guards against a second run of a key, a false "not run" and an attempt with two outcomes. Owners pause and die at every
// step; appends are lost, late or duplicated; outages, expiry and retries occur at any time.
func TestRandomLedger(t *testing.T) {
	outcomes, ran := map[Outcome]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		// Rapid may not draw every outcome within a small number of checks, so the first check forces them.
		if ran == 0 {
			s.forceOutcomes(t)
			s.check(t)
		}
		// The order of the names determines what a seed draws. advance2 doubles the probability of advance.
		t.Repeat(map[string]func(*rapid.T){
			"call":     s.newAttempt,
			"step":     s.step,
			"advance":  s.advance,
			"advance2": s.advance,
			"read": func(t *rapid.T) {
				_ = s.read(rapid.IntRange(0, simOwners-1).Draw(t, "owner"), rapid.IntRange(0, 3).Draw(t, "limit"))
			},
			"land": s.deliverDelayed,
			"rare": s.rareEvent,
			"time": s.passTime,
			"":     s.check,
		})
		for _, sa := range s.attempts {
			outcomes[sa.outcome]++
		}
		ran += len(s.runs)
	})
	// Without runs and each of the outcomes the test would pass for a ledger that does nothing.
	for _, o := range []Outcome{Responded, NotRun, Unknown, BodyMismatch} {
		require.Positive(t, outcomes[o], "no attempt ended with %v", o)
	}
	require.Positive(t, ran)
	t.Logf("%d keys ran, outcomes %v", ran, outcomes)
}
