package cataloger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a target that missed several weight versions and counts as old only since the last of them: its calls
// would go on for as long as newer versions are named.
func TestReplaced(t *testing.T) {
	v := NewView().WithDesiredVersion("m", 2, epoch).WithDesiredVersion("m", 3, epoch.Add(3*time.Second)).WithDesiredVersion("m", 5, epoch.Add(6*time.Second))
	now := epoch.Add(10 * time.Second)
	tests := map[string]struct {
		version int64
		want    time.Duration
	}{
		"missed all":       {1, 10 * time.Second},
		"missed two":       {2, 7 * time.Second},
		"between versions": {4, 4 * time.Second},
		"newest":           {5, 0},
		"newer than named": {6, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, v.SupersededFor("m", tc.version, now)) })
	}
	require.Zero(t, v.SupersededFor("other", 1, now))
}

// Guards against a view that goes back: to an older configuration, weight version or process of a target.
func TestRandomViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		var config, weights, born int64
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			n := rapid.Int64Range(1, 20).Draw(t, "number")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				v, config = v.WithCatalog(New(n, nil, nil, nil, Limits{})), max(config, n)
			case 1:
				v, weights = v.WithDesiredVersion("m", n, epoch), max(weights, n)
			case 2:
				v, born = v.WithTarget(&Target{ID: "t", StartedUnixMs: n}), max(born, n)
			}
			if v.Catalog != nil && v.Catalog.Version != config {
				t.Fatalf("configuration %d after %d", v.Catalog.Version, config)
			}
			if named, ok := v.DesiredVersion("m"); ok && named.Version != weights {
				t.Fatalf("weights %d after %d", named.Version, weights)
			}
			if target, ok := v.Target("t"); ok && target.StartedUnixMs != born {
				t.Fatalf("process born %d after %d", target.StartedUnixMs, born)
			}
		}
	})
}

// Guards against a route that is chosen by a shorter prefix, by a part of a name, or on another host.
func TestMatch(t *testing.T) {
	c := New(1, []Route{{Name: "all", Host: "a", Prefix: "/"}, {Name: "long", Host: "a", Prefix: "/x/y/"}, {Name: "short", Host: "a", Prefix: "/x/"}, {Name: "other", Host: "b", Prefix: "/z/"}}, nil, nil, Limits{})
	tests := map[string]struct{ host, path, want string }{
		"longest":        {"a", "/x/y/1", "long"},
		"shorter":        {"a", "/x/z", "short"},
		"part of a name": {"a", "/xy", "all"},
		"other host":     {"b", "/z/1", "other"},
		"no route":       {"b", "/x/1", ""},
		"no host":        {"c", "/", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := c.Match(tc.host, tc.path)
			require.Equal(t, tc.want != "", ok)
			if ok {
				require.Equal(t, tc.want, r.Name)
			}
		})
	}
}
