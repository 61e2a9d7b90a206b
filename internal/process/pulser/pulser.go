// Package pulser notices that the process stood still: it was stopped by a signal,
// its machine was suspended, or it got no processor. What it believed before may have
// run out meanwhile, so nothing is sent before the beliefs were confirmed.
//
// The time is the one since the machine's start, which goes on while the machine is
// suspended and does not jump with the time of day.
package pulser

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// standing is the time between two beats from which the process counts as having
// stood still. Beats come every Period; a host that is busy delays them by some
// hundred milliseconds.
const standing = time.Second

// Period is how often Beat is to be called.
const Period = 100 * time.Millisecond

// Pulser counts the times that the process stood still. It is safe for concurrent
// use.
type Pulser struct {
	clock     func() time.Duration
	last      atomic.Int64 // time of the last beat, in nanoseconds
	epoch     atomic.Uint64
	confirmed atomic.Uint64
	stood     atomic.Int64 // nanoseconds, the last time
}

// New returns a Pulser that reads the time since the machine's start from clock; nil
// means the one of the system.
func New(clock func() time.Duration) *Pulser {
	if clock == nil {
		clock = sinceBoot
	}
	p := &Pulser{clock: clock}
	p.last.Store(int64(clock()))
	return p
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only for clocks that the kernel does not have. The time then
	// stays 0, and the process never counts as having stood still.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Epoch returns how often the process stood still so far, this moment included.
func (p *Pulser) Epoch() uint64 {
	last := p.last.Load()
	now := p.clock()
	// The first caller after a pause counts it, be it a beat or a request.
	if gap := now - time.Duration(last); gap >= standing && p.last.CompareAndSwap(last, int64(now)) {
		p.stood.Store(int64(gap))
		return p.epoch.Add(1)
	}
	return p.epoch.Load()
}

// Beat says that the process runs. It reports for how long the process stood still
// if that is not confirmed yet, and the epoch to confirm.
func (p *Pulser) Beat() (stood time.Duration, epoch uint64) {
	epoch = p.Epoch()
	p.last.Store(int64(p.clock()))
	if epoch == p.confirmed.Load() {
		return 0, epoch
	}
	return time.Duration(p.stood.Load()), epoch
}

// Confirm says that the beliefs were confirmed after the process had stood still
// epoch times.
func (p *Pulser) Confirm(epoch uint64) { p.confirmed.Store(epoch) }

// Fresh reports whether the beliefs were confirmed since the process stood still.
func (p *Pulser) Fresh() bool { return p.Epoch() == p.confirmed.Load() }
