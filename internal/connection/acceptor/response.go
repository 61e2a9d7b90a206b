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

// writeTimeout is how long a caller may take for one buffer of an answer.
const writeTimeout = 30 * time.Second

// ErrWriteFailed means that the caller does not take the answer.
var ErrWriteFailed = errors.New("the caller does not take the answer")

// ResponseWriter writes the answer to one call. Answers of a connection are written in
// the order of the requests, so Start may wait for earlier ones. It is used by
// one goroutine.
type ResponseWriter struct {
	c       *conn
	call    *Call
	precedingDone    <-chan struct{}
	done    chan struct{}
	headerWritten bool
	aborted  bool // the connection ends without a complete answer
	closesConn  bool
	chunkWriter  io.WriteCloser
	bytesLeft    int64 // bytes of the body that are due, -1 if unknown
}

func newResponseWriter(c *conn, call *Call, precedingDone <-chan struct{}) *ResponseWriter {
	return &ResponseWriter{c: c, call: call, precedingDone: precedingDone, done: make(chan struct{})}
}

// HeaderWritten reports whether a byte of the answer was written.
func (w *ResponseWriter) HeaderWritten() bool { return w.headerWritten }

// WriteHeader writes the header. A negative length means that it is not known. The
// header's own framing fields are ignored.
func (w *ResponseWriter) WriteHeader(status int, header http.Header, length int64) error {
	<-w.precedingDone
	w.headerWritten = true
	w.bytesLeft = length
	bw := w.c.bw
	_ = w.c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(bw, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n")
	_ = header.WriteSubset(bw, framingHeaders)
	if w.decideClose() {
		_, _ = io.WriteString(bw, "Connection: close\r\n")
	}
	switch {
	case w.isHead() || status == http.StatusNoContent || status == http.StatusNotModified:
		w.bytesLeft = 0
		if length >= 0 && status != http.StatusNoContent {
			_, _ = io.WriteString(bw, "Content-Length: "+strconv.FormatInt(length, 10)+"\r\n")
		}
	case length >= 0:
		_, _ = io.WriteString(bw, "Content-Length: "+strconv.FormatInt(length, 10)+"\r\n")
	case w.call != nil && !w.call.Request.ProtoAtLeast(1, 1):
		w.closesConn = true
	default:
		_, _ = io.WriteString(bw, "Transfer-Encoding: chunked\r\n")
		w.chunkWriter = httputil.NewChunkedWriter(bw)
	}
	if _, err := io.WriteString(bw, "\r\n"); err != nil {
		w.aborted = true
		return ErrWriteFailed
	}
	return nil
}

// framingHeaders are the fields that Start writes itself.
var framingHeaders = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true, "Trailer": true}

func (w *ResponseWriter) isHead() bool {
	return w.call != nil && w.call.Request.Method == http.MethodHead
}

// decideClose decides whether this is the last answer of the connection.
func (w *ResponseWriter) decideClose() bool {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	lastInFlight := c.inFlight == 1 && !c.reading
	closeRequested := w.call == nil || w.call.Request.Close || !w.bodyConsumed() || c.closing
	if lastInFlight && (closeRequested || c.acceptor.keepAlivesDisabled.Load()) {
		c.closing, w.closesConn = true, true
	}
	return w.closesConn
}

// waitBodyConsumed waits for the end of the answer and reports whether the request's body
// was read to its end.
func (w *ResponseWriter) waitBodyConsumed() bool {
	<-w.done
	return w.bodyConsumed()
}

// bodyConsumed reports whether the request's body was read to its end.
func (w *ResponseWriter) bodyConsumed() bool {
	if w.call == nil {
		return false
	}
	switch b := w.call.Request.Body.(type) {
	case *timedBody:
		return b.atEOF
	case *prefixedBody:
		return b.rest.atEOF
	default:
		return true
	}
}

// Write writes a part of the body.
func (w *ResponseWriter) Write(p []byte) (int, error) {
	if w.isHead() {
		return len(p), nil
	}
	_ = w.c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var n int
	var err error
	if w.chunkWriter != nil {
		n, err = w.chunkWriter.Write(p)
	} else {
		n, err = w.c.bw.Write(p)
		w.bytesLeft -= int64(n)
	}
	if err != nil {
		w.aborted = true
		return n, ErrWriteFailed
	}
	return n, nil
}

// Flush sends what was written so far.
func (w *ResponseWriter) Flush() error {
	if err := w.c.bw.Flush(); err != nil {
		w.aborted = true
		return ErrWriteFailed
	}
	return nil
}

// Abort breaks the connection, so that a part is never taken for the whole.
func (w *ResponseWriter) Abort() { w.aborted = true }

// Refuse answers with a status, a header and no body.
func (w *ResponseWriter) Refuse(status int, header http.Header) {
	// A caller that left needs no answer; end closes the connection.
	_ = w.WriteHeader(status, header, 0)
}

// fail ends an answer whose handler did not come to its end.
func (w *ResponseWriter) fail() {
	if w.headerWritten {
		w.Abort()
		return
	}
	w.Refuse(http.StatusInternalServerError, nil)
}

// finish completes the answer, and closes the connection if it has to.
func (w *ResponseWriter) finish() {
	defer close(w.done)
	<-w.precedingDone
	c := w.c
	if !w.headerWritten {
		w.aborted = true
	}
	if w.chunkWriter != nil && !w.aborted {
		_ = w.chunkWriter.Close()
		_, _ = io.WriteString(c.bw, "\r\n")
	}
	if w.chunkWriter == nil && w.bytesLeft > 0 {
		w.aborted = true
	}
	if !w.aborted && c.bw.Flush() != nil {
		w.aborted = true
	}
	c.mu.Lock()
	c.inFlight--
	c.lastActive = time.Now()
	interruptRead := w.aborted || w.closesConn || (c.closing && c.inFlight == 0)
	if w.aborted || w.closesConn {
		c.closing = true
	}
	if c.inFlight == 0 && !c.reading && !c.closing {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.acceptor.options.Limits().withDefaults().IdleTimeout))
	}
	c.mu.Unlock()
	switch {
	case w.aborted:
		if tcp, ok := c.raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.raw.Close()
	case interruptRead:
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}
