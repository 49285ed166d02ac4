package forwarder

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
)

// Guards against calls that wait at their engine while an account becomes isolated, and then use KV cache that it must not share.
func TestIsolationWithdrawsWaitingCalls(t *testing.T) {
	tests := map[string]struct {
		account  string
		isolated string
		blocks   []uint64
		want     error
	}{
		"the isolated account":        {"a", "a", []uint64{1}, errIsolated},
		"another one":                 {"b", "a", []uint64{1}, errIsolated},
		"none is isolated":            {"a", "", []uint64{1}, nil},
		"no blocks that it could use": {"a", "a", nil, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := serverWithTargets(t, 1)
			s.quarantine = quarantiner.New()
			c.Account = &cataloger.Account{Name: tc.account}
			x := &targetRequest{s: s, c: c, weightVersion: 1, scope: s.scopeOf(c, 1), blocks: tc.blocks}
			require.NoError(t, s.withdrawalReason(x, s.Watcher.View(), 0))
			isolated := s.Watcher.View().WithCatalog(cataloger.New(2, nil, nil, []cataloger.Account{{Name: "a", Isolated: tc.isolated == "a"}}, cataloger.Limits{}))
			s.Watcher.Apply(t.Context(), func(*cataloger.View) *cataloger.View { return isolated })
			require.Eventually(t, func() bool { return s.Watcher.View() == isolated }, 5*time.Second, time.Millisecond)
			require.Equal(t, tc.want, s.withdrawalReason(x, isolated, 0))

			// The call may be sent to the same target with its new scope.
			x.t = s.Watcher.View().Targets("llm")[0]
			c.TriedTargets = []string{x.t.ID}
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(tc.want)
			_, err := x.handleFailure(ctx, context.Canceled)
			require.Error(t, err)
			require.Equal(t, tc.want == nil, slices.Contains(c.TriedTargets, x.t.ID))
			require.Equal(t, 1, c.reachedCount())
		})
	}
}
