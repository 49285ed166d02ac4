package cataloger

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

// Guards against counting the time since the last newer version instead of the first: a target that misses several
// updates would keep receiving requests for as long as new versions are published.
func TestSupersededFor(t *testing.T) {
	v := NewView()
	for _, d := range []DesiredVersion{{Version: 2}, {Version: 3, PublishedAt: 3 * time.Second}, {Version: 5, PublishedAt: 6 * time.Second}} {
		v = v.WithDesiredVersion("m", d)
	}
	now := 10 * time.Second
	tests := map[string]struct {
		version int64
		want    time.Duration
	}{
		"missed all":         {1, 10 * time.Second},
		"missed two":         {2, 7 * time.Second},
		"between versions":   {4, 4 * time.Second},
		"newest":             {5, 0},
		"newer than desired": {6, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, v.SupersededFor("m", tc.version, now)) })
	}
	require.Zero(t, v.SupersededFor("other", 1, now))
}

// Guards against an age of superseded weights that counts from the start of the process, from a newer version than the first
// one, or from a later time than another process observed.
func TestPublishTime(t *testing.T) {
	type known struct {
		version int64
		at      time.Duration
	}
	bounded := func(ks ...known) []DesiredVersion {
		var out []DesiredVersion
		for _, k := range ks {
			out = append(out, DesiredVersion{Version: k.version, PublishedAt: k.at, Source: Bounded})
		}
		return out
	}
	observed := func(ks ...known) []DesiredVersion {
		out := bounded(ks...)
		for i := range out {
			out[i].Source = Observed
		}
		return out
	}
	const now, unknown = 10 * time.Second, time.Duration(math.MaxInt64)
	tests := map[string]struct {
		read    []DesiredVersion
		learned []known
		version int64
		want    time.Duration
	}{
		"published before the start":                   {bounded(known{4, UnknownTime}), nil, 1, unknown},
		"published before the start, another followed": {append(bounded(known{4, UnknownTime}), observed(known{5, 9 * time.Second})...), nil, 1, unknown},
		"newest of these":                              {bounded(known{4, UnknownTime}), nil, 4, 0},
		"between these":                                {append(bounded(known{4, UnknownTime}), observed(known{5, 9 * time.Second})...), nil, 4, time.Second},
		"learned":                                      {bounded(known{4, UnknownTime}), []known{{4, 7 * time.Second}}, 1, 3 * time.Second},
		"learned, with an earlier one":                 {bounded(known{4, UnknownTime}), []known{{4, 7 * time.Second}, {2, 2 * time.Second}}, 1, 8 * time.Second},
		"learned, an earlier one is unknown":           {bounded(known{4, UnknownTime}), []known{{4, 7 * time.Second}, {3, UnknownTime}}, 1, unknown},
		"learned twice":                                {bounded(known{4, UnknownTime}), []known{{4, 7 * time.Second}, {4, 8 * time.Second}}, 1, 3 * time.Second},
		"read late":                                    {bounded(known{4, 2 * time.Second}), nil, 1, 8 * time.Second},
		"read late, learned":                           {bounded(known{4, 2 * time.Second}), []known{{4, 9 * time.Second}}, 1, time.Second},
		"observed, learned an earlier time":            {observed(known{4, 9 * time.Second}), []known{{4, 5 * time.Second}}, 1, 5 * time.Second},
		"observed, learned a later time":               {observed(known{4, 5 * time.Second}), []known{{4, 9 * time.Second}}, 1, 5 * time.Second},
		"unknown to another process":                   {observed(known{4, 5 * time.Second}), []known{{4, UnknownTime}}, 1, 5 * time.Second},
		"learned, not yet read":                        {observed(known{4, 5 * time.Second}), []known{{6, 6 * time.Second}}, 4, 0},
		"nothing read":                                 {nil, []known{{6, 6 * time.Second}}, 4, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for _, d := range tc.read {
				v = v.WithDesiredVersion("m", d)
			}
			for _, k := range tc.learned {
				v = v.WithPublishTime("m", k.version, k.at)
				require.Same(t, v, v.WithPublishTime("m", k.version, k.at), "the same knowledge is no news")
			}
			require.Equal(t, tc.want, v.SupersededFor("m", tc.version, now))
		})
	}
}

// Guards against out-of-order changes that revert a view to an older configuration, weight version or process of a
// target.
func TestRandomViewIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		var config, weights, started int64
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			n := rapid.Int64Range(1, 20).Draw(t, "number")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				v, config = v.WithCatalog(New(n, nil, nil, nil, Limits{})), max(config, n)
			case 1:
				v, weights = v.WithDesiredVersion("m", DesiredVersion{Version: n, PublishedAt: time.Duration(n)}), max(weights, n)
			case 2:
				v, started = v.WithTarget(&Target{ID: "t", StartedUnixMs: n}), max(started, n)
			}
			if v.Catalog != nil && v.Catalog.Version != config {
				t.Fatalf("got configuration version %d, want %d", v.Catalog.Version, config)
			}
			if desired, ok := v.DesiredVersion("m"); ok && desired.Version != weights {
				t.Fatalf("got desired weight version %d, want %d", desired.Version, weights)
			}
			if target, ok := v.Target("t"); ok && target.StartedUnixMs != started {
				t.Fatalf("got target process started at %d, want %d", target.StartedUnixMs, started)
			}
		}
	})
}

// Guards against matching a route by a shorter prefix, by part of a path segment, or on another host.
func TestMatch(t *testing.T) {
	c := New(1, []Route{{Name: "all", Host: "a", Prefix: "/"}, {Name: "long", Host: "a", Prefix: "/x/y/"}, {Name: "short", Host: "a", Prefix: "/x/"}, {Name: "other", Host: "b", Prefix: "/z/"}}, nil, nil, Limits{})
	tests := map[string]struct{ host, path, want string }{
		"longest":           {"a", "/x/y/1", "long"},
		"shorter":           {"a", "/x/z", "short"},
		"part of a segment": {"a", "/xy", "all"},
		"other host":        {"b", "/z/1", "other"},
		"no route":          {"b", "/x/1", ""},
		"no host":           {"c", "/", ""},
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
