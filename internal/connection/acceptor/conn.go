package acceptor

import (
	"bufio"
	"bytes"
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
	// pipelined bounds the requests of one connection that are under way.
	pipelined = 16
	// wholeBody is the size up to which a body is read before its request runs,
	// so that it can be sent again and never ties up an upstream.
	wholeBody = 1 << 20
	// bodyWithin bounds the time for one buffer of a body.
	bodyWithin = 10 * time.Second
	// lingerTime is how long the rest of what a caller sends is read after the
	// last answer. Closing with unread bytes would reset the connection and could
	// destroy the answer.
	lingerTime = 500 * time.Millisecond
	writeSize  = 4 << 10
)

var errLeft = errors.New("the caller left")

// conn is one connection of a caller. One goroutine reads, and each request has
// one that answers it.
type conn struct {
	a      *Acceptor
	raw    net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	under    int  // requests under way
	reading  bool // a request is being read
	closing  bool // no further request is read
	headSize int
	since    time.Time // when it was accepted or answered last
}

func newConn(a *Acceptor, raw net.Conn) *conn {
	c := &conn{a: a, raw: raw, since: time.Now()}
	c.headSize = a.options.Limits().filled().HeaderBytes
	c.br = bufio.NewReaderSize(raw, c.headSize)
	c.bw = bufio.NewWriterSize(raw, writeSize)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// closeIdle closes the connection if nothing was sent on it for a moment. Bytes that
// have arrived are a request that has yet to be read.
func (c *conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.under == 0 && !c.reading && now.Sub(c.since) >= quietTime && peeker.Idle(c.raw) {
		c.closing = true
		_ = c.raw.Close()
	}
}

// serve reads requests until the caller leaves or an answer closes the
// connection.
func (c *conn) serve() {
	defer c.a.remove(c)
	var wg sync.WaitGroup
	turn := make(chan struct{}) // closed when the answer before is complete
	close(turn)
	plain := true // all requests under way are repeatable
	places := make(chan struct{}, pipelined)
	for {
		call, refusal := c.next()
		if call == nil && refusal == 0 {
			break
		}
		repeatable := refusal == 0 && call.Request.Body == nil && c.a.options.Concurrent(call.Request)
		if !plain || !repeatable {
			<-turn
		}
		plain = repeatable
		places <- struct{}{}
		if !c.begin() {
			c.forget(call)
			break // an answer before it closes the connection: not read
		}
		answer := newAnswer(c, call, turn)
		turn = answer.done
		streams := refusal == 0 && call.Request.Body != nil
		wg.Go(func() {
			defer func() { <-places }()
			c.run(call, answer, refusal)
		})
		if refusal != 0 {
			break
		}
		// The handler reads a long body from the connection.
		if streams && !answer.consumed() {
			break
		}
	}
	c.finish(&wg)
}

// finish ends a connection on which nothing more is read.
func (c *conn) finish(wg *sync.WaitGroup) {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if !closing {
		c.cancel(errLeft)
	}
	wg.Wait()
	c.cancel(errLeft)
	if closing {
		c.linger()
	}
	_ = c.raw.Close()
}

// begin counts a request that is about to run, unless the connection is to be
// closed.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.under++
	c.a.active.Add(1)
	return true
}

func (c *conn) run(call *Call, answer *ResponseWriter, refusal int) {
	defer c.a.active.Add(-1)
	defer c.forget(call)
	defer answer.end()
	if refusal != 0 {
		answer.Refuse(refusal, nil)
		return
	}
	if c.a.options.Guard("request", func() { c.a.options.Handler.Serve(c.ctx, call, answer) }) {
		answer.fail()
	}
}

// forget gives back the memory of a request, if one was read.
func (c *conn) forget(call *Call) {
	if call != nil {
		c.a.options.Memory.Release(call.held)
	}
}

// next reads one request. Without a request, the status is what the caller is
// told, or 0 if there is nobody to tell.
func (c *conn) next() (*Call, int) {
	limits := c.a.options.Limits().filled()
	if !c.await(limits.IdleTimeout) {
		return nil, 0
	}
	if _, err := c.br.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.idle()
		}
		return nil, 0
	}
	arrived := time.Now()
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil, 0
	}
	c.reading = true
	c.mu.Unlock()
	_ = c.raw.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	head, status := readHead(c.br, min(limits.HeaderBytes, c.headSize))
	if status != 0 || head == nil {
		return nil, status
	}
	if status := checkHead(head); status != 0 {
		return nil, status
	}
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	return c.body(&Call{Request: r, Arrived: arrived}, limits)
}

// await sets the deadline for the first byte of the next request. The idle time
// counts from the last answer, so there is none while requests are under way.
func (c *conn) await(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	if c.under == 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.raw.SetReadDeadline(deadline)
	return !c.closing
}

// idle ends a connection that carried nothing for its idle time, unless requests
// are under way.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// body reads a body that is short, and leaves a long one to the handler.
func (c *conn) body(call *Call, limits Limits) (*Call, int) {
	r := call.Request
	if r.ContentLength == 0 {
		r.Body = nil
		return call, 0
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.Header.Get("Expect") != "" {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0
		}
		r.Header.Del("Expect")
	}
	body := &timedBody{c: c, src: r.Body, left: limits.BodyBytes}
	if r.ContentLength > wholeBody {
		r.Body = body
		return call, 0
	}
	var b bytes.Buffer
	held, whole, err := c.a.options.Memory.ReadBody(&b, body, r.ContentLength, wholeBody)
	call.held = held
	if err != nil {
		c.a.options.Memory.Release(held)
	}
	switch {
	case errors.Is(err, errTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	case !whole:
		r.Body = &prefixed{head: b.Bytes(), rest: body}
		return call, 0
	}
	call.Body, r.Body = b.Bytes(), nil
	return call, 0
}

// linger reads on for a short time after the last answer.
func (c *conn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
}

var errTooLarge = errors.New("the body is too long")

// timedBody reads a body with a deadline for each read and a bound.
type timedBody struct {
	c    *conn
	src  io.ReadCloser
	left int64
	done bool
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	_ = b.c.raw.SetReadDeadline(time.Now().Add(bodyWithin))
	n, err := b.src.Read(p)
	b.left -= int64(n)
	b.done = err == io.EOF
	return n, err
}

// Close implements io.Closer. What is left is not read.
func (*timedBody) Close() error { return nil }

// prefixed is a body of which the beginning was read.
type prefixed struct {
	head []byte
	rest *timedBody
}

// Read implements io.Reader.
func (p *prefixed) Read(b []byte) (int, error) {
	if len(p.head) > 0 {
		n := copy(b, p.head)
		p.head = p.head[n:]
		return n, nil
	}
	return p.rest.Read(b)
}

// Close implements io.Closer.
func (p *prefixed) Close() error { return p.rest.Close() }
