// Package recoverer keeps a panic in one piece of work from ending the process. A
// host serves thousands of requests at once; one message that meets a fault in the
// code must not cut all of them off.
//
// What was under way is told as failed by whoever runs it. State that is guarded by
// a lock is only changed under a deferred unlock, so a recovered panic leaves no lock
// held.
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
	// stackMost bounds the stack that is logged, in bytes.
	stackMost = 4 << 10
	// pauseFirst and pauseMost bound the time until work that panicked starts again,
	// so that a fault that returns at once does not take the processor.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 5 * time.Second
)

// Recoverer recovers, logs and counts panics. It is safe for concurrent use.
type Recoverer struct {
	log   logger.Logger
	meter *meter.Meter
}

// New returns a Recoverer that logs and counts.
func New(log logger.Logger, m *meter.Meter) *Recoverer { return &Recoverer{log: log, meter: m} }

// Do runs f and reports whether it panicked. Place names the work in the log.
func (r *Recoverer) Do(place string, f func()) (panicked bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		panicked = true
		stack := debug.Stack()
		r.meter.Add(meter.Panics, 1)
		r.log.Event(logger.PanicRecovered).Str("place", place).Interface("panic", v).
			Bytes("stack", stack[:min(len(stack), stackMost)]).Send()
	}()
	f()
	return false
}

// RunWithRestart runs f until it returns or ctx ends, and again if it panics.
func (r *Recoverer) RunWithRestart(ctx context.Context, place string, f func(ctx context.Context)) {
	pause := pauseFirst
	for r.Do(place, func() { f(ctx) }) && ctx.Err() == nil {
		sleeper.Sleep(ctx, pause)
		pause = min(2*pause, pauseMost)
	}
}
