package ranker_test

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
)

// randomState gives an upstream that reports three figures a random state.
func randomState(u *registrar.Upstream, rng *rand.Rand, now time.Time) {
	at := now.Add(-time.Duration(rng.IntN(2000)) * time.Millisecond)
	for range rng.IntN(6) {
		u.BeginRequest()
	}
	switch rng.IntN(9) {
	case 0:
		u.RecordFailure(at)
	case 1:
		u.RecordUnreachable(at)
	case 2:
		u.RecordShed(at, false)
	case 3:
		u.RecordRateLimit(registrar.RateLimit(rng.IntN(20)), at)
	default:
		u.RecordSuccess(at, 4*rng.Float64())
		u.ReportLoad(registrar.Load{Running: rng.IntN(5), Waiting: rng.IntN(8), Slots: 4}, at)
	}
	for object := range uint64(4) {
		if rng.IntN(2) == 0 {
			u.MarkWarm(object+1, at)
		}
	}
}

// Guards against a build that chooses other upstreams than earlier builds: hosts of both
// builds serve together, and objects would be in the caches of the wrong upstreams. The
// checksums are those of the choices of build ef1f68e.
func TestChoicesEqualThoseOfEarlierBuilds(t *testing.T) {
	for name, c := range map[string]struct {
		upstreams, slotCounts int
		want                  uint64
	}{
		"few":              {9, 1, 8504614276169473750},
		"equal slots":      {120, 1, 1121965819580254398},
		"many":             {2400, 1, 11236938574570736042},
		"different slots":  {90, 5, 15776049853079395019},
		"many, two kinds":  {1200, 2, 6435946447750542473},
		"one for a region": {3, 2, 11851720401709227691},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, checksumOfChoices(c.upstreams, c.slotCounts), c.want)
		})
	}
}

// checksumOfChoices returns a checksum of 3000 queries with up to 6 attempts each.
func checksumOfChoices(upstreams, slotCounts int) uint64 {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(uint64(upstreams), 7))
	r := registrar.New(map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"})
	commit := r.BeginBatch()
	for u := range upstreams {
		r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", u), Service: "s", Zone: fmt.Sprintf("z%d", u%3), Slots: 4 + u%slotCounts, RowVersion: sequencer.New(0, 1)}, now, true)
	}
	commit()
	for _, u := range r.Group("s").Upstreams() {
		randomState(u, rng, now)
	}
	rk, sum := ranker.New("r0"), fnv.New64a()
	rk.ObserveRTT("r1", 5*time.Millisecond)
	for i := range 3000 {
		q := ranker.Query{
			Group: r.Group("s"), Regions: []string{"r0", "r1", "r2"}, Weights: []float64{rng.Float64(), rng.Float64() - 0.2, rng.Float64()},
			Remaining: time.Duration(rng.IntN(1500)) * time.Millisecond, LatencyTarget: time.Second,
			ColdRate: func(u *registrar.Upstream) float64 { return float64(u.Hash()%3) * 1e-9 },
		}
		q.Object, q.RandomKey = rng.Uint64N(4)+1, rng.Uint64()
		if i%2 == 0 {
			q.Object = rng.Uint64() * uint64(rng.IntN(2))
		}
		addChoices(sum, rk, now, &q)
	}
	return sum.Sum64()
}

func addChoices(sum hash.Hash64, rk *ranker.Ranker, now time.Time, q *ranker.Query) {
	for range 6 {
		c := rk.Choose(now, "s", q)
		if c.Upstream == nil {
			_, _ = fmt.Fprintln(sum, c.UntilCapacity, c.EarliestResponse, c.Excluded)
			return
		}
		_, _ = fmt.Fprintln(sum, c.Upstream.ID(), c.QueueWait, c.UnloadedLatency, c.Rank, c.Warm, c.Planned, c.Load)
		q.Tried = append(q.Tried, c.Upstream)
	}
}
