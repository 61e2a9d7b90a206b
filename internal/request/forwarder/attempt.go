package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/request/stripper"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// stallTime is how long the body of an answer may make no progress.
const stallTime = 10 * time.Second

// cancelTime is how long a unit stays taken after its request was given up. It
// is more than twice the one-way delay of the longest link (55 ms, 1.5).
const cancelTime = 150 * time.Millisecond

// maxDrain bounds what is read of a refusal to keep its connection.
const maxDrain = 4 << 10

var (
	errSilent  = errors.New("the connection is silent while the upstream answers on another one")
	errStalled = errors.New("the answer made no progress for 10s")
	errLost    = errors.New("another attempt answered first")
)

// attempt is one dispatch, or the try of one, to one upstream.
type attempt struct {
	x         *exchange
	up        *planner.Upstream
	there     *planner.Link // from the host's region to the upstream's, nil within one
	path      *planner.Link // from the upstream's region to the host's, nil within one
	ticket    Ticket
	unreserve func()
	start     time.Time
	header    http.Header // other than the exchange's, or nil
	hedged    bool        // another attempt runs at the same time

	ctx     context.Context
	cancel  context.CancelFunc
	cause   atomic.Pointer[error]
	arrived atomic.Bool // the header arrived
	paid    atomic.Bool // the retry that follows is taken from the budget
	link    *pool.Link
	resp    *http.Response
	url     url.URL
	closed  bool
}

// stop ends the attempt for a reason of ours.
func (a *attempt) stop(why error) {
	if a.cause.CompareAndSwap(nil, &why) {
		a.cancel()
	}
}

// Silent implements pool.Watcher. A slow answer looks like a silent connection,
// so only a request that may run twice is moved, and only within the budget.
func (a *attempt) Silent() {
	if a.arrived.Load() || !a.x.repeatable() {
		return
	}
	if _, ok := a.x.f.options.Budget.AllowExtraAttempt(time.Now(), a.x.service); ok {
		a.paid.Store(true)
		a.stop(errSilent)
	}
}

// Stalled implements pool.Watcher.
func (a *attempt) Stalled() { a.stop(errStalled) }

// prepare gives the attempt its context. It is called before another goroutine
// can see the attempt.
func (a *attempt) prepare() {
	a.ctx, a.cancel = context.WithDeadline(a.x.context(), a.x.deadline)
}

// send dispatches the request and waits for the header of the answer. After an
// error the attempt is closed.
func (a *attempt) send() error {
	err := a.exchange()
	if err == nil {
		a.arrived.Store(true)
		a.link.Stream(stallTime)
		return nil
	}
	a.finish(err)
	return err
}

func (a *attempt) exchange() (err error) {
	x := a.x
	if a.link, err = x.f.pool.Get(a.ctx, a.up.Address()); err != nil {
		return err
	}
	now := time.Now()
	if !now.Before(x.deadline) || a.ctx.Err() != nil {
		// The host may have been paused since the unit was taken.
		return classifier.Expired.New("the deadline passed before dispatch")
	}
	if x.class == planner.AtMostOnce {
		if x.sent {
			return classifier.Internal.New("a request that must not be repeated was about to be sent again")
		}
		x.sent = true
	}
	x.steps.AddStep(now, recorder.Attempt, a.up.Region(), a.up, "")
	a.resp, err = a.link.Do(a.request(now), x.deadline, a)
	if err != nil {
		return a.explain(err)
	}
	return a.check()
}

// explain gives the error of a failed dispatch its final kind.
func (a *attempt) explain(err error) error {
	x := a.x
	if classifier.Of(err) == classifier.Unreachable {
		x.sent = false // no byte of it left the host, and the connection is closed
	}
	if why := a.cause.Load(); why != nil && classifier.Of(err) != classifier.Unreachable {
		return classifier.Failed.Wrap(*why, a.up.Name())
	}
	if x.upload == nil {
		return err
	}
	if failure := x.upload.err(); failure != nil {
		if classifier.Of(err) == classifier.Unreachable {
			return classifier.BadRequest.Wrap(failure, "request body")
		}
		return classifier.Failed.Wrap(failure, "request body")
	}
	return err
}

