package registrar

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// RateLimit is the rate of requests, in requests per second, that an upstream accepts from
// all hosts together.
type RateLimit float64

const (
	// responsesToEndRateLimit is the number of responses without a rate limit after which
	// an upstream counts as having none.
	responsesToEndRateLimit = 2
	// learnedRateLimitTTL is how long a rate limit that this host only knows from other
	// hosts counts without being stated anew. Each message between hosts confirms only some
	// of the known limits.
	learnedRateLimitTTL = 20 * time.Second
	// maxStatementDrift is the difference up to which two statements count as the same. The
	// time that a message between hosts takes makes the statements in it seem later.
	maxStatementDrift = 500 * time.Millisecond
	// endConfirmationTime and unconfirmedTime bound the time between two requests after a
	// first response without the limit, and while no host knows of a response with it, so
	// that a host with few requests also notices the end.
	endConfirmationTime = time.Second
	unconfirmedTime     = 5 * time.Second
	// minRateLimitChange is the change of a limit, as a fraction, that is news for other
	// hosts. Smaller ones spread with the next confirmation.
	minRateLimitChange = 0.2
	// newsTransmissions is the number of messages in which a host sends news. It exceeds
	// log2 of the number of hosts, so that news reaches all of them.
	newsTransmissions = 14
	// minRateLimit is the rate, in requests per second of all hosts together, at which an
	// upstream is sent requests even if it states a lower limit. Only a response shows
	// that the limit has ended.
	minRateLimit = 0.25
	// maxRequestInterval bounds the time between two requests of a host to an upstream.
	maxRequestInterval = 10 * time.Minute
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
	own         bool      // a response to this host stated it
	without     int       // responses to this host since statedAt that did not state it
	endedAt     time.Time // time of the request whose response ended the previous limit
	lastRequest time.Time // of this host, zero before the first
	news        RateLimit // the limit that was last news
	sent        int       // messages to other hosts since then
}

// set records a statement of the limit.
func (l *rateLimit) set(perSecond RateLimit, statedAt time.Time) {
	if l.statedAt.IsZero() || math.Abs(float64(perSecond-l.news)) > minRateLimitChange*float64(l.news) {
		l.news, l.sent = perSecond, 0
	}
	l.perSecond, l.statedAt, l.without = perSecond, statedAt, 0
}

// RateShare is the part of the rate limit of an upstream that one host may use.
type RateShare struct {
	Fraction float64 // of the limit
	// Phase, from 0 to 1, is the position of the first request within the interval between
	// two requests. Hosts with different phases do not send at the same time.
	Phase float64
}

// StatedRateLimit is a rate limit that an upstream stated in a response to some host.
type StatedRateLimit struct {
	Upstream       string // its ID
	StartUnixMilli int64  // start time of its process
	PerSecond      RateLimit
	StatedAt       time.Time
}

// RecordRateLimit records that a response of the upstream stated a rate limit. It reports
// whether this host knew of none before.
func (u *Upstream) RecordRateLimit(perSecond RateLimit, now time.Time) (began bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	began = !u.hasRateLimit(now)
	u.limit.set(perSecond, now)
	u.limit.own = true
	u.rateLimited.Store(true)
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
	u.resetRateLimit(sent)
	return true
}

// setRateLimit sets the rate limit of a new Upstream to one that the same process stated.
func (u *Upstream) setRateLimit(limit rateLimit) {
	u.limit = limit
	u.rateLimited.Store(!limit.statedAt.IsZero())
}

// resetRateLimit removes the rate limit. Statements up to endedAt no longer count. The
// caller must hold mu.
func (u *Upstream) resetRateLimit(endedAt time.Time) {
	u.limit = rateLimit{endedAt: endedAt}
	u.rateLimited.Store(false)
}

// hasRateLimit reports whether the upstream has a rate limit. The caller must hold mu.
func (u *Upstream) hasRateLimit(now time.Time) bool {
	return !u.limit.statedAt.IsZero() && !u.limit.expired(now)
}

// expired reports whether a rate limit that this host only knows from other hosts has
// expired.
func (l *rateLimit) expired(now time.Time) bool {
	return !l.own && now.Sub(l.statedAt) > learnedRateLimitTTL
}

// expireRateLimit removes the rate limit if it has expired, and reports whether it did.
func (u *Upstream) expireRateLimit(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit.statedAt.IsZero() || !u.limit.expired(now) {
		return false
	}
	u.resetRateLimit(u.limit.statedAt)
	return true
}

// ExpireRateLimits removes rate limits that have expired, and returns their upstreams.
func (r *Registrar) ExpireRateLimits(now time.Time) (expired []*Upstream) {
	for _, g := range *r.groups.Load() {
		for _, u := range g.upstreams {
			if u.rateLimited.Load() && u.expireRateLimit(now) {
				expired = append(expired, u)
			}
		}
	}
	return expired
}

