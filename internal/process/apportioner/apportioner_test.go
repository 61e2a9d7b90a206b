package apportioner_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/apportioner"
)

// Guards against plans that overload one region while another has spare capacity, and
// against requests that leave their region without need.
func TestLocalFirstWeights(t *testing.T) {
	for name, c := range map[string]struct {
		own           int
		demand, slots []float64
		want          []float64
	}{
		"capacity at home":         {0, []float64{10, 10, 10}, []float64{40, 40, 40}, []float64{1, 0, 0}},
		"small region":             {1, []float64{20, 20, 20}, []float64{54, 18, 54}, []float64{0.185, 0.63, 0.185}},
		"all full":                 {1, []float64{60, 60, 60}, []float64{54, 18, 54}, []float64{0.286, 0.429, 0.286}},
		"no upstreams at home":     {1, []float64{10, 10, 10}, []float64{40, 0, 40}, []float64{0.5, 0, 0.5}},
		"no upstreams":             {0, []float64{10, 10}, []float64{0, 0}, []float64{0, 0}},
		"unknown demand, balanced": {0, []float64{0, 0, 0}, []float64{40, 40, 40}, []float64{1, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			got := apportioner.LocalFirstWeights(c.own, c.demand, c.slots)
			total := 0.0
			for i := range got {
				total += got[i]
				assert.Assert(t, math.Abs(got[i]-c.want[i]) < 0.01, "%v", got)
			}
			if name != "no upstreams" {
				assert.Assert(t, math.Abs(total-1) < 1e-9, "%v", got)
			}
		})
	}
}

// Guards against a plan that follows a change of demand faster than the shift rate allows
// when it is moved in many small intervals.
func TestPlanMovesInSteps(t *testing.T) {
	a := apportioner.New(0, 0.0375)
	now := time.Now()
	slots := []float64{10, 50}
	first := a.MoveToward(now, "s", a.LocalFirstWeights([]float64{5, 5}, slots), slots)
	assert.Equal(t, first[0], 1.0)
	a.CountRequest(now)
	for i := 1; i <= 20; i++ {
		a.MoveToward(now.Add(time.Duration(i)*100*time.Millisecond), "s", a.LocalFirstWeights([]float64{50, 5}, slots), slots)
	}
	moved := first[0] - a.Current("s")[0]
	assert.Assert(t, moved > 0.07 && moved <= 0.0751, "%v", moved)
}

// Guards against a plan that jumps after its host was paused: after 20 s without a move it
// shifted 0.75 of the requests at once.
func TestPlanDoesNotJumpAfterAPause(t *testing.T) {
	a := apportioner.New(0, 0.0375)
	now := time.Now()
	slots := []float64{50, 50}
	a.MoveToward(now, "s", []float64{1, 0}, slots)
	a.CountRequest(now)
	w := a.MoveToward(now.Add(20*time.Second), "s", []float64{0, 1}, slots)
	assert.Assert(t, w[1] > 0 && w[1] <= 0.0375, "%v", w)
}

// Guards against hosts that keep their first plan although a better one is available
// before any traffic: they measured the RTT between regions after the first plan, and then
// took 18 s to leave a plan for nearby regions, while caches in distant regions warmed up.
func TestPlanIsTheTargetBeforeTheFirstRequest(t *testing.T) {
	a := apportioner.New(0, 0.0375)
	now := time.Now()
	slots := []float64{54, 18, 54}
	a.MoveToward(now, "s", apportioner.ProportionalWeights(slots), slots)
	local := a.LocalFirstWeights([]float64{20, 20, 20}, slots)
	w := a.MoveToward(now.Add(time.Millisecond), "s", local, slots)
	assert.DeepEqual(t, w, local)
}

// Guards against a plan that moves in steps away from a region without upstreams.
func TestRegionWithoutUpstreamsIsLeftAtOnce(t *testing.T) {
	a := apportioner.New(0, 0.0375)
	now := time.Now()
	all, withoutFirst := []float64{20, 20, 20}, []float64{0, 20, 20}
	a.MoveToward(now, "s", apportioner.ProportionalWeights(all), all)
	w := a.MoveToward(now.Add(time.Millisecond), "s", apportioner.ProportionalWeights(withoutFirst), withoutFirst)
	assert.Equal(t, w[0], 0.0)
	assert.Assert(t, math.Abs(w[1]+w[2]-1) < 1e-9)
}

// Guards against hosts that send requests to another region at every short queue: on a
// start at low load, 32% of a region's requests left it in the first two seconds and none
// afterwards, which exceeds the limit on traffic shifts.
func TestCrossRegionRequestsAreLimited(t *testing.T) {
	a := apportioner.New(0, 0.0375)
	now := time.Now()
	crossed := 0
	for i := range 1000 {
		at := now.Add(time.Duration(i) * 2 * time.Millisecond)
		a.CountRequest(at)
		if a.AllowCrossRegion(at, false) {
			crossed++
		}
	}
	assert.Assert(t, crossed > 10 && crossed <= 20, "%d", crossed)
	assert.Assert(t, a.AllowCrossRegion(now.Add(2*time.Second), true))
}
