package steerer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/stripper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// maxBufferedBodyBytes is the size up to which an answer is read before the caller
	// gets its first byte, so that a broken one can be replaced.
	maxBufferedBodyBytes = 1 << 20
	streamBufferBytes    = 32 << 10
	// streamStallTimeout is how long a streamed answer may make no progress.
	streamStallTimeout = 10 * time.Second
)

// attempt is one request to one upstream. It runs in its own goroutine until its
// result is read.
type attempt struct {
	x               *exchange
	choice          ranker.Choice
	upstream        *registrar.Upstream
	start           time.Time
	pauses          uint64    // of the process, when the upstream was chosen
	deadline        time.Time // told to the upstream
	ctx             context.Context
	cancel          context.CancelCauseFunc
	conn            *sender.Conn
	metadata        ResponseMetadata
	response        *http.Response
	body            []byte
	complete        bool // body is the whole body
	requestBodyRead bool // the request's body was read from the caller
	errorStatus     int  // of an answer that may be passed on after err
	err             error
	elapsed         time.Duration
	done            atomic.Bool
	reservedBytes   int64        // bytes of the bodies that are reserved
	bodyRefs        atomic.Int32 // of the body: the attempt and its request
}

func newAttempt(x *exchange, c ranker.Choice, now time.Time) *attempt {
	a := &attempt{x: x, choice: c, upstream: c.Upstream, start: now, deadline: x.deadline}
	if a.warmsUp() {
		a.deadline = x.callerDeadline
	}
	parent := x.ctx
	if !x.repeatable() {
		// What may run only once is not broken off when its caller leaves.
		parent = context.WithoutCancel(parent)
	}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	a.bodyRefs.Store(2)
	a.upstream.BeginRequest()
	return a
}

// release ends one use of the body. The memory is free again after both, because an
// attempt may go on when its request has been answered.
func (a *attempt) release() {
	if a.bodyRefs.Add(-1) == 0 {
		a.x.s.o.Memory.Release(a.reservedBytes)
	}
}

// warmsUp reports whether the upstream probably has to learn the object. Such work
// goes on when the route's time is over, as long as the caller is there, or an
// upstream would never learn an object that takes longer than that.
func (a *attempt) warmsUp() bool {
	return a.x.repeatable() && a.x.object != 0 && !a.choice.Warm
}

// stop ends the attempt if it is under way and may be broken off.
func (a *attempt) stop() {
	if a.x.expired && a.warmsUp() {
		return
	}
	if a.x.repeatable() || time.Now().After(a.x.deadline) {
		a.cancel(errOtherAttemptWon)
	}
}

// run sends the request and reads the answer.
func (a *attempt) run() {
	defer a.release()
	defer a.upstream.EndRequest()
	a.err = a.roundTrip()
	now := time.Now()
	a.elapsed = now.Sub(a.start)
	a.recordOutcome(now)
	a.done.Store(true)
}

// markPanicked ends an attempt that did not come to its end by itself.
func (a *attempt) markPanicked() {
	if a.conn != nil {
		a.conn.Close()
	}
	a.err = classifier.Internal.New("the attempt at upstream %s panicked", a.upstream.ID())
	a.done.Store(true)
}

func (a *attempt) roundTrip() error {
	x := a.x
	var err error
	if a.conn, err = x.s.o.Sender.Get(a.ctx, a.upstream.Address()); err != nil {
		return err
	}
	now := time.Now()
	if !a.conn.Reused() {
		x.s.o.Ranker.ObserveRTT(a.upstream.Region(), now.Sub(a.start))
	}
	if x.ctx.Err() != nil || !now.Before(x.deadline) {
		// The host may have been paused, or the caller may have left, while the
		// connection was opened.
		a.conn.Close()
		return classifier.Expired.New("the deadline passed before dispatch")
	}
	r, err := a.buildRequest(now)
	if err != nil {
		a.conn.Close()
		return err
	}
	if x.s.o.Watchdog.Pauses() != a.pauses {
		// The upstream may have left, and its limits may be others' by now.
		a.conn.Close()
		return errPausedBeforeSend
	}
	if a.response, err = a.conn.Do(a.ctx, r, a.deadline); err != nil {
		return err
	}
	return a.checkResponse()
}

