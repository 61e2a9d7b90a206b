package acceptor

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/segmenter"
)

const (
	// maxBufferedBodyBytes is the size up to which a body is buffered before its request
	// runs, so that the request can be retried and a slow caller does not occupy an
	// upstream.
	maxBufferedBodyBytes = 1 << 20
	// bodyReadTimeout bounds the time of one read of a body.
	bodyReadTimeout = 10 * time.Second
	// longBodyReserve is the fraction of the memory that long bodies leave free, so that
	// requests with short bodies are still served beside many uploads.
	longBodyReserve = 0.25
)

// Errors of ReadBody.
var (
	ErrNoMemory = segmenter.ErrNoMemory
	ErrTooLarge = errors.New("request body exceeds the limit")
	ErrStopping = errors.New("the request body is incomplete, and the host is stopping")
)

// readBody buffers a short body and leaves a long one to the handler, which reads it with
// ReadBody. A body is also left to the handler if the memory for buffered bodies is used up.
func (c *conn) readBody(call *Call, limits Limits) (*Call, int) {
	r := call.Request
	if r.ContentLength == 0 {
		r.Body = nil
		return call, 0
	}
	body := &timedBody{c: c, src: r.Body, remaining: limits.BodyBytes, awaitsContinue: r.Header.Get("Expect") != "", precedingDone: c.precedingDone}
	r.Header.Del("Expect")
	if o := &c.acceptor.options; o.BodyDeadline != nil {
		body.deadline = o.BodyDeadline(r, call.Arrived)
	}
	c.mu.Lock()
	c.body = body
	c.mu.Unlock()
	if r.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	call.Body = segmenter.New(c.acceptor.options.Memory, r.ContentLength)
	r.Body = body
	if r.ContentLength > maxBufferedBodyBytes {
		return call, 0
	}
	complete, err := call.Body.Fill(body, maxBufferedBodyBytes, 0)
	switch {
	case complete:
		r.Body = nil
		return call, 0
	case err == nil || err == ErrNoMemory:
		return call, 0
	}
	call.Body.Release()
	switch {
	case errors.Is(err, ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errCallerDisconnected):
		c.readErr = err
		return nil, 0
	default:
		return nil, http.StatusBadRequest
	}
}

// ReadBody reads the rest of a body of which the Body of Request is not nil, so that the Body
// of the call is complete. Memory for a body of known length is reserved before its first byte
// is read. The error is ErrNoMemory, ErrTooLarge, ErrStopping, os.ErrDeadlineExceeded if the
// caller sent too slowly, or an error of the connection or of the body's framing.
func (c *Call) ReadBody() error {
	body := c.streamedBody()
	if body == nil {
		return nil
	}
	if !c.Body.Reserve(longBodyReserve) {
		return ErrNoMemory
	}
	_, err := c.Body.Fill(body, math.MaxInt64, longBodyReserve)
	if a := body.c.acceptor; (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) && a.readingEnded() {
		a.droppedRequests.Add(1)
		return ErrStopping
	}
	return err
}

// timedBody reads a body with a bound on its size and a timeout for each read. Another
// goroutine than that of the response may read it.
type timedBody struct {
	c              *conn
	src            io.ReadCloser
	remaining      int64
	deadline       time.Time       // for the whole body, zero for none
	awaitsContinue bool            // the caller waits for status 100 before it sends the body
	precedingDone  <-chan struct{} // closed when the preceding response is complete

	mu    sync.Mutex
	atEOF bool
	ended bool // the response is complete
}

// Read implements io.Reader. It fails with ErrTooLarge when the bound is exceeded, and with
// errResponseComplete after the response.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, ErrTooLarge
	}
	if b.awaitsContinue {
		if err := b.writeContinue(); err != nil {
			return 0, err
		}
	}
	if !b.extendDeadline() {
		return 0, errResponseComplete
	}
	n, err := b.src.Read(p[:min(int64(len(p)), b.remaining+1)])
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, ErrTooLarge
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.atEOF = err == io.EOF
	return n, err
}

// writeContinue asks the caller for the body.
func (b *timedBody) writeContinue() error {
	// The response to the preceding request may still be written.
	b.c.await(b.precedingDone)
	b.awaitsContinue = false
	_ = b.c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(b.c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// extendDeadline sets the deadline of the next read. It reports false after the response, when
// the deadline belongs to the reader of the connection.
func (b *timedBody) extendDeadline() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	deadline := time.Now().Add(bodyReadTimeout)
	if !b.deadline.IsZero() && b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	if end := b.c.acceptor.readEnd.Load(); end != 0 {
		deadline = time.Unix(0, min(end, deadline.UnixNano()))
	}
	_ = b.c.raw.SetReadDeadline(deadline)
	return true
}

// limitRead makes a read that is waiting for the caller end when a shutdown ends reading.
func (b *timedBody) limitRead() {
	if !b.isAtEOF() {
		b.extendDeadline()
	}
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

// streamedBody returns the body that the handler reads from the connection, or nil if there is
// none.
func (c *Call) streamedBody() *timedBody {
	b, _ := c.Request.Body.(*timedBody)
	return b
}
