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

// stallTimeout is how long a response body may make no progress.
const stallTimeout = 10 * time.Second

// cancelDelay is how long a slot stays occupied after its request was abandoned,
// so that the close of the connection reaches the upstream first. It is more than
// twice the one-way delay of the longest link (55 ms; docs/design.md, section 1.5).
const cancelDelay = 150 * time.Millisecond

// maxDrainBytes bounds what is read of the body of a shed response so that its
// connection can be reused.
const maxDrainBytes = 4 << 10

var (
	errUnresponsive = errors.New("the connection is unresponsive while the upstream responds on another one")
	errStalled      = errors.New("the response made no progress for 10s")
	errHedgeLost    = errors.New("another attempt received a response first")
)

// attempt is one attempt to send the request to one upstream.
type attempt struct {
	x         *exchange
	up        *planner.Upstream
	linkTo    *planner.Link // from the host's region to the upstream's, nil within one
	linkFrom  *planner.Link // from the upstream's region to the host's, nil within one
	ticket    Ticket
	unreserve func()
	start     time.Time
	header    http.Header // request header, nil to use that of the exchange
	hedged    bool        // the other attempt of a hedge is in flight

	ctx            context.Context
	cancel         context.CancelFunc
	cause          atomic.Pointer[error]
	headerReceived atomic.Bool // the response header arrived
	budgetCharged  atomic.Bool // the retry after this attempt is already charged
	conn           *pool.Link
	resp           *http.Response
	url            url.URL
	closed         bool
}

// stop cancels the attempt. why becomes the cause of its error.
func (a *attempt) stop(why error) {
	if a.cause.CompareAndSwap(nil, &why) {
		a.cancel()
	}
}

// Silent implements pool.Watcher. A slow response cannot be told from an
// unresponsive connection, so only a request that may run twice is moved to
// another connection, and only within the budget.
func (a *attempt) Silent() {
	if a.headerReceived.Load() || !a.x.repeatable() {
		return
	}
	if _, ok := a.x.f.options.Budget.AllowExtraAttempt(time.Now(), a.x.service); ok {
		a.budgetCharged.Store(true)
		a.stop(errUnresponsive)
	}
}

// Stalled implements pool.Watcher.
func (a *attempt) Stalled() { a.stop(errStalled) }

// prepare creates the context of the attempt. It must be called before the
// attempt is shared with another goroutine.
func (a *attempt) prepare() {
	a.ctx, a.cancel = context.WithDeadline(a.x.context(), a.x.deadline)
}

// send dispatches the request and waits for the response header. After an error
// the attempt is finished.
func (a *attempt) send() error {
	err := a.exchange()
	if err == nil {
		a.headerReceived.Store(true)
		a.conn.Stream(stallTimeout)
		return nil
	}
	a.finish(err)
	return err
}

func (a *attempt) exchange() (err error) {
	x := a.x
	if a.conn, err = x.f.pool.Get(a.ctx, a.up.Address()); err != nil {
		return err
	}
	now := time.Now()
	if !now.Before(x.deadline) || a.ctx.Err() != nil {
		// The host may have been paused since the slot was taken.
		return classifier.Expired.New("the deadline passed before dispatch")
	}
	if x.class == planner.AtMostOnce {
		if x.sent {
			return classifier.Internal.New("an at-most-once request was about to be sent again")
		}
		x.sent = true
	}
	x.steps.AddStep(now, recorder.Attempt, a.up.Region(), a.up, "")
	a.resp, err = a.conn.Do(a.request(now), x.deadline, a)
	if err != nil {
		return a.classify(err)
	}
	return a.checkHeader()
}