// buildRequest builds what is sent.
func (a *attempt) buildRequest(now time.Time) (*sender.Request, error) {
	x, in := a.x, a.x.call.Request
	body := x.call.Body
	if in.Body != nil {
		a.requestBodyRead = true
		var b bytes.Buffer
		held, whole, err := x.s.o.Memory.ReadBody(&b, in.Body, in.ContentLength, math.MaxInt64)
		a.reservedBytes += held
		if err != nil {
			return nil, classifier.BadRequest.Wrap(err, "request body")
		}
		if !whole {
			return nil, classifier.Overloaded.New("no memory is free for the request's body")
		}
		body = b.Bytes()
	}
	h := make(http.Header, len(in.Header)+2)
	stripper.CopyEndToEnd(h, in.Header, nil)
	delete(h, "Content-Length")
	x.s.o.Dialect.SetUpstreamFields(h, a.upstream.ID(), a.deadline.Sub(now))
	return &sender.Request{Method: in.Method, Target: in.RequestURI, Host: in.Host, Header: h, Body: body}, nil
}

// checkResponse decides what the answer is worth, and reads a short one to its end.
func (a *attempt) checkResponse() error {
	s := a.response.StatusCode
	a.metadata = a.x.s.o.Dialect.ResponseMetadata(s, a.response.Header)
	switch {
	case a.metadata.NotRun:
		a.discardBody()
		return classifier.Shed.New("upstream %s refused the request before running it", a.upstream.ID())
	case impliesNotRun(s):
		a.closeConn()
		return classifier.Failed.New("upstream %s answered %d without saying that the request did not run", a.upstream.ID(), s)
	case s < http.StatusMultipleChoices && !a.metadata.Signed:
		a.closeConn()
		return classifier.ResponseMismatch.New("upstream %s answered %d without its signature", a.upstream.ID(), s)
	}
	if a.response.ContentLength > maxBufferedBodyBytes {
		return nil
	}
	if err := a.readBody(); err != nil {
		return err
	}
	if s >= http.StatusInternalServerError {
		a.errorStatus = s
		return classifier.Failed.New("upstream %s failed the request with %d", a.upstream.ID(), s)
	}
	return nil
}

// impliesNotRun reports whether a status tells a caller that its request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// readBody reads the body, as far as it is short and memory is free for it.
func (a *attempt) readBody() error {
	stop := context.AfterFunc(a.ctx, a.conn.Interrupt)
	defer stop()
	var b bytes.Buffer
	held, whole, err := a.x.s.o.Memory.ReadBody(&b, a.response.Body, a.response.ContentLength, maxBufferedBodyBytes)
	a.reservedBytes += held
	a.body, a.complete = b.Bytes(), whole
	switch {
	case err != nil:
		a.conn.Close()
		return a.bodyError(err)
	case whole:
		a.conn.Release()
	}
	return nil // what is left is streamed
}

func (a *attempt) bodyError(err error) error {
	if !time.Now().Before(a.deadline) {
		return classifier.TimedOut.Wrap(err, "upstream "+a.upstream.ID())
	}
	return classifier.Truncated.Wrap(err, "upstream "+a.upstream.ID())
}

// maxDiscardBytes bounds what is read of a refusal to keep its connection.
const maxDiscardBytes = 4 << 10

func (a *attempt) discardBody() {
	if _, err := io.CopyN(io.Discard, a.response.Body, maxDiscardBytes); err != io.EOF {
		a.conn.Close()
		return
	}
	a.conn.Release()
}

// closeConn closes the connection, since the rest of the answer is not read.
func (a *attempt) closeConn() { a.conn.Close() }

