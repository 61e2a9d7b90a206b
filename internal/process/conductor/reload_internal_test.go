package conductor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/process/apportioner"
	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against limits that an operator lowers and that stay as they were at the start of
// the process, and against invalid settings that change them.
func TestReloadAppliesLoweredLimits(t *testing.T) {
	now := time.Now()
	s := Settings{
		MaxShift: 1, ShiftWindow: time.Second, ColdLimit: throttler.Limit{Factor: 1, Slack: 10},
		RetryBudget: budgeter.Limit{Fixed: 1000, Window: 10 * time.Second},
	}
	c := &Conductor{
		budget: budgeter.New(s.RetryBudget, func() int { return 1 }, now.Add(-time.Minute)), throttler: throttler.New("h", s.ColdLimit, now),
		limiter: limiter.New("h", limiter.Settings{}, now), plan: apportioner.New(0, s.maxShiftPerSecond()),
	}
	c.throttler.SetRecorded(nil)
	slots, from, to := []float64{1, 1}, []float64{1, 0}, []float64{0, 1}
	c.plan.MoveToward(now, "p", from, slots)
	c.plan.CountRequest(now)

	changed := s
	changed.RetryBudget.Fixed, changed.ColdLimit, changed.MaxShift = 0, throttler.Limit{}, 0
	c.Reload(changed, classifier.Invalid.New("wrong"))
	assert.Assert(t, c.budget.AllowExtraAttempt("s", now))
	assert.Assert(t, c.throttler.Rate("u", 0, now) > 0)
	w := c.plan.MoveToward(now.Add(time.Second), "p", to, slots)
	assert.Assert(t, w[1] > 0.4, "%v", w)

	c.Reload(changed, nil)
	assert.Assert(t, !c.budget.AllowExtraAttempt("s", now))
	assert.Equal(t, c.throttler.Rate("u", 0, now), 0.0)
	assert.DeepEqual(t, c.plan.MoveToward(now.Add(time.Minute), "p", to, slots), w)
}

// Guards against a host that is killed at the end of its stop grace period while it leaves
// the membership. That happened to one process in a rolling restart on the test bench.
func TestStopLeavesTimeToLeaveMembership(t *testing.T) {
	assert.Assert(t, stopExitMargin > leaveTimeout)
}

// Guards against requests that a stopping host accepts so late that it aborts them: an
// idempotent request that was accepted 3.02 s after the signal was cut off at 5.55 s of
// 6 s (site velodesk-be, scenario trouble-2, seed 289245185654).
func TestStoppingHostAcceptsNoLateRequests(t *testing.T) {
	for name, c := range map[string]struct {
		grace, lifetime, last time.Duration
	}{
		"6 s grace period":   {6 * time.Second, 2 * time.Second, 3 * time.Second},
		"long grace period":  {time.Minute, 2 * time.Second, 3 * time.Second},
		"short lookup TTL":   {6 * time.Second, 500 * time.Millisecond, 1500 * time.Millisecond},
		"short grace period": {2 * time.Second, 2 * time.Second, time.Second},
		"no grace period":    {0, 2 * time.Second, acceptor.ShutdownAcceptWindow},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, acceptDuration(c.grace, c.lifetime)+acceptor.ShutdownAcceptWindow, c.last)
		})
	}
}

// Guards against a stopping host that accepts requests for longer because other hosts take
// long to respond to its notification, and then aborts the last ones.
func TestSlowNotificationDoesNotExtendAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		acceptUntil(t.Context(), begun.Add(3*time.Second), func(context.Context) { time.Sleep(leaveTimeout) })
		assert.Equal(t, time.Since(begun), 3*time.Second)
	})
}

// Guards against a host that is killed while it accepts requests, because it was paused when
// the stop signal was sent and counts the grace period from the end of the pause.
func TestStopSignalDuringPauseShortensAcceptance(t *testing.T) {
	const grace, ttl = 6 * time.Second, 2 * time.Second
	begun := time.Now()
	acceptEnd, exit := stopDeadlines(begun, 0, grace, ttl)
	for _, pause := range []time.Duration{0, time.Second, 4 * time.Second} {
		end, pausedExit := stopDeadlines(begun, pause, grace, ttl)
		assert.Equal(t, acceptEnd.Sub(end), pause)
		assert.Equal(t, pausedExit, exit)
	}
}
