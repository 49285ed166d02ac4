package updater

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a journal that all instances of a large deployment read: each claim would cost a call per instance.
func TestFewInstancesFollow(t *testing.T) {
	var ids []string
	for i := range 82 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	idle, soon, later := 0, 0, 0
	for _, id := range ids {
		turn := StandbyOf(id, ids)
		require.Equal(t, turn.Rank < warmReaders, turn.ShouldFollow(time.Hour), "nothing is pending")
		if turn.ShouldFollow(0) {
			idle++
		}
		turn = turn.WithPending(60, 0)
		if turn.ShouldFollow(turnDelay) {
			soon++
		}
		// Another instance is heard to give orders, and a part of the targets is done.
		if turn.WithProgress(20*time.Second).WithPending(10, 21*time.Second).ShouldFollow(21*time.Second + turnDelay) {
			later++
		}
	}
	require.Equal(t, []int{warmReaders, warmReaders, warmReaders}, []int{idle, soon, later})
}

// Guards against targets that nobody brings to new weights, since those who come first cannot give orders and the others
// wait for them, whatever instances come and go meanwhile.
func TestRandomTurnComesToAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "instances")
		ids := []string{"self"}
		for i := range n {
			ids = append(ids, fmt.Sprint("i-", i))
		}
		turn := StandbyOf("self", nil)
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				turn = turn.WithRank(StandbyOf("self", ids[:rapid.IntRange(1, len(ids)).Draw(t, "known")]))
			case 1:
				turn = turn.WithPending(rapid.IntRange(0, 60).Draw(t, "pending"), now)
			case 2:
				turn = turn.WithProgress(now)
			}
		}
		turn = turn.WithPending(1, now)
		if !turn.Eligible(now + time.Duration(max(len(ids), warmReaders))*turnDelay) {
			t.Fatalf("turn %+v does not come", turn)
		}
		if turn.WithPending(0, now).Eligible(now + time.Hour) {
			t.Fatal("turn comes without work")
		}
	})
}
