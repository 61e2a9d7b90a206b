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

// ErrCaller means that the caller does not take the answer.
var ErrCaller = errors.New("the caller does not take the answer")

// Answer writes the answer to one call. Answers of a connection are written in
// the order of the requests, so Start may wait for earlier ones. It is used by
// one goroutine.
type Answer struct {
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

func newAnswer(c *conn, call *Call, turn <-chan struct{}) *Answer {
	return &Answer{c: c, call: call, turn: turn, done: make(chan struct{})}
}

// Started reports whether a byte of the answer was written.
func (a *Answer) Started() bool { return a.started }

// Start writes the header. A negative length means that it is not known. The
// header's own framing fields are ignored.
func (a *Answer) Start(status int, header http.Header, length int64) error {
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
		return ErrCaller
	}
	return nil
}

// framing are the fields that Start writes itself.
var framing = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true, "Trailer": true}

func (a *Answer) head() bool {
	return a.call != nil && a.call.Request.Method == http.MethodHead
}

// final decides whether this is the last answer of the connection.
func (a *Answer) final() bool {
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
func (a *Answer) consumed() bool {
	<-a.done
	return a.bodyDone()
}

// bodyDone reports whether the request's body was read to its end.
func (a *Answer) bodyDone() bool {
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
func (a *Answer) Write(p []byte) (int, error) {
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
		return n, ErrCaller
	}
	return n, nil
}

// Flush sends what was written so far.
func (a *Answer) Flush() error {
	if err := a.c.bw.Flush(); err != nil {
		a.broken = true
		return ErrCaller
	}
	return nil
}

// Abort breaks the connection, so that a part is never taken for the whole.
func (a *Answer) Abort() { a.broken = true }

// Refuse answers with a status, a header and no body.
func (a *Answer) Refuse(status int, header http.Header) {
	// A caller that left needs no answer; end closes the connection.
	_ = a.Start(status, header, 0)
}

// fail ends an answer whose handler did not come to its end.
func (a *Answer) fail() {
	if a.started {
		a.Abort()
		return
	}
	a.Refuse(http.StatusInternalServerError, nil)
}

// end completes the answer, and closes the connection if it has to.
func (a *Answer) end() {
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
		_ = c.raw.SetReadDeadline(time.Now().Add(c.a.options.Limits().filled().Idle))
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
