package admitter

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/lender"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func load(t testing.TB) *planner.Plan {
	t.Helper()
	f, err := os.Open("../../../examples/sakdiphong/first.json")
	assert.NilError(t, err)
	n, err := noter.Read(f)
	assert.NilError(t, errors.Join(err, f.Close()))
	p, err := new(planner.Plan).Apply(n)
	assert.NilError(t, err)
	return p
}

func rights(p *planner.Plan, s allotter.Set, until time.Time, loans ...lender.Held) allotter.Rights {
	r := allotter.Rights{Regions: make(map[string]allotter.Right), Loans: loans}
	for _, region := range p.Regions() {
		r.Regions[region.Name()] = allotter.Right{Shares: s, Until: until}
	}
	return r
}

func first(p *planner.Plan, service string) *planner.Upstream {
	return p.Service(service).Upstreams()[0]
}

// Guards against more requests in flight than units while many goroutines take
// units and rights shrink. Once Used has said that all fits into fewer shares,
// those may go to another host, so the count must stay below.
func TestConcurrentTakesStayInside(t *testing.T) {
	p, until := load(t), time.Now().Add(time.Hour)
	a, few, region := New(8), allotter.Of(0, 1, 2), p.Regions()[0]
	ups := p.Service("catalog").UpstreamsIn(0)
	var bound, flight, over, granted atomic.Int64
	var stop atomic.Bool
	take := func(i int) {
		ticket, ok := a.Try(time.Now(), ups[i%len(ups)], planner.Idempotent, until.Add(-time.Minute))
		if !ok {
			return
		}
		granted.Add(1)
		if flight.Add(1) > bound.Load() {
			over.Add(1)
		}
		flight.Add(-1)
		ticket.Release()
	}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := g; !stop.Load(); i++ {
				take(i)
			}
		})
	}
	for range 300 {
		bound.Store(1 << 30)
		a.Install(p, rights(p, allotter.All, until))
		a.Install(p, rights(p, few, until))
		for a.Used(region.Name(), few) != 0 {
			time.Sleep(10 * time.Microsecond)
		}
		bound.Store(allotter.Slots(region.Slots(), 0).In(few))
		time.Sleep(100 * time.Microsecond)
	}
	stop.Store(true)
	wg.Wait()
	assert.Equal(t, over.Load(), int64(0))
	assert.Assert(t, granted.Load() > 1000)
	assert.Assert(t, !slices.ContainsFunc(a.Figures(), func(f allotter.Figure) bool { return f.Used != 0 }))
}

// Guards against a unit taken under a table that was replaced before the unit
// was counted: Used has already said that the shares can go. Without the second
// look at the table the unit would be granted, as take shows.
func TestTakeUnderReplacedTable(t *testing.T) {
	p, until := load(t), time.Now().Add(time.Hour)
	a := New(8)
	u := first(p, "catalog")
	a.Install(p, rights(p, allotter.All, until))
	old := a.table.Load()
	a.Install(p, rights(p, 0, until))
	assert.Equal(t, a.Used(u.Region().Name(), 0), allotter.Set(0))
	_, ok, again := a.attempt(old, u, planner.Idempotent, until.Add(-time.Minute))
	assert.Assert(t, !ok && again)
	assert.Equal(t, a.InFlight(u), 0)
	_, ok = old.find(u).level.take(planner.Idempotent, until.Add(-time.Minute))
	assert.Assert(t, ok)
}

// Guards against work that outlasts its right, against borrowed units used for
// longer than their loan, and against a unit of one limit kept when the other
// limit refuses.
func TestTryRespectsRights(t *testing.T) {
	p, now := load(t), time.Now()
	u := first(p, "orderbook")
	until := now.Add(time.Minute)
	a := New(8)
	try := func(d time.Duration) bool {
		_, ok := a.Try(now, u, planner.AtMostOnce, now.Add(d))
		return ok
	}
	assert.Assert(t, !try(time.Second), "no rights")
	a.Install(p, rights(p, allotter.All, until))
	assert.Assert(t, !try(time.Minute) && !try(-time.Second) && try(time.Minute-1))
	assert.Equal(t, a.Free(u), u.Slots()-1)

	// No own units, two loans of the upstream and one long one of the region.
	a = New(8)
	own := allotter.Rights{Loans: []lender.Held{
		{Limit: allotter.UpstreamLimit(u.Name()), Units: 2, Until: now.Add(10 * time.Second)},
		{Limit: allotter.UpstreamLimit(u.Name()), Units: 1, Until: now.Add(20 * time.Second)},
		{Limit: allotter.RegionLimit(u.Region().Name()), Units: 2, Until: now.Add(30 * time.Second)},
	}}
	a.Install(p, own)
	assert.Assert(t, !try(20*time.Second) && try(19*time.Second) && !try(15*time.Second) && try(9*time.Second))
	assert.Assert(t, !try(time.Second), "the region has no more units")
	assert.Equal(t, a.InFlight(u), 2)
	own.Loans = nil
	a.Install(p, own)
	assert.Equal(t, a.Free(u), 0)
	assert.Equal(t, a.InFlight(u), 2)
}

