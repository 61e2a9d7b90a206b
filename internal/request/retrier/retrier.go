// Package retrier decides whether a failed attempt is retried and whether an
// idempotent request is hedged, within one budget of extra attempts for each
// service.
//
//	r := retrier.New()
//	r.CountRequest(service, now)
//	ok, reason := r.AllowRetry(service, attempt, now)
package retrier

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// minExtraPerSecond is the number of extra attempts per second that a service may
	// make with little traffic, where the fraction of its requests is below one.
	minExtraPerSecond = 1.0

	// maxSavedAttempts bounds the accumulated extra attempts. Over a span of t seconds with n
	// requests there are at most maxSavedAttempts + minExtraPerSecond*t + fraction*n extra attempts.
	maxSavedAttempts = 10.0

	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 4

	// latencyWindow is the time after which latencies are forgotten, two windows at
	// most, and samples the number from which their p95 is used.
	latencyWindow     = 10 * time.Second
	minLatencySamples = 50

	// p95Period is the period at which the p95 is computed again.
	p95Period = time.Second

	maxLatency        = time.Minute
	significantDigits = 2
)

// Reason says why an attempt may or may not be repeated.
type Reason uint8

// The reasons.
const (
	Allowed           Reason = iota
	ResponseStarted          // the response has begun to reach the caller
	CouldRunTwice            // a retry could run an at-most-once request twice
	NotRetryable             // another attempt would fail the same way
	TargetShedding           // the next upstream or region sheds load
	DeadlinePassed           // the deadline of the request has passed
	AttemptsExhausted        // the request had its maximum of attempts
	BudgetExhausted          // the budget of the service is used up
)

var reasons = [...]string{"allowed", "response started", "could run twice", "final", "target sheds load", "deadline", "attempts used up", "budget used up"}

// String returns the reason in a few words.
func (r Reason) String() string { return reasons[r] }

// Attempt holds the facts about a failed attempt and the next one's target.
type Attempt struct {
	Class    planner.Class
	Kind     classifier.Kind // how the attempt failed
	Number   int             // 1 for the first attempt
	Deadline time.Time       // of the request

	// Dispatched means that a byte of the request may have reached the upstream.
	Dispatched bool

	// ResponseStarted means that a byte of the response was sent to the caller.
	ResponseStarted bool

	// TargetShedding means that the upstream or the region that the next attempt would
	// go to sheds load.
	TargetShedding bool
}

// Retrier holds the budgets. All methods are safe for concurrent use.
type Retrier struct {
	budgets sync.Map // service name to *budget
}

// New returns a Retrier in which each service starts with maxSavedAttempts.
func New() *Retrier { return new(Retrier) }

type budget struct {
	mu       sync.Mutex
	tokens   float64
	last     time.Time
	rotated  time.Time
	computed time.Time
	latency  [2]*hdrhistogram.Histogram
	p95      atomic.Int64
}

func (r *Retrier) budget(s *planner.Service, now time.Time) *budget {
	if b, ok := r.budgets.Load(s.Name()); ok {
		return b.(*budget)
	}
	b := &budget{tokens: maxSavedAttempts, last: now, rotated: now}
	for i := range b.latency {
		b.latency[i] = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	actual, _ := r.budgets.LoadOrStore(s.Name(), b)
	return actual.(*budget)
}

// Prune deletes the budgets of services that the plan does not have.
func (r *Retrier) Prune(p *planner.Plan) {
	r.budgets.Range(func(name, _ any) bool {
		if p.Service(name.(string)) == nil {
			r.budgets.Delete(name)
		}
		return true
	})
}

// CountRequest adds one request to the service's budget. Call it once for each
// request, not for each attempt.
func (r *Retrier) CountRequest(s *planner.Service, now time.Time) {
	b := r.budget(s, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+s.RetryBudget(), maxSavedAttempts)
}

func (b *budget) refill(now time.Time) {
	if dt := now.Sub(b.last); dt > 0 {
		b.tokens = min(b.tokens+minExtraPerSecond*dt.Seconds(), maxSavedAttempts)
		b.last = now
	}
}

// take takes one extra attempt and reports whether there was one. A service whose
// fraction is 0 has none.
func (b *budget) take(s *planner.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if s.RetryBudget() == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// AllowRetry reports whether the attempt may be followed by another one, and why
// not. If it may, the budget is charged.
func (r *Retrier) AllowRetry(s *planner.Service, a Attempt, now time.Time) (bool, Reason) {
	if reason := a.check(now); reason != Allowed {
		return false, reason
	}
	if !r.budget(s, now).take(s, now) {
		return false, BudgetExhausted
	}
	return true, Allowed
}

func (a *Attempt) check(now time.Time) Reason {
	switch {
	case a.ResponseStarted:
		return ResponseStarted
	case a.Class == planner.AtMostOnce && a.Dispatched:
		return CouldRunTwice
	}
	switch a.Kind {
	case classifier.Unreachable, classifier.Shed:
	case classifier.Failed, classifier.TimedOut, classifier.ResponseMismatch, classifier.Truncated:
		// These may have run.
		if a.Class == planner.AtMostOnce {
			return CouldRunTwice
		}
	default:
		return NotRetryable
	}
	switch {
	case a.TargetShedding:
		return TargetShedding
	case !now.Before(a.Deadline):
		return DeadlinePassed
	case a.Number >= maxAttempts:
		return AttemptsExhausted
	}
	return Allowed
}

// ObserveLatency records the time from dispatch to the first byte of a response,
// from which the hedge delay is computed.
func (r *Retrier) ObserveLatency(s *planner.Service, took time.Duration, now time.Time) {
	if !s.Hedge() {
		return
	}
	b := r.budget(s, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.rotated) >= latencyWindow {
		b.latency[0], b.latency[1] = b.latency[1], b.latency[0]
		b.latency[0].Reset()
		b.rotated = now
	}
	value := min(max(took.Microseconds(), 1), maxLatency.Microseconds())
	if b.latency[0].RecordValue(value) != nil || now.Sub(b.computed) < p95Period {
		return
	}
	b.computed = now
	if b.latency[0].TotalCount()+b.latency[1].TotalCount() < minLatencySamples {
		b.p95.Store(0)
		return
	}
	both := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	both.Merge(b.latency[0])
	both.Merge(b.latency[1])
	b.p95.Store(both.ValueAtQuantile(95) * int64(time.Microsecond))
}

// HedgeDelay returns the time after which an idempotent request without a
// response may be sent to a second upstream, and whether it may be hedged: the
// service must allow it and enough latencies must be known.
func (r *Retrier) HedgeDelay(s *planner.Service, c planner.Class, now time.Time) (time.Duration, bool) {
	if c != planner.Idempotent || !s.Hedge() {
		return 0, false
	}
	p95 := time.Duration(r.budget(s, now).p95.Load())
	return p95, p95 > 0
}

// AllowHedge takes a hedge from the budget that retries use and reports whether
// it may be sent, and why not. The caller cancels the slower attempt.
func (r *Retrier) AllowHedge(s *planner.Service, a Attempt, now time.Time) (bool, Reason) {
	switch {
	case a.Class != planner.Idempotent || !s.Hedge():
		return false, NotRetryable
	case a.ResponseStarted:
		return false, ResponseStarted
	case a.TargetShedding:
		return false, TargetShedding
	case !now.Before(a.Deadline):
		return false, DeadlinePassed
	case !r.budget(s, now).take(s, now):
		return false, BudgetExhausted
	}
	return true, Allowed
}
