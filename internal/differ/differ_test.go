package differ

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/questioner"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

func config(t *testing.T) *configurer.Config {
	t.Helper()
	g, err := questioner.FromAnswers("answers", questioner.Trust().Answers)
	require.NoError(t, err)
	return g.Config
}

// Guards against a change that is not reported, is attributed to the wrong accounts or targets, or has no description.
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		change   func(c *configurer.Config)
		key      string
		accounts []string
		targets  []string
	}{
		"reordered":       {func(c *configurer.Config) { c.Targets[0], c.Targets[5] = c.Targets[5], c.Targets[0] }, "", []string{}, []string{}},
		"share":           {func(c *configurer.Config) { c.Accounts[2].Share = 9 }, "accounts[schools].share", []string{"schools"}, []string{}},
		"removed account": {func(c *configurer.Config) { c.Accounts = c.Accounts[1:] }, "accounts[fishing-villages]", []string{"fishing-villages"}, []string{}},
		"leaving":         {func(c *configurer.Config) { c.Targets[3].Leaving = true }, "targets[letters-4].leaving", []string{"all"}, []string{"letters-4"}},
		"new target": {func(c *configurer.Config) {
			n := c.Targets[0]
			n.ID = "letters-13"
			c.Targets = append(c.Targets, n)
		}, "targets[letters-13]", []string{"all"}, []string{"letters-13"}},
		"operation": {func(c *configurer.Config) { c.Services[0].Operations[0].Repeatable = true }, "services.operations[dispatch/order].repeatable",
			[]string{"all"}, []string{"dispatch-1", "dispatch-2", "dispatch-3"}},
		"store":  {func(c *configurer.Config) { c.Stores[1].DisabledReason = "full" }, "stores[store-2].disabledReason", []string{"all"}, []string{"letters-2"}},
		"limit":  {func(c *configurer.Config) { c.Limits.MaxBodyBytes++ }, "limits.maxBodyBytes", []string{"all"}, []string{}},
		"timing": {func(c *configurer.Config) { c.Timing.GossipMs++ }, "timing.gossipMs", []string{}, []string{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			next := config(t)
			tt.change(next)
			r := Compare(config(t), next)
			require.Equal(t, tt.accounts, r.Accounts)
			require.Equal(t, tt.targets, r.Targets)
			if tt.key == "" {
				require.Empty(t, r.Changes)
				return
			}
			require.Len(t, r.Changes, 1)
			require.Equal(t, tt.key, r.Changes[0].Key)
			require.NotContains(t, r.Changes[0].Meaning, "the setting")
		})
	}
}

// Guards against a report on a new weight version that does not name the engines that load it or miscounts the requests in
// progress at them.
func TestVersionWithLoad(t *testing.T) {
	next := config(t)
	next.Models[0].Version = 2
	r := Compare(config(t), next).WithLoad(map[string]int{"letters-1": 2, "letters-12": 3, "dispatch-1": 9})
	require.Len(t, r.Targets, 12)
	require.Equal(t, 5, *r.Requests)
	require.Contains(t, r.Text(), "models[letters].version: 1 -> 2\n  the engines of the model load the new weights")
}
