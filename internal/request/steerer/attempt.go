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
	// wholeAnswer is the size up to which an answer is read before the caller
	// gets its first byte, so that a broken one can be replaced.
	wholeAnswer = 1 << 20
	streamSize  = 32 << 10
	// stallTime is how long a streamed answer may make no progress.
	stallTime = 10 * time.Second
)

// attempt is one request to one upstream. It runs in its own goroutine until its
// result is read.
type attempt struct {
	x        *exchange
	choice   ranker.Choice
	up       *registrar.Upstream
	start    time.Time
	pauses   uint64    // of the process, when the upstream was chosen
	deadline time.Time // told to the upstream
	ctx      context.Context
	cancel   context.CancelCauseFunc
	conn     *sender.Conn
	signs    ResponseMetadata
	answer   *http.Response
	body     []byte
	whole    bool // body is the whole body
	streamed bool // the request's body was read from the caller
	status   int  // of an answer that may be passed on after err
	err      error
	took     time.Duration
	done     atomic.Bool
	held     int64        // bytes of the bodies that are reserved
	users    atomic.Int32 // of the body: the attempt and its request
}

func newAttempt(x *exchange, c ranker.Choice, now time.Time) *attempt {
	a := &attempt{x: x, choice: c, up: c.Upstream, start: now, deadline: x.deadline}
	if a.teaches() {
		a.deadline = x.patience
	}
	parent := x.ctx
	if !x.repeatable() {
		// What may run only once is not broken off when its caller leaves.
		parent = context.WithoutCancel(parent)
	}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	a.users.Store(2)
	a.up.BeginRequest()
	return a
}

// release ends one use of the body. The memory is free again after both, because an
// attempt may go on when its request has been answered.
func (a *attempt) release() {
	if a.users.Add(-1) == 0 {
		a.x.s.o.Memory.Release(a.held)
	}
}

// teaches reports whether the upstream probably has to learn the object. Such work
// goes on when the route's time is over, as long as the caller is there, or an
// upstream would never learn an object that takes longer than that.
func (a *attempt) teaches() bool {
	return a.x.repeatable() && a.x.object != 0 && !a.choice.Warm
}

// stop ends the attempt if it is under way and may be broken off.
func (a *attempt) stop() {
	if a.x.over && a.teaches() {
		return
	}
	if a.x.repeatable() || time.Now().After(a.x.deadline) {
		a.cancel(errHedged)
	}
}

// run sends the request and reads the answer.
func (a *attempt) run() {
	defer a.release()
	defer a.up.EndRequest()
	a.err = a.exchange()
	now := time.Now()
	a.took = now.Sub(a.start)
	a.learn(now)
	a.done.Store(true)
}

// fail ends an attempt that did not come to its end by itself.
func (a *attempt) fail() {
	if a.conn != nil {
		a.conn.Close()
	}
	a.err = classifier.Internal.New("the attempt at upstream %s panicked", a.up.ID())
	a.done.Store(true)
}

func (a *attempt) exchange() error {
	x := a.x
	var err error
	if a.conn, err = x.s.o.Sender.Get(a.ctx, a.up.Address()); err != nil {
		return err
	}
	now := time.Now()
	if !a.conn.Reused() {
		x.s.o.Ranker.ObserveRTT(a.up.Region(), now.Sub(a.start))
	}
	if x.ctx.Err() != nil || !now.Before(x.deadline) {
		// The host may have been paused, or the caller may have left, while the
		// connection was opened.
		a.conn.Close()
		return classifier.Expired.New("the deadline passed before dispatch")
	}
	r, err := a.request(now)
	if err != nil {
		a.conn.Close()
		return err
	}
	if x.s.o.Watchdog.Pauses() != a.pauses {
		// The upstream may have left, and its limits may be others' by now.
		a.conn.Close()
		return errStale
	}
	if a.answer, err = a.conn.Do(a.ctx, r, a.deadline); err != nil {
		return err
	}
	return a.check()
}

