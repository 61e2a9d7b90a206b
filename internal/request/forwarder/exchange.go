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

// errGone means that the caller left; nobody reads an answer.
var errGone = errors.New("the caller left")

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
	path     string // decoded, for routes
	raw      string // as sent, if that differs from the usual encoding
	key      string
	upload   *upload
	whole    []byte // the request body, if it was read before the first attempt
	buffered bool   // whole is used
	claim    Claim
	steps    *recorder.Trace

	failed, shed []*planner.Upstream
	attempts     []Attempt
	sent         bool   // a request of class once may have reached an upstream
	doubt        error  // of an earlier attempt that may have run
	reader       reader // of the answer
	trace        httptrace.ClientTrace
	tries        int
	resumed      int
	hedges       int // read after extra is done
	replayed     bool
	status       int
	bytes        int64
	extra        sync.WaitGroup // hedges under way

	head    sync.Mutex // guards the answer's header against informational answers
	started bool       // the answer's header is final
}

// serve runs the request and answers it, unless it returns an error.
func (x *exchange) serve() error {
	if x.class == planner.AtMostOnce && x.key != "" {
		return x.serveKeyed()
	}
	for {
		a, err := x.fetch()
		if err != nil {
			return err
		}
		// A broken answer of which the caller saw nothing is like none.
		if err = x.deliver(a); err == nil || x.started || !x.again(a, err) {
			return err
		}
		x.extra.Wait() // a hedge may still read the list
		x.failed = append(x.failed, a.up)
	}
}

// fetch makes attempts until one has an answer.
func (x *exchange) fetch() (*attempt, error) {
	for {
		a, err := x.admit()
		if err != nil {
			return nil, x.verdict(err)
		}
		x.tries++
		if a, err = x.try(a); err == nil {
			return a, nil
		}
		if !x.again(a, err) {
			return nil, x.verdict(err)
		}
	}
}

// verdict returns what the caller is told. A refusal must not say "not run"
// after an attempt that may have run.
func (x *exchange) verdict(err error) error {
	if x.doubt != nil && classifier.Of(err).Outcome() == classifier.NotRun {
		return x.doubt
	}
	return err
}

// again reports whether another attempt may follow the failed one.
func (x *exchange) again(a *attempt, err error) bool {
	kind := classifier.Of(err)
	if kind.Outcome() != classifier.NotRun {
		x.doubt = err
	}
	if x.tries >= maxAttempts || x.sent || x.gone() || !time.Now().Before(x.deadline) {
		return false
	}
	if x.class == planner.AtMostOnce && kind != classifier.Unreachable {
		return false
	}
	if kind == classifier.Expired || kind == classifier.Internal || kind == classifier.BadRequest {
		return false
	}
	if x.upload != nil && !x.buffered && x.upload.touched.Load() {
		return false // a part of the body is gone
	}
	return x.allowed(a)
}

// allowed takes a retry from the budget, once for each attempt.
func (x *exchange) allowed(a *attempt) bool {
	if a.paid.Load() {
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

// gone reports whether nobody waits for the answer. A request with a claim is
// carried to its end all the same, so that a repeat finds the answer.
func (x *exchange) gone() bool { return x.claim == nil && x.left() }

// left reports whether the caller left. The server also ends the context when a
// read of the body times out, but then the caller is there to be told.
func (x *exchange) left() bool {
	return x.r.Context().Err() != nil && (x.upload == nil || !x.upload.late())
}

// context returns the parent of the contexts of all attempts.
func (x *exchange) context() context.Context {
	if x.claim != nil {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// admit chooses an upstream and takes a unit for it, and waits for one if it
// has to.
func (x *exchange) admit() (*attempt, error) {
	o := &x.f.options
	for round := 0; ; round++ {
		now := time.Now()
		if !now.Before(x.deadline) {
			return nil, classifier.Expired.New("the deadline passed before dispatch")
		}
		if round > 0 || o.Admitter.Queued(x.service, x.class) == 0 {
			a, err := x.admitNow(now)
			if a != nil {
				return a, nil
			}
			if err != nil && classifier.Of(err) != classifier.Overloaded {
				return nil, err
			}
		}
		if round == 0 {
			x.steps.AddStep(now, recorder.Queued, nil, nil, "no free unit")
		}
		if err := o.Admitter.Wait(x.context(), x.service, x.class, x.deadline); err != nil {
			return nil, err
		}
	}
}

// admitNow returns nil without an error if no unit is free.
func (x *exchange) admitNow(now time.Time) (*attempt, error) {
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
	a := &attempt{x: x, up: up, ticket: ticket, start: now, there: there, path: back}
	if rate := x.service.MinDownloadRate(); a.path != nil && x.class == planner.Download && rate > 0 {
		if a.unreserve, ok = o.Pacer.Reserve(a.path, rate); !ok {
			ticket.Release(now)
			x.steps.AddStep(now, recorder.Skipped, up.Region(), up, "the link has no rate left for another download")
			return nil, nil
		}
	}
	x.steps.AddStep(now, recorder.Admitted, up.Region(), up, "")
	return a, nil
}

// links returns the links that a request to the upstream and its answer use, or
// nil within one region.
func (x *exchange) links(up *planner.Upstream) (there, back *planner.Link) {
	own := x.plan.Region(x.f.options.Region)
	if own == nil {
		return nil, nil
	}
	at := up.Region().Index()
	return x.plan.Link(own.Index(), at), x.plan.Link(at, own.Index())
}

// end answers an error, records the request, and breaks the caller's stream if
// it cannot be completed.
func (x *exchange) end(err error) {
	gone := x.left()
	if x.upload != nil {
		x.upload.stop()
	}
	x.extra.Wait()
	x.head.Lock()
	started := x.started
	x.started = true
	x.head.Unlock()
	if err != nil && !started && !gone {
		x.status = classifier.Of(err).Status()
		x.steps.AddStep(time.Now(), recorder.Refused, nil, nil, err.Error())
		delay := time.Second
		if x.service != nil {
			delay = x.f.options.Admitter.RetryAfter(x.service, x.class)
		}
		x.closeEarly()
		refuse(x.w, x.ids[0], err, delay)
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
		Status: x.status, BodyBytes: x.bytes, Replayed: x.replayed, Resumed: x.resumed, Hedges: x.hedges, Attempts: x.attempts, Steps: x.steps, Err: err,
	}
	if x.account != nil {
		t.ClientAccount = x.account.Name()
	}
	rec.Record(&t)
}

// fingerprint identifies what the caller asks for under its key.
func (x *exchange) fingerprint() (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, s := range []string{x.r.Method, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.r.Header.Get("Content-Type")} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(x.whole)
	h.Sum(sum[:0])
	return sum
}
