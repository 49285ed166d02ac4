package evacuator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// viewOf returns a view with n targets of the service s in each data centre.
func viewOf(n int, dcs ...string) *cataloger.View {
	v := cataloger.NewView()
	d := v.Draft()
	for _, dc := range dcs {
		for i := range n {
			d.Put(&cataloger.Target{ID: fmt.Sprintf("%s-%02d", dc, i), Service: "s", DataCentre: dc})
		}
	}
	return v.WithDraft(d)
}

// dataCentresOf returns the number of targets in each data centre.
func dataCentresOf(targets []*cataloger.Target) map[string]int {
	out := map[string]int{}
	for _, t := range targets {
		out[t.DataCentre]++
	}
	return out
}

// Guards against calls that reach a target outside a home of their route or account, and against refusing calls without homes. A data
// centre without a region is in no home.
func TestHomes(t *testing.T) {
	v := viewOf(1, "a", "b", "c", "new")
	regions := Regions{"a": "eu", "b": "eu", "c": "us", "odd": ""}
	tests := map[string]struct {
		route, account []string
		noAccount      bool
		want           map[string]int
	}{
		"no homes":                    {nil, nil, false, map[string]int{"a": 1, "b": 1, "c": 1, "new": 1}},
		"no account":                  {nil, nil, true, map[string]int{"a": 1, "b": 1, "c": 1, "new": 1}},
		"route":                       {[]string{"eu"}, nil, false, map[string]int{"a": 1, "b": 1}},
		"route, no account":           {[]string{"eu"}, nil, true, map[string]int{"a": 1, "b": 1}},
		"account":                     {nil, []string{"us", "asia"}, false, map[string]int{"c": 1}},
		"both":                        {[]string{"eu", "us"}, []string{"us"}, false, map[string]int{"c": 1}},
		"both, nothing in common":     {[]string{"eu"}, []string{"us"}, false, map[string]int{}},
		"route without a home":        {[]string{}, nil, false, map[string]int{}},
		"account without a home":      {[]string{"eu"}, []string{}, false, map[string]int{}},
		"no name is not every region": {[]string{""}, nil, false, map[string]int{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			account := &cataloger.Account{Homes: tc.account}
			if tc.noAccount {
				account = nil
			}
			c := Choose(v, v.Targets("s"), HomesOf(&cataloger.Route{Homes: tc.route}, account), regions)
			require.Equal(t, tc.want, dataCentresOf(c.Targets))
			require.Empty(t, c.Evacuated)
			require.Len(t, c.Outside, 4-len(c.Targets))
		})
	}
}

// Guards against calls to the targets of an evacuated data centre, against targets that stay unused after the evacuation, and against
// calls that leave their homes while these are evacuated: a third of the targets goes away at once and comes back.
func TestThirdOfTargetsGoesAwayAndComesBack(t *testing.T) {
	const perDataCentre, begin, end = 40, 10 * time.Second, 25 * time.Second
	regions := Regions{"a": "eu", "b": "us", "c": "us"}
	full := viewOf(perDataCentre, "a", "b", "c")
	anywhere := HomesOf(&cataloger.Route{}, nil)
	european := HomesOf(&cataloger.Route{Homes: []string{"eu"}}, nil)
	for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
		v, evacuated := full, now >= begin && now < end
		if evacuated {
			v = v.WithEvacuated([]string{"a"})
		}
		c, home := Choose(v, v.Targets("s"), anywhere, regions), Choose(v, v.Targets("s"), european, regions)
		if evacuated {
			require.Equal(t, map[string]int{"b": perDataCentre, "c": perDataCentre}, dataCentresOf(c.Targets), "at %v", now)
			require.Equal(t, map[string]int{"a": perDataCentre}, dataCentresOf(c.Evacuated), "at %v", now)
			require.Empty(t, home.Targets, "at %v", now)
			require.Equal(t, map[string]int{"b": perDataCentre, "c": perDataCentre}, dataCentresOf(home.Outside), "at %v", now)
			continue
		}
		require.Equal(t, full.Targets("s"), c.Targets, "at %v", now)
		require.Equal(t, map[string]int{"a": perDataCentre}, dataCentresOf(home.Targets), "at %v", now)
	}
}