// request builds what is sent.
func (a *attempt) request(now time.Time) (*sender.Request, error) {
	x, in := a.x, a.x.call.Request
	body := x.call.Body
	if in.Body != nil {
		a.streamed = true
		var b bytes.Buffer
		held, whole, err := x.s.o.Memory.ReadBody(&b, in.Body, in.ContentLength, math.MaxInt64)
		a.held += held
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
	x.s.o.Dialect.SetUpstreamFields(h, a.up.ID(), a.deadline.Sub(now))
	return &sender.Request{Method: in.Method, Target: in.RequestURI, Host: in.Host, Header: h, Body: body}, nil
}

// check decides what the answer is worth, and reads a short one to its end.
func (a *attempt) check() error {
	s := a.answer.StatusCode
	a.signs = a.x.s.o.Dialect.ResponseMetadata(s, a.answer.Header)
	switch {
	case a.signs.NotRun:
		a.discard()
		return classifier.Shed.New("upstream %s refused the request before running it", a.up.ID())
	case promises(s):
		a.abandon()
		return classifier.Failed.New("upstream %s answered %d without saying that the request did not run", a.up.ID(), s)
	case s < http.StatusMultipleChoices && !a.signs.Signed:
		a.abandon()
		return classifier.ResponseMismatch.New("upstream %s answered %d without its signature", a.up.ID(), s)
	}
	if a.answer.ContentLength > wholeAnswer {
		return nil
	}
	if err := a.read(); err != nil {
		return err
	}
	if s >= http.StatusInternalServerError {
		a.status = s
		return classifier.Failed.New("upstream %s failed the request with %d", a.up.ID(), s)
	}
	return nil
}

// promises reports whether a status tells a caller that its request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// read reads the body, as far as it is short and memory is free for it.
func (a *attempt) read() error {
	stop := context.AfterFunc(a.ctx, a.conn.Interrupt)
	defer stop()
	var b bytes.Buffer
	held, whole, err := a.x.s.o.Memory.ReadBody(&b, a.answer.Body, a.answer.ContentLength, wholeAnswer)
	a.held += held
	a.body, a.whole = b.Bytes(), whole
	switch {
	case err != nil:
		a.conn.Close()
		return a.broken(err)
	case whole:
		a.conn.Release()
	}
	return nil // what is left is streamed
}

func (a *attempt) broken(err error) error {
	if !time.Now().Before(a.deadline) {
		return classifier.TimedOut.Wrap(err, "upstream "+a.up.ID())
	}
	return classifier.Truncated.Wrap(err, "upstream "+a.up.ID())
}

// discardMost bounds what is read of a refusal to keep its connection.
const discardMost = 4 << 10

func (a *attempt) discard() {
	if _, err := io.CopyN(io.Discard, a.answer.Body, discardMost); err != io.EOF {
		a.conn.Close()
		return
	}
	a.conn.Release()
}

// abandon closes the connection, since the rest of the answer is not read.
func (a *attempt) abandon() { a.conn.Close() }

// header returns the header for the caller.
func (a *attempt) header() http.Header {
	h := make(http.Header, len(a.answer.Header))
	stripper.CopyEndToEnd(h, a.answer.Header, nil)
	return h
}

// stream passes a long answer on as it arrives, until the caller's time is over.
func (a *attempt) stream(to *acceptor.ResponseWriter) (int64, error) {
	stop := context.AfterFunc(a.ctx, a.conn.Interrupt)
	defer stop()
	total, err := to.Write(a.body)
	n := int64(total)
	buf := make([]byte, streamSize)
	for err == nil {
		a.conn.SetReadDeadline(earlier(time.Now().Add(stallTime), a.x.streamed))
		var k int
		k, err = a.answer.Body.Read(buf)
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
		return n, a.broken(err)
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

// learn tells the upstream's state what the attempt showed.
func (a *attempt) learn(now time.Time) {
	if a.signs.HasLoad {
		a.up.ReportLoad(a.signs.Load, now)
	}
	cause := context.Cause(a.ctx)
	switch kind := classifier.Of(a.err); {
	case a.err == nil:
		a.succeed(now)
	case kind == classifier.Unreachable && !errors.Is(cause, context.Canceled):
		a.up.RecordUnreachable(now)
	case kind == classifier.Shed && a.answer.StatusCode == http.StatusMisdirectedRequest:
		// Another process has the address.
		a.up.RecordUnreachable(now)
	case kind == classifier.Shed:
		a.up.RecordShed(now, a.signs.HasLoad && a.signs.Load.Running < a.signs.Load.Slots)
	case cause != nil || kind == classifier.TimedOut:
		a.up.RecordOverdue(now, float64(a.took)/float64(a.expected()))
		if !now.Before(a.x.deadline) {
			a.x.s.o.Ranker.ObserveTimeout(now, a.x.service, a.x.route.Name, a.up.Region(), a.took)
		}
	case a.status != 0:
		a.up.RecordFailure(now)
	case kind == classifier.Failed || kind == classifier.Truncated:
		a.up.RecordConnectionLoss(now)
	}
}

func (a *attempt) expected() time.Duration {
	return max(a.choice.QueueWait+a.choice.UnloadedLatency, time.Millisecond)
}

func (a *attempt) succeed(now time.Time) {
	a.up.RecordSuccess(now, float64(a.took)/float64(a.expected()))
	o := &a.x.s.o
	if a.choice.QueueWait == 0 && a.signs.Load.Waiting == 0 && !a.up.Cold(now) {
		o.Ranker.ObserveResponse(now, a.x.service, a.x.route.Name, a.choice.Warm, a.up.Region(), a.took)
	}
	if a.x.object != 0 {
		a.up.MarkWarm(a.x.object, now)
	}
}

// describe returns the attempt's part of the request's line.
func (a *attempt) describe() *zerolog.Event {
	d := zerolog.Dict().Str("upstream", a.up.ID()).Str("region", a.up.Region()).
		Dur("wait", a.choice.QueueWait).Dur("work", a.choice.UnloadedLatency).Float64("load", a.choice.Load).
		Int("rank", a.choice.Rank).Bool("warm", a.choice.Warm).Bool("planned", a.choice.Planned).
		Dur("begun", a.start.Sub(a.x.call.Arrived))
	if !a.done.Load() {
		return d.Str("outcome", "under way")
	}
	d.Dur("took", a.took)
	if a.err != nil {
		return d.Str("outcome", classifier.Of(a.err).String()).AnErr("error", a.err)
	}
	return d.Str("outcome", "answered")
}
