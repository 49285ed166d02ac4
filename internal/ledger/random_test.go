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

// simTry is one try of a call at one owner.
type simTry struct {
	key   string
	body  Hash
	owner int
	a     *Attempt
	told  Outcome
	// earlier is how often the key had run when the try began.
	earlier int
	ran     bool
	lost    bool // its owner died
}

// simFlight is an append that was sent and has not arrived yet.
type simFlight struct {
	data   []byte
	intent *simTry
}

// sim drives the real fold and attempts of several owners over a fake log with a virtual clock.
type sim struct {
	t       *rapid.T
	now     time.Time
	log     *appender.Fake
	folds   [simOwners]*Fold
	tries   []*simTry
	active  []*simTry
	flights []simFlight
	keys    []string
	runs    map[string]int
	ids     uint64
	oracle  *Fold // folds every record without retention
	all     int64
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
		s.t.Skip("nothing to pick")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(s.t, label)]
}

// observe folds what is new on the log into the oracle, before retention can drop it.
func (s *sim) observe() {
	b, err := s.log.Read(context.Background(), "s", s.all, 0, 0)
	if err != nil {
		return
	}
	for _, r := range b.Records {
		if r.Offset >= s.all {
			s.oracle.Apply(appender.Batch{Records: []appender.Record{r}, NextOffset: r.Offset + 1})
			s.all = r.Offset + 1
		}
	}
}

func (s *sim) append(data []byte) (int64, error) {
	first, err := s.log.Append(context.Background(), "s", [][]byte{data})
	s.observe()
	return first, err
}

