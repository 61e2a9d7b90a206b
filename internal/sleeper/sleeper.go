// Package sleeper waits for a time or the end of a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d or when ctx ends, and reports whether ctx goes on. It
// returns at once if d is not above 0.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}
