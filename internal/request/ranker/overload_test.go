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

// Answers a burst while a third of the upstreams is gone. Guards against objects that spread to
// upstreams which look idle because the host has not heard from them, which keeps the service
// overloaded after the burst, and against a request that no upstream may take because the one that
// ranks first for its object has failed it.
func TestObjectsStayInOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		load   registrar.Load // reported by the other upstreams of the region
		failed bool           // the request has failed at the upstream that ranks first
		rank   int            // of the chosen upstream
	}{
		"idle, first failed":              {load: registrar.Load{Running: 1, Slots: 4, SlownessPercent: 100}, failed: true, rank: 1},
		"overload":                        {load: registrar.Load{Running: 4, Waiting: 2, Slots: 4, SlownessPercent: 100}},
		"overload, first failed":          {load: registrar.Load{Running: 4, Waiting: 2, Slots: 4, SlownessPercent: 100}, failed: true, rank: 1},
		"no speed reported, first failed": {load: registrar.Load{Running: 4, Waiting: 2, Slots: 4}, failed: true, rank: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(map[string]string{"z": "r"})
			for i := range 40 {
				r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", i), Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
			}
			rk, all := ranker.New("r"), r.Group("s").Upstreams()
			for i := range 20 {
				all[i].ReportLoad(c.load, now.Add(time.Duration(i-40)*100*time.Millisecond))
			}
			spread := 0
			for object := range uint64(200) {
				q := ranker.Query{
					Group: r.Group("s"), Regions: []string{"r"}, Weights: []float64{1}, Object: (object + 1) * 0x9e3779b97f4a7c15,
					Remaining: 10 * time.Second, LatencyTarget: 5 * time.Second,
				}
				first := rk.Choose(now, "s", &q)
				if c.failed {
					q.Tried = []*registrar.Upstream{first.Upstream}
				}
				got := rk.Choose(now, "s", &q)
				assert.Assert(t, got.Upstream != nil, "%+v", got)
				if got.Rank != c.rank {
					spread++
				}
			}
			assert.Assert(t, spread <= 20, "%d of 200 objects", spread)
		})
	}
}
