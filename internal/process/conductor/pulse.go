package conductor

import (
	"context"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/pulser"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
)

// Epoch implements steerer.Pulse.
func (c *Conductor) Epoch() uint64 { return c.pulser.Epoch() }

// Await implements steerer.Pulse. A host that stood still does not know which
// upstreams left, which zones were evacuated and which hosts took over its part of
// the limits, so it sends nothing before it asked.
func (c *Conductor) Await(ctx context.Context) {
	for !c.pulser.Fresh() && sleeper.Sleep(ctx, confirmPeriod) {
	}
}

// beat notices that the process stood still and has its beliefs confirmed.
func (c *Conductor) beat(ctx context.Context) {
	for sleeper.Sleep(ctx, pulser.Period) {
		if stood, epoch := c.pulser.Beat(); stood > 0 {
			c.confirm(ctx, stood, epoch)
		}
	}
}

// confirm waits until the tables are as new as the end of the pause. While the store
// does not answer, an exchange with another host has to do, and without any answer
// the host goes on after a while with what it has: a fleet that loses the store and
// stands still goes on serving.
func (c *Conductor) confirm(ctx context.Context, stood time.Duration, epoch uint64) {
	begun := time.Now()
	c.feeder.Resume(begun)
	for _, f := range c.followers {
		f.Doubt()
	}
	confirmed := false
	for time.Since(begun) < confirmWithin && !confirmed && sleeper.Sleep(ctx, confirmPeriod) {
		confirmed = c.confirmed(begun)
		c.pulser.Epoch() // a further pause while this one is confirmed counts anew
	}
	c.pulser.Confirm(epoch)
	c.log.Event(logger.ProcessStood).Dur("stood", stood).Dur("took", time.Since(begun)).Bool("confirmed", confirmed).Send()
}

func (c *Conductor) confirmed(since time.Time) bool {
	met := c.born.Add(time.Duration(c.met.Load()))
	for _, f := range c.followers {
		confirmed, failing := f.Confirmed(since)
		if !confirmed && !(failing && met.After(since)) {
			return false
		}
	}
	return true
}
