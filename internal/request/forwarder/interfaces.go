package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Query is what a Chooser is asked. It must not be kept.
type Query struct {
	Plan          *planner.Plan
	Service       *planner.Service
	Class         planner.Class
	ClientAccount *planner.ClientAccount
	RequestID     string
	Deadline      time.Time
	Failed        []*planner.Upstream // tried by this request without an answer
	Shed          []*planner.Upstream // refused this request; they and their regions get no retry
	Steps         *recorder.Trace     // takes what was considered; may be nil
}

// Chooser chooses the upstream for one attempt. An error of kind Overloaded
// means that waiting may help.
type Chooser interface {
	Choose(now time.Time, q *Query) (*planner.Upstream, error)
}

// Ticket is the right to run one request at an upstream.
type Ticket interface {
	Release(now time.Time)
}

// Admitter admits attempts. A Ticket is valid up to the deadline it was asked for.
type Admitter interface {
	Try(now time.Time, u *planner.Upstream, class planner.Class, deadline time.Time) (Ticket, bool)
	// Wait returns nil when it is worth choosing again, or an error of kind
	// Overloaded, Expired, Shifting or Stopping.
	Wait(ctx context.Context, s *planner.Service, class planner.Class, deadline time.Time) error
	// Queued returns how many requests of the class wait. A new request waits
	// behind them.
	Queued(s *planner.Service, class planner.Class) int
	// RetryAfter returns after what time a refused caller should try again.
	RetryAfter(s *planner.Service, class planner.Class) time.Duration
}

// Budget limits what a service sends more than once.
type Budget interface {
	// CountRequest is called once for each request.
	CountRequest(now time.Time, s *planner.Service)
	// AllowExtraAttempt takes one retry or hedge from the budget, or says why it may not.
	AllowExtraAttempt(now time.Time, s *planner.Service) (reason string, ok bool)
	// HedgeDelay returns the time after which a look-up is sent a second time, or 0.
	HedgeDelay(s *planner.Service) time.Duration
}

// Observation is what an attempt showed of its upstream.
type Observation uint8

// The sights.
const (
	Responded         Observation = iota // a complete header arrived; the duration is its latency
	ServerError                          // a header arrived with a status of 500 or above
	Failed                               // the connection failed or the answer was cut off
	TimedOut                             // no answer before the deadline
	Unreachable                          // no connection could be opened
	Shed                                 // the upstream refused before running
	Draining                             // the upstream says that it is about to stop
	ConnectionClosing                    // the upstream closes the connection after its answer
	ResponseMismatch                     // the answer belonged to another request
)

// Observer is told what attempts showed of the upstreams.
type Observer interface {
	Observe(now time.Time, u *planner.Upstream, s Observation, latency time.Duration)
}

// Pacer limits the bytes on a link between regions.
type Pacer interface {
	// Reader reads no faster than the link allows.
	Reader(ctx context.Context, l *planner.Link, class planner.Class, r io.Reader) io.Reader
	// Reserve sets aside a rate in bytes per second until release is called.
	Reserve(l *planner.Link, rate int64) (release func(), ok bool)
}

// Claim is the right to run the request of an idempotency key.
type Claim interface {
	ID() string
}

// StoredResponse is the stored answer of a request with an idempotency key. It is
// complete.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimStore keeps the claims on idempotency keys.
type ClaimStore interface {
	// Begin returns a claim of this request's own, or the answer of an earlier
	// run. The kinds of its errors are InDoubt, KeyReused, StoreDown,
	// Overloaded and Expired. With an error this request must not run.
	Begin(ctx context.Context, s *planner.Service, account, key string, fingerprint [32]byte) (Claim, *StoredResponse, error)
	// Finish stores the answer.
	Finish(ctx context.Context, c Claim, a *StoredResponse) error
	// Void gives the claim up. It is called only if the request provably did
	// not run and never will.
	Void(ctx context.Context, c Claim)
}

// Attempt is one line of a Trace.
type Attempt struct {
	Upstream string
	Start    time.Time
	Duration time.Duration
	Err      error
}

// RequestRecord describes a finished request.
type RequestRecord struct {
	ID            string
	Service       *planner.Service // nil if unknown
	Class         planner.Class
	ClientAccount string
	Start         time.Time
	Duration      time.Duration
	Status        int   // as the caller got it, 0 if the caller left before
	BodyBytes     int64 // of the answer's body
	Replayed      bool  // a stored answer
	Resumed       int
	Hedges        int
	Attempts      []Attempt
	Steps         *recorder.Trace
	Err           error // nil for an answer that is complete
}

// Recorder receives each request. It must not keep the Trace.
type Recorder interface {
	// Start returns what takes the steps of a request that begins, or nil.
	Start(id string, now time.Time) *recorder.Trace
	// Record ends a request for which Start was called.
	Record(t *RequestRecord)
}

// open is a Gate without limits, a Budget without retries, and the rest of the
// interfaces without effect.
type open struct{}

// Release implements Ticket.
func (open) Release(time.Time) {}

// Try implements Gate.
func (open) Try(time.Time, *planner.Upstream, planner.Class, time.Time) (Ticket, bool) {
	return open{}, true
}

// Wait implements Gate.
func (open) Wait(_ context.Context, s *planner.Service, _ planner.Class, _ time.Time) error {
	return classifier.Overloaded.New("service %q: no upstream is free", s.Name())
}

// Queued implements Gate.
func (open) Queued(*planner.Service, planner.Class) int { return 0 }

// RetryAfter implements Gate.
func (open) RetryAfter(*planner.Service, planner.Class) time.Duration { return time.Second }

// CountRequest implements Budget.
func (open) CountRequest(time.Time, *planner.Service) {}

// AllowExtraAttempt implements Budget.
func (open) AllowExtraAttempt(time.Time, *planner.Service) (string, bool) {
	return "no retry budget", false
}

// HedgeDelay implements Budget.
func (open) HedgeDelay(*planner.Service) time.Duration { return 0 }

// Observe implements Observer.
func (open) Observe(time.Time, *planner.Upstream, Observation, time.Duration) {}

// Reader implements Pacer.
func (open) Reader(_ context.Context, _ *planner.Link, _ planner.Class, r io.Reader) io.Reader {
	return r
}

// Reserve implements Pacer.
func (open) Reserve(*planner.Link, int64) (func(), bool) { return func() {}, true }

// Begin implements Claims. Without a store no claim can be made.
func (open) Begin(context.Context, *planner.Service, string, string, [32]byte) (Claim, *StoredResponse, error) {
	return nil, nil, classifier.StoreDown.New("this host has no store for idempotency keys")
}

// Finish implements Claims.
func (open) Finish(context.Context, Claim, *StoredResponse) error { return nil }

// Void implements Claims.
func (open) Void(context.Context, Claim) {}
