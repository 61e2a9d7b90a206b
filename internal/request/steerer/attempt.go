package steerer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/stripper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// maxBufferedBodyBytes is the size up to which a response is read completely before the
	// caller gets its first byte, so that another attempt can replace a truncated one.
	maxBufferedBodyBytes = 1 << 20
	streamBufferBytes    = 32 << 10
	// longResponseReserve is the fraction of the memory that responses over 64 KiB leave free, so
	// that callers who read slowly don't make others' requests be refused. Without memory a response
	// is passed on as it arrives.
	longResponseReserve = 0.25
	// streamStallTimeout is the time that a streamed response may make no progress.
	streamStallTimeout = 10 * time.Second
)

// attempt is a request to one upstream. Its goroutine sends the request and reads the
// header of the response and a body that is buffered.
type attempt struct {
	x             *exchange
	choice        ranker.Choice
	upstream      *registrar.Upstream
	upstreamStart int64 // start time of the upstream's process, in Unix milliseconds
	start         time.Time
	pauses        uint64    // pauses of the process when the upstream was chosen
	deadline      time.Time // sent to the upstream
	ctx           context.Context
	cancel        context.CancelCauseFunc
	conn          *sender.Conn
	metadata      ResponseMetadata
	response      *http.Response
	body          [][]byte // segments
	complete      bool     // body is the complete body of the response
	delivered     bool     // the response was passed on to the caller
	abandoned     bool     // the exchange doesn't use it any more
	errorStatus   int      // status of a response that may be delivered despite err
	err           error
	elapsed       time.Duration
	done          atomic.Bool
	reservedBytes int64        // memory for the body of the response
	streamedBytes int64        // memory to pass on the response as it arrives
	bodyRefs      atomic.Int32 // users of the bodies: the attempt and its exchange
}

func newAttempt(x *exchange, c ranker.Choice, now time.Time) *attempt {
	a := &attempt{x: x, choice: c, upstream: c.Upstream, upstreamStart: c.Upstream.StartUnixMilli(), start: now, deadline: x.deadline}
	if a.warmsUp() {
		a.deadline = x.callerDeadline
	}
	parent := x.ctx
	if !x.repeatable() {
		// A request that may run only once is not aborted when its caller leaves.
		parent = context.WithoutCancel(parent)
	}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	a.bodyRefs.Store(2)
	x.call.Body.Retain()
	a.upstream.BeginRequest()
	return a
}

// release drops one reference to the bodies. Their memory is released with the last one,
// because an attempt may continue after its exchange has ended. So is the connection of a long
// response that was not delivered.
func (a *attempt) release() {
	if a.bodyRefs.Add(-1) == 0 {
		if a.streamedBytes > 0 && !a.delivered {
			a.closeConn()
		}
		a.x.call.Body.Release()
		a.x.s.options.Memory.Release(a.reservedBytes)
		a.x.s.options.Streams.Release(a.streamedBytes)
	}
}

// warmsUp reports whether the object is probably not in the upstream's cache. Such an
// attempt continues after the deadline of the route until the caller times out. Otherwise
// an object that takes longer than the deadline would never get into a cache.
func (a *attempt) warmsUp() bool {
	return a.x.repeatable() && a.x.object != 0 && !a.choice.Warm
}

// stop cancels the attempt if it may be aborted.
func (a *attempt) stop() {
	if a.x.expired && a.warmsUp() {
		return
	}
	if a.x.repeatable() || time.Now().After(a.x.deadline) {
		a.cancel(errOtherAttemptWon)
	}
}

// abandon cancels the attempt if it is in flight and may be aborted, and drops the reference of
// its exchange to the bodies.
func (a *attempt) abandon() {
	if !a.abandoned {
		a.abandoned = true
		a.stop()
		a.release()
	}
}

// run performs the attempt and records its outcome.
func (a *attempt) run() {
	defer a.release()
	defer a.upstream.EndRequest()
	a.err = a.roundTrip()
	now := time.Now()
	a.elapsed = now.Sub(a.start)
	a.recordOutcome(now)
	a.done.Store(true)
}

// markPanicked completes an attempt whose run panicked.
func (a *attempt) markPanicked() {
	if a.conn != nil {
		a.conn.Close()
	}
	a.err = classifier.Internal.New("the attempt at upstream %s panicked", a.upstream.ID())
	a.done.Store(true)
}

