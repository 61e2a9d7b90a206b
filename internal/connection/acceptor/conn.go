package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
)

const (
	// maxPipelinedRequests bounds the requests in flight on one connection.
	maxPipelinedRequests = 16
	// disconnectPollInterval is how often the reader checks for a disconnect of the caller
	// while it waits for requests in flight and does not read the socket.
	disconnectPollInterval = 100 * time.Millisecond
	writeBufferBytes       = 4 << 10
)

// Causes for which the contexts of requests are canceled.
var (
	errCallerDisconnected = errors.New("caller disconnected")
	errResponseComplete   = errors.New("response is complete")
	errResponseAborted    = errors.New("earlier response was aborted")
)

// conn is one connection of a caller. One goroutine reads the requests, and each request
// is handled in a goroutine of its own.
type conn struct {
	acceptor *Acceptor
	raw      net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	ctx      context.Context
	cancel   context.CancelCauseFunc

	// Used by the reader only.
	readErr       error           // why the connection ended while a request was awaited or read
	precedingDone <-chan struct{} // closed when the response to the last request read is complete

	mu              sync.Mutex
	inFlight        int // requests in flight
	calls           []*Call
	body            *timedBody // that was last read or is being read
	nextArrived     bool       // the next request has begun to arrive and is to be served
	closing         bool       // no further request is read
	readBufferBytes int
	lastActive      time.Time // when the connection was accepted or its last response completed
}

func newConn(a *Acceptor, raw net.Conn) *conn {
	c := &conn{acceptor: a, raw: raw, lastActive: time.Now()}
	c.readBufferBytes = a.options.Limits().withDefaults().HeaderBytes
	c.br = bufio.NewReaderSize(raw, c.readBufferBytes)
	c.bw = bufio.NewWriterSize(raw, writeBufferBytes)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	precedingDone := make(chan struct{})
	close(precedingDone)
	c.precedingDone = precedingDone
	return c
}

// closeIdle makes the reader close the connection if it has been idle for
// minIdleBeforeClose. Only the reader knows whether it has just read a request.
func (c *conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 && !c.nextArrived && now.Sub(c.lastActive) >= minIdleBeforeClose && peeker.Idle(c.raw) {
		c.interruptReader()
	}
}

// serve reads requests until the caller disconnects or a response closes the connection.
func (c *conn) serve() {
	defer c.acceptor.remove(c)
	var wg sync.WaitGroup
	allConcurrent := true // all requests in flight may run concurrently
	slots := newSlots()
	for {
		call, refusal := c.readRequest()
		if call == nil && refusal == 0 {
			break
		}
		concurrent := refusal == 0 && call.Request.Body == nil && c.acceptor.options.Concurrent(call.Request)
		if !allConcurrent || !concurrent {
			c.await(c.precedingDone)
		}
		allConcurrent = concurrent
		c.await(slots)
		if !c.startRequest(call) {
			c.acceptor.droppedRequests.Add(1)
			c.releaseBody(call)
			break // a preceding response closes the connection: the request is dropped
		}
		response := newResponseWriter(c, call, c.precedingDone)
		c.precedingDone = response.done
		streamsBody := refusal == 0 && call.Request.Body != nil
		wg.Go(func() {
			defer func() { slots <- struct{}{} }()
			c.run(call, response, refusal)
		})
		if refusal != 0 {
			break
		}
		// The handler reads a streamed body from the connection, so the next request
		// can't be read before its end.
		if streamsBody && !c.awaitBodyConsumed(response) {
			break
		}
	}
	c.finish(&wg)
}

// awaitBodyConsumed waits until the response is complete and reports whether the body of the
// request was read to its end.
func (c *conn) awaitBodyConsumed(response *ResponseWriter) bool {
	c.await(response.done)
	return response.bodyConsumed()
}

// newSlots returns a channel that holds a value for each request that may start.
func newSlots() chan struct{} {
	slots := make(chan struct{}, maxPipelinedRequests)
	for range maxPipelinedRequests {
		slots <- struct{}{}
	}
	return slots
}

// await receives from ch, to which a request in flight sends or which it closes. If the caller
// disconnects meanwhile, it cancels the requests in flight.
func (c *conn) await(ch <-chan struct{}) {
	select {
	case <-ch:
		return
	default:
	}
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ch:
			return
		case <-ticker.C:
			if peeker.Disconnected(c.raw) {
				c.cancel(errCallerDisconnected)
			}
		}
	}
}

