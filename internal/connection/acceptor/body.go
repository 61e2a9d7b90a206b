package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxBufferedBodyBytes is the size up to which a body is buffered before its request
	// runs, so that the request can be retried and a slow caller does not occupy an
	// upstream.
	maxBufferedBodyBytes = 1 << 20
	// bodyReadTimeout bounds the time of one read of a body.
	bodyReadTimeout = 10 * time.Second
)

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
