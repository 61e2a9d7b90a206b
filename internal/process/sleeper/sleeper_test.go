package sleeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/sleeper"
)

// Guards against waits that outlive their context, and against waits of a time
// that is over already.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		sleeper.Sleep(t.Context(), time.Minute)
		assert.Equal(t, time.Since(start), time.Minute)
		sleeper.Sleep(t.Context(), -time.Minute)
		assert.Equal(t, time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		sleeper.Sleep(ctx, time.Hour)
		assert.Equal(t, time.Since(start), time.Minute+time.Second)
	})
}
