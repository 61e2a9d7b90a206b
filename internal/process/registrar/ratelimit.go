package registrar

import "time"

// RateLimit is the rate of requests, in requests per second, that an upstream accepts from
// all hosts together.
type RateLimit float64

// responsesToEndRateLimit is the number of responses without a rate limit after which an
// upstream counts as having none.
const responsesToEndRateLimit = 2

// minRateLimit is the rate, in requests per second of all hosts together, at which an
// upstream is sent requests even if it states a lower limit. Only a response shows that
// the limit has ended.
const minRateLimit = 0.25

// maxRequestInterval bounds the time between two requests of a host to an upstream.
const maxRequestInterval = 10 * time.Minute

const (
	// sparseInterval is the time between two requests of a host above which its rate is
	// reduced by sparseFactor. The requests of many hosts that each send one now and then
	// are not evenly spaced, so their number in a few seconds may exceed the mean by far.
	sparseInterval = 4 * time.Second
	sparseFactor   = 0.6
)

// rateLimit is the rate limit that an upstream states in its responses.
type rateLimit struct {
	perSecond   RateLimit
	statedAt    time.Time // time of the last response that stated it, zero without a limit
	without     int       // responses since then that did not state it
	lastRequest time.Time // of this host, zero before the first
}

// Share is the part of the rate limit of an upstream that one host may use.
type Share struct {
	Fraction float64 // of the limit
	// Phase, from 0 to 1, is the position of the first request within the interval between
	// two requests. Hosts with different phases do not send at the same time.
	Phase float64
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

// RateLimited reports whether the upstream has a rate limit.
func (u *Upstream) RateLimited() bool {
	_, ok := u.RateLimit()
	return ok
}

// RateLimitWait returns how long a host with the given share has to wait until it may send
// the upstream a request. It is 0 without a rate limit.
func (u *Upstream) RateLimitWait(now time.Time, s Share) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.wait(now, s)
}

// AdmitRateLimited reports whether a host with the given share may send the upstream a
// request at now, and counts the request if so. Requests are evenly spaced, so over any
// span all hosts together send at most the sum of their rates and one request each.
func (u *Upstream) AdmitRateLimited(now time.Time, s Share) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit.wait(now, s) > 0 {
		return false
	}
	u.limit.lastRequest = now
	return true
}

// wait returns the time until the next request of a host, which is 0 without a limit. The
// first call after the limit was stated determines the time of the host's first request.
func (l *rateLimit) wait(now time.Time, s Share) time.Duration {
	if l.statedAt.IsZero() {
		return 0
	}
	interval := requestInterval(s.Fraction * max(float64(l.perSecond), minRateLimit))
	if l.lastRequest.IsZero() {
		l.lastRequest = now.Add(-time.Duration((1 - s.Phase) * float64(interval)))
	}
	return max(0, interval-now.Sub(l.lastRequest))
}

// requestInterval returns the time between two requests of a host that may send perSecond
// requests per second.
func requestInterval(perSecond float64) time.Duration {
	interval := time.Duration(min(float64(time.Second)/perSecond, float64(maxRequestInterval)))
	if interval > sparseInterval {
		interval = time.Duration(float64(interval) / sparseFactor)
	}
	return interval
}
