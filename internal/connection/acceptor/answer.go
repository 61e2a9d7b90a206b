package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// writeWithin is how long a caller may take for one buffer of an answer.
const writeWithin = 30 * time.Second

// ErrWriteFailed means that the caller does not take the answer.
var ErrWriteFailed = errors.New("the caller does not take the answer")

// ResponseWriter writes the answer to one call. Answers of a connection are written in
// the order of the requests, so Start may wait for earlier ones. It is used by
// one goroutine.
type ResponseWriter struct {
	c       *conn
	call    *Call
	turn    <-chan struct{}
	done    chan struct{}
	started bool
	broken  bool // the connection ends without a complete answer
	closes  bool
	chunks  io.WriteCloser
	left    int64 // bytes of the body that are due, -1 if unknown
}

func newAnswer(c *conn, call *Call, turn <-chan struct{}) *ResponseWriter {
	return &ResponseWriter{c: c, call: call, turn: turn, done: make(chan struct{})}
}

// HeaderWritten reports whether a byte of the answer was written.
func (a *ResponseWriter) HeaderWritten() bool { return a.started }

// WriteHeader writes the header. A negative length means that it is not known. The
// header's own framing fields are ignored.
func (a *ResponseWriter) WriteHeader(status int, header http.Header, length int64) error {
	<-a.turn
	a.started = true
	a.left = length
	w := a.c.bw
	_ = a.c.raw.SetWriteDeadline(time.Now().Add(writeWithin))
	_, _ = io.WriteString(w, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n")
	_ = header.WriteSubset(w, framing)
	if a.final() {
		_, _ = io.WriteString(w, "Connection: close\r\n")
	}
	switch {
	case a.head() || status == http.StatusNoContent || status == http.StatusNotModified:
		a.left = 0
		if length >= 0 && status != http.StatusNoContent {
			_, _ = io.WriteString(w, "Content-Length: "+strconv.FormatInt(length, 10)+"\r\n")
		}
	case length >= 0:
		_, _ = io.WriteString(w, "Content-Length: "+strconv.FormatInt(length, 10)+"\r\n")
	case a.call != nil && !a.call.Request.ProtoAtLeast(1, 1):
		a.closes = true
	default:
		_, _ = io.WriteString(w, "Transfer-Encoding: chunked\r\n")
		a.chunks = httputil.NewChunkedWriter(w)
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		a.broken = true
		return ErrWriteFailed
	}
	return nil
}

// framing are the fields that Start writes itself.
var framing = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true, "Trailer": true}

func (a *ResponseWriter) head() bool {
	return a.call != nil && a.call.Request.Method == http.MethodHead
}

// final decides whether this is the last answer of the connection.
func (a *ResponseWriter) final() bool {
	c := a.c
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.under == 1 && !c.reading
	wanted := a.call == nil || a.call.Request.Close || !a.bodyDone() || c.closing
	if last && (wanted || c.a.stopping.Load()) {
		c.closing, a.closes = true, true
	}
	return a.closes
}

// consumed waits for the end of the answer and reports whether the request's body
// was read to its end.
func (a *ResponseWriter) consumed() bool {
	<-a.done
	return a.bodyDone()
}

// bodyDone reports whether the request's body was read to its end.
func (a *ResponseWriter) bodyDone() bool {
	if a.call == nil {
		return false
	}
	switch b := a.call.Request.Body.(type) {
	case *timedBody:
		return b.done
	case *prefixed:
		return b.rest.done
	default:
		return true
	}
}

// Write writes a part of the body.
func (a *ResponseWriter) Write(p []byte) (int, error) {
	if a.head() {
		return len(p), nil
	}
	_ = a.c.raw.SetWriteDeadline(time.Now().Add(writeWithin))
	var n int
	var err error
	if a.chunks != nil {
		n, err = a.chunks.Write(p)
	} else {
		n, err = a.c.bw.Write(p)
		a.left -= int64(n)
	}
	if err != nil {
		a.broken = true
		return n, ErrWriteFailed
	}
	return n, nil
}

// Flush sends what was written so far.
func (a *ResponseWriter) Flush() error {
	if err := a.c.bw.Flush(); err != nil {
		a.broken = true
		return ErrWriteFailed
	}
	return nil
}

// Abort breaks the connection, so that a part is never taken for the whole.
func (a *ResponseWriter) Abort() { a.broken = true }

// Refuse answers with a status, a header and no body.
func (a *ResponseWriter) Refuse(status int, header http.Header) {
	// A caller that left needs no answer; end closes the connection.
	_ = a.WriteHeader(status, header, 0)
}

// fail ends an answer whose handler did not come to its end.
func (a *ResponseWriter) fail() {
	if a.started {
		a.Abort()
		return
	}
	a.Refuse(http.StatusInternalServerError, nil)
}

// end completes the answer, and closes the connection if it has to.
func (a *ResponseWriter) end() {
	defer close(a.done)
	<-a.turn
	c := a.c
	if !a.started {
		a.broken = true
	}
	if a.chunks != nil && !a.broken {
		_ = a.chunks.Close()
		_, _ = io.WriteString(c.bw, "\r\n")
	}
	if a.chunks == nil && a.left > 0 {
		a.broken = true
	}
	if !a.broken && c.bw.Flush() != nil {
		a.broken = true
	}
	c.mu.Lock()
	c.under--
	c.since = time.Now()
	wakes := a.broken || a.closes || (c.closing && c.under == 0)
	if a.broken || a.closes {
		c.closing = true
	}
	if c.under == 0 && !c.reading && !c.closing {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.a.options.Limits().filled().IdleTimeout))
	}
	c.mu.Unlock()
	switch {
	case a.broken:
		if tcp, ok := c.raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.raw.Close()
	case wakes:
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}
