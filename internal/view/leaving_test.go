package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Guards against a target that becomes usable again after it was marked as leaving, because a load report from before
// the mark or a new configuration arrives.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	cfg := &configurer.Config{Targets: []configurer.Target{{ID: "letters-1"}, {ID: "letters-2"}}}
	at := time.UnixMilli(1_800_000_000_000)
	usable := func(v *View, id string) bool {
		target, ok := v.Target(id)
		require.True(t, ok)
		return target.Usable()
	}
	marked := New(cfg, 1, "kochi-a").WithLeaving(map[string]time.Time{"letters-1": at.Add(time.Minute)}, at)
	later := map[string]*View{
		"marked":            marked,
		"earlier report":    marked.WithTargets(map[string]Status{"letters-1": {}}),
		"new configuration": marked.WithConfig(cfg, 2),
		"marked again":      marked.WithLeaving(map[string]time.Time{"letters-1": at.Add(time.Hour)}, at.Add(time.Second)),
	}
	for name, v := range later {
		t.Run(name, func(t *testing.T) {
			require.False(t, usable(v, "letters-1"))
			require.True(t, usable(v, "letters-2"))
			target, _ := v.Target("letters-1")
			require.Equal(t, at, target.LeavingSince)
		})
	}
	require.True(t, usable(marked.WithLeaving(nil, at), "letters-1"))
}
