package updater

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a claim log that all instances of a large deployment read, which would cost one read per instance and claim.
func TestFewInstancesFollow(t *testing.T) {
	var ids []string
	for i := range 82 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	idle, soon, later := 0, 0, 0
	for _, id := range ids {
		sb := StandbyOf(id, ids)
		require.Equal(t, sb.Rank < activeFollowers, sb.ShouldFollow(time.Hour), "nothing is pending")
		if sb.ShouldFollow(0) {
			idle++
		}
		sb = sb.WithPending(60, 0)
		if sb.ShouldFollow(standbyDelay) {
			soon++
		}
		// Another instance announces swapping targets, and some of the targets are done.
		if sb.WithProgress(20*time.Second).WithPending(10, 21*time.Second).ShouldFollow(21*time.Second + standbyDelay) {
			later++
		}
	}
	require.Equal(t, []int{activeFollowers, activeFollowers, activeFollowers}, []int{idle, soon, later})
}

// Guards against targets that are never updated because the instances of lower rank cannot send commands and the others wait
// for them, while instances start and stop.
func TestRandomStandbyBecomesEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "instances")
		ids := []string{"self"}
		for i := range n {
			ids = append(ids, fmt.Sprint("i-", i))
		}
		sb := StandbyOf("self", nil)
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				sb = sb.WithRank(StandbyOf("self", ids[:rapid.IntRange(1, len(ids)).Draw(t, "known")]))
			case 1:
				sb = sb.WithPending(rapid.IntRange(0, 60).Draw(t, "pending"), now)
			case 2:
				sb = sb.WithProgress(now)
			}
		}
		sb = sb.WithPending(1, now)
		if !sb.Eligible(now + time.Duration(max(len(ids), activeFollowers))*standbyDelay) {
			t.Fatalf("standby %+v does not become eligible", sb)
		}
		if sb.WithPending(0, now).Eligible(now + time.Hour) {
			t.Fatal("standby is eligible without pending updates")
		}
	})
}
