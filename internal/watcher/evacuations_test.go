package watcher

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an evacuation that is missed, that stays in force after it was withdrawn or a snapshot does not name it any more, and
// against one that a batch of the targets' source or without its record ends.
func TestEvacuations(t *testing.T) {
	begin, end := EvacuationChange{"a", true}, EvacuationChange{"a", false}
	other := EvacuationChange{"b", true}
	tests := map[string]struct {
		e    event
		want []string
	}{
		"begins":                       {event{batch: Batch{Changes: []Change{other}}}, []string{"a", "b"}},
		"is repeated":                  {event{batch: Batch{Changes: []Change{begin, begin}}}, []string{"a"}},
		"ends":                         {event{batch: Batch{Changes: []Change{end}}}, []string{}},
		"ends and begins again":        {event{batch: Batch{Changes: []Change{end, begin}}}, []string{"a"}},
		"begins and ends":              {event{batch: Batch{Changes: []Change{other, EvacuationChange{"b", false}}}}, []string{"a"}},
		"snapshot with it":             {event{batch: Batch{Changes: []Change{begin, other}, IsSnapshot: true}}, []string{"a", "b"}},
		"snapshot with another":        {event{batch: Batch{Changes: []Change{other}, IsSnapshot: true}}, []string{"b"}},
		"empty snapshot":               {event{batch: Batch{IsSnapshot: true}}, []string{}},
		"snapshot of another era":      {event{batch: Batch{Era: 2, IsSnapshot: true}, afterOutage: true}, []string{}},
		"snapshot of the targets":      {event{batch: Batch{Changes: []Change{registered("t")}, IsSnapshot: true}, fromTargets: true}, []string{"a"}},
		"batch without its record":     {event{batch: Batch{Changes: []Change{InvalidRecord{Key: "config", Err: errors.New("odd")}}}}, []string{"a"}},
		"batch without changes":        {event{}, []string{"a"}},
		"not a record of the operator": {event{batch: Batch{Changes: []Change{end}}, fromTargets: true}, []string{"a"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWatcher("t")
			w.handle(event{batch: Batch{Changes: []Change{begin}}}, epoch)
			require.Equal(t, []string{"a"}, w.View().Evacuated())
			w.handle(tc.e, epoch)
			require.ElementsMatch(t, tc.want, w.View().Evacuated())
		})
	}
}
