package view

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

func preferredConfig(n int) *configurer.Config {
	cfg := &configurer.Config{}
	for i := range 3 {
		cfg.DataCentres = append(cfg.DataCentres, configurer.DataCentre{Name: fmt.Sprint("dc", i), Region: "r"})
	}
	for i := range n {
		cfg.Targets = append(cfg.Targets, configurer.Target{ID: fmt.Sprint("t", i), Models: []string{"m"}, DataCentre: fmt.Sprint("dc", i%3)})
	}
	return cfg
}

func preferredIDs(v *View, i int) (ids []string) {
	a := keyer.Anchor(keyer.Scope{}, "", fmt.Sprint(i))
	for _, t := range v.AppendRegionPreferred(nil, "m", a) {
		ids = append(ids, t.ID)
	}
	return ids
}

// Guards against instances that disagree on the preferred targets of a conversation, preferred targets that change when
// an unrelated target joins, and anchors concentrated on few targets.
func TestRegionPreferred(t *testing.T) {
	local, remote, larger := New(preferredConfig(12), 1, "dc0"), New(preferredConfig(12), 1, "dc2"), New(preferredConfig(13), 2, "dc0")
	changed, count := 0, map[string]int{}
	const anchors = 3000
	for i := range anchors {
		a := preferredIDs(local, i)
		require.Equal(t, a, preferredIDs(remote, i))
		require.Len(t, slices.Compact(slices.Sorted(slices.Values(a))), 6)
		if preferredIDs(larger, i)[0] != a[0] {
			changed++
		}
		count[a[0]]++
	}
	require.Less(t, changed, anchors/8, "a 13th target takes one anchor in 13, plus some for uneven slots")
	for id, n := range count {
		require.Greater(t, n, anchors/12/2, id)
	}
}