// responseHeader returns the responseHeader for the caller.
func (a *attempt) responseHeader() http.Header {
	h := make(http.Header, len(a.response.Header))
	stripper.CopyEndToEnd(h, a.response.Header, nil)
	return h
}

// streamBody passes a long answer on as it arrives, until the caller's time is over.
func (a *attempt) streamBody(to *acceptor.ResponseWriter) (int64, error) {
	stop := context.AfterFunc(a.ctx, a.conn.Interrupt)
	defer stop()
	total, err := to.Write(a.body)
	n := int64(total)
	buf := make([]byte, streamBufferBytes)
	for err == nil {
		a.conn.SetReadDeadline(earlier(time.Now().Add(streamStallTimeout), a.x.streamDeadline))
		var k int
		k, err = a.response.Body.Read(buf)
		if k > 0 {
			if _, failure := to.Write(buf[:k]); failure != nil {
				a.conn.Close()
				return n, failure
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

// recordOutcome tells the upstream's state what the attempt showed.
func (a *attempt) recordOutcome(now time.Time) {
	if a.metadata.HasLoad {
		a.upstream.ReportLoad(a.metadata.Load, now)
	}
	cause := context.Cause(a.ctx)
	switch kind := classifier.Of(a.err); {
	case a.err == nil:
		a.recordSuccess(now)
	case kind == classifier.Unreachable && !errors.Is(cause, context.Canceled):
		a.upstream.RecordUnreachable(now)
	case kind == classifier.Shed && a.response.StatusCode == http.StatusMisdirectedRequest:
		// Another process has the address.
		a.upstream.RecordUnreachable(now)
	case kind == classifier.Shed:
		a.upstream.RecordShed(now, a.metadata.HasLoad && a.metadata.Load.Running < a.metadata.Load.Slots)
	case cause != nil || kind == classifier.TimedOut:
		a.upstream.RecordOverdue(now, float64(a.elapsed)/float64(a.expectedTime()))
		if !now.Before(a.x.deadline) {
			a.x.s.o.Ranker.ObserveTimeout(now, a.x.service, a.x.route.Name, a.upstream.Region(), a.elapsed)
		}
	case a.errorStatus != 0:
		a.upstream.RecordFailure(now)
	case kind == classifier.Failed || kind == classifier.Truncated:
		a.upstream.RecordConnectionLoss(now)
	}
}

func (a *attempt) expectedTime() time.Duration {
	return max(a.choice.QueueWait+a.choice.UnloadedLatency, time.Millisecond)
}

func (a *attempt) recordSuccess(now time.Time) {
	a.upstream.RecordSuccess(now, float64(a.elapsed)/float64(a.expectedTime()))
	o := &a.x.s.o
	if a.choice.QueueWait == 0 && a.metadata.Load.Waiting == 0 && !a.upstream.Cold(now) {
		o.Ranker.ObserveResponse(now, a.x.service, a.x.route.Name, a.choice.Warm, a.upstream.Region(), a.elapsed)
	}
	if a.x.object != 0 {
		a.upstream.MarkWarm(a.x.object, now)
	}
}

// logEntry returns the attempt's part of the request's line.
func (a *attempt) logEntry() *zerolog.Event {
	d := zerolog.Dict().Str("upstream", a.upstream.ID()).Str("region", a.upstream.Region()).
		Dur("wait", a.choice.QueueWait).Dur("work", a.choice.UnloadedLatency).Float64("load", a.choice.Load).
		Int("rank", a.choice.Rank).Bool("warm", a.choice.Warm).Bool("planned", a.choice.Planned).
		Dur("begun", a.start.Sub(a.x.call.Arrived))
	if !a.done.Load() {
		return d.Str("outcome", "under way")
	}
	d.Dur("took", a.elapsed)
	if a.err != nil {
		return d.Str("outcome", classifier.Of(a.err).String()).AnErr("error", a.err)
	}
	return d.Str("outcome", "answered")
}