// roundTrip sends the request and reads the response, except a body that is streamed.
func (a *attempt) roundTrip() error {
	x := a.x
	var err error
	if a.conn, err = a.connect(); err != nil {
		return err
	}
	now := time.Now()
	if !a.conn.Reused() {
		x.s.options.Ranker.ObserveRTT(a.upstream.Region(), now.Sub(a.start))
	}
	if x.ctx.Err() != nil || !now.Before(x.deadline) {
		// The process may have been paused, or the caller may have left, while the
		// connection was opened.
		a.conn.Close()
		return classifier.Expired.New("the deadline passed before dispatch")
	}
	r := a.buildRequest(now)
	if x.s.options.Watchdog.Pauses() != a.pauses {
		// The upstream may have left, and its rate limits may belong to other hosts now.
		a.conn.Close()
		return errPausedBeforeSend
	}
	if a.response, err = a.conn.Do(a.ctx, r, a.deadline); err != nil {
		return err
	}
	return a.checkResponse()
}

// buildRequest returns the request to the upstream.
func (a *attempt) buildRequest(now time.Time) *sender.Request {
	x, in := a.x, a.x.call.Request
	h := make(http.Header, len(in.Header)+2)
	stripper.CopyEndToEnd(h, in.Header, nil)
	delete(h, "Content-Length")
	if x.table.Accounts() != nil {
		x.s.options.Dialect.SetAccount(h, x.accountName())
	}
	x.s.options.Dialect.SetUpstreamFields(h, a.upstream.ID(), a.deadline.Sub(now))
	return &sender.Request{Method: in.Method, Target: in.RequestURI, Host: in.Host, Header: h, Body: x.call.Body.Segments()}
}

// checkResponse returns an error unless the response may be delivered to the caller. It
// buffers a short body.
func (a *attempt) checkResponse() error {
	s := a.response.StatusCode
	a.metadata = a.x.s.options.Dialect.ResponseMetadata(s, a.response.Header)
	switch {
	case a.metadata.ConflictingIDs || containsStatusLine(a.response.Header) || a.metadata.NotRun && a.untrustedRefusal():
		a.closeConn()
		a.metadata = ResponseMetadata{}
		return classifier.ResponseMismatch.New("upstream %s sent a response with status %d that may belong to another request", a.upstream.ID(), s)
	}
	a.recordLeaving()
	switch {
	case a.metadata.NotRun:
		a.discardBody()
		return classifier.Shed.New("upstream %s refused the request before running it", a.upstream.ID())
	case impliesNotRun(s):
		a.closeConn()
		return classifier.Failed.New("upstream %s responded with status %d without saying that the request did not run", a.upstream.ID(), s)
	case s < http.StatusMultipleChoices && !a.metadata.Signed:
		a.closeConn()
		return classifier.ResponseMismatch.New("upstream %s responded with status %d without its signature", a.upstream.ID(), s)
	}
	if a.response.ContentLength > maxBufferedBodyBytes {
		return a.reserveStream()
	}
	if err := a.readBody(); err != nil {
		return err
	}
	if !a.complete {
		if err := a.reserveStream(); err != nil {
			return err
		}
	}
	if s >= http.StatusInternalServerError {
		a.errorStatus = s
		return classifier.Failed.New("upstream %s failed the request with status %d", a.upstream.ID(), s)
	}
	return nil
}

// readBody buffers the body up to maxBufferedBodyBytes, as far as memory is free.
func (a *attempt) readBody() error {
	stop := context.AfterFunc(a.ctx, a.conn.Interrupt)
	defer stop()
	body, reserved, complete, err := a.x.s.options.Memory.ReadSegments(a.response.Body, a.response.ContentLength, maxBufferedBodyBytes, longResponseReserve)
	a.reservedBytes += reserved
	a.body, a.complete = body, complete
	switch {
	case err != nil:
		a.conn.Close()
		return a.bodyError(err)
	case complete:
		a.conn.Release()
	}
	return nil // the rest is streamed
}

// reserveStream reserves the memory to pass on the response as it arrives. Without it, callers
// who don't read would let the buffers of many connections fill up.
func (a *attempt) reserveStream() error {
	n := a.x.s.options.StreamBytes + streamBufferBytes
	if !a.x.s.options.Streams.TryAcquire(n) {
		a.closeConn()
		return errStreamsFull
	}
	a.streamedBytes = n
	return nil
}

