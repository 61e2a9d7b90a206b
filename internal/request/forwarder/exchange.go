package forwarder

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxAttempts bounds the attempts of one request, whatever the budget allows.
const maxAttempts = 4

// errCallerGone means that the caller disconnected and nobody reads a response.
var errCallerGone = errors.New("the caller disconnected")

// exchange is one request of a caller with all its attempts.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	ids      [1]string // the Request-Id, as a header value
	start    time.Time
	deadline time.Time
	plan     *planner.Plan
	service  *planner.Service
	account  *planner.ClientAccount
	class    planner.Class
	name     string
	path     string // percent-decoded, for route matching
	raw      string // as received, if it differs from the default encoding
	key      string
	upload   *upload
	body     []byte // the request body, if it was read before the first attempt
	buffered bool   // body holds the request body
	claim    Claim
	steps    *recorder.Trace

	failed, shed  []*planner.Upstream
	attempts      []Attempt
	sent          bool           // an at-most-once request may have reached an upstream
	ambiguousErr  error          // of an earlier attempt that may have run
	reader        responseReader // of the response
	trace         httptrace.ClientTrace
	attemptCount  int
	resumeCount   int
	hedgeCount    int // read after hedgesRunning is done
	replayed      bool
	status        int
	bodyBytes     int64
	hedgesRunning sync.WaitGroup // hedges in flight

	headerMu      sync.Mutex // guards the response header against informational responses
	headerWritten bool       // the final response header was written
}

// serve runs the request and writes the response, unless it returns an error.
func (x *exchange) serve() error {
	if x.class == planner.AtMostOnce && x.key != "" {
		return x.serveKeyed()
	}
	for {
		a, err := x.fetch()
		if err != nil {
			return err
		}
		// A truncated response of which nothing was written may be retried.
		if err = x.deliver(a); err == nil || x.headerWritten || !x.mayRetry(a, err) {
			return err
		}
		x.hedgesRunning.Wait() // a hedge may still read failed
		x.failed = append(x.failed, a.up)
	}
}

// fetch makes attempts until one receives a response header.
func (x *exchange) fetch() (*attempt, error) {
	for {
		a, err := x.admit()
		if err != nil {
			return nil, x.finalError(err)
		}
		x.attemptCount++
		if a, err = x.sendWithHedge(a); err == nil {
			return a, nil
		}
		if !x.mayRetry(a, err) {
			return nil, x.finalError(err)
		}
	}
}

// finalError returns the error that is reported to the caller. It must not say
// "not run" after an attempt that may have run.
func (x *exchange) finalError(err error) error {
	if x.ambiguousErr != nil && classifier.Of(err).Outcome() == classifier.NotRun {
		return x.ambiguousErr
	}
	return err
}

// mayRetry reports whether another attempt may follow the failed one.
func (x *exchange) mayRetry(a *attempt, err error) bool {
	kind := classifier.Of(err)
	if kind.Outcome() != classifier.NotRun {
		x.ambiguousErr = err
	}
	if x.attemptCount >= maxAttempts || x.sent || x.abandoned() || !time.Now().Before(x.deadline) {
		return false
	}
	if x.class == planner.AtMostOnce && kind != classifier.Unreachable {
		return false
	}
	if kind == classifier.Expired || kind == classifier.Internal || kind == classifier.BadRequest {
		return false
	}
	if x.upload != nil && !x.buffered && x.upload.readStarted.Load() {
		return false // a part of the body is consumed
	}
	return x.chargeRetry(a)
}

// chargeRetry takes a retry from the budget and reports whether there was one. A
// retry that was already charged to the attempt is not charged twice.
func (x *exchange) chargeRetry(a *attempt) bool {
	if a.budgetCharged.Load() {
		return true
	}
	now := time.Now()
	reason, ok := x.f.options.Budget.AllowExtraAttempt(now, x.service)
	x.steps.AddStep(now, recorder.Retry, nil, nil, reason)
	return ok
}

// repeatable reports whether the request may be sent a second time while the
// first may have run.
func (x *exchange) repeatable() bool {
	return x.class != planner.AtMostOnce && (x.upload == nil || x.buffered)
}

// abandoned reports whether nobody waits for the response. A request with a claim
// is completed all the same, so that a repeat finds its response.
func (x *exchange) abandoned() bool { return x.claim == nil && x.callerGone() }

// callerGone reports whether the caller disconnected. The server also cancels the context
// when a read of the body times out, but then the caller is still connected and gets a
// response.
func (x *exchange) callerGone() bool {
	return x.r.Context().Err() != nil && (x.upload == nil || !x.upload.timedOut())
}

