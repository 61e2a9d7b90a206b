package registrar

import "time"

// RateLimit is the rate of requests, in requests per second, that an upstream accepts from
// all hosts together.
type RateLimit float64

// responsesToEndRateLimit is the number of responses without a rate limit after which an
// upstream counts as having none.
const responsesToEndRateLimit = 2

// rateLimit is the rate limit that an upstream states in its responses.
type rateLimit struct {
	perSecond RateLimit
	statedAt  time.Time // time of the last response that stated it, zero without a limit
	without   int       // responses since then that did not state it
}

// RecordRateLimit records that a response of the upstream stated a rate limit. It reports
// whether the upstream had none before.
func (u *Upstream) RecordRateLimit(perSecond RateLimit, now time.Time) (began bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	began = u.limit.statedAt.IsZero()
	u.limit.perSecond, u.limit.statedAt, u.limit.without = perSecond, now, 0
	return began
}

// RecordNoRateLimit records that a response to a request sent at the given time stated no
// rate limit. It reports whether that ended the rate limit of the upstream. A response to a
// request sent before the limit was last stated may be older than the limit, and does not
// count.
func (u *Upstream) RecordNoRateLimit(sent time.Time) (ended bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit.statedAt.IsZero() || !sent.After(u.limit.statedAt) {
		return false
	}
	if u.limit.without++; u.limit.without < responsesToEndRateLimit {
		return false
	}
	u.limit = rateLimit{}
	return true
}

// RateLimit returns the rate limit of the upstream. ok is false if it has none.
func (u *Upstream) RateLimit() (perSecond RateLimit, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.perSecond, !u.limit.statedAt.IsZero()
}
