package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
)

// sendUntilRefused returns when a host sends extra attempts in 30 s, if every attempt of its
// requests fails from a time on. rate is in requests per second, and the host restarts at the
// given times.
func sendUntilRefused(limit budgeter.Limit, hosts, rate int, failsFrom time.Duration, restarts []time.Duration) (sentAt []time.Duration) {
	now := time.Now()
	newBudgeter := func(at time.Duration) *budgeter.Budgeter {
		return budgeter.New(limit, func() int { return hosts }, now.Add(at))
	}
	b := newBudgeter(0)
	for i := range 30 * rate {
		d := time.Duration(i) * time.Second / time.Duration(rate)
		if len(restarts) > 0 && d >= restarts[0] {
			b, restarts = newBudgeter(d), restarts[1:]
		}
		b.CountRequest("s", now.Add(d))
		for range 3 {
			if d >= failsFrom && b.AllowExtraAttempt("s", now.Add(d)) {
				sentAt = append(sentAt, d)
			}
		}
	}
	return sentAt
}

// countBetween returns how many of the times are in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) (n int) {
	for _, d := range times {
		if d >= from && d < to {
			n++
		}
	}
	return n
}

// Guards against extra attempts that multiply an overload: in any window, those of all
// hosts together must not exceed the fraction of the requests plus the fixed number. A
// process does not know what an earlier one of its host used, so restarts must not renew
// the fixed number, nor what earlier requests allow. On a day of the review, all hosts were
// killed 5 s after an overload began, and 624 extra attempts were sent where 592 were allowed.
func TestExtraAttemptsStayWithinFleetLimit(t *testing.T) {
	limit := budgeter.Limit{Ratio: 0.2, Fixed: 56, Window: 10 * time.Second}
	const hosts = 8
	for name, c := range map[string]struct {
		rate      int // requests per second and host
		failsFrom time.Duration
		restarts  []time.Duration
	}{
		"no restart":                       {50, 0, nil},
		"all hosts restart":                {50, 0, []time.Duration{14 * time.Second}},
		"few requests, all hosts restart":  {4, 0, []time.Duration{14 * time.Second}},
		"few requests, restarts in series": {4, 0, []time.Duration{12 * time.Second, 14 * time.Second, 16 * time.Second, 27 * time.Second}},
		"restart after a late overload":    {50, 12 * time.Second, []time.Duration{17 * time.Second}},
		"few requests, late overload":      {4, 12 * time.Second, []time.Duration{17 * time.Second}},
		"restarts in a late overload":      {50, 12 * time.Second, []time.Duration{13 * time.Second, 14 * time.Second, 15 * time.Second, 16 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			var sentAt []time.Duration
			for range hosts {
				sentAt = append(sentAt, sendUntilRefused(limit, hosts, c.rate, c.failsFrom, c.restarts)...)
			}
			for start := time.Duration(0); start <= 20*time.Second; start += 250 * time.Millisecond {
				n := countBetween(sentAt, start, start+limit.Window)
				assert.Assert(t, float64(n) <= 0.2*hosts*float64(c.rate)*10+56, "%d in the window from %v", n, start)
			}
			if len(c.restarts) > 0 {
				last := c.restarts[len(c.restarts)-1]
				n := countBetween(sentAt, last, last+limit.Window)
				seconds := min(limit.Window, 30*time.Second-last).Seconds()
				assert.Assert(t, float64(n) >= 0.08*hosts*float64(c.rate)*seconds, "%d after the restart", n)
			}
			assert.Assert(t, len(sentAt) > hosts*c.rate*int((30*time.Second-c.failsFrom)/time.Second)/10, "%d", len(sentAt))
		})
	}
}

// Guards against a service that uses up the budget of another one.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	now := time.Now()
	b := budgeter.New(budgeter.Limit{Fixed: 4, Window: 10 * time.Second}, func() int { return 1 }, now.Add(-time.Minute))
	for b.AllowExtraAttempt("a", now) {
	}
	assert.Assert(t, b.AllowExtraAttempt("b", now))
}