// RateLimited reports whether the upstream has a rate limit.
func (u *Upstream) RateLimited(now time.Time) bool {
	if !u.rateLimited.Load() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hasRateLimit(now)
}

// RateLimit returns the rate limit of the upstream, and 0 if it has none.
func (u *Upstream) RateLimit(now time.Time) RateLimit {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasRateLimit(now) {
		return 0
	}
	return u.limit.perSecond
}

// RateLimitWait returns how long a host with the given share has to wait until it may send
// the upstream a request. It is 0 without a rate limit.
func (u *Upstream) RateLimitWait(now time.Time, s RateShare) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasRateLimit(now) {
		return 0
	}
	return u.limit.wait(now, s)
}

// AdmitRateLimited reports whether a host with the given share may send the upstream a
// request at now, and counts the request if so. Requests are evenly spaced, so over any
// span all hosts together send at most the sum of their rates and one request each.
func (u *Upstream) AdmitRateLimited(now time.Time, s RateShare) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasRateLimit(now) {
		return true
	}
	if u.limit.wait(now, s) > 0 {
		return false
	}
	u.limit.lastRequest = now
	return true
}

// wait returns the time until the next request of a host. The first call after the limit
// was stated determines the time of the host's first request.
func (l *rateLimit) wait(now time.Time, s RateShare) time.Duration {
	interval := requestInterval(s.Fraction * max(float64(l.perSecond), minRateLimit))
	switch {
	case l.without > 0:
		interval = min(interval, endConfirmationTime)
	case now.Sub(l.statedAt) > learnedRateLimitTTL:
		interval = min(interval, unconfirmedTime)
	}
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

// RateLimits returns known rate limits to send to another host: up to maxNews of those that
// other hosts may not know yet, and with less news up to maxConfirmed of the others.
func (r *Registrar) RateLimits(now time.Time, maxNews, maxConfirmed int) []StatedRateLimit {
	var news, known []*Upstream
	for _, g := range *r.groups.Load() {
		for _, u := range g.upstreams {
			switch {
			case !u.RateLimited(now):
			case u.hasRateLimitNews():
				news = append(news, u)
			default:
				known = append(known, u)
			}
		}
	}
	news = rotate(news, maxNews)
	var out []StatedRateLimit
	for _, u := range append(news, rotate(known, maxConfirmed-len(news))...) {
		out = append(out, u.transmitRateLimit())
	}
	return out
}

// rotate returns up to n upstreams from a random one on.
func rotate(upstreams []*Upstream, n int) []*Upstream {
	if n <= 0 || len(upstreams) <= n {
		return upstreams[:max(0, min(n, len(upstreams)))]
	}
	first := rand.N(len(upstreams))
	return slices.Concat(upstreams[first:], upstreams[:first])[:n]
}

// hasRateLimitNews reports whether other hosts may not know the rate limit yet.
func (u *Upstream) hasRateLimitNews() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.sent < newsTransmissions
}

// transmitRateLimit returns the rate limit for a message to another host.
func (u *Upstream) transmitRateLimit() StatedRateLimit {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit.sent++
	return StatedRateLimit{Upstream: u.id, StartUnixMilli: u.startUnixMilli, PerSecond: u.limit.perSecond, StatedAt: u.limit.statedAt}
}

// MergeRateLimits applies rate limits that another host knows. Those of unknown upstreams
// and of earlier processes, and those that are older than what this host knows, are
// ignored. It returns those of upstreams without a known limit.
func (r *Registrar) MergeRateLimits(limits []StatedRateLimit, now time.Time) (began []StatedRateLimit) {
	for _, l := range limits {
		r.mu.Lock()
		u := r.upstreams[l.Upstream]
		r.mu.Unlock()
		if u == nil || !(l.PerSecond >= 0) || now.Sub(l.StatedAt) > learnedRateLimitTTL {
			continue
		}
		if u.learnRateLimit(l, now) {
			began = append(began, l)
		}
	}
	return began
}

// learnRateLimit applies a rate limit that another host knows, if it was stated after what
// this host knows. It reports whether this host knew of no limit before.
func (u *Upstream) learnRateLimit(l StatedRateLimit, now time.Time) (began bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	began = !u.hasRateLimit(now)
	known := u.limit.statedAt
	if known.IsZero() {
		known = u.limit.endedAt
	}
	if l.StartUnixMilli != u.startUnixMilli || l.StatedAt.Sub(known) <= maxStatementDrift {
		return false
	}
	u.limit.set(l.PerSecond, l.StatedAt)
	u.rateLimited.Store(true)
	return began
}
