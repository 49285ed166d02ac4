// Package sleeper provides a sleep that a context can interrupt.
//
// # Usage
//
//	if !sleeper.Sleep(ctx, time.Second) {
//		return ctx.Err()
//	}
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether it slept for all of d. If d is not positive, it returns at
// once and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