// bodyError classifies an error of reading the body of the response.
func (a *attempt) bodyError(err error) error {
	if !time.Now().Before(a.deadline) {
		return classifier.TimedOut.Wrap(err, "upstream "+a.upstream.ID())
	}
	return classifier.Truncated.Wrap(err, "upstream "+a.upstream.ID())
}

// maxDiscardBytes bounds how much of a refusal is read so that its connection can be reused.
const maxDiscardBytes = 4 << 10

// discardBody reads a short body to its end to reuse the connection, or closes it.
func (a *attempt) discardBody() {
	if a.conn.Early() { // the end of the body may have to wait for that of the request
		a.conn.Close()
		return
	}
	if _, err := io.CopyN(io.Discard, a.response.Body, maxDiscardBytes); err != io.EOF {
		a.conn.Close()
		return
	}
	a.conn.Release()
}

// closeConn closes the connection, because the rest of the response is not read.
func (a *attempt) closeConn() { a.conn.Close() }

// responseHeader returns the header of the response to the caller.
func (a *attempt) responseHeader() http.Header {
	h := make(http.Header, len(a.response.Header))
	stripper.CopyEndToEnd(h, a.response.Header, nil)
	return h
}

// statedLength returns the length that the response to the caller states, or -1 for none. A
// response to a HEAD request states the length that a GET request would get, not that of
// its own body. So does one with status 304, of which http.ReadResponse hides the length.
func (a *attempt) statedLength() int64 {
	switch {
	case a.response.StatusCode == http.StatusNotModified:
		return -1
	case a.complete && a.x.call.Request.Method != http.MethodHead:
		return a.bodyBytes()
	default:
		return a.response.ContentLength
	}
}

// bodyBytes returns the length of the buffered part of the body.
func (a *attempt) bodyBytes() (n int64) {
	for _, segment := range a.body {
		n += int64(len(segment))
	}
	return n
}

// writeBody writes the buffered part of the body to the caller. It returns the number of bytes
// written.
func (a *attempt) writeBody(w *acceptor.ResponseWriter) (n int64, err error) {
	for _, segment := range a.body {
		k, err := w.Write(segment)
		if n += int64(k); err != nil {
			return n, err
		}
	}
	return n, nil
}

