package sleeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/sleeper"
)

// Guards against a wait that outlasts its context, and against one that says a
// context goes on which has ended.
func TestSleep(t *testing.T) {
	for name, c := range map[string]struct {
		ends, sleep, took time.Duration
		goesOn            bool
	}{
		"whole":          {time.Minute, time.Second, time.Second, true},
		"cut":            {time.Second, time.Minute, time.Second, false},
		"none":           {time.Minute, 0, 0, true},
		"none, at end":   {0, 0, 0, false},
		"negative":       {time.Minute, -time.Second, 0, true},
		"ended at start": {0, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.ends)
				defer cancel()
				begun := time.Now()
				assert.Equal(t, sleeper.Sleep(ctx, c.sleep), c.goesOn)
				assert.Equal(t, time.Since(begun), c.took)
			})
		})
	}
}
