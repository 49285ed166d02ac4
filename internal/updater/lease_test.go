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

// guardInterval is the guard interval of a leaseModel.
const guardInterval = 500 * time.Millisecond

// leaseModel is a claim log with instances that read it, claim the lease and send commands.
type leaseModel struct {
	*rapid.T
	leases []Lease
	// read holds how far each instance has read the log, which holds the instance of each claim.
	read []int
	log  []int
	era  int64
	now  time.Duration

	lastCommand time.Duration
	lastHolder  int
	lastToken   int64
}

func newLeaseModel(t *rapid.T) *leaseModel {
	n := rapid.IntRange(2, 4).Draw(t, "instances")
	return &leaseModel{T: t, leases: make([]Lease, n), read: make([]int, n), era: 1, lastCommand: -time.Hour, lastHolder: -1}
}

func (m *leaseModel) end() Position { return Position{Offset: int64(len(m.log)), Era: m.era} }

func (m *leaseModel) startEra(i int) { m.leases[i], m.read[i] = m.leases[i].WithEra(m.era, m.now), 0 }

func (m *leaseModel) readLog(i int) {
	if m.leases[i].LogEndKnown && m.leases[i].LogEnd.Era != m.era {
		m.startEra(i)
	}
	others := 0
	for _, holder := range m.log[m.read[i]:] {
		if holder != i {
			others++
		}
	}
	m.read[i] = len(m.log)
	m.leases[i] = m.leases[i].WithClaims(others, m.end(), m.now)
}

func (m *leaseModel) claim(i int) {
	l, end := m.leases[i], m.end()
	if !l.HeldBySelf && !l.MayClaim(m.now, guardInterval) {
		return
	}
	appended := l.LogEnd.Offset == end.Offset
	if appended {
		m.log = append(m.log, i)
	}
	switch answered := rapid.Bool().Draw(m.T, "answered"); {
	case appended && !answered:
	case l.LogEnd.Era != m.era:
		m.startEra(i)
	case appended:
		m.leases[i] = l.WithGrant(end, m.now)
	default:
		m.leases[i] = l.WithConflict(end, m.now)
	}
}

func (m *leaseModel) command(i int) {
	l := m.leases[i]
	switch {
	case !l.Held(m.now):
		return
	case m.lastHolder != i && m.lastHolder >= 0 && m.now-m.lastCommand < guardInterval:
		m.Fatalf("instance %d sends a command %v after instance %d", i, m.now-m.lastCommand, m.lastHolder)
	case l.FencingToken < m.lastToken, l.FencingToken == m.lastToken && m.lastHolder != i:
		m.Fatalf("instance %d sends a command with token %d after instance %d had %d", i, l.FencingToken, m.lastHolder, m.lastToken)
	}
	m.lastCommand, m.lastHolder, m.lastToken = m.now, i, l.FencingToken
}

// Guards against two instances holding the lease at the same time, or one after the other within the guard interval, when
// reads are late, responses are lost or instances are suspended.
func TestRandomLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, len(m.leases)-1).Draw(t, "instance")
			[]func(int){m.readLog, m.claim, m.command}[rapid.IntRange(0, 2).Draw(t, "act")](i)
		}
	})
}

// Guards against two holders, and against fencing tokens that fall or that two holders use, after the metadata store was restored
// from a copy that lacks claims.
func TestRandomLeaseAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		for range rapid.IntRange(2, 4).Draw(t, "eras") {
			for range rapid.IntRange(5, 20).Draw(t, "steps") {
				m.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
				i := rapid.IntRange(0, len(m.leases)-1).Draw(t, "instance")
				if rapid.Bool().Draw(t, "read") {
					m.readLog(i)
				}
				m.claim(i)
				m.command(i)
			}
			m.log = m.log[:rapid.IntRange(0, len(m.log)).Draw(t, "copied")]
			m.era++
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
