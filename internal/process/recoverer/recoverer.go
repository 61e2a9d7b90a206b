// Package recoverer prevents a panic in one request, message or background loop from
// ending the process. A host serves thousands of requests at once, and one message that
// triggers a fault in the code must not abort all of them.
//
// The caller reports the operation that panicked as failed. Locks are released by deferred
// calls, so a recovered panic leaves no lock held.
package recoverer

import (
	"context"
	"runtime/debug"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
)

const (
	// maxLoggedStackBytes bounds the size of the logged stack trace.
	maxLoggedStackBytes = 4 << 10
	// minRestartDelay and maxRestartDelay bound the delay before a function that panicked
	// runs again, so that one that panics at once does not use up the processor.
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 5 * time.Second
)

// Recoverer recovers, logs and counts panics. It is safe for concurrent use.
type Recoverer struct {
	log   logger.Logger
	meter *meter.Meter
}

// New returns a Recoverer that logs panics to log and counts them in m.
func New(log logger.Logger, m *meter.Meter) *Recoverer { return &Recoverer{log: log, meter: m} }

// Do runs f and reports whether it panicked. name identifies f in the log.
func (r *Recoverer) Do(name string, f func()) (panicked bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		panicked = true
		stack := debug.Stack()
		r.meter.Add(meter.Panics, 1)
		r.log.Event(logger.PanicRecovered).Str("place", name).Interface("panic", v).
			Bytes("stack", stack[:min(len(stack), maxLoggedStackBytes)]).Send()
	}()
	f()
	return false
}

// RunWithRestart runs f until it returns, and restarts it after a panic unless ctx is done.
// The delay doubles with each panic.
func (r *Recoverer) RunWithRestart(ctx context.Context, name string, f func(ctx context.Context)) {
	delay := minRestartDelay
	for r.Do(name, func() { f(ctx) }) && ctx.Err() == nil {
		sleeper.Sleep(ctx, delay)
		delay = min(2*delay, maxRestartDelay)
	}
}
