package forwarder

import (
	"cmp"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

// noStore is a source that cannot be read.
type noStore struct{}

// Snapshot implements [watcher.Source].
func (noStore) Snapshot(context.Context) (watcher.Batch, error) {
	return watcher.Batch{}, errors.New("503")
}

// Changes implements [watcher.Source].
func (noStore) Changes(context.Context, int64, time.Duration) (watcher.Batch, error) {
	return watcher.Batch{}, errors.New("503")
}

// Guards against callers that wait until their response is late although another instance could serve them at once: the store turns a third
// of the instances away for 9 s, and they refuse the callers whose keys they cannot check any more.
func TestCallersOfInstanceWithoutStoreReturnAtOnce(t *testing.T) {
	const ttl = 5 * time.Second
	s := &Server{Watcher: watcher.New(noStore{}, noStore{}, logger.Discard())}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Watcher.Run(ctx)
	require.Equal(t, staleRetryAfter, s.staleRetryAfter(ttl), "nothing is known of other instances")
	require.Eventually(t, func() bool {
		s.Watcher.MergeProgress(watcher.Progress{Version: 1, ConfirmedAgeMs: 1})
		return s.staleRetryAfter(ttl) == elsewhereRetryAfter
	}, 5*time.Second, 5*time.Millisecond, "another instance reads the store")
}

// Guards against an instance that reads rarely because others tell it of changes, and is then not ready, refuses valid keys or has a
// configuration or an evacuation too late if they are silent.
func TestSharedReadIntervalKeepsBounds(t *testing.T) {
	tests := map[string]struct {
		set  Settings
		want time.Duration
	}{
		"no bounds":             {Settings{}, 0},
		"keys":                  {Settings{KeyTTL: 5 * time.Second}, 2750 * time.Millisecond},
		"configuration":         {Settings{ConfigApplyTimeout: 2 * time.Second}, 1600 * time.Millisecond},
		"keys are stricter":     {Settings{KeyTTL: 2 * time.Second, ConfigApplyTimeout: 4 * time.Second}, 1100 * time.Millisecond},
		"the other is stricter": {Settings{KeyTTL: 5 * time.Second, ConfigApplyTimeout: 3 * time.Second}, 2400 * time.Millisecond},
		"evacuations":           {Settings{EvacuateTimeout: time.Second}, 800 * time.Millisecond},
		"evacuations are late":  {Settings{EvacuateTimeout: 5 * time.Second}, 0},
		"later than the others": {Settings{KeyTTL: 5 * time.Second, EvacuateTimeout: 5 * time.Second}, 2750 * time.Millisecond},
		"the strictest":         {Settings{KeyTTL: 5 * time.Second, ConfigApplyTimeout: 3 * time.Second, EvacuateTimeout: 2 * time.Second}, 1600 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := tc.set.sharedReadInterval()
			require.Equal(t, tc.want, got.Round(time.Microsecond))
			if ttl := tc.set.KeyTTL; ttl > 0 {
				require.Less(t, got, time.Duration(readyFraction*float64(ttl)))
			}
			if apply := tc.set.ConfigApplyTimeout; apply > 0 {
				require.Less(t, got, apply)
			}
			if evacuate := tc.set.EvacuateTimeout; evacuate > 0 {
				require.Less(t, cmp.Or(got, watcher.DefaultReadInterval), evacuate)
				require.Less(t, cmp.Or(tc.set.longPollTimeout(), watcher.DefaultReadInterval), evacuate)
			}
		})
	}
}
