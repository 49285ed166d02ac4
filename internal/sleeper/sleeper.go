// Package sleeper waits for a time or the end of a context, whichever comes first.
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

// Sleep waits for d and reports false if ctx ended first.
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
