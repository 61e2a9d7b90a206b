package ranker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
)

// Answers a burst on a service whose upstreams each host hears from every few seconds only. Guards
// against hosts that take such upstreams for idle and let their queues grow, and against a mean
// load that counts after it is out of date or where upstreams don't report their speed.
func TestMeanLoadOfRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		load    registrar.Load // reported by other upstreams of the region
		failed  bool           // the request has failed at the upstream that ranks first
		after   time.Duration
		refused bool
	}{
		"idle":                   {load: registrar.Load{Running: 1, Slots: 4, SlownessPercent: 100}},
		"long queues":            {load: registrar.Load{Running: 4, Waiting: 20, Slots: 4, SlownessPercent: 100}, refused: true},
		"long queues, later":     {load: registrar.Load{Running: 4, Waiting: 20, Slots: 4, SlownessPercent: 100}, after: 10 * time.Second},
		"speed not reported":     {load: registrar.Load{Running: 4, Waiting: 20, Slots: 4}},
		"busy, the first failed": {load: registrar.Load{Running: 4, Slots: 4, SlownessPercent: 100}, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(map[string]string{"z": "r"})
			for i := range 12 {
				r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", i), Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
			}
			rk, group := ranker.New("r"), r.Group("s")
			q := ranker.Query{Group: group, Regions: []string{"r"}, Weights: []float64{1}, Object: 7, Remaining: 3 * time.Second, LatencyTarget: 400 * time.Millisecond}
			first := rk.Choose(now, "s", &q).Upstream
			for _, u := range group.Upstreams() {
				rk.ObserveLoad(now, u, c.load)
			}
			if c.failed {
				q.Tried = []*registrar.Upstream{first}
			}
			got := rk.Choose(now.Add(c.after), "s", &q)
			assert.Equal(t, got.Upstream == nil, c.refused, "%+v", got)
			assert.Equal(t, got.Excluded.QueueTooLong > 0, c.refused, "%+v", got)
		})
	}
}
