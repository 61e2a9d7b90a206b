package acceptor

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
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
	// maxBufferedBodyBytes is the size up to which a body is buffered before its request
	// runs, so that the request can be retried and a slow caller does not occupy an
	// upstream.
	maxBufferedBodyBytes = 1 << 20
	// bodyReadTimeout bounds the time of one read of a body.
	bodyReadTimeout = 10 * time.Second
	// lingerTimeout is how long the connection is drained after its last response.
	// Closing a socket with unread bytes resets the connection, which could make the
	// caller lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerTime bounds how long a connection stays open after its last response while
	// the caller has not acknowledged the whole response. It is the time that one write of
	// the response may take.
	maxLingerTime = writeTimeout
	// disconnectPollInterval is how often the reader checks for a disconnect of the caller
	// while it waits for requests in flight and does not read the socket.
	disconnectPollInterval = 100 * time.Millisecond
	writeBufferBytes       = 4 << 10
)

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
	reading         bool // a request is being read or is in the buffer
	closing         bool // no further request is read
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
	if c.inFlight == 0 && !c.reading && now.Sub(c.lastActive) >= minIdleBeforeClose && peeker.Idle(c.raw) {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
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

// finish waits for the requests in flight and closes a connection from which no further
// request is read. If the caller disconnected, it cancels these requests first.
func (c *conn) finish(wg *sync.WaitGroup) {
	if c.isClosing() {
		c.discardUntilDone(wg)
	} else {
		c.cancel(cmp.Or(c.readErr, errCallerDisconnected))
		wg.Wait()
	}
	c.cancel(errResponseComplete)
	if c.isClosing() {
		c.linger()
	}
	_ = c.raw.Close()
}

// discardUntilDone waits for the requests in flight, discards what the caller still sends,
// and cancels the requests if the caller disconnects.
func (c *conn) discardUntilDone(wg *sync.WaitGroup) {
	_ = c.raw.SetReadDeadline(time.Time{})
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		if _, err := io.Copy(io.Discard, c.raw); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel(cmp.Or(err, errCallerDisconnected))
		}
	}()
	wg.Wait()
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	<-discarded
}

// startRequest counts a request as in flight and decides whether it is the last one that is
// read. It reports false if the connection is closing, in which case the request must not
// run.
func (c *conn) startRequest(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// HTTP/1.0 callers are not told that the connection stays open, so it closes.
	closeRequested := call != nil && (call.Request.Close || !call.Request.ProtoAtLeast(1, 1))
	c.reading = call != nil && !closeRequested && call.Request.Body == nil && c.requestBuffered()
	if c.closing {
		return false
	}
	// While keep-alives are disabled a request is the last one of its connection, unless
	// another one has already arrived. Otherwise a caller that always has another request
	// in flight would never get a response that closes the connection. Shutdown does not
	// wait for the requests that have arrived either, because the buffer may hold more of
	// them than complete in its time.
	if c.acceptor.shuttingDown.Load() {
		c.reading = false
	}
	c.closing = closeRequested || c.acceptor.keepAlivesDisabled.Load() && !c.reading
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
	defer c.releaseBody(call)
	defer response.finish()
	if refusal != 0 {
		response.Refuse(refusal, nil)
		return
	}
	if c.acceptor.options.Guard("request", func() { c.acceptor.options.Handler.Serve(c.ctx, call, response) }) {
		response.fail()
	}
}

// releaseBody releases the memory reserved for the body of a call, which may be nil.
func (c *conn) releaseBody(call *Call) {
	if call != nil {
		c.acceptor.options.Memory.Release(call.reservedBytes)
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
	c.reading = true
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
	if end := c.acceptor.readEnd.Load(); call != nil && end != 0 && time.Now().UnixNano() >= end {
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

// readBody buffers a short body and sets up a long one to be streamed by the handler. A
// body is also streamed if the memory for buffered bodies is used up.
func (c *conn) readBody(call *Call, limits Limits) (*Call, int) {
	r := call.Request
	if r.ContentLength == 0 {
		r.Body = nil
		return call, 0
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.Header.Get("Expect") != "" {
		// The response to the preceding request may still be written.
		c.await(c.precedingDone)
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0
		}
		r.Header.Del("Expect")
	}
	body := &timedBody{c: c, src: r.Body, remaining: limits.BodyBytes}
	if r.ContentLength > maxBufferedBodyBytes {
		r.Body = body
		return call, 0
	}
	var b bytes.Buffer
	reserved, whole, err := c.acceptor.options.Memory.ReadBody(&b, body, r.ContentLength, maxBufferedBodyBytes)
	call.reservedBytes = reserved
	if err != nil {
		c.acceptor.options.Memory.Release(reserved)
	}
	switch {
	case errors.Is(err, errTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		c.readErr = err
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	case !whole:
		r.Body = &prefixedBody{prefix: b.Bytes(), rest: body}
		return call, 0
	}
	call.Body, r.Body = b.Bytes(), nil
	return call, 0
}

// abort ends the connection after an incomplete response and cancels the requests behind it.
// The end of the connection is visible to the caller as the end of a response only if the
// response is delimited by it, so that one is reset. A reset would also discard complete
// responses that have not been transmitted yet.
func (c *conn) abort(closeDelimited bool) {
	c.cancel(errResponseAborted)
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok || closeDelimited || tcp.CloseWrite() != nil {
		if ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

// linger half-closes the connection after its last response and discards what the caller
// still sends, for lingerTimeout and until the caller has acknowledged the response.
func (c *conn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for end := time.Now().Add(maxLingerTime); time.Now().Before(end); {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, err := io.Copy(io.Discard, c.raw)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !peeker.HasUnacknowledged(c.raw) {
			return
		}
	}
}

var errTooLarge = errors.New("request body exceeds the limit")

// timedBody reads a body with a bound on its size and a timeout for each read. Another
// goroutine than that of the response may read it.
type timedBody struct {
	c         *conn
	src       io.ReadCloser
	remaining int64

	mu    sync.Mutex
	atEOF bool
	ended bool // the response is complete
}

// Read implements io.Reader. It fails with errTooLarge when the bound is used up, and with
// errResponseComplete after the response.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	if !b.extendDeadline() {
		return 0, errResponseComplete
	}
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.atEOF = err == io.EOF
	return n, err
}

// extendDeadline sets the deadline of the next read. It reports false after the response, when
// the deadline belongs to the reader of the connection.
func (b *timedBody) extendDeadline() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	_ = b.c.raw.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return true
}

// end makes further reads fail.
func (b *timedBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *timedBody) isAtEOF() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.atEOF
}

// Close implements io.Closer. It does not read the rest of the body.
func (*timedBody) Close() error { return nil }

// prefixedBody is a body whose beginning has been read into prefix.
type prefixedBody struct {
	prefix []byte
	rest   *timedBody
}

// Read implements io.Reader.
func (p *prefixedBody) Read(b []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(b, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.rest.Read(b)
}

// Close implements io.Closer.
func (p *prefixedBody) Close() error { return p.rest.Close() }

// streamedBody returns the body that the handler reads from the connection, or nil if there is
// none.
func (c *Call) streamedBody() *timedBody {
	switch b := c.Request.Body.(type) {
	case *timedBody:
		return b
	case *prefixedBody:
		return b.rest
	default:
		return nil
	}
}
