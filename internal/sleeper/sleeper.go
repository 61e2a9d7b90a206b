// Package sleeper pauses a goroutine for a duration or until a context is done.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d or when ctx is done, whichever is first, and reports whether ctx is
// still active. If d is not positive, it returns immediately.
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
