package registrar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

var zones = map[string]string{"a1": "a", "b1": "b"}

func entry(id string, version uint64) registrar.Registration {
	return registrar.Registration{ID: id, Service: "s", Address: id + ":80", Zone: "a1", Slots: 4, RowVersion: sequencer.New(0, version), StartUnixMilli: 1}
}

func ids(r *registrar.Registrar) string {
	out := ""
	for _, u := range r.Group("s").Upstreams() {
		out += u.ID()
	}
	return out
}

// Guards against new requests to upstreams that are draining, removed or evacuated, and
// against rows that arrive late and revert that.
func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	var reasons []string
	r.OnLeave(func(u *registrar.Upstream, reason string) { reasons = append(reasons, u.ID()+": "+reason) })
	for _, id := range []string{"x", "y", "z"} {
		r.Put(entry(id, 1), now, true)
	}
	assert.Equal(t, ids(r), "xyz")
	draining := entry("x", 3)
	draining.Draining = true
	r.Put(draining, now, false)
	assert.Equal(t, ids(r), "yz")
	r.Put(entry("x", 2), now, false)
	assert.Equal(t, ids(r), "yz")
	r.Remove("y", sequencer.New(0, 4))
	assert.Equal(t, ids(r), "z")
	r.SetEvacuated("a1", true, now)
	assert.Equal(t, ids(r), "")
	r.SetEvacuated("a1", false, now)
	assert.Equal(t, ids(r), "z")
	assert.Equal(t, fmt.Sprint(reasons), "[x: registered as draining y: registration removed]")
}

// Guards against a restarted process under the same ID that gets the request rate of a
// warm one. It is cold until it has registered twice, or for the cold time in its row.
func TestColdAfterFailure(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	for name, c := range map[string]struct {
		act  func(r *registrar.Registrar, u *registrar.Upstream)
		when time.Duration
		cold bool
	}{
		"no failure":  {func(*registrar.Registrar, *registrar.Upstream) {}, 0, false},
		"unreachable": {func(_ *registrar.Registrar, u *registrar.Upstream) { u.RecordUnreachable(now) }, time.Second, true},
		"one loss":    {func(_ *registrar.Registrar, u *registrar.Upstream) { u.RecordConnectionLoss(now) }, 0, false},
		"two losses": {func(_ *registrar.Registrar, u *registrar.Upstream) {
			u.RecordConnectionLoss(now)
			u.RecordConnectionLoss(at(time.Second))
		}, time.Second, true},
		"two, far apart in time": {func(_ *registrar.Registrar, u *registrar.Upstream) {
			u.RecordConnectionLoss(now)
			u.RecordConnectionLoss(at(3 * time.Second))
		}, 3 * time.Second, false},
		"response in between": {func(_ *registrar.Registrar, u *registrar.Upstream) {
			u.RecordConnectionLoss(now)
			u.RecordSuccess(now, 1)
			u.RecordConnectionLoss(now)
		}, 0, false},
		"one old row after": {func(r *registrar.Registrar, u *registrar.Upstream) {
			u.RecordUnreachable(now)
			r.Put(entry("x", 2), now, false)
		}, 0, true},
		"two rows after": {func(r *registrar.Registrar, u *registrar.Upstream) {
			u.RecordUnreachable(now)
			r.Put(entry("x", 2), now, false)
			r.Put(entry("x", 3), now, false)
		}, 0, false},
		"suspicion expired": {func(_ *registrar.Registrar, u *registrar.Upstream) { u.RecordUnreachable(now) }, 4 * time.Second, false},
		"restarted, cold": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			e := entry("x", 2)
			e.StartUnixMilli, e.ColdRemaining = 2, 3*time.Second
			r.Put(e, now, false)
		}, 2 * time.Second, true},
		"cold time passed": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			e := entry("x", 2)
			e.StartUnixMilli, e.ColdRemaining = 2, 3*time.Second
			r.Put(e, now, false)
		}, 4 * time.Second, false},
		"evacuation ended": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			r.SetEvacuated("a1", true, now)
			r.SetEvacuated("a1", false, now)
		}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			r.Put(entry("x", 1), now, true)
			u := r.Group("s").Upstreams()[0]
			c.act(r, u)
			assert.Equal(t, r.Group("s").Upstreams()[0].Cold(at(c.when)), c.cold)
		})
	}
}

// Guards against a load estimate that lags: requests of this host count at once, and the
// reported requests of other hosts decay.
func TestLoadFollowsOwnRequests(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	r.Put(entry("x", 1), now, true)
	u := r.Group("s").Upstreams()[0]
	u.BeginRequest()
	u.ReportLoad(registrar.Load{Running: 4, Waiting: 2, Slots: 4}, now)
	assert.Equal(t, u.EstimatedLoad(now), 6.0)
	u.BeginRequest()
	assert.Equal(t, u.EstimatedLoad(now), 7.0)
	assert.Assert(t, u.EstimatedLoad(now.Add(time.Second)) < 4)
	u.ReportLoad(registrar.Load{}, now)
	assert.Equal(t, u.EstimatedLoad(now), 2.0)
}