// classify returns the error of a failed dispatch with its final kind.
func (a *attempt) classify(err error) error {
	x := a.x
	if classifier.Of(err) == classifier.Unreachable {
		x.sent = false // no byte of the request left the host, and the connection is closed
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

// checkHeader returns an error if the response header belongs to another request
// or if the upstream shed the request.
func (a *attempt) checkHeader() error {
	x, resp := a.x, a.resp
	if x.service.EchoesRequestID() && resp.Header.Get("Request-Id") != x.ids[0] {
		return classifier.ResponseMismatch.New("upstream %s sent the response of request %q", a.up.Name(), resp.Header.Get("Request-Id"))
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return classifier.Failed.New("upstream %s switched protocols", a.up.Name())
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if resp.Header.Get("Outcome") == classifier.NotRun.String() || resp.Header["Draining"] != nil {
		return classifier.Shed.New("upstream %s rejected the request before running it", a.up.Name())
	}
	return nil
}

// request builds the request to the upstream. It has no GetBody, so that the
// transport cannot send it again.
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
			x.trace.Got1xxResponse = x.forwardInformational
		}
		ctx = httptrace.WithClientTrace(ctx, &x.trace)
	}
	// Setting the context on the empty request saves a copy of the filled one.
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
		delete(h, "Expect") // the body is already read
		out.ContentLength = int64(len(x.body))
		if len(x.body) > 0 {
			out.Body = io.NopCloser(a.pacedReader(ctx, bytes.NewReader(x.body)))
		}
	case x.upload != nil:
		x.upload.attach(a.conn)
		out.Body = x.upload
		if a.linkTo != nil {
			out.Body = pacedBody{a.pacedReader(ctx, x.upload), x.upload}
		}
		out.Trailer = x.r.Trailer
	}
	return out
}

// pacedBody is a request body that is read at the rate of a link.
type pacedBody struct {
	io.Reader
	io.Closer
}

// pacedReader returns a reader of the request body at the rate of the link to
// the upstream.
func (a *attempt) pacedReader(ctx context.Context, r io.Reader) io.Reader {
	return a.x.f.options.Pacer.Reader(ctx, a.linkTo, a.x.class, r)
}

// forwardInformational forwards an informational response. 100 is not forwarded:
// the server sends it itself when the 100 of the upstream makes the transport
// read the body.
func (x *exchange) forwardInformational(code int, h textproto.MIMEHeader) error {
	if code == http.StatusContinue {
		return nil
	}
	x.headerMu.Lock()
	defer x.headerMu.Unlock()
	if x.headerWritten || x.claim != nil {
		return nil
	}
	to := x.w.Header()
	stripper.CopyEndToEnd(to, http.Header(h), hostHeaders)
	x.w.WriteHeader(code)
	clear(to)
	return nil
}

// finish releases what the attempt holds and reports the observation. err is nil
// if the response was read to its end.
func (a *attempt) finish(err error) {
	if a.closed {
		return
	}
	a.closed = true
	now := time.Now()
	if a.conn != nil {
		if err == nil || a.drainBody(err) {
			a.conn.Done()
		} else {
			a.conn.Close()
		}
	}
	a.cancel()
	if a.unreserve != nil {
		a.unreserve()
	}
	if a.mayStillRun(err) {
		time.AfterFunc(a.releaseDelay(now), func() { a.ticket.Release(time.Now()) })
	} else {
		a.ticket.Release(now)
	}
	a.observe(now, err)
}

// releaseDelay returns how long the upstream may still run an abandoned attempt.
// On an unresponsive connection the close does not arrive, so only the deadline
// ends the request there.
func (a *attempt) releaseDelay(now time.Time) time.Duration {
	if why := a.cause.Load(); why != nil && (*why == errUnresponsive || *why == errStalled) {
		return max(a.x.deadline.Sub(now), 0) + cancelDelay
	}
	return cancelDelay
}

// mayStillRun reports whether the upstream may still run an abandoned attempt.
// Only the close of the connection cancels it there, so the slot stays occupied
// until that arrives. Otherwise a request on another connection could overtake
// the close and exceed the slots of the upstream.
func (a *attempt) mayStillRun(err error) bool {
	if err == nil || a.conn == nil {
		return false
	}
	switch classifier.Of(err) {
	case classifier.Unreachable, classifier.Expired, classifier.Shed:
		return false
	}
	return true
}

// drainBody reads the body of a shed response to its end, so that the connection
// can be reused, and reports whether it did.
func (a *attempt) drainBody(err error) bool {
	if classifier.Of(err) != classifier.Shed {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxDrainBytes+1))
	return err == nil && n <= maxDrainBytes
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
		if why != nil && *why == errHedgeLost || a.ctx.Err() == context.Canceled && why == nil && x.callerGone() {
			return // the attempt shows nothing about the upstream
		}
		var ok bool
		if sight, ok = observationOf(err); !ok {
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

func observationOf(err error) (Observation, bool) {
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
