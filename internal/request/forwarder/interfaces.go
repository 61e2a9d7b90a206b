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

// Query describes the request for which a Chooser chooses an upstream. The
// Chooser must not retain it.
type Query struct {
	Plan          *planner.Plan
	Service       *planner.Service
	Class         planner.Class
	ClientAccount *planner.ClientAccount
	RequestID     string
	Deadline      time.Time
	Failed        []*planner.Upstream // upstreams at which an attempt of this request failed
	Shed          []*planner.Upstream // upstreams that shed this request; they and their regions get no retry
	Steps         *recorder.Trace     // records the candidates considered; may be nil
}

// Chooser chooses the upstream for one attempt. An error of kind Overloaded
// means that an upstream may become available later.
type Chooser interface {
	Choose(now time.Time, q *Query) (*planner.Upstream, error)
}

// Ticket is an occupied slot: the right to run one request at an upstream.
type Ticket interface {
	Release(now time.Time)
}

// Admitter admits attempts. A Ticket is valid up to the deadline passed to Try.
type Admitter interface {
	Try(now time.Time, u *planner.Upstream, class planner.Class, deadline time.Time) (Ticket, bool)
	// Wait returns nil when the upstream should be chosen again, or an error of
	// kind Overloaded, Expired, Shifting or Stopping.
	Wait(ctx context.Context, s *planner.Service, class planner.Class, deadline time.Time) error
	// Queued returns the number of waiting requests of the class. A new request
	// waits behind them.
	Queued(s *planner.Service, class planner.Class) int
	// RetryAfter returns the delay after which a rejected caller should try again.
	RetryAfter(s *planner.Service, class planner.Class) time.Duration
}

// Budget limits the extra attempts of a service: retries, resumptions and hedges.
type Budget interface {
	// CountRequest counts one request. It is called once for each request,
	// whatever the number of its attempts.
	CountRequest(now time.Time, s *planner.Service)
	// AllowExtraAttempt takes one extra attempt from the budget and reports whether
	// there was one. The reason says why not.
	AllowExtraAttempt(now time.Time, s *planner.Service) (reason string, ok bool)
	// HedgeDelay returns the time after which an idempotent request is hedged, or 0
	// for no hedge.
	HedgeDelay(s *planner.Service) time.Duration
}

// Observation is what an attempt showed about its upstream.
type Observation uint8

// The observations.
const (
	Responded         Observation = iota // a complete header arrived; latency is the time until then
	ServerError                          // a header arrived with a status of 500 or above
	Failed                               // the connection failed or the response was truncated
	TimedOut                             // no response before the deadline
	Unreachable                          // no connection could be opened
	Shed                                 // the upstream rejected the request before running it
	Draining                             // the response announces that the upstream is about to stop
	ConnectionClosing                    // the upstream closes the connection after its response
	ResponseMismatch                     // the response belongs to another request
)

// Observer receives the observations of upstreams. latency is 0 for Draining and
// ConnectionClosing.
type Observer interface {
	Observe(now time.Time, u *planner.Upstream, s Observation, latency time.Duration)
}

// Pacer limits the bytes on a link between regions.
type Pacer interface {
	// Reader returns a reader of r that is limited to the rate of the link.
	Reader(ctx context.Context, l *planner.Link, class planner.Class, r io.Reader) io.Reader
	// Reserve reserves a rate in bytes per second until release is called. It
	// reports whether the link has that rate left.
	Reserve(l *planner.Link, rate int64) (release func(), ok bool)
}

// Claim is the exclusive right to run the request of an idempotency key.
type Claim interface {
	ID() string
}

// StoredResponse is the complete stored response of a request with an idempotency
// key.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimStore holds the claims on idempotency keys.
type ClaimStore interface {
	// Begin returns either a new claim for this request or the stored response
	// of an earlier run. Its errors are of kind InDoubt, KeyReused, StoreDown,
	// Overloaded or Expired. After an error the request must not run.
	Begin(ctx context.Context, s *planner.Service, account, key string, fingerprint [32]byte) (Claim, *StoredResponse, error)
	// Finish stores the response.
	Finish(ctx context.Context, c Claim, a *StoredResponse) error
	// Void releases the claim. It is called only if the request certainly did
	// not run and never will.
	Void(ctx context.Context, c Claim)
}

// Attempt describes one attempt of a finished request.
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
	Status        int   // as sent to the caller, 0 if the caller disconnected before
	BodyBytes     int64 // sent to the caller
	Replayed      bool  // a stored response was returned
	Resumed       int
	Hedges        int
	Attempts      []Attempt
	Steps         *recorder.Trace
	Err           error // nil if the response was delivered in full
}

// Recorder records requests. It must not retain the RequestRecord.
type Recorder interface {
	// Start returns the trace for the steps of a new request, or nil.
	Start(id string, now time.Time) *recorder.Trace
	// Record records a finished request for which Start was called.
	Record(t *RequestRecord)
}

// open is an Admitter without limits, a Budget without extra attempts, a ClaimStore
// that is unavailable, and an Observer and a Pacer without effect.
type open struct{}

// Release implements Ticket.
func (open) Release(time.Time) {}

// Try implements Admitter.
func (open) Try(time.Time, *planner.Upstream, planner.Class, time.Time) (Ticket, bool) {
	return open{}, true
}

// Wait implements Admitter.
func (open) Wait(_ context.Context, s *planner.Service, _ planner.Class, _ time.Time) error {
	return classifier.Overloaded.New("service %q: no upstream is free", s.Name())
}

// Queued implements Admitter.
func (open) Queued(*planner.Service, planner.Class) int { return 0 }

// RetryAfter implements Admitter.
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

// Begin implements ClaimStore. Without a store no claim can be made, so it fails with
// StoreDown.
func (open) Begin(context.Context, *planner.Service, string, string, [32]byte) (Claim, *StoredResponse, error) {
	return nil, nil, classifier.StoreDown.New("this host has no store for idempotency keys")
}

// Finish implements ClaimStore.
func (open) Finish(context.Context, Claim, *StoredResponse) error { return nil }

// Void implements ClaimStore.
func (open) Void(context.Context, Claim) {}
