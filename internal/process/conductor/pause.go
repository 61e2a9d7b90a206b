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

// AwaitConfirmed implements steerer.Watchdog. After a pause of the process its state may
// be stale: upstreams may have left, zones may have been evacuated and other hosts may
// use its share of the limits. So no request is sent until the state is confirmed.
func (c *Conductor) AwaitConfirmed(ctx context.Context) {
	for !c.watchdog.Confirmed() && sleeper.Sleep(ctx, confirmPollInterval) {
	}
}

// heartbeat detects pauses of the process and confirms the state after each.
func (c *Conductor) heartbeat(ctx context.Context) {
	for sleeper.Sleep(ctx, watchdog.HeartbeatPeriod) {
		if length, pauses := c.watchdog.Heartbeat(); length > 0 {
			c.confirmState(ctx, length, pauses)
		}
	}
}

// confirmState waits until all tables were confirmed after the end of a pause. While the
// store fails, a sync with another host suffices. If neither responds within
// maxConfirmWait, the host continues with the state that it has, so that a fleet that
// loses the store and is paused continues to serve.
func (c *Conductor) confirmState(ctx context.Context, length time.Duration, pauses uint64) {
	begun := time.Now()
	c.throttler.Resume(begun)
	c.limiter.Resume(begun)
	for _, f := range c.followers {
		f.ResetConfirmation()
	}
	confirmed := false
	for time.Since(begun) < maxConfirmWait && !confirmed && sleeper.Sleep(ctx, confirmPollInterval) {
		confirmed = c.stateConfirmedSince(begun)
		c.watchdog.Heartbeat() // a pause in the meantime is counted separately
	}
	c.watchdog.Confirm(pauses)
	c.log.Event(logger.ProcessPaused).Dur("length", length).Dur("took", time.Since(begun)).Bool("confirmed", confirmed).Send()
}

// stateConfirmedSince reports whether each table was confirmed at or after a time, or its
// store fails and another host responded after that time.
func (c *Conductor) stateConfirmedSince(since time.Time) bool {
	contact := c.started.Add(time.Duration(c.lastContact.Load()))
	for _, f := range c.followers {
		confirmed, failing := f.ConfirmedSince(since)
		if !confirmed && !(failing && contact.After(since)) {
			return false
		}
	}
	return true
}
