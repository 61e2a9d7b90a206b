// Package watchdog notices that the process was paused: it was stopped by a signal, its
// machine was suspended, or it got no processor. What it believed before may have
// expired meanwhile, so nothing is sent before the beliefs were confirmed.
//
// The time is the one since the machine's start, which goes on while the machine is
// suspended and does not jump with the time of day.
package watchdog

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// pauseLeast is the time between two heartbeats from which the process counts as paused.
// Heartbeats come every Period; a host that is busy delays them by some hundred
// milliseconds.
const pauseLeast = time.Second

// HeartbeatPeriod is how often Heartbeat is to be called.
const HeartbeatPeriod = 100 * time.Millisecond

// Watchdog counts the pauses of the process. It is safe for concurrent use.
type Watchdog struct {
	clock     func() time.Duration
	last      atomic.Int64 // time of the last heartbeat, in nanoseconds
	pauses    atomic.Uint64
	confirmed atomic.Uint64
	length    atomic.Int64 // of the last pause, in nanoseconds
}

// New returns a Watchdog that reads the time since the machine's start from clock; nil
// means the one of the system.
func New(clock func() time.Duration) *Watchdog {
	if clock == nil {
		clock = sinceBoot
	}
	w := &Watchdog{clock: clock}
	w.last.Store(int64(clock()))
	return w
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only for clocks that the kernel does not have. The time then
	// stays 0, and no pause is ever noticed.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Pauses returns how often the process was paused so far, this moment included.
func (w *Watchdog) Pauses() uint64 {
	last := w.last.Load()
	now := w.clock()
	// The first caller after a pause counts it, be it a heartbeat or a request.
	if gap := now - time.Duration(last); gap >= pauseLeast && w.last.CompareAndSwap(last, int64(now)) {
		w.length.Store(int64(gap))
		return w.pauses.Add(1)
	}
	return w.pauses.Load()
}

// Heartbeat says that the process runs. If a pause is not confirmed yet, it returns the
// length of the last one, and in any case the number of pauses, to confirm.
func (w *Watchdog) Heartbeat() (length time.Duration, pauses uint64) {
	pauses = w.Pauses()
	w.last.Store(int64(w.clock()))
	if pauses == w.confirmed.Load() {
		return 0, pauses
	}
	return time.Duration(w.length.Load()), pauses
}

// Confirm says that the beliefs were confirmed after a number of pauses.
func (w *Watchdog) Confirm(pauses uint64) { w.confirmed.Store(pauses) }

// Confirmed reports whether the beliefs were confirmed since the last pause.
func (w *Watchdog) Confirmed() bool { return w.Pauses() == w.confirmed.Load() }