// send appends a record of an attempt: at once, later, or not at all.
func (s *sim) send(tr *simTry, r *Record) {
	r.Key, r.Account, r.AttemptID = tr.key, "a", tr.a.ID[:]
	data := r.Encode()
	intent := r.Kind == kindIntent
	switch rapid.IntRange(0, 5).Draw(s.t, "append") {
	case 0: // delayed on the network
		f := simFlight{data: data}
		if intent {
			f.intent = tr
		}
		s.flights = append(s.flights, f)
	case 1: // never sent
		if intent {
			tr.a.IntentAppendEnded(0, true, false)
		}
	default:
		first, err := s.append(data)
		if intent {
			tr.a.IntentAppendEnded(first, err != nil, appender.MayHaveAppended(err))
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

// call begins a try with a new key or one that was used before.
func (s *sim) call(t *rapid.T) {
	if len(s.keys) == 0 || s.chance(35, "new key") {
		s.ids++
		s.keys = append(s.keys, NewKey(s.now, s.ids, s.ids))
	}
	key := pick(s, s.keys, "key")
	if _, err := CheckKey(key, s.now, simRetention); err != nil {
		t.Skip("key is too old")
	}
	s.begin(key, rapid.IntRange(0, simOwners-1).Draw(t, "owner"))
	if s.chance(40, "at once at another owner") {
		s.begin(key, rapid.IntRange(0, simOwners-1).Draw(t, "other owner"))
	}
}

func (s *sim) begin(key string, owner int) {
	body := "body"
	if s.chance(5, "other body") {
		body = "other"
	}
	s.attempt(key, owner, body, time.Duration(rapid.IntRange(1, 20).Draw(s.t, "seconds"))*time.Second)
}

func (s *sim) attempt(key string, owner int, body string, left time.Duration) *simTry {
	s.ids++
	tr := &simTry{key: key, owner: owner, body: HashOf([]byte(body))}
	deadline := s.now.Add(left)
	tr.a = NewAttempt(AttemptID{byte(s.ids), byte(s.ids >> 8), 1}, keyHash("a", key), tr.body, s.now, deadline)
	tr.earlier = s.runs[key]
	s.tries, s.active = append(s.tries, tr), append(s.active, tr)
	if err := s.read(tr.owner, 0); err != nil {
		tr.a.ResolveWithoutLog(s.entry(tr), "log is down")
	}
	return tr
}

// reach takes one try to each verdict, without drawing anything.
func (s *sim) reach(t *rapid.T) {
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
		{fresh(), "body", 20*time.Second - maxMargin/2, NotRun},
	} {
		tr := s.attempt(x.key, 0, x.body, 20*time.Second)
		s.now = s.now.Add(x.wait)
		for range 10 {
			_ = s.read(tr.owner, 0)
			switch e := s.entry(tr); tr.a.Next(e, s.now) {
			case StepIntent:
				tr.a.IntentAppendStarted()
				first, err := s.append((&Record{Kind: kindIntent, Key: tr.key, Account: "a", AttemptID: tr.a.ID[:], BodyHash: tr.body[:]}).Encode())
				tr.a.IntentAppendEnded(first, err != nil, appender.MayHaveAppended(err))
			case StepDispatch:
				require.True(t, tr.a.StartDispatch())
				s.runs[tr.key]++
				tr.ran = true
				tr.a.End(x.want, "")
				_, _ = s.append((&Record{Kind: kindDone, Key: tr.key, Account: "a", AttemptID: tr.a.ID[:], Status: 201}).Encode())
			case StepRespond:
				s.answer(tr, e)
			}
			if tr.told != 0 {
				break
			}
		}
		require.Equal(t, x.want, tr.told)
	}
}

func (s *sim) entry(tr *simTry) Entry { return s.folds[tr.owner].Get(tr.a.KeyHash, tr.a.ID) }

// step has one owner do what its attempt wants next.
func (s *sim) step(*rapid.T) { s.stepOf(pick(s, s.active, "try")) }

func (s *sim) stepOf(tr *simTry) {
	e := s.entry(tr)
	switch tr.a.Next(e, s.now) {
	case StepIntent:
		tr.a.IntentAppendStarted()
		s.send(tr, &Record{Kind: kindIntent, BodyHash: tr.body[:]})
	case StepAbandon:
		tr.a.AbandonStarted()
		s.send(tr, &Record{Kind: kindAbandon})
	case StepDispatch:
		s.dispatch(tr)
	case StepRespond:
		s.answer(tr, e)
	}
}

func (s *sim) dispatch(tr *simTry) {
	require.True(s.t, tr.a.StartDispatch(), "attempt is dispatched twice")
	require.True(s.t, s.now.Before(tr.a.Deadline), "dispatch after the deadline")
	if s.chance(15, "connection refused") {
		tr.a.NotSent()
		return
	}
	s.runs[tr.key]++
	tr.ran = true
	switch rapid.IntRange(0, 4).Draw(s.t, "after the run") {
	case 0:
		s.die(tr.owner)
	case 1:
		tr.a.End(Unknown, "response lost")
		s.send(tr, &Record{Kind: kindDone})
	default:
		tr.a.End(Responded, "")
		s.send(tr, &Record{Kind: kindDone, Status: 200 + s.runs[tr.key]})
	}
}

func (s *sim) answer(tr *simTry, e Entry) {
	if tr.a.MustAbandon(e) {
		tr.a.AbandonStarted()
		s.send(tr, &Record{Kind: kindAbandon})
	}
	require.Zero(s.t, tr.told, "caller is told twice")
	tr.told, _ = tr.a.Outcome()
	s.drop(tr)
	switch tr.told {
	case NotRun:
		require.True(s.t, e.State == Free || e.Abandoned || e.Holder != tr.a.ID, "not run, although the key is held by the try")
		require.Zero(s.t, tr.earlier, "not run, although the key had run before the try began")
	case Responded:
		if !tr.ran {
			require.Equal(s.t, 201, tr.a.RecordedEntry().Status, "a retry finds another outcome than the first")
		}
	case Unknown, BodyMismatch:
	default:
		s.t.Fatalf("caller is told %v", tr.told)
	}
}

func (s *sim) drop(tr *simTry) {
	for i, x := range s.active {
		if x == tr {
			s.active = append(s.active[:i:i], s.active[i+1:]...)
		}
	}
}

// die ends an owner; its replacement starts without state.
func (s *sim) die(owner int) {
	s.folds[owner] = NewFold(simRetention)
	for _, tr := range append([]*simTry(nil), s.active...) {
		if tr.owner == owner {
			tr.lost = true
			s.drop(tr)
		}
	}
}

// land has a delayed append arrive; its response may be lost, and it may arrive twice.
func (s *sim) land(t *rapid.T) {
	if len(s.flights) == 0 {
		t.Skip("nothing is delayed")
	}
	i := rapid.IntRange(0, len(s.flights)-1).Draw(t, "flight")
	f := s.flights[i]
	if !s.chance(10, "arrives twice") {
		s.flights = append(s.flights[:i:i], s.flights[i+1:]...)
	}
	first, err := s.append(f.data)
	if f.intent != nil && f.intent.told == 0 && !s.chance(30, "response lost") {
		f.intent.a.IntentAppendEnded(first, err != nil, true)
	}
}

// advance reads and steps for one try several times, so that many tries get as far as a run.
func (s *sim) advance(t *rapid.T) {
	tr := pick(s, s.active, "try")
	for range rapid.IntRange(1, 5).Draw(t, "steps") {
		if s.chance(70, "read") {
			_ = s.read(tr.owner, 0)
		}
		if slices.Contains(s.active, tr) {
			s.stepOf(tr)
		}
	}
}

// rare has an owner die, a caller go or the log's faults change.
func (s *sim) rare(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		s.die(rapid.IntRange(0, simOwners-1).Draw(t, "owner"))
	case 1:
		pick(s, s.active, "try").a.End(Unknown, "the caller has gone")
	default:
		s.log.SetFaults(appender.Faults{Down: s.chance(20, "down"), DropResponses: s.chance(30, "lose"), Duplicate: s.chance(20, "twice")})
		s.observe()
	}
}

// pass lets time pass: mostly less than a call's time, sometimes a pause of up to more than the retention.
func (s *sim) pass(t *rapid.T) {
	if s.chance(8, "pause") {
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 35).Draw(t, "minutes")) * time.Minute)
		return
	}
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// check tests the invariants on what has happened so far.
func (s *sim) check(t *rapid.T) {
	refused, tried := map[string]bool{}, map[string]bool{}
	for _, tr := range s.tries {
		if !tried[tr.key] {
			tried[tr.key], refused[tr.key] = true, true
		}
		refused[tr.key] = refused[tr.key] && tr.told == NotRun
		if tr.told == NotRun {
			require.False(t, tr.ran, "a try that was told not run has run")
			e := s.oracle.Get(tr.a.KeyHash, tr.a.ID)
			require.False(t, e.State != Free && e.Holder == tr.a.ID, "a try that was told not run holds key %s", tr.key)
		}
	}
	for key, n := range s.runs {
		require.LessOrEqual(t, n, 1, "key %s has run %d times", key, n)
		require.False(t, refused[key] && n > 0, "every try of key %s was told not run, but it has run", key)
	}
}

// Guards against a second run of a key, a false "not run" and a caller that is told two things, with owners that
// pause and die at every step, appends that are lost, late or doubled, outages, retention and retries anywhere.
func TestRandomLedger(t *testing.T) {
	told, ran := map[Outcome]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		// Rapid may not draw every verdict in a small number of checks, so the first check reaches them itself.
		if ran == 0 {
			s.reach(t)
			s.check(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"call":     s.call,
			"step":     s.step,
			"advance":  s.advance,
			"advance2": s.advance,
			"read": func(t *rapid.T) {
				_ = s.read(rapid.IntRange(0, simOwners-1).Draw(t, "owner"), rapid.IntRange(0, 3).Draw(t, "limit"))
			},
			"land": s.land,
			"rare": s.rare,
			"time": s.pass,
			"":     s.check,
		})
		for _, tr := range s.tries {
			told[tr.told]++
		}
		ran += len(s.runs)
	})
	// Without runs and without each of the verdicts the test would hold for a ledger that does nothing.
	for _, v := range []Outcome{Responded, NotRun, Unknown, BodyMismatch} {
		require.Positive(t, told[v], "no try was told %v", v)
	}
	require.Positive(t, ran)
	t.Logf("%d keys ran, verdicts %v", ran, told)
}