// Guards against failing or slow upstreams that are still preferred, and against ones that
// are never tried again.
func TestQualityDropsAndRecovers(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	r.Put(entry("x", 1), now, true)
	u := r.Group("s").Upstreams()[0]
	for range 20 {
		u.RecordFailure(now)
		u.RecordOverdue(now, 8)
	}
	slow, bad := u.Quality(now)
	assert.Assert(t, bad > 0.9 && slow > 6, "%v %v", slow, bad)
	slow, bad = u.Quality(now.Add(10 * time.Second))
	assert.Assert(t, bad < 0.15 && slow < 2, "%v %v", slow, bad)
}

// Guards against callers that disconnect early and so make an upstream look fast.
func TestEarlyDisconnectsDoNotCount(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	r.Put(entry("x", 1), now, true)
	u := r.Group("s").Upstreams()[0]
	for range 20 {
		u.RecordOverdue(now, 0.3)
	}
	slow, _ := u.Quality(now)
	assert.Equal(t, slow, 1.0)
}

// Guards against memory use that grows with the number of objects.
func TestWarmObjectsAreBounded(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	r.Put(entry("x", 1), now, true)
	u := r.Group("s").Upstreams()[0]
	warm := 0
	for object := range uint64(10000) {
		u.MarkWarm(object+1, now)
	}
	for object := range uint64(10000) {
		if u.WarmFor(object+1, now) {
			warm++
		}
	}
	assert.Assert(t, warm > 0 && warm <= 512, "%d", warm)
}

// Guards against groups that are rebuilt for each row of a page: a host that starts with
// 3,002 upstreams sorted them 3,002 times. Groups of unchanged services are kept.
func TestBatchPublishesOnce(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	other := entry("o", 1)
	other.Service = "other"
	r.Put(other, now, true)
	r.Put(entry("x", 1), now, true)
	before, untouched := r.Group("s"), r.Group("other")
	commit, commitOuter := r.BeginBatch(), r.BeginBatch()
	r.Put(entry("y", 2), now, false)
	r.Remove("x", sequencer.New(0, 3))
	commitOuter()
	assert.Equal(t, r.Group("s"), before)
	assert.Equal(t, ids(r), "x")
	commit()
	assert.Equal(t, ids(r), "y")
	assert.Equal(t, r.Group("other"), untouched)
	r.Remove("y", sequencer.New(0, 4))
	assert.Assert(t, r.Group("s") == nil)
	assert.DeepEqual(t, r.Services(), []string{"other"})
}

// BenchmarkPut measures the first read of tables of 44, 370 and 3,002 upstreams, the sizes
// of the current sites and of the largest sweep.
func BenchmarkPut(b *testing.B) {
	for _, n := range []int{44, 370, 3002} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			for b.Loop() {
				r := registrar.New(zones)
				commit := r.BeginBatch()
				for i := range n {
					r.Put(entry(fmt.Sprint(i), uint64(i+1)), now, true)
				}
				commit()
			}
		})
	}
}

// Guards against traffic plans that keep requests in a region whose upstreams accept few.
func TestUsableSlotsFollowRateLimits(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		limits map[string]registrar.RateLimit
		want   float64
	}{
		"no limit":             {nil, 8},
		"limits below slots":   {map[string]registrar.RateLimit{"x": 5, "y": 10}, 1.5},
		"limit above slots":    {map[string]registrar.RateLimit{"x": 100}, 8},
		"one has a limit":      {map[string]registrar.RateLimit{"x": 5}, 4.5},
		"region is never zero": {map[string]registrar.RateLimit{"x": 0, "y": 0}, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			r.Put(entry("x", 1), now, true)
			r.Put(entry("y", 1), now, true)
			for _, u := range r.Group("s").Upstreams() {
				if limit, ok := c.limits[u.ID()]; ok {
					u.RecordRateLimit(limit, now)
				}
			}
			assert.Equal(t, r.Group("s").UsableSlots("a", 100*time.Millisecond, now), c.want)
		})
	}
}