// startRequest counts a request as in flight and decides whether it is the last one that is
// read. It reports false if the connection is closing, in which case the request must not
// run.
func (c *conn) startRequest(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// HTTP/1.0 callers are not told that the connection stays open, so it closes.
	closeRequested := call != nil && (call.Request.Close || !call.Request.ProtoAtLeast(1, 1))
	c.nextArrived = call != nil && !closeRequested && call.Request.Body == nil && c.requestBuffered()
	if c.closing {
		return false
	}
	// While keep-alives are disabled a request is the last one of its connection, unless
	// another one has already arrived. Otherwise a caller that always has another request
	// in flight would never get a response that closes the connection. Shutdown does not
	// wait for the requests that have arrived either, because the buffer may hold more of
	// them than complete in its time.
	if c.acceptor.shuttingDown.Load() {
		c.nextArrived = false
	}
	c.closing = closeRequested || c.acceptor.keepAlivesDisabled.Load() && !c.nextArrived
	c.inFlight++
	if call != nil {
		c.calls = append(c.calls, call)
	}
	c.acceptor.activeRequests.Add(1)
	return true
}

// requestBuffered reports whether the buffer contains the complete header of the next
// request.
func (c *conn) requestBuffered() bool {
	buf, _ := c.br.Peek(c.br.Buffered())
	return bytes.Contains(buf, []byte("\r\n\r\n"))
}

// unfinished describes the requests in flight.
func (c *conn) unfinished() []Unfinished {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Unfinished, 0, len(c.calls))
	for _, call := range c.calls {
		out = append(out, Unfinished{Request: call.Request, Arrived: call.Arrived, Pipelined: c.inFlight})
	}
	return out
}

func (c *conn) run(call *Call, response *ResponseWriter, refusal int) {
	defer c.acceptor.activeRequests.Add(-1)
	defer response.finish()
	defer c.releaseBody(call) // before the caller has read the response
	if refusal != 0 {
		response.Refuse(refusal, nil)
		return
	}
	if c.acceptor.options.Guard("request", func() { c.acceptor.options.Handler.Serve(c.ctx, call, response) }) {
		response.fail()
	}
}

// releaseBody drops the reference to the body of a call, which may be nil.
func (c *conn) releaseBody(call *Call) {
	if call != nil {
		call.Body.Release()
	}
}

// readRequest reads one request. If it returns no call, the status is that of the error
// response to send, or 0 if the connection ends without one.
func (c *conn) readRequest() (*Call, int) {
	limits := c.acceptor.options.Limits().withDefaults()
	if !c.awaitRequest(limits.IdleTimeout) {
		return nil, 0
	}
	if err := c.awaitFirstByte(); err != nil {
		c.readErr = err
		return nil, 0
	}
	arrived := time.Now()
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		c.acceptor.droppedRequests.Add(1)
		return nil, 0
	}
	c.nextArrived = true
	c.mu.Unlock()
	_ = c.raw.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	head, status, err := peekHeader(c.br, min(limits.HeaderBytes, c.readBufferBytes))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, http.StatusRequestTimeout
	}
	if status != 0 || err != nil {
		c.readErr = err
		return nil, status
	}
	if status := validateHeader(head); status != 0 {
		return nil, status
	}
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	call, status := c.readBody(&Call{Request: r, Arrived: arrived}, limits)
	if (call != nil || status == http.StatusRequestTimeout) && c.acceptor.readingEnded() {
		c.acceptor.droppedRequests.Add(1)
		c.releaseBody(call)
		return nil, http.StatusServiceUnavailable
	}
	return call, status
}

// awaitRequest sets the deadline for the first byte of the next request, and reports
// whether a further request may be read. There is no deadline while requests are in
// flight, because the idle time counts from the last response.
func (c *conn) awaitRequest(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	if c.inFlight == 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.raw.SetReadDeadline(deadline)
	return !c.closing
}

// awaitFirstByte waits for the first byte of the next request. It returns an error if the
// caller disconnects, a response closes the connection or the read deadline passes. If bytes
// are in the socket at the deadline, it waits for them without one.
func (c *conn) awaitFirstByte() error {
	for {
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isClosing() || peeker.Idle(c.raw) {
			return err
		}
		_ = c.raw.SetReadDeadline(time.Time{})
	}
}

// isClosing reports whether no further request is read.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
