package demonstrator

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/server"
)

// status returns the status page of an instance.
func status(t *testing.T, addr string) (out server.Status) {
	res, err := http.Get("http://" + addr + "/status")
	require.NoError(t, err)
	defer res.Body.Close()
	require.NoError(t, json.NewDecoder(res.Body).Decode(&out))
	return out
}

// Guards against instances that do not discover each other, a target that is still treated as leaving after it no
// longer reports so, and a graceful stop that peers report as a failure.
func TestInstancesAgreeOnMembersAndLeavingTargets(t *testing.T) {
	dep, err := Start(t.Context(), Specs["cooperative"], demoSpeed, logger.Discard())
	require.NoError(t, err)
	defer dep.Close()
	everywhere := func(ok func(server.Status) bool) func() bool {
		return func() bool {
			for _, addr := range dep.Addresses() {
				if !ok(status(t, addr)) {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, everywhere(func(s server.Status) bool { return count(s, "alive") == 7 }), 20*time.Second, 50*time.Millisecond)

	dep.Engines[0].SetLeaving(true)
	leaving := func(s server.Status) bool { return s.Targets[0].State == "leaving" }
	require.Eventually(t, everywhere(leaving), 20*time.Second, 50*time.Millisecond)
	dep.Engines[0].SetLeaving(false)
	require.Eventually(t, everywhere(func(s server.Status) bool { return s.Targets[0].State == "serving" }), 20*time.Second, 50*time.Millisecond)

	stopped := dep.Instances[6]
	dep.Instances = dep.Instances[:6]
	require.NoError(t, stopped.Server.Stop(t.Context()))
	stopped.cancel()
	left := func(s server.Status) bool { return count(s, "alive") == 6 && count(s, "left") == 1 }
	require.Eventually(t, everywhere(left), 20*time.Second, 50*time.Millisecond)
}

// count returns the number of members in a state.
func count(s server.Status, state string) (n int) {
	for _, m := range s.Members {
		if m.State == state {
			n++
		}
	}
	return n
}
