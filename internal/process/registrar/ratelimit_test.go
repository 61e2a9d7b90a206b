package registrar_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

// Guards against hosts that do not learn a rate limit from each other, and against old or
// invalid news that overrides what a host knows.
func TestRateLimitSpreads(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	stated := func(upstream string, process int64, perSecond registrar.RateLimit, second int) []registrar.StatedRateLimit {
		return []registrar.StatedRateLimit{{Upstream: upstream, StartUnixMilli: process, PerSecond: perSecond, StatedAt: at(second)}}
	}
	for name, c := range map[string]struct {
		act  func(u *registrar.Upstream) // before the news
		news []registrar.StatedRateLimit
		now  int
		want registrar.RateLimit // 0 for none
	}{
		"new":              {nil, stated("x", 1, 6, 9), 10, 6},
		"newer":            {func(u *registrar.Upstream) { u.RecordRateLimit(9, at(8)) }, stated("x", 1, 6, 9), 10, 6},
		"older":            {func(u *registrar.Upstream) { u.RecordRateLimit(9, at(9)) }, stated("x", 1, 6, 8), 10, 9},
		"expired":          {nil, stated("x", 1, 6, 9), 30, 0},
		"own, not expired": {func(u *registrar.Upstream) { u.RecordRateLimit(9, at(8)) }, stated("x", 1, 6, 9), 30, 6},
		"old news":         {nil, stated("x", 1, 6, -15), 10, 0},
		"earlier process":  {nil, stated("x", 0, 6, 9), 10, 0},
		"unknown upstream": {nil, stated("y", 1, 6, 9), 10, 0},
		"not a number":     {nil, stated("x", 1, registrar.RateLimit(math.NaN()), 9), 10, 0},
		"negative":         {nil, stated("x", 1, -6, 9), 10, 0},
		"ended since": {func(u *registrar.Upstream) {
			u.RecordRateLimit(9, at(1))
			u.RecordNoRateLimit(at(9))
			u.RecordNoRateLimit(at(9))
		}, stated("x", 1, 6, 8), 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			r.Put(entry("x", 1), start, true)
			u := r.Group("s").Upstreams()[0]
			if c.act != nil {
				c.act(u)
			}
			r.MergeRateLimits(c.news, at(10))
			assert.Equal(t, u.RateLimit(at(c.now)), c.want)
			assert.Equal(t, u.RateLimited(at(c.now)), c.want > 0)
			assert.Equal(t, len(r.RateLimits(at(c.now), 1, 1)) == 1, c.want > 0)
			assert.Equal(t, len(r.ExpireRateLimits(at(c.now))) == 1, name == "expired")
			assert.Equal(t, len(r.ExpireRateLimits(at(c.now))), 0)
		})
	}
}

// Guards against messages between hosts that grow with the number of rate limits, and
// against limits that are left out of all of them.
func TestRateLimitsInMessagesAreBounded(t *testing.T) {
	const upstreams, maxNews, maxConfirmed = 40, 7, 3
	now := time.Now()
	r := registrar.New(zones)
	for i := range upstreams {
		r.Put(entry(fmt.Sprint("x", i), 1), now, true)
	}
	for _, u := range r.Group("s").Upstreams() {
		u.RecordRateLimit(5, now)
	}
	sent := make(map[string]int)
	for range 200 {
		limits := r.RateLimits(now, maxNews, maxConfirmed)
		assert.Assert(t, len(limits) <= maxNews)
		for _, l := range limits {
			sent[l.Upstream]++
		}
	}
	assert.Equal(t, len(sent), upstreams)
	assert.Equal(t, len(r.RateLimits(now, maxNews, maxConfirmed)), maxConfirmed)
	u := r.Group("s").Upstreams()[0]
	u.RecordRateLimit(2, now)
	assert.Equal(t, r.RateLimits(now, maxNews, maxConfirmed)[0].Upstream, u.ID())
}

// Guards against a rate limit that is lost while the upstream still states it, or that
// outlives its end or its process.
func TestRateLimitFollowsResponses(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, c := range map[string]struct {
		act  func(r *registrar.Registrar, u *registrar.Upstream)
		want registrar.RateLimit // 0 for none
	}{
		"stated":      {func(*registrar.Registrar, *registrar.Upstream) {}, 6},
		"stated anew": {func(_ *registrar.Registrar, u *registrar.Upstream) { u.RecordRateLimit(9, at(2)) }, 9},
		"older request": {func(_ *registrar.Registrar, u *registrar.Upstream) {
			u.RecordNoRateLimit(at(0))
			u.RecordNoRateLimit(at(1))
		}, 6},
		"one response": {func(_ *registrar.Registrar, u *registrar.Upstream) { u.RecordNoRateLimit(at(2)) }, 6},
		"two responses": {func(_ *registrar.Registrar, u *registrar.Upstream) {
			u.RecordNoRateLimit(at(2))
			u.RecordNoRateLimit(at(2))
		}, 0},
		"two responses, limit between": {func(_ *registrar.Registrar, u *registrar.Upstream) {
			u.RecordNoRateLimit(at(2))
			u.RecordRateLimit(6, at(2))
			u.RecordNoRateLimit(at(3))
		}, 6},
		"restart": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			again := entry("x", 2)
			again.StartUnixMilli = 2
			r.Put(again, at(2), false)
		}, 0},
		"restart, new address": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			again := entry("x", 2)
			again.StartUnixMilli, again.Address = 2, "y:80"
			r.Put(again, at(2), false)
		}, 0},
		"removed and registered again": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			r.Remove("x", sequencer.New(0, 2))
			r.Put(entry("x", 3), at(2), false)
		}, 6},
		"removed and restarted": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			r.Remove("x", sequencer.New(0, 2))
			again := entry("x", 3)
			again.StartUnixMilli = 2
			r.Put(again, at(2), false)
		}, 0},
		"new address": {func(r *registrar.Registrar, _ *registrar.Upstream) {
			moved := entry("x", 2)
			moved.Address = "y:80"
			r.Put(moved, at(2), false)
		}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			r.Put(entry("x", 1), start, true)
			u := r.Group("s").Upstreams()[0]
			assert.Assert(t, u.RecordRateLimit(6, at(1)))
			c.act(r, u)
			now := at(3)
			assert.Equal(t, r.Group("s").Upstreams()[0].RateLimit(now), c.want)
			assert.Equal(t, r.Group("s").Upstreams()[0].RateLimited(now), c.want > 0)
		})
	}
}
