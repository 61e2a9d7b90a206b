package retrier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

var now = time.Unix(1e9, 0)

func service(t *testing.T, retry float64) *planner.Service {
	note := &noter.Note{ID: "first"}
	note.Added.Regions = []noter.Region{{Name: "este", Zones: []string{"este-a"}, Slots: 9}}
	note.Added.Upstreams = []noter.Upstream{{Name: "u", Service: "listings", Region: "este", Zone: "este-a", Address: "127.0.0.1:9000", Slots: 9, Connections: 9}}
	note.Added.Services = []noter.Service{{Name: "listings", Class: "lookup", Hedge: true, Retry: retry, Shares: map[string]int{"este": 1}, Cap: noter.Cap{Fraction: 0.1, Every: noter.Duration(time.Minute)}, Timeout: noter.Duration(time.Second)}}
	p, err := new(planner.Plan).Apply(note)
	assert.NilError(t, err)
	return p.Services()[0]
}

// Guards against a second run of an at-most-once request, and against retries
// that increase an overload.
func TestWhatIsRetried(t *testing.T) {
	later := now.Add(time.Second)
	for name, c := range map[string]struct {
		a    Attempt
		want Reason
	}{
		"lookup failed":          {Attempt{Kind: classifier.Failed, Dispatched: true}, Allowed},
		"download truncated":     {Attempt{Class: planner.Download, Kind: classifier.Truncated, Dispatched: true}, Allowed},
		"once unreachable":       {Attempt{Class: planner.AtMostOnce, Kind: classifier.Unreachable}, Allowed},
		"once failed":            {Attempt{Class: planner.AtMostOnce, Kind: classifier.Failed}, CouldRunTwice},
		"once shed, dispatched":  {Attempt{Class: planner.AtMostOnce, Kind: classifier.Shed, Dispatched: true}, CouldRunTwice},
		"response started":       {Attempt{Kind: classifier.Truncated, ResponseStarted: true}, ResponseStarted},
		"own refusal":            {Attempt{Kind: classifier.Overloaded}, NotRetryable},
		"bad request":            {Attempt{Kind: classifier.BadRequest}, NotRetryable},
		"internal":               {Attempt{Kind: classifier.Internal}, NotRetryable},
		"target sheds":           {Attempt{Kind: classifier.Shed, TargetShedding: true}, TargetShedding},
		"deadline passed":        {Attempt{Kind: classifier.Failed, Deadline: now}, DeadlinePassed},
		"fourth attempt":         {Attempt{Kind: classifier.Failed, Number: 4}, AttemptsExhausted},
		"third attempt, in time": {Attempt{Kind: classifier.Failed, Number: 3}, Allowed},
	} {
		if c.a.Deadline.IsZero() {
			c.a.Deadline = later
		}
		ok, reason := New().AllowRetry(service(t, 0.1), c.a, now)
		assert.Check(t, reason == c.want && ok == (c.want == Allowed), "%s: %v", name, reason)
	}
}

// Guards against a retry storm: with every attempt failing, extra attempts stay
// within the budget, which hedges share.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct{ retry, most float64 }{
		"a tenth": {0.1, maxSavedAttempts + minExtraPerSecond*10 + 0.1*10000},
		"none":    {0, 0},
	} {
		r, s, extra := New(), service(t, c.retry), 0.0
		for i := range 10000 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			a := Attempt{Kind: classifier.Failed, Deadline: at.Add(time.Second)}
			r.CountRequest(s, at)
			for a.Number = 1; a.Number < 4; a.Number++ {
				if ok, _ := r.AllowRetry(s, a, at); ok {
					extra++
				}
				if ok, _ := r.AllowHedge(s, a, at); ok {
					extra++
				}
			}
		}
		t.Logf("%s: %v extra attempts for 10000 requests that all fail", name, extra)
		assert.Check(t, extra <= c.most && extra >= c.most*0.9, name)
	}
}

// Guards against hedges that come too early, from old latencies, or for a class
// that must not run twice.
func TestHedgeAfterP95(t *testing.T) {
	r, s := New(), service(t, 0.1)
	_, ok := r.HedgeDelay(s, planner.Idempotent, now)
	assert.Assert(t, !ok, "no latency is known")
	for i := range 1000 {
		r.ObserveLatency(s, time.Duration(i%100+1)*time.Millisecond, now.Add(time.Duration(i)*2*time.Millisecond))
	}
	after, ok := r.HedgeDelay(s, planner.Idempotent, now)
	assert.Assert(t, ok && after > 93*time.Millisecond && after < 97*time.Millisecond, "%v", after)
	for i := range 30 {
		r.ObserveLatency(s, time.Millisecond, now.Add(time.Duration(20+i)*time.Second))
	}
	_, ok = r.HedgeDelay(s, planner.Idempotent, now)
	assert.Assert(t, !ok, "too few latencies are recent")
	for i := range 1000 {
		r.ObserveLatency(s, time.Millisecond, now.Add(50*time.Second+time.Duration(i)*2*time.Millisecond))
	}
	after, ok = r.HedgeDelay(s, planner.Idempotent, now)
	assert.Assert(t, ok && after < 2*time.Millisecond, "%v", after)
	for _, c := range []planner.Class{planner.Download, planner.AtMostOnce} {
		_, ok = r.HedgeDelay(s, c, now)
		ran, _ := r.AllowHedge(s, Attempt{Class: c, Deadline: now.Add(time.Second)}, now)
		assert.Assert(t, !ok && !ran)
	}
}
