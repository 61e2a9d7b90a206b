package runner

import (
	"context"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
)

const (
	// settleWait bounds how long a stop waits for outcomes that the store does
	// not have yet. They are lost with the process, and their claims are in
	// doubt from then on.
	settleWait = 30 * time.Second
	// releaseWait bounds how long a stop waits for the ledgers.
	releaseWait = 10 * time.Second
	leaveWait   = 2 * time.Second
	pollPeriod  = 20 * time.Millisecond
)

// stop ends the work of the host in order.
func (r *Runner) stop(ctx context.Context) {
	begun := time.Now()
	lifetime := time.Duration(r.settings.Stop.LookupTTL)
	r.log.Event(logger.HostLeaving).Send()
	r.parts.drainer.BeginStop(begun, lifetime)
	r.parts.gossiper.SetReady(false)
	r.parts.refreshHosts()
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	sleeper.Sleep(ctx, lifetime)
	if err := r.caller.Shutdown(ctx); err != nil {
		r.cutOff()
	}
	r.parts.meter.ObserveDrain(time.Since(begun))
	poll(ctx, settleWait, func() bool { return r.parts.claimer.PendingWrites() == 0 })
	release, done := context.WithTimeout(ctx, releaseWait)
	defer done()
	r.parts.granter.Release(release)
	leave, done := context.WithTimeout(ctx, leaveWait)
	defer done()
	r.parts.gossiper.Leave(leave)
	r.parts.drainer.EndStop(time.Now())
}

// bounded returns a context that ends at the hard deadline or by Abort.
func (r *Runner) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	cancel := func() {}
	if hard := time.Duration(r.settings.Stop.HardTimeout); hard > 0 {
		ctx, cancel = context.WithTimeout(ctx, hard)
	}
	ctx, cancelAbort := context.WithCancel(ctx)
	go func() {
		select {
		case <-r.abort:
		case <-ctx.Done():
		}
		cancelAbort()
	}()
	return ctx, func() {
		cancelAbort()
		cancel()
	}
}

// cutOff names the requests that the end of the stop breaks off.
func (r *Runner) cutOff() {
	var ids []string
	for _, v := range r.parts.recorder.Active() {
		ids = append(ids, v.ID)
	}
	r.log.Event(logger.RequestsAborted).Strs("requests", ids).Int("count", r.parts.drainer.InFlight()).Send()
}

func poll(ctx context.Context, d time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for !done() && ctx.Err() == nil {
		sleeper.Sleep(ctx, pollPeriod)
	}
}
