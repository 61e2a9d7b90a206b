package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
)

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
			got, ok := r.Group("s").Upstreams()[0].RateLimit()
			assert.Equal(t, got, c.want)
			assert.Equal(t, ok, c.want > 0)
		})
	}
}
