package steerer_test

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// watchdog simulates pauses of the process. The zero value has none.
type watchdog struct {
	pausesCalls atomic.Int64
	pauseBefore func(call int64) bool // reports whether a pause precedes a call of Pauses
	count       atomic.Uint64
	onAwait     func()
}

func (w *watchdog) Pauses() uint64 {
	if w.pauseBefore != nil && w.pauseBefore(w.pausesCalls.Add(1)) {
		w.count.Add(1)
	}
	return w.count.Load()
}

func (w *watchdog) AwaitConfirmed(context.Context) {
	if w.onAwait != nil {
		w.onAwait()
	}
}

// Guards against a request that is sent to an upstream that was chosen before a pause and
// has left since, and against a discarded choice that counts as an attempt.
func TestPauseDiscardsChoice(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		pause        func(call int64) bool
		leaves       bool // the first upstream leaves before the state is confirmed
		status       int
		first        int64
		second       int64
	}{
		"no pause":                {"POST", "/pay/1", nil, false, 200, 1, 0},
		"upstream has left":       {"POST", "/pay/1", nil, true, 200, 0, 1},
		"between choice and send": {"POST", "/pay/1", func(n int64) bool { return n == 2 }, false, 200, 1, 0},
		"twice, idempotent":       {"GET", "/look/1", func(n int64) bool { return n == 2 || n == 4 }, false, 200, 1, 0},
		"after each choice":       {"POST", "/pay/1", func(n int64) bool { return n%2 == 0 }, false, 503, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(_, _ *upstream) {})
			if c.leaves {
				g.watchdog.onAwait = g.removeFirst
			}
			g.watchdog.pauseBefore = c.pause
			r, _, err := g.send(c.method, c.path)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.status)
			assert.Equal(t, g.first.ran.Load(), c.first)
			assert.Equal(t, g.second.ran.Load(), c.second)
		})
	}
}
