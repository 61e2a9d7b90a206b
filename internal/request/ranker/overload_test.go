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
	idle, overload := registrar.Load{Running: 1, Slots: 4, SlownessPercent: 100}, registrar.Load{Running: 4, Waiting: 3, Slots: 4, SlownessPercent: 100}
	for name, c := range map[string]struct {
		load   registrar.Load // reported by other upstreams of the region
		failed bool           // the request has failed at the upstream that ranks first, which is busy otherwise
		rank   int            // of the chosen upstream
	}{
		"idle, first busy":       {idle, false, 1},
		"idle, first failed":     {idle, true, 1},
		"overload, first busy":   {overload, false, 0},
		"overload, first failed": {overload, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for object := range uint64(50) {
				r := registrar.New(map[string]string{"z": "r"})
				for i := range 100 {
					r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", i), Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
				}
				rk := ranker.New("r")
				q := ranker.Query{
					Group: r.Group("s"), Regions: []string{"r"}, Weights: []float64{1}, Object: (object + 1) * 0x9e3779b97f4a7c15,
					Remaining: 10 * time.Second, LatencyTarget: 5 * time.Second,
				}
				first := rk.Choose(now, "s", &q).Upstream
				for i, u := range r.Group("s").Upstreams()[:20] {
					u.ReportLoad(c.load, now.Add(time.Duration(i-20)*100*time.Millisecond))
				}
				if c.failed {
					q.Tried = []*registrar.Upstream{first}
				} else {
					first.ReportLoad(registrar.Load{Running: 4, Waiting: 12, Slots: 4, SlownessPercent: 100}, now)
				}
				got := rk.Choose(now, "s", &q)
				assert.Assert(t, got.Upstream != nil, "%+v", got)
				assert.Equal(t, got.Rank, c.rank, "%+v", got)
			}
		})
	}
}
