package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// Guards against the end of a whole stream that comes noticeably late, or is cut by a stop, because another target does not confirm it; and
// against a rest that is cut off as if it were still to be found.
func TestConfirmationEnds(t *testing.T) {
	tests := map[string]struct {
		gap, deadline, stopAfter, restAfter time.Duration
		want                                time.Duration // 0: not before the deadline
	}{
		"target hangs":          {deadline: 3 * time.Second, want: confirmTimeout},
		"short gap":             {gap: 80 * time.Millisecond, deadline: 3 * time.Second, want: 80 * time.Millisecond},
		"long gap":              {gap: time.Second, deadline: 3 * time.Second, want: confirmTimeout},
		"deadline":              {deadline: 250 * time.Millisecond, want: 250*time.Millisecond - confirmMargin},
		"deadline within it":    {deadline: confirmMargin / 2, want: time.Nanosecond},
		"stop":                  {deadline: 3 * time.Second, stopAfter: 20 * time.Millisecond, want: 20 * time.Millisecond},
		"rest":                  {deadline: 3 * time.Second, restAfter: 20 * time.Millisecond},
		"rest, and then a stop": {deadline: 3 * time.Second, restAfter: 20 * time.Millisecond, stopAfter: 40 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{stopping: make(chan struct{})}
				start := time.Now()
				c := &Call{Route: &cataloger.Route{MaxEventGap: tc.gap}, Deadline: start.Add(tc.deadline), Response: &Response{}}
				deadline, stop := context.WithDeadline(t.Context(), c.Deadline)
				defer stop()
				ctx, cancel := s.startConfirmation(deadline, c)
				defer cancel()
				if tc.restAfter > 0 {
					time.Sleep(tc.restAfter)
					c.restFound()
				}
				if tc.stopAfter > 0 {
					time.Sleep(tc.stopAfter - tc.restAfter)
					close(s.stopping)
				}
				<-ctx.Done()
				if tc.want == 0 {
					require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
					return
				}
				require.ErrorIs(t, context.Cause(ctx), errNotConfirmed)
				require.InDelta(t, tc.want, time.Since(start), 1)
			})
		})
	}
}
