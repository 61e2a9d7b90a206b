package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
)

// sendUntilRefused returns when a host sends extra attempts in 30 s, if every attempt of its
// requests fails. rate is in requests per second, and the host restarts at the given times.
func sendUntilRefused(limit budgeter.Limit, hosts, rate int, restarts []time.Duration) (sentAt []time.Duration) {
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
			if b.AllowExtraAttempt("s", now.Add(d)) {
				sentAt = append(sentAt, d)
			}
		}
	}
	return sentAt
}

// Guards against extra attempts that multiply an overload: in any window, those of all
// hosts together must not exceed the fraction of the requests plus the fixed number. A
// process does not know what an earlier one of its host used, so restarts must not renew
// the fixed number.
func TestExtraAttemptsStayWithinFleetLimit(t *testing.T) {
	limit := budgeter.Limit{Ratio: 0.2, Fixed: 56, Window: 10 * time.Second}
	const hosts = 8
	for name, c := range map[string]struct {
		rate     int // requests per second and host
		restarts []time.Duration
	}{
		"no restart":                       {50, nil},
		"all hosts restart":                {50, []time.Duration{14 * time.Second}},
		"few requests, all hosts restart":  {4, []time.Duration{14 * time.Second}},
		"few requests, restarts in series": {4, []time.Duration{12 * time.Second, 14 * time.Second, 16 * time.Second, 27 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			var sentAt []time.Duration
			for range hosts {
				sentAt = append(sentAt, sendUntilRefused(limit, hosts, c.rate, c.restarts)...)
			}
			for start := time.Duration(0); start <= 20*time.Second; start += 250 * time.Millisecond {
				n := 0
				for _, d := range sentAt {
					if d >= start && d < start+limit.Window {
						n++
					}
				}
				assert.Assert(t, float64(n) <= 0.2*hosts*float64(c.rate)*10+56, "%d in the window from %v", n, start)
			}
			assert.Assert(t, len(sentAt) > hosts*c.rate*30/10, "%d", len(sentAt))
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
