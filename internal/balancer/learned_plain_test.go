package balancer

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/estimator"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

const plainSlots = 6

// plainTarget serves requests on a few slots and refuses those that would have to wait.
type plainTarget struct {
	unevenEngine
	busy int
}

// replayPlain replays requests to a plain service in waves, with a mean rate that fills a share of the slots, and returns the shares of
// requests that no target refused at the first attempt and that were done within an objective of five usual durations. The load of
// other instances is known with a delay, or not at all if that exceeds three durations.
func replayPlain(seed uint64, targets int, duration time.Duration, fill float64, lag time.Duration, learned bool) (accepted, onTime float64) {
	f, r := &fleet{}, rand.New(rand.NewPCG(seed, 5))
	now := func() time.Time { return time.Unix(0, 0).Add(f.now) }
	var ts []*plainTarget
	for i := range targets {
		t := &plainTarget{unevenEngine: unevenEngine{target: &cataloger.Target{ID: fmt.Sprint(i), Slots: plainSlots}, factor: 1}}
		if i%2 == 1 {
			t.factor = 1.3
		}
		for at := time.Duration(0); at < 2*unevenLength; at += slowTime {
			at += time.Duration(r.ExpFloat64() * float64(slowTime) * (1 - slowShare) / slowShare)
			t.slowFrom = append(t.slowFrom, at)
		}
		ts = append(ts, t)
	}
	var instances []*unevenInstance
	for range 72 {
		instances = append(instances, &unevenInstance{table: NewLoadTable(), estimates: estimator.New(), peers: map[string]announcer.InFlight{}})
	}
	totals := map[string]int{}
	var announce func()
	announce = func() {
		for _, in := range instances {
			clear(in.peers)
			own := in.table.InFlightByTarget(now())
			for id, n := range totals {
				in.peers[id] = announcer.InFlight{Requests: n - own[id].Requests}
			}
		}
		if f.now < unevenLength {
			f.after(lag, announce)
		}
	}
	announce()
	offered, ok, good := 0.0, 0.0, 0.0
	arrive := func() {
		in := instances[r.IntN(len(instances))]
		mean := in.table.MeanDuration("plain")
		maxAge := min(2*time.Second, 3*mean)
		input := Input{Seed: r.Uint64(), LoadUnknown: lag > maxAge}
		if in.estimates.Enabled("plain", now()) {
			rates := in.estimates.Rates("plain")
			input.Rates, input.LoadAge = &rates, lag
			input.Duration, _, _ = in.estimates.Durations("plain", "r")
		}
		for _, t := range ts {
			c := Candidate{Target: t.target, MeanDuration: mean, Outstanding: in.table.InFlight(t.target.ID).Requests}
			if !input.LoadUnknown {
				c.Outstanding += in.peers[t.target.ID].Requests
			}
			c.Outstanding = max(c.Outstanding, in.table.Outstanding(t.target.ID, maxAge, now()))
			if input.Rates != nil {
				c.Slowdown = in.estimates.Speed(t.target.ID, now())
			}
			if !in.table.Status(t.target.ID, now()).RecentlyRefused {
				input.Candidates = append(input.Candidates, c)
			}
		}
		offered++
		d, err := Choose(input)
		if errors.Is(err, ErrNoTarget) {
			return
		}
		var t *plainTarget
		for _, o := range ts {
			if o.target == d.Target {
				t = o
			}
		}
		speed, _ := t.speedAt(f.now)
		load, process := Load{Running: t.busy, Slots: plainSlots}, throttler.ProcessOf(t.target)
		state := func() {
			in.table.RecordLoad(t.target.ID, load, now())
			if learned {
				in.estimates.RecordSlowdown("plain", process, speed/t.factor, now())
			}
		}
		if t.busy >= plainSlots {
			in.table.RecordRefusal(t.target.ID, now())
			state()
			return
		}
		ok++
		t.busy++
		totals[t.target.ID]++
		request, at := in.table.Start(t.target.ID, announcer.InFlight{Requests: 1}, now()), f.now
		f.after(t.finish(f.now, time.Duration(float64(duration)*(0.5+r.Float64())))-f.now, func() {
			t.busy--
			totals[t.target.ID]--
			request.End()
			took := f.now - at
			if took <= 5*duration {
				good++
			}
			speed, _ = t.speedAt(f.now)
			load.Running = t.busy + 1
			state()
			in.table.RecordDuration("plain", took)
			in.estimates.Observe(estimator.Sample{Service: "plain", Route: "r", Process: process, QueueDelay: d.Wait, First: took, Total: took, Slowdown: speed / t.factor}, now())
		})
	}
	rate := fill * float64(targets*plainSlots) / duration.Seconds()
	for at := time.Duration(0); at < unevenLength; {
		wave := 1 + waveSwing*math.Sin(2*math.Pi*float64(at)/float64(wavePeriod))
		at += time.Duration(r.ExpFloat64() / (rate * wave) * float64(time.Second))
		heap.Push(&f.events, event{at, arrive})
	}
	for len(f.events) > 0 {
		ev := heap.Pop(&f.events).(event)
		f.now = ev.at
		ev.do()
	}
	return ok / offered, good / offered
}

// Guards against learned decisions that send the requests of all instances to the targets that are a little faster, where they are refused.
func TestReplayUnevenPlainTargets(t *testing.T) {
	tests := map[string]struct {
		targets  int
		duration time.Duration
		fill     float64
	}{
		"load known":             {5, 60 * time.Millisecond, 0.4},
		"load known, overload":   {5, 60 * time.Millisecond, 0.75},
		"load unknown":           {3, 15 * time.Millisecond, 0.3},
		"load unknown, wave":     {3, 15 * time.Millisecond, 0.5},
		"load unknown, overload": {3, 15 * time.Millisecond, 0.75},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var accepted, onTime [2]float64
			for i, learned := range []bool{false, true} {
				accepted[i], onTime[i] = replayPlain(1, tc.targets, tc.duration, tc.fill, 108*time.Millisecond, learned)
			}
			t.Logf("accepted at the first attempt: %.4f by fixed costs, %.4f by learned ones; on time: %.4f, %.4f", accepted[0], accepted[1], onTime[0], onTime[1])
			require.Greater(t, accepted[1], accepted[0]+0.005)
		})
	}
}
