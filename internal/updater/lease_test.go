package updater

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

// Guards against two instances holding the lease at the same time, or one after the other within the guard interval, when
// reads are late, responses are lost or instances are suspended.
func TestRandomLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const guard = 500 * time.Millisecond
		n := rapid.IntRange(2, 4).Draw(t, "instances")
		leases := make([]Lease, n)
		read := make([]int, n)
		var claimLog []int
		lastCommand, lastHolder := -time.Hour, -1
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0: // read the claim log
				others := 0
				for _, holder := range claimLog[read[i]:] {
					if holder != i {
						others++
					}
				}
				read[i] = len(claimLog)
				leases[i] = leases[i].WithClaims(others, int64(len(claimLog)), now)
			case 1: // claim
				if !leases[i].HeldBySelf && !leases[i].MayClaim(now, guard) {
					continue
				}
				if leases[i].LogEnd != int64(len(claimLog)) {
					leases[i] = leases[i].WithConflict(int64(len(claimLog)), now)
					continue
				}
				claimLog = append(claimLog, i)
				if rapid.Bool().Draw(t, "answered") {
					leases[i] = leases[i].WithGrant(int64(len(claimLog)-1), now)
				}
			case 2: // send a command
				if !leases[i].Held(now) {
					continue
				}
				if lastHolder != i && lastHolder >= 0 && now-lastCommand < guard {
					t.Fatalf("instance %d sends a command %v after instance %d", i, now-lastCommand, lastHolder)
				}
				lastCommand, lastHolder = now, i
			}
		}
	})
}

// Guards against a rolling update that swaps more targets of a service at once than allowed, sends a second command to a
// target that is still swapping, or never ends.
func TestRandomPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "targets")
		v := cataloger.NewView().WithDesiredVersion("m", cataloger.DesiredVersion{Version: 2})
		have := map[string]int64{}
		for i := range n {
			id := fmt.Sprint(i)
			have[id] = 1
			v = v.WithTarget(&cataloger.Target{ID: id, Service: "s", Versions: map[string]int64{"m": 1}})
		}
		versionOf := func(t *cataloger.Target, _ string) int64 { return have[t.ID] }
		swapping := Swapping{}
		now := time.Duration(0)
		for range 20 * n {
			pending := PendingUpdates(v, versionOf)
			if len(pending) == 0 {
				return
			}
			for _, up := range NextUpdates(v, pending, swapping, nil, now) {
				if swapping.Contains(up.Target.ID, now) {
					t.Fatalf("target %s gets a second command while swapping", up.Target.ID)
				}
				swapping[up.Target.ID] = now + swapTimeout
			}
			if limit := max(1, int(maxSwappingShare*float64(n)+0.5)); len(swapping) > limit {
				t.Fatalf("%d of %d targets swap at the same time", len(swapping), n)
			}
			now += 100 * time.Millisecond
			for id := range swapping {
				if rapid.Bool().Draw(t, "done") {
					have[id] = 2
					delete(swapping, id)
				} else if now >= swapping[id] {
					delete(swapping, id)
				}
			}
		}
	})
}

// Guards against targets that get no command because others, which do not respond to theirs, are commanded again and again.
func TestUnresponsiveTargetsDoNotDelayOthers(t *testing.T) {
	const n = 12
	v := cataloger.NewView().WithDesiredVersion("m", cataloger.DesiredVersion{Version: 2})
	for i := range n {
		v = v.WithTarget(&cataloger.Target{ID: fmt.Sprintf("w-%02d", i), Service: "s", Versions: map[string]int64{"m": 1}})
	}
	pending := PendingUpdates(v, func(*cataloger.Target, string) int64 { return 1 })
	attemptedAt := map[string]time.Duration{}
	rounds := 0
	for now := time.Second; len(attemptedAt) < n; now += time.Second {
		rounds++
		require.LessOrEqual(t, rounds, n, "only %d targets got a command", len(attemptedAt))
		for _, up := range NextUpdates(v, pending, Swapping{}, attemptedAt, now) {
			attemptedAt[up.Target.ID] = now
		}
	}
	require.Equal(t, n/2, rounds)
}
