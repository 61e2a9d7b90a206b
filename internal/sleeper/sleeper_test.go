package sleeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/sleeper"
)

// Guards against a sleep that continues after its context is done, and against a wrong
// report whether the context is still active.
func TestSleepEndsWithContext(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, sleep, elapsed time.Duration
		active                  bool
	}{
		"full sleep":          {time.Minute, time.Second, time.Second, true},
		"interrupted":         {time.Second, time.Minute, time.Second, false},
		"zero":                {time.Minute, 0, 0, true},
		"zero, after timeout": {0, 0, 0, false},
		"negative":            {time.Minute, -time.Second, 0, true},
		"after timeout":       {0, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				start := time.Now()
				assert.Equal(t, sleeper.Sleep(ctx, c.sleep), c.active)
				assert.Equal(t, time.Since(start), c.elapsed)
			})
		})
	}
}
