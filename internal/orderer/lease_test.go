package orderer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

// Guards against two instances that hold the lease at a time, or that hold it in turn within the time in which they must
// not, whatever they see late, lose or sleep through.
func TestRandomLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const apart = 500 * time.Millisecond
		n := rapid.IntRange(2, 4).Draw(t, "instances")
		leases := make([]Lease, n)
		read := make([]int, n)
		var journal []int
		lastOrder, lastHolder := -time.Hour, -1
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0: // reads the journal
				others := 0
				for _, holder := range journal[read[i]:] {
					if holder != i {
						others++
					}
				}
				read[i] = len(journal)
				leases[i] = leases[i].WithClaims(others, int64(len(journal)), now)
			case 1: // claims
				if !leases[i].Own && !leases[i].MayClaim(now, apart) {
					continue
				}
				if leases[i].End != int64(len(journal)) {
					leases[i] = leases[i].WithConflict(int64(len(journal)), now)
					continue
				}
				journal = append(journal, i)
				if rapid.Bool().Draw(t, "answered") {
					leases[i] = leases[i].WithGrant(int64(len(journal)-1), now)
				}
			case 2: // orders
				if !leases[i].Held(now) {
					continue
				}
				if lastHolder != i && lastHolder >= 0 && now-lastOrder < apart {
					t.Fatalf("instance %d orders %v after instance %d", i, now-lastOrder, lastHolder)
				}
				lastOrder, lastHolder = now, i
			}
		}
	})
}

// Guards against a roll-out that takes more targets of a service away than its share, orders one twice at a time, or never
// ends.
func TestRandomPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "targets")
		v := cataloger.NewView().WithDesiredVersion("m", 2, time.Unix(0, 0))
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
			pending := Pending(v, versionOf)
			if len(pending) == 0 {
				return
			}
			for _, w := range Next(v, pending, swapping, now) {
				if swapping.Busy(w.Target.ID, now) {
					t.Fatalf("target %s is ordered twice", w.Target.ID)
				}
				swapping[w.Target.ID] = now + swapTime
			}
			if limit := max(1, int(maxSwapping*float64(n)+0.5)); len(swapping) > limit {
				t.Fatalf("%d of %d targets swap at a time", len(swapping), n)
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
