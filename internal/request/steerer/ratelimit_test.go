package steerer_test

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// respondLimited returns a handler that responds to requests and states a rate limit.
func respondLimited(u *upstream, limit string) http.HandlerFunc {
	respond := respondOK(u)
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", limit)
		respond(w, r)
	}
}

// Guards against a rate limit in a response that is ignored, that keeps requests from an
// upstream without one, or that makes callers wait for a refusal. With a limit of 0 an
// upstream gets the second request at once and the third one seconds later.
func TestRateLimitMovesRequests(t *testing.T) {
	for name, c := range map[string]struct {
		setHandlers        func(first, second *upstream)
		served             int // of five requests
		first              int64
		changed, malformed int // log lines
	}{
		"no limit":  {func(_, _ *upstream) {}, 5, 5, 0, 0},
		"one limit": {func(first, _ *upstream) { first.handle = respondLimited(first, "0") }, 5, 2, 1, 0},
		"both limited": {func(first, second *upstream) {
			first.handle, second.handle = respondLimited(first, "0"), respondLimited(second, "0")
		}, 4, 2, 2, 0},
		"high limit": {func(first, _ *upstream) { first.handle = respondLimited(first, "1e9") }, 5, 5, 1, 0},
		"malformed":  {func(first, _ *upstream) { first.handle = respondLimited(first, "x") }, 5, 5, 0, 5},
		"refusal with limit": {func(first, _ *upstream) {
			first.handle = respondLimited(first, "0")
			refuse := respondStatus(first, http.StatusServiceUnavailable, "Not-Run")
			limited := first.handle
			first.handle = func(w http.ResponseWriter, r *http.Request) {
				if first.received.Load() == 1 {
					w.Header().Set("Limit", "0")
					refuse(w, r)
					return
				}
				limited(w, r)
			}
		}, 5, 0, 1, 0}, // an upstream that refused a request is avoided for a while
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, c.setHandlers)
			served := 0
			for range 5 {
				r, _, err := g.send("GET", "/look/1")
				assert.NilError(t, err)
				if r.StatusCode == http.StatusOK {
					served++
					continue
				}
				assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
				retryAfter, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, retryAfter >= 1, "%v s", retryAfter)
			}
			assert.Equal(t, served, c.served)
			assert.Equal(t, g.first.ran.Load(), c.first)
			assert.Equal(t, g.log.count(logger.RateLimitChanged), c.changed)
			assert.Equal(t, g.log.count(logger.RateLimitInvalid), c.malformed)
		})
	}
}