// streamBody copies a long body to the caller as it arrives, at most until streamDeadline.
// It returns the number of bytes written.
func (a *attempt) streamBody(w *acceptor.ResponseWriter) (int64, error) {
	stop := context.AfterFunc(a.ctx, a.conn.Interrupt)
	defer stop()
	n, err := a.writeBody(w)
	buf := make([]byte, streamBufferBytes)
	for err == nil {
		a.conn.SetReadDeadline(earlier(time.Now().Add(streamStallTimeout), a.x.streamDeadline))
		var k int
		k, err = a.response.Body.Read(buf)
		if k > 0 {
			if _, writeErr := w.Write(buf[:k]); writeErr != nil {
				a.conn.Close()
				return n, writeErr
			}
			n += int64(k)
		}
	}
	if err != io.EOF {
		a.conn.Close()
		return n, a.bodyError(err)
	}
	a.conn.Release()
	return n, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// recordOutcome updates the state of the upstream and the estimates of the ranker.
func (a *attempt) recordOutcome(now time.Time) {
	if a.metadata.HasLoad {
		a.recordLoad(now)
	}
	a.recordRateLimit(now)
	cause := context.Cause(a.ctx)
	switch kind := classifier.Of(a.err); {
	case a.err == nil:
		a.recordSuccess(now)
	case kind == classifier.Unreachable && !errors.Is(cause, context.Canceled):
		a.upstream.RecordUnreachable(now)
	case kind == classifier.Shed && a.response.StatusCode == http.StatusMisdirectedRequest:
		// Another process uses the address now.
		a.upstream.RecordUnreachable(now)
	case kind == classifier.Shed:
		a.upstream.RecordShed(now, a.reportsFreeSlots())
	case cause != nil || kind == classifier.TimedOut:
		a.upstream.RecordOverdue(now, a.timeRatio())
		if !now.Before(a.x.deadline) {
			region, r := a.upstream.Region(), a.x.s.options.Ranker
			r.ObserveTimeout(now, a.x.service, a.x.route.Name, region, r.UsualTime(region, a.elapsed, a.slowness()))
		}
	case a.errorStatus != 0:
		a.upstream.RecordFailure(now)
	case kind == classifier.Failed || kind == classifier.Truncated:
		a.upstream.RecordConnectionLoss(now)
	}
}

// reportsFreeSlots reports whether the upstream says in its response that it has free slots. If it
// sheds the request nevertheless, that is for another reason than overload.
func (a *attempt) reportsFreeSlots() bool {
	return a.metadata.HasLoad && a.metadata.Load.Running < a.metadata.Load.Slots
}

// recordRateLimit records the rate limit that the upstream states in its response, or that
// it states none. Refusals state it too, but only a complete response counts as evidence
// that there is none.
func (a *attempt) recordRateLimit(now time.Time) {
	m := &a.metadata
	changed := false
	switch {
	case a.response == nil || a.response.StatusCode == http.StatusMisdirectedRequest:
		return // there is no response, or another process uses the address now
	case m.InvalidRateLimit != "":
		a.x.s.options.Log.Event(logger.RateLimitInvalid).Str("upstream", a.upstream.ID()).
			Str("value", m.InvalidRateLimit[:min(len(m.InvalidRateLimit), maxLoggedValueBytes)]).Send()
	case m.HasRateLimit:
		changed = a.upstream.RecordRateLimit(m.RateLimit, now)
	case a.err == nil && m.Signed:
		changed = a.upstream.RecordNoRateLimit(a.start)
	}
	if changed {
		a.x.s.options.Log.Event(logger.RateLimitChanged).Str("upstream", a.upstream.ID()).Str("service", a.upstream.Service()).
			Float64("limit", float64(m.RateLimit)).Bool("limited", m.HasRateLimit).Send()
	}
}

// recordLeaving records that the upstream says it is leaving, before the response is passed
// on. Another process that uses the address now says nothing about the upstream.
func (a *attempt) recordLeaving() {
	o, m := &a.x.s.options, &a.metadata
	if m.InvalidLeaving != "" {
		o.Log.Event(logger.LeavingInvalid).Str("upstream", a.upstream.ID()).
			Str("value", m.InvalidLeaving[:min(len(m.InvalidLeaving), maxLoggedValueBytes)]).Send()
	}
	if m.Leaving && a.response.StatusCode != http.StatusMisdirectedRequest {
		o.Upstreams.MarkLeaving(a.upstream.ID(), a.upstreamStart)
	}
}

// maxLoggedValueBytes bounds the part of an invalid field that is logged.
const maxLoggedValueBytes = 64

func (a *attempt) recordSuccess(now time.Time) {
	a.upstream.RecordSuccess(now, a.timeRatio())
	o := &a.x.s.options
	if a.choice.QueueWait == 0 && a.metadata.Load.Waiting == 0 && !a.upstream.Cold(now) {
		region := a.upstream.Region()
		o.Ranker.ObserveResponse(now, a.x.service, a.x.route.Name, a.choice.Warm, region, o.Ranker.UsualTime(region, a.elapsed, a.slowness()))
	}
	if a.x.object != 0 {
		a.upstream.MarkWarm(a.x.object, now)
	}
}

// logEntry returns the fields of the attempt in the log entry of its request.
func (a *attempt) logEntry() *zerolog.Event {
	d := zerolog.Dict().Str("upstream", a.upstream.ID()).Str("region", a.upstream.Region()).
		Dur("wait", a.choice.QueueWait).Dur("work", a.choice.UnloadedLatency).Float64("load", a.choice.Load).
		Int("rank", a.choice.Rank).Bool("warm", a.choice.Warm).Bool("planned", a.choice.Planned).
		Dur("begun", a.start.Sub(a.x.call.Arrived))
	if a.choice.Slowness != 1 {
		d.Float64("slowness", a.choice.Slowness)
	}
	if !a.done.Load() {
		return d.Str("outcome", "under way")
	}
	d.Dur("took", a.elapsed)
	if a.metadata.Leaving {
		d.Bool("leaving", true)
	}
	if a.err != nil {
		return d.Str("outcome", classifier.Of(a.err).String()).AnErr("error", a.err)
	}
	return d.Str("outcome", "answered")
}