// context returns the parent of the contexts of all attempts.
func (x *exchange) context() context.Context {
	if x.claim != nil {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// admit chooses an upstream and takes a slot at it, and waits for one if
// necessary.
func (x *exchange) admit() (*attempt, error) {
	o := &x.f.options
	for round := 0; ; round++ {
		now := time.Now()
		if !now.Before(x.deadline) {
			return nil, classifier.Expired.New("the deadline passed before dispatch")
		}
		if round > 0 || o.Admitter.Queued(x.service, x.class) == 0 {
			a, err := x.tryAdmit(now)
			if a != nil {
				return a, nil
			}
			if err != nil && classifier.Of(err) != classifier.Overloaded {
				return nil, err
			}
		}
		if round == 0 {
			x.steps.AddStep(now, recorder.Queued, nil, nil, "no free slot")
		}
		if err := o.Admitter.Wait(x.context(), x.service, x.class, x.deadline); err != nil {
			return nil, err
		}
	}
}

// tryAdmit returns nil without an error if no slot is free.
func (x *exchange) tryAdmit(now time.Time) (*attempt, error) {
	o := &x.f.options
	up, err := o.Chooser.Choose(now, &Query{
		Plan: x.plan, Service: x.service, Class: x.class, ClientAccount: x.account,
		RequestID: x.ids[0], Deadline: x.deadline, Failed: x.failed, Shed: x.shed, Steps: x.steps,
	})
	if err != nil {
		return nil, err
	}
	ticket, ok := o.Admitter.Try(now, up, x.class, x.deadline)
	if !ok {
		return nil, nil
	}
	there, back := x.links(up)
	a := &attempt{x: x, up: up, ticket: ticket, start: now, linkTo: there, linkFrom: back}
	if rate := x.service.MinDownloadRate(); a.linkFrom != nil && x.class == planner.Download && rate > 0 {
		if a.unreserve, ok = o.Pacer.Reserve(a.linkFrom, rate); !ok {
			ticket.Release(now)
			x.steps.AddStep(now, recorder.Skipped, up.Region(), up, "the link has no rate left for another download")
			return nil, nil
		}
	}
	x.steps.AddStep(now, recorder.Admitted, up.Region(), up, "")
	return a, nil
}

// links returns the links that a request to the upstream and its response use,
// or nil within one region.
func (x *exchange) links(up *planner.Upstream) (there, back *planner.Link) {
	own := x.plan.Region(x.f.options.Region)
	if own == nil {
		return nil, nil
	}
	at := up.Region().Index()
	return x.plan.Link(own.Index(), at), x.plan.Link(at, own.Index())
}

// finish writes an error response if nothing was written yet, records the
// request, and aborts the response if it cannot be completed.
func (x *exchange) finish(err error) {
	gone := x.callerGone()
	if x.upload != nil {
		x.upload.stop()
	}
	x.hedgesRunning.Wait()
	x.headerMu.Lock()
	started := x.headerWritten
	x.headerWritten = true
	x.headerMu.Unlock()
	if err != nil && !started && !gone {
		x.status = classifier.Of(err).Status()
		x.steps.AddStep(time.Now(), recorder.Refused, nil, nil, err.Error())
		delay := time.Second
		if x.service != nil {
			delay = x.f.options.Admitter.RetryAfter(x.service, x.class)
		}
		x.closeAfterResponse()
		writeError(x.w, x.ids[0], err, delay)
	}
	x.record(err)
	if err != nil && (started || gone) {
		x.abort()
	}
}

func (x *exchange) record(err error) {
	rec := x.f.options.Recorder
	if rec == nil {
		return
	}
	t := RequestRecord{
		ID: x.ids[0], Service: x.service, Class: x.class, Start: x.start, Duration: time.Since(x.start),
		Status: x.status, BodyBytes: x.bodyBytes, Replayed: x.replayed, Resumed: x.resumeCount, Hedges: x.hedgeCount, Attempts: x.attempts, Steps: x.steps, Err: err,
	}
	if x.account != nil {
		t.ClientAccount = x.account.Name()
	}
	rec.Record(&t)
}

// fingerprint returns a digest of the request. A key that is used again with
// another fingerprint is rejected.
func (x *exchange) fingerprint() (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, s := range []string{x.r.Method, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.r.Header.Get("Content-Type")} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(x.body)
	h.Sum(sum[:0])
	return sum
}
