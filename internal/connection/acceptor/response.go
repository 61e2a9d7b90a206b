package acceptor

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"time"
)

// writeTimeout bounds the time of one write of a response to the caller.
const writeTimeout = 30 * time.Second

// ErrWriteFailed means that the response could not be written to the caller, because the
// caller disconnected or did not read in time.
var ErrWriteFailed = errors.New("write response to caller failed")

// ResponseWriter writes the response to one call. Responses of a connection are written
// in the order of the requests, so WriteHeader may wait for earlier responses. It is
// not safe for concurrent use.
type ResponseWriter struct {
	c             *conn
	call          *Call
	precedingDone <-chan struct{} // closed when the preceding response is complete
	done          chan struct{}   // closed when this response is complete
	headerWritten bool
	aborted       bool // the connection ends without a complete response
	closesConn    bool // the connection closes after this response
	chunkWriter   io.WriteCloser
	deadline      time.Time // when writes fail, zero for none
	bytesLeft     int64     // bytes of the body still to be written, negative if the length is unknown
}

func newResponseWriter(c *conn, call *Call, precedingDone <-chan struct{}) *ResponseWriter {
	return &ResponseWriter{c: c, call: call, precedingDone: precedingDone, done: make(chan struct{})}
}

// HeaderWritten reports whether WriteHeader was called.
func (w *ResponseWriter) HeaderWritten() bool { return w.headerWritten }

// WriteHeader writes the status line and the header of a response whose body has length
// bytes. A negative length means that the length is unknown. Framing fields in header
// are ignored. The error is ErrWriteFailed.
func (w *ResponseWriter) WriteHeader(status int, header http.Header, length int64) error {
	<-w.precedingDone
	w.headerWritten = true
	w.bytesLeft = length
	bw := w.c.bw
	w.extendWriteDeadline()
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

// framingHeaders are the fields that WriteHeader sets itself or leaves out.
var framingHeaders = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true, "Trailer": true}

func (w *ResponseWriter) isHead() bool {
	return w.call != nil && w.call.Request.Method == http.MethodHead
}

// decideClose decides and reports whether the connection closes after this response.
func (w *ResponseWriter) decideClose() bool {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	lastInFlight := c.inFlight == 1 && !c.nextArrived
	closeRequested := w.call == nil || w.call.Request.Close || !w.bodyConsumed() || c.closing
	if lastInFlight && (closeRequested || c.acceptor.keepAlivesDisabled.Load()) {
		c.closing, w.closesConn = true, true
	}
	return w.closesConn
}

// bodyConsumed reports whether the body of the request was read to its end.
func (w *ResponseWriter) bodyConsumed() bool {
	if w.call == nil {
		return false
	}
	body := w.call.streamedBody()
	return body == nil || body.isAtEOF()
}

// SetDeadline sets the time from which on WriteHeader and Write fail, also one that waits for the
// caller to read. Without it each write may take writeTimeout.
func (w *ResponseWriter) SetDeadline(deadline time.Time) { w.deadline = deadline }

func (w *ResponseWriter) extendWriteDeadline() {
	deadline := time.Now().Add(writeTimeout)
	if !w.deadline.IsZero() && w.deadline.Before(deadline) {
		deadline = w.deadline
	}
	_ = w.c.raw.SetWriteDeadline(deadline)
}

// Write writes a part of the body. The body of a response to a HEAD request is discarded.
// The error is ErrWriteFailed.
func (w *ResponseWriter) Write(p []byte) (int, error) {
	if w.isHead() {
		return len(p), nil
	}
	w.extendWriteDeadline()
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

// Flush sends the buffered part of the response. The error is ErrWriteFailed.
func (w *ResponseWriter) Flush() error {
	if err := w.c.bw.Flush(); err != nil {
		w.aborted = true
		return ErrWriteFailed
	}
	return nil
}

// Abort makes the connection end after the call without the rest of the response, so that
// the caller can't take a partial response for a complete one.
func (w *ResponseWriter) Abort() { w.aborted = true }

// Refuse writes a response with a status, a header and no body.
func (w *ResponseWriter) Refuse(status int, header http.Header) {
	// The error is ignored: if the caller disconnected, finish closes the connection.
	_ = w.WriteHeader(status, header, 0)
}

// fail ends the response after a panic of the handler: with status 500, or by an abort if
// the header has been written.
func (w *ResponseWriter) fail() {
	if w.headerWritten {
		w.Abort()
		return
	}
	w.Refuse(http.StatusInternalServerError, nil)
}

// finish completes the response. It ends the connection after an abort, and otherwise
// interrupts its reader if the connection is to be closed.
func (w *ResponseWriter) finish() {
	defer close(w.done)
	<-w.precedingDone
	c := w.c
	if w.call != nil {
		if body := w.call.streamedBody(); body != nil {
			body.end()
		}
	}
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
	c.calls = slices.DeleteFunc(c.calls, func(call *Call) bool { return call == w.call })
	c.lastActive = time.Now()
	interruptRead := w.aborted || w.closesConn || (c.closing && c.inFlight == 0)
	if w.aborted || w.closesConn {
		c.closing = true
	}
	if c.inFlight == 0 && !c.nextArrived && !c.closing {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.acceptor.options.Limits().withDefaults().IdleTimeout))
	}
	c.mu.Unlock()
	switch {
	case w.aborted:
		c.abort(w.bytesLeft < 0 && w.chunkWriter == nil)
	case interruptRead:
		c.interruptReader()
	}
}
