package estimator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/request/estimator"
)

// Guards against an estimate for a route that follows the samples of other routes, old
// samples or timeouts of a single slow upstream.
func TestRouteEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	const s = time.Second
	for name, c := range map[string]struct {
		observe func(e *estimator.Estimator)
		after   time.Duration
		recent  bool
		minCold time.Duration
		maxCold time.Duration
	}{
		"no sample":         {func(*estimator.Estimator) {}, 0, false, 300 * time.Millisecond, 300 * time.Millisecond},
		"other route":       {func(e *estimator.Estimator) { e.ObserveResponse(now, "s", "other", false, 9*s) }, 0, false, 0, s},
		"other service":     {func(e *estimator.Estimator) { e.ObserveResponse(now, "t", "r", false, 9*s) }, 0, false, 0, s},
		"one response":      {func(e *estimator.Estimator) { e.ObserveResponse(now, "s", "r", false, 9*s) }, s, true, 9 * s, 9 * s},
		"an old response":   {func(e *estimator.Estimator) { e.ObserveResponse(now, "s", "r", false, 9*s) }, 9 * s, false, 0, s},
		"a timeout":         {func(e *estimator.Estimator) { e.ObserveTimeout(now, "s", "r", 2*s) }, s, true, 2 * s, 4 * s},
		"a shorter timeout": {func(e *estimator.Estimator) { e.ObserveTimeout(now, "s", "r", 2*s); e.ObserveTimeout(now, "s", "r", s) }, s, true, 2 * s, 4 * s},
		"response, timeout": {func(e *estimator.Estimator) {
			e.ObserveResponse(now, "s", "r", false, s)
			e.ObserveTimeout(now, "s", "r", 9*s)
		}, s, true, s, s},
		"timeout, responses": {func(e *estimator.Estimator) {
			e.ObserveTimeout(now, "s", "r", 2*s)
			for range 400 {
				e.ObserveResponse(now, "s", "r", false, 10*time.Millisecond)
				e.ObserveResponse(now, "s", "r", true, 4*time.Millisecond)
			}
		}, s, true, 8 * time.Millisecond, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e := estimator.New()
			c.observe(e)
			w := e.ForRoute(now.Add(c.after), "s", "r")
			assert.Equal(t, w.Recent, c.recent, "%+v", w)
			assert.Assert(t, w.Cold >= c.minCold && w.Cold <= c.maxCold, "%+v", w)
		})
	}
}

// Guards against memory use that grows with the number of route names.
func TestRoutesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	e := estimator.New()
	for i := range 20000 {
		e.ObserveResponse(now, "s", string(rune(i)), false, time.Second)
	}
	recent := 0
	for i := range 20000 {
		if e.ForRoute(now, "s", string(rune(i))).Recent {
			recent++
		}
	}
	assert.Assert(t, recent > 0 && recent <= 8192, "%d", recent)
}