// Guards against long requests that keep look-ups of a region out, and against
// lending the units that look-ups need.
func TestReserveForLookups(t *testing.T) {
	p, now := load(t), time.Now()
	a := New(8)
	until := now.Add(time.Hour)
	a.Install(p, rights(p, allotter.Of(0, 1, 2, 3, 4, 5), until))
	region := p.Regions()[0]
	limit := allotter.RegionLimit(region.Name())
	for _, s := range []string{"orderbook", "docvault"} {
		for _, u := range p.Service(s).UpstreamsIn(0) {
			for range u.Slots() {
				a.Try(now, u, u.Service().Class(), now.Add(time.Minute))
			}
		}
	}
	lent := a.Idle(limit)
	assert.Assert(t, lent == 0 || a.Lend(limit, lent))
	assert.Assert(t, !a.Lend(limit, 1))
	n := 0
	for _, u := range p.Service("catalog").UpstreamsIn(0) {
		for range u.Slots() {
			if _, ok := a.Try(now, u, planner.Idempotent, now.Add(time.Minute)); ok {
				n++
			}
		}
	}
	units := allotter.Slots(region.Slots(), 0).In(allotter.Of(0, 1, 2, 3, 4, 5))
	assert.Equal(t, int64(n), units/8)
	assert.Equal(t, a.Tightest(first(p, "catalog")).Name, limit)
	a.Regain(limit, 0)
	assert.Equal(t, a.Used(region.Name(), allotter.Of(0)), allotter.All)
}

// Guards against waiters that are served out of order, never, or past their
// deadline, and against queues without a bound.
func TestWait(t *testing.T) {
	p := load(t)
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, u := p.Service("catalog"), first(p, "catalog")
		a := New(3)
		a.Install(p, allotter.Rights{Loans: []lender.Held{
			{Limit: allotter.UpstreamLimit(u.Name()), Units: 1, Until: now.Add(time.Hour)},
			{Limit: allotter.RegionLimit(u.Region().Name()), Units: 1, Until: now.Add(time.Hour)},
		}})
		ticket, ok := a.Try(now, u, planner.Idempotent, now.Add(time.Minute))
		assert.Assert(t, ok)
		a.Observe(s, planner.Idempotent, 500*time.Millisecond)
		order := make(chan int, 8)
		for _, seconds := range []int{30, 10, 2} {
			go func() {
				err := a.Wait(context.Background(), s, planner.Idempotent, now.Add(time.Duration(seconds)*time.Second))
				if err != nil {
					assert.Check(t, classifier.Of(err) == classifier.Expired)
					seconds = -seconds
				}
				order <- seconds
			}()
			synctest.Wait()
		}
		assert.Equal(t, a.Queued(s, planner.Idempotent), 3)
		assert.Equal(t, a.Delay(s, planner.Idempotent), 1500*time.Millisecond)
		wait := func(d time.Duration) classifier.Kind {
			from := time.Now()
			err := a.Wait(context.Background(), s, planner.Idempotent, from.Add(d))
			assert.Assert(t, err != nil && time.Since(from) == 0)
			return classifier.Of(err)
		}
		assert.Equal(t, wait(time.Second), classifier.Overloaded, "expected wait")
		assert.Equal(t, wait(time.Minute), classifier.Overloaded, "queue full")
		assert.Equal(t, wait(0), classifier.Expired)
		assert.Equal(t, <-order, -2)
		for _, want := range []int{10, 30} {
			ticket.Release()
			assert.Equal(t, <-order, want)
			ticket, ok = a.Try(time.Now(), u, planner.Idempotent, now.Add(time.Minute))
			assert.Assert(t, ok)
		}
		// A unit that comes without a Release is found as well.
		go func() {
			assert.Check(t, a.Wait(context.Background(), s, planner.Idempotent, now.Add(time.Minute)) == nil)
			order <- 0
		}()
		synctest.Wait()
		a.Install(p, rights(p, allotter.All, now.Add(time.Hour)))
		from := time.Now()
		<-order
		assert.Assert(t, time.Since(from) <= recheck)
		assert.Equal(t, a.Queued(s, planner.Idempotent), 0)
	})
}

func BenchmarkTry(b *testing.B) {
	p := load(b)
	a := New(8)
	now := time.Now()
	a.Install(p, rights(p, allotter.All, now.Add(time.Hour)))
	ups, deadline := p.Service("catalog").Upstreams(), now.Add(time.Minute)
	try := func(u *planner.Upstream) {
		if ticket, ok := a.Try(now, u, planner.Idempotent, deadline); ok {
			ticket.Release()
		}
	}
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			try(ups[0])
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i++ {
				try(ups[i%len(ups)])
			}
		})
	})
}
