package conductor

import (
	"context"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/watchdog"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
)

// Pauses implements steerer.Watchdog.
func (c *Conductor) Pauses() uint64 { return c.watchdog.Pauses() }

// AwaitConfirmed implements steerer.Watchdog. A host that was paused does not know which
// upstreams left, which zones were evacuated and which hosts took over its part of
// the limits, so it sends nothing before it asked.
func (c *Conductor) AwaitConfirmed(ctx context.Context) {
	for !c.watchdog.Confirmed() && sleeper.Sleep(ctx, confirmPeriod) {
	}
}

// heartbeat notices that the process was paused and has its beliefs confirmed.
func (c *Conductor) heartbeat(ctx context.Context) {
	for sleeper.Sleep(ctx, watchdog.HeartbeatPeriod) {
		if length, pauses := c.watchdog.Heartbeat(); length > 0 {
			c.confirm(ctx, length, pauses)
		}
	}
}

// confirm waits until the tables are as new as the end of the pause. While the store
// does not answer, an exchange with another host has to do, and without any answer
// the host goes on after a while with what it has: a fleet that loses the store and
// is paused goes on serving.
func (c *Conductor) confirm(ctx context.Context, length time.Duration, pauses uint64) {
	begun := time.Now()
	c.throttler.Resume(begun)
	for _, f := range c.followers {
		f.ResetConfirmation()
	}
	confirmed := false
	for time.Since(begun) < confirmWithin && !confirmed && sleeper.Sleep(ctx, confirmPeriod) {
		confirmed = c.confirmed(begun)
		c.watchdog.Heartbeat() // a further pause while this one is confirmed counts anew
	}
	c.watchdog.Confirm(pauses)
	c.log.Event(logger.ProcessPaused).Dur("length", length).Dur("took", time.Since(begun)).Bool("confirmed", confirmed).Send()
}

func (c *Conductor) confirmed(since time.Time) bool {
	met := c.born.Add(time.Duration(c.met.Load()))
	for _, f := range c.followers {
		confirmed, failing := f.ConfirmedSince(since)
		if !confirmed && !(failing && met.After(since)) {
			return false
		}
	}
	return true
}
