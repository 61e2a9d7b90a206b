package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
)

// Guards against extra attempts that multiply an overload: in any window, those of all
// hosts together must not exceed the fraction of the requests plus the fixed number.
func TestExtraAttemptsStayWithinFleetLimit(t *testing.T) {
	limit := budgeter.Limit{Ratio: 0.2, Fixed: 56, Window: 10 * time.Second}
	now := time.Now()
	const hosts, rate = 8, 50 // requests per second and host
	var sentAt []time.Duration
	for range hosts {
		b := budgeter.New(limit, func() int { return hosts })
		for i := range 30 * rate {
			d := time.Duration(i) * time.Second / rate
			b.CountRequest("s", now.Add(d))
			for range 3 { // every attempt fails
				if b.AllowExtraAttempt("s", now.Add(d)) {
					sentAt = append(sentAt, d)
				}
			}
		}
	}
	for start := time.Duration(0); start <= 20*time.Second; start += 250 * time.Millisecond {
		n := 0
		for _, d := range sentAt {
			if d >= start && d < start+limit.Window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= 0.2*hosts*rate*10+56, "%d in the window from %v", n, start)
	}
	assert.Assert(t, len(sentAt) > hosts*rate*30/10, "%d", len(sentAt))
}

// Guards against a service that uses up the budget of another one.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := budgeter.New(budgeter.Limit{Fixed: 4, Window: 10 * time.Second}, func() int { return 1 })
	now := time.Now()
	for b.AllowExtraAttempt("a", now) {
	}
	assert.Assert(t, b.AllowExtraAttempt("b", now))
}