// check decides whether the header belongs to this request and is an answer.
func (a *attempt) check() error {
	x, resp := a.x, a.resp
	if x.service.EchoesRequestID() && resp.Header.Get("Request-Id") != x.ids[0] {
		return classifier.ResponseMismatch.New("upstream %s answered request %q", a.up.Name(), resp.Header.Get("Request-Id"))
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return classifier.Failed.New("upstream %s switched protocols", a.up.Name())
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if resp.Header.Get("Outcome") == classifier.NotRun.String() || resp.Header["Draining"] != nil {
		return classifier.Shed.New("upstream %s refused the request before running it", a.up.Name())
	}
	return nil
}

// request builds what is sent. It has no GetBody, so that no library can send
// it again.
func (a *attempt) request(now time.Time) *http.Request {
	x := a.x
	h := a.header
	if h == nil {
		h = x.outgoing()
	}
	setDeadline(h, now, x.deadline)
	ctx := a.ctx
	if !a.hedged {
		if x.trace.Got1xxResponse == nil { // an abandoned attempt may still read it
			x.trace.Got1xxResponse = x.inform
		}
		ctx = httptrace.WithClientTrace(ctx, &x.trace)
	}
	// The request is made with its context first, which saves a copy.
	out := new(http.Request).WithContext(ctx)
	out.Method, out.Header, out.ContentLength = x.r.Method, h, x.r.ContentLength
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	a.url = url.URL{
		Scheme: "http", Host: a.up.Address(),
		Path: x.path, RawPath: x.raw, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery,
	}
	out.URL = &a.url
	switch {
	case x.buffered:
		delete(h, "Expect") // the body is here already
		out.ContentLength = int64(len(x.whole))
		if len(x.whole) > 0 {
			out.Body = io.NopCloser(a.paced(ctx, bytes.NewReader(x.whole)))
		}
	case x.upload != nil:
		x.upload.start(a.link)
		out.Body = x.upload
		if a.there != nil {
			out.Body = pacedBody{a.paced(ctx, x.upload), x.upload}
		}
		out.Trailer = x.r.Trailer
	}
	return out
}

// pacedBody is a request body that is read no faster than a link allows.
type pacedBody struct {
	io.Reader
	io.Closer
}

// paced returns a reader of the request's body at the rate of the link to the
// upstream.
func (a *attempt) paced(ctx context.Context, r io.Reader) io.Reader {
	return a.x.f.options.Pacer.Reader(ctx, a.there, a.x.class, r)
}

// inform passes an informational answer on. 100 is not passed: the server sends
// it when the upstream's makes the transport read the body.
func (x *exchange) inform(code int, h textproto.MIMEHeader) error {
	if code == http.StatusContinue {
		return nil
	}
	x.head.Lock()
	defer x.head.Unlock()
	if x.started || x.claim != nil {
		return nil
	}
	to := x.w.Header()
	stripper.CopyEndToEnd(to, http.Header(h), said)
	x.w.WriteHeader(code)
	clear(to)
	return nil
}

// finish ends the attempt: nil if the answer was read to its end.
func (a *attempt) finish(err error) {
	if a.closed {
		return
	}
	a.closed = true
	now := time.Now()
	if a.link != nil {
		if err == nil || a.drained(err) {
			a.link.Done()
		} else {
			a.link.Close()
		}
	}
	a.cancel()
	if a.unreserve != nil {
		a.unreserve()
	}
	if a.mayRun(err) {
		time.AfterFunc(a.releaseDelay(now), func() { a.ticket.Release(time.Now()) })
	} else {
		a.ticket.Release(now)
	}
	a.observe(now, err)
}

// releaseDelay returns how long the upstream may go on working on an attempt that was
// given up. On a silent connection the close does not arrive, so that only the
// deadline ends the work there.
func (a *attempt) releaseDelay(now time.Time) time.Duration {
	if why := a.cause.Load(); why != nil && (*why == errSilent || *why == errStalled) {
		return max(a.x.deadline.Sub(now), 0) + cancelTime
	}
	return cancelTime
}

// mayRun reports whether the upstream may still work on an attempt that was
// given up. It learns of that only when the close of the connection arrives, so
// the unit stays taken until then. Otherwise a request on another connection
// could overtake the close and exceed the upstream's slots.
func (a *attempt) mayRun(err error) bool {
	if err == nil || a.link == nil {
		return false
	}
	switch classifier.Of(err) {
	case classifier.Unreachable, classifier.Expired, classifier.Shed:
		return false
	}
	return true
}

// drained reads a refusal to its end, so that its connection can be used again.
func (a *attempt) drained(err error) bool {
	if classifier.Of(err) != classifier.Shed {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxDrain+1))
	return err == nil && n <= maxDrain
}

func (a *attempt) observe(now time.Time, err error) {
	x := a.x
	if !a.hedged && x.f.options.Recorder != nil {
		x.attempts = append(x.attempts, Attempt{a.up.Name(), a.start, now.Sub(a.start), err})
	}
	sight := Responded
	if a.resp != nil && a.resp.StatusCode >= http.StatusInternalServerError {
		sight = ServerError
	}
	reason := "complete"
	if err != nil {
		reason = err.Error()
	}
	x.steps.AddStep(now, recorder.Response, a.up.Region(), a.up, reason)
	if err != nil {
		why := a.cause.Load()
		if why != nil && *why == errLost || a.ctx.Err() == context.Canceled && why == nil && x.left() {
			return // nothing was learned about the upstream
		}
		var ok bool
		if sight, ok = sightOf(err); !ok {
			return
		}
	}
	o := x.f.options.Observer
	switch {
	case a.resp == nil:
	case a.resp.Header["Draining"] != nil:
		o.Observe(now, a.up, Draining, 0)
	case a.resp.Close:
		o.Observe(now, a.up, ConnectionClosing, 0)
	}
	o.Observe(now, a.up, sight, now.Sub(a.start))
}

func sightOf(err error) (Observation, bool) {
	switch classifier.Of(err) {
	case classifier.Unreachable:
		return Unreachable, true
	case classifier.Shed:
		return Shed, true
	case classifier.TimedOut:
		return TimedOut, true
	case classifier.ResponseMismatch:
		return ResponseMismatch, true
	case classifier.Failed, classifier.Truncated:
		return Failed, true
	default:
		return 0, false
	}
}
