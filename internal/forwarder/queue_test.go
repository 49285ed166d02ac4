package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/queuer"
)

// Guards against calls that wait longer than their callers benefit from.
func TestWaitUntil(t *testing.T) {
	at := time.Unix(1000, 0)
	engine := &cataloger.Service{Name: "llm", Engine: &cataloger.Engine{}}
	tests := map[string]struct {
		service             *cataloger.Service
		objective, deadline time.Duration
		tokens              int
		want                time.Duration
	}{
		"plain: half of the deadline":          {&cataloger.Service{Name: "desk"}, 300 * time.Millisecond, 3 * time.Second, 0, 1500 * time.Millisecond},
		"engine: what the objective leaves":    {engine, 800 * time.Millisecond, 10 * time.Second, 9000, 700 * time.Millisecond},
		"engine: a quarter of the deadline":    {engine, 2 * time.Second, 2 * time.Second, 9000, 500 * time.Millisecond},
		"engine: no objective":                 {engine, 0, 2 * time.Second, 9000, 500 * time.Millisecond},
		"engine: the objective can't be met":   {engine, 50 * time.Millisecond, 2 * time.Second, 9000, -50 * time.Millisecond},
		"engine: objective after the deadline": {engine, 9 * time.Second, 2 * time.Second, 90_000, 500 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := serverWithTargets(t, 1)
			c := &Call{ReceivedAt: at, Deadline: at.Add(tc.deadline), Service: tc.service, Route: &cataloger.Route{Objective: tc.objective}}
			c.Headers.Prompt.InputTokens = tc.tokens
			require.Equal(t, tc.want, s.waitUntil(c).Sub(at))
		})
	}
}

// Guards against targets that count as full although they have room, or the reverse, and against an estimate that holds calls although no target
// refuses any.
func TestHasRoom(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		perTarget       announcer.InFlight
		waiting         int
		refused, recent bool
		want            bool
	}{
		"idle":                       {want: true, recent: true},
		"all slots are used":         {perTarget: announcer.InFlight{Requests: 16}, recent: true},
		"all slots, a queue":         {perTarget: announcer.InFlight{Requests: 16}, waiting: 2, recent: true, want: true},
		"the queue is full, too":     {perTarget: announcer.InFlight{Requests: 18}, waiting: 2, recent: true},
		"memory is full":             {perTarget: announcer.InFlight{Requests: 2, Tokens: 80_000}, recent: true},
		"both have just refused":     {refused: true, recent: true},
		"full, but no refusal in 5s": {perTarget: announcer.InFlight{Requests: 16}, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := serverWithTargets(t, 2)
			s.queues.mu.Lock()
			sq := s.newServiceQueue("llm")
			s.queues.mu.Unlock()
			sq.reported = tc.waiting
			sq.policy.RecordRefusal(now.Add(-queuer.UseAfterRefusal))
			if tc.recent {
				sq.policy.RecordRefusal(now)
			}
			for _, target := range s.Watcher.View().Targets("llm") {
				s.loads.Start(target.ID, tc.perTarget, now)
				if tc.refused {
					s.loads.RecordRefusal(target.ID, now)
				}
			}
			require.Equal(t, tc.want, s.hasRoom(sq, c, now))
		})
	}
}

// Guards against attempts that no longer count because the call may be sent to the same target again.
func TestForgivenRefusalsCount(t *testing.T) {
	c := &Call{TriedTargets: []string{"a", "b", "c"}, MisdirectedCount: 1, Route: &cataloger.Route{MaxAttempts: 4}}
	c.queue.refusedBy = []string{"a", "c"}
	before := c.countedAttempts()
	c.forgiveRefusals()
	require.Equal(t, []string{"b"}, c.TriedTargets)
	require.Equal(t, before, c.countedAttempts())
	require.True(t, c.isLastAttempt(), "the fourth target is the last one that a call may reach")
}

// BenchmarkAwaitRoom measures what a call costs if no target refuses, and the check for room among 163 engines.
func BenchmarkAwaitRoom(b *testing.B) {
	s, c := serverWithTargets(b, 163)
	b.Run("not in use", func(b *testing.B) {
		for b.Loop() {
			if err := s.awaitRoom(b.Context(), c); err != nil {
				b.Fatal(err)
			}
		}
	})
	now := time.Now()
	sq := s.newServiceQueue("llm")
	sq.policy.RecordRefusal(now)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			s.hasRoom(sq, c, now)
		}
	})
}
