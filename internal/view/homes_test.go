package view

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

func homesConfig(n int) *configurer.Config {
	cfg := &configurer.Config{}
	for i := range 3 {
		cfg.DataCentres = append(cfg.DataCentres, configurer.DataCentre{Name: fmt.Sprint("dc", i), Region: "r"})
	}
	for i := range n {
		cfg.Targets = append(cfg.Targets, configurer.Target{ID: fmt.Sprint("t", i), Models: []string{"m"}, DataCentre: fmt.Sprint("dc", i%3)})
	}
	return cfg
}

func homesOf(v *View, i int) (ids []string) {
	a := keyer.Anchor(keyer.Scope{}, "", fmt.Sprint(i))
	for _, t := range v.AppendRegionPreferred(nil, "m", a) {
		ids = append(ids, t.ID)
	}
	return ids
}

// Guards against instances that look for a context in different stores, homes that move when an unrelated target
// joins, and homes that fall on few targets.
func TestRegionHomes(t *testing.T) {
	here, there, grown := New(homesConfig(12), 1, "dc0"), New(homesConfig(12), 1, "dc2"), New(homesConfig(13), 2, "dc0")
	moved, count := 0, map[string]int{}
	const anchors = 3000
	for i := range anchors {
		a := homesOf(here, i)
		require.Equal(t, a, homesOf(there, i))
		require.Len(t, slices.Compact(slices.Sorted(slices.Values(a))), 6)
		if homesOf(grown, i)[0] != a[0] {
			moved++
		}
		count[a[0]]++
	}
	require.Less(t, moved, anchors/8, "one target in 13 takes one anchor in 13, and some more for uneven slots")
	for id, n := range count {
		require.Greater(t, n, anchors/12/2, id)
	}
}
