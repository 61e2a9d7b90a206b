package ranker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
)

// Guards against a slowness that counts twice, as reported and as learned from response times,
// against one that moves requests to another region at once, and against one that excludes an
// upstream long after it was reported.
func TestReportedSlownessCountsOnce(t *testing.T) {
	const usual, slowness = 100 * time.Millisecond, 3
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r", "y": "q"})
	for id, zone := range map[string]string{"slow": "z", "far": "y"} {
		r.Put(registrar.Registration{ID: id, Service: "s", Address: id, Zone: zone, Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
	}
	rk := ranker.New("r")
	q := ranker.Query{
		Group: r.Group("s"), Route: "s", Regions: []string{"r", "q"}, Weights: []float64{1, 0}, Object: 7, Remaining: time.Second, LatencyTarget: time.Second,
		AllowCrossRegion: func(failing bool) bool {
			assert.Check(t, !failing)
			return failing
		},
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		c := rk.Choose(now, "s", &q)
		assert.Equal(t, c.Upstream.ID(), "slow")
		u, took := c.Upstream, slowness*usual
		u.ReportLoad(registrar.Load{Slots: 4, SlownessPercent: 100 * slowness}, now)
		u.MarkWarm(7, now)
		u.RecordSuccess(now, float64(took)/float64(rk.ExpectedTime(&c, slowness)))
		rk.ObserveResponse(now, "s", "s", c.Warm, "r", rk.UsualTime("r", took, slowness))
	}
	slowdown, _ := q.Group.InRegion("r")[0].Quality(now)
	_, warm := rk.ServiceTimes("s")
	assert.Check(t, slowdown > 0.95 && slowdown < 1.05, "%v", slowdown)
	assert.Check(t, warm > usual*95/100 && warm < usual*105/100, "%v", warm)
	assert.Check(t, rk.Choose(now, "s", &q).UnloadedLatency > 280*time.Millisecond)
	q.Remaining = 2 * usual
	assert.Check(t, rk.Choose(now, "s", &q).Upstream == nil)
	assert.Check(t, rk.Choose(now.Add(time.Second), "s", &q).Upstream != nil)
}
