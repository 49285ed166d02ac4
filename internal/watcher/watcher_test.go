package watcher

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// watch returns a watcher that knows the targets.
func watch(ids ...string) *Watcher {
	w := New(nil, nil, logger.Discard())
	for _, id := range ids {
		w.handle(event{batch: Batch{Changes: []Change{seen(id)}}}, epoch)
	}
	return w
}

func seen(id string) TargetSeen { return TargetSeen{&cataloger.Target{ID: id, Service: "s"}} }

func leaving(id string) TargetSeen {
	return TargetSeen{&cataloger.Target{ID: id, Service: "s", Leaving: true}}
}

// Guards against targets that are forgotten because their entries lapsed while the store was away, and against targets
// that are kept although they left or did not come back.
func TestLapsedEntries(t *testing.T) {
	gone := []Change{TargetGone{"a"}}
	tests := map[string]struct {
		first     []Change
		lost      bool
		batch     Batch
		back      []Change
		at        time.Duration
		wantKnown bool
	}{
		"store was not away":          {nil, false, Batch{Changes: gone}, nil, 0, false},
		"lapsed, within the grace":    {nil, true, Batch{Changes: gone}, nil, lapseGrace, true},
		"lapsed, past the grace":      {nil, true, Batch{Changes: gone}, nil, lapseGrace + 1, false},
		"lapsed and came back":        {nil, true, Batch{Changes: gone}, []Change{seen("a")}, time.Hour, true},
		"had said that it leaves":     {[]Change{leaving("a")}, true, Batch{Changes: gone}, nil, 0, false},
		"missing in a snapshot":       {nil, true, Batch{Changes: []Change{seen("b")}, Whole: true}, nil, lapseGrace, true},
		"missing in it, past the end": {nil, true, Batch{Changes: []Change{seen("b")}, Whole: true}, nil, lapseGrace + 1, false},
		"not in an ordinary batch":    {nil, true, Batch{Changes: []Change{seen("b")}}, nil, time.Hour, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := watch("a", "b")
			w.handle(event{batch: Batch{Changes: tc.first}}, epoch)
			w.handle(event{batch: tc.batch, afterLoss: tc.lost}, epoch)
			if tc.back != nil {
				w.handle(event{batch: Batch{Changes: tc.back}}, epoch.Add(time.Second))
			}
			w.expire(epoch.Add(tc.at))
			_, ok := w.View().Target("a")
			require.Equal(t, tc.wantKnown, ok)
			_, ok = w.View().Target("b")
			require.True(t, ok)
		})
	}
}

// Guards against records of other writers that change what is known.
func TestUnreadableRecords(t *testing.T) {
	w := watch("a")
	before := w.View()
	w.handle(event{batch: Batch{Changes: []Change{Unreadable{Key: "a", Err: errors.New("no target")}, TargetGone{"never seen"}}}}, epoch)
	require.Same(t, before, w.View())
}