// Guards against an upstream that said in a response that it is leaving and gets requests
// again before another process has its ID, and against one that gets none after that.
func TestLeavingLastsUntilProcessEnds(t *testing.T) {
	now := time.Now()
	changed := func(version uint64, change func(*registrar.Registration)) registrar.Registration {
		reg := entry("x", version)
		change(&reg)
		return reg
	}
	restarted := changed(9, func(reg *registrar.Registration) { reg.StartUnixMilli = 2 })
	for name, c := range map[string]struct {
		act  func(r *registrar.Registrar)
		want string
	}{
		"said so":          {func(*registrar.Registrar) {}, "y"},
		"registered again": {func(r *registrar.Registrar) { r.Put(entry("x", 2), now, false) }, "y"},
		"other slots": {func(r *registrar.Registrar) {
			r.Put(changed(2, func(reg *registrar.Registration) { reg.Slots = 9 }), now, false)
		}, "y"},
		"other address": {func(r *registrar.Registrar) {
			r.Put(changed(2, func(reg *registrar.Registration) { reg.Address = "z:80" }), now, false)
		}, "y"},
		"restarted":            {func(r *registrar.Registrar) { r.Put(restarted, now, false) }, "xy"},
		"removed":              {func(r *registrar.Registrar) { r.Remove("x", sequencer.New(0, 2)) }, "y"},
		"removed and back":     {func(r *registrar.Registrar) { r.Remove("x", sequencer.New(0, 2)); r.Put(entry("x", 3), now, false) }, "y"},
		"removed, restarted":   {func(r *registrar.Registrar) { r.Remove("x", sequencer.New(0, 2)); r.Put(restarted, now, false) }, "xy"},
		"late response":        {func(r *registrar.Registrar) { r.Put(restarted, now, false); r.MarkLeaving("x", 1) }, "xy"},
		"response, then entry": {func(r *registrar.Registrar) { r.MarkLeaving("z", 1); r.Put(entry("z", 2), now, false) }, "y"},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			leaving := 0
			r.OnLeave(func(_ *registrar.Upstream, reason string) {
				if reason == "said so in a response" {
					leaving++
				}
			})
			r.Put(entry("x", 1), now, true)
			r.Put(entry("y", 1), now, true)
			r.MarkLeaving("x", 1)
			r.MarkLeaving("x", 1)
			assert.Equal(t, leaving, 1)
			c.act(r)
			assert.Equal(t, ids(r), c.want)
		})
	}
}

// Guards against a registration in a restored store that is older than what is known of the
// process, and against a process that is left out because of one.
func TestRegistrationOfRestoredStoreMayBeOutdated(t *testing.T) {
	now := time.Now()
	in := func(era, number uint64, start int64, count uint64, draining bool) registrar.Registration {
		reg := entry("x", 1)
		reg.RowVersion, reg.StartUnixMilli, reg.Count, reg.Draining = sequencer.New(era, number), start, count, draining
		return reg
	}
	for name, c := range map[string]struct {
		rows []registrar.Registration // after a process that started at 5 registered as draining with count 14
		want string
	}{
		"older row":                     {[]registrar.Registration{in(2, 50, 5, 9, false)}, ""},
		"same row":                      {[]registrar.Registration{in(2, 50, 5, 14, true)}, ""},
		"later row":                     {[]registrar.Registration{in(2, 50, 5, 15, false)}, "x"},
		"older row, then a later one":   {[]registrar.Registration{in(2, 50, 5, 9, false), in(2, 61, 5, 15, false)}, "x"},
		"earlier process":               {[]registrar.Registration{in(2, 50, 4, 99, false)}, ""},
		"earlier process, then it runs": {[]registrar.Registration{in(2, 50, 4, 99, false), in(2, 61, 4, 100, false)}, "x"},
		"later process":                 {[]registrar.Registration{in(2, 50, 6, 1, false)}, "x"},
		"unknown start":                 {[]registrar.Registration{in(2, 50, 0, 9, false)}, "x"},
		"same era":                      {[]registrar.Registration{in(1, 91, 5, 9, false)}, "x"},
		"late row of the earlier era":   {[]registrar.Registration{in(2, 50, 5, 14, true), in(1, 91, 5, 15, false)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			r.Put(in(1, 90, 5, 14, true), now, true)
			for _, reg := range c.rows {
				r.Put(reg, now, false)
			}
			assert.Equal(t, ids(r), c.want)
		})
	}
}

// Guards against requests to an upstream that said it is leaving, after so many others were
// removed that not all departures are kept.
func TestLeavingIsKeptAmongManyDepartures(t *testing.T) {
	now := time.Now()
	r := registrar.New(zones)
	version := uint64(0)
	remove := func(id string) {
		version += 2
		r.Put(entry(id, version), now, false)
		if strings.HasPrefix(id, "leaving") {
			r.MarkLeaving(id, 1)
		}
		r.Remove(id, sequencer.New(0, version+1))
	}
	for i := range 10 {
		remove(fmt.Sprintf("leaving-%d", i))
	}
	for i := range 10_000 {
		remove(fmt.Sprint(i))
	}
	for i := range 10 {
		version += 2
		r.Put(entry(fmt.Sprintf("leaving-%d", i), version), now, false)
	}
	assert.Equal(t, ids(r), "")
}
