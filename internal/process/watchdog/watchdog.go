// Package watchdog detects that the process was paused: it was stopped by a signal, its
// machine was suspended, or it got no CPU time. The state that the process holds may be out
// of date after that, so nothing is sent before the state was confirmed.
//
// Time is the time since the boot of the machine, which includes the time that the machine
// is suspended and does not change with the wall clock.
package watchdog

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minPause is the time between two heartbeats from which the process counts as paused. On
// a busy host, heartbeats are late by a few hundred milliseconds.
const minPause = time.Second

// HeartbeatPeriod is the period at which Heartbeat has to be called.
const HeartbeatPeriod = 100 * time.Millisecond

// Watchdog counts the pauses of the process. It is safe for concurrent use.
type Watchdog struct {
	clock     func() time.Duration
	lastBeat  atomic.Int64 // time of the last heartbeat, in nanoseconds
	pauses    atomic.Uint64
	confirmed atomic.Uint64 // number of pauses at the last Confirm
	length    atomic.Int64  // of the last pause, in nanoseconds
}

// New returns a Watchdog that reads the time since boot from clock; nil means the clock of
// the system.
func New(clock func() time.Duration) *Watchdog {
	if clock == nil {
		clock = sinceBoot
	}
	w := &Watchdog{clock: clock}
	w.lastBeat.Store(int64(clock()))
	return w
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only if the kernel does not have the clock. The time is then always 0,
	// and no pause is detected.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Pauses returns how often the process was paused so far. It detects a pause that has just
// ended.
func (w *Watchdog) Pauses() uint64 {
	last := w.lastBeat.Load()
	now := w.clock()
	// The first caller after a pause counts it, whether a heartbeat or a request.
	if gap := now - time.Duration(last); gap >= minPause && w.lastBeat.CompareAndSwap(last, int64(now)) {
		w.length.Store(int64(gap))
		return w.pauses.Add(1)
	}
	return w.pauses.Load()
}

// Heartbeat records that the process runs. It returns the number of pauses so far, to be
// passed to Confirm, and the length of the last one, or 0 if Confirm was called since.
func (w *Watchdog) Heartbeat() (length time.Duration, pauses uint64) {
	pauses = w.Pauses()
	w.lastBeat.Store(int64(w.clock()))
	if pauses == w.confirmed.Load() {
		return 0, pauses
	}
	return time.Duration(w.length.Load()), pauses
}

// Confirm records that the state of the process was confirmed after a number of pauses.
func (w *Watchdog) Confirm(pauses uint64) { w.confirmed.Store(pauses) }

// Confirmed reports whether the state of the process was confirmed since the last pause.
func (w *Watchdog) Confirmed() bool { return w.Pauses() == w.confirmed.Load() }
