package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	readBufferBytes = 4 << 10
	// maxSkippedResponses bounds the responses that are read for one request, including
	// skipped responses to other requests.
	maxSkippedResponses = 3
	// maxSkippedBodyBytes bounds the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
)

var errHeaderTooLong = errors.New("response header exceeds the limit")

// Request is a request to an upstream. Its body is complete, so that its length is known.
type Request struct {
	Method string
	Target string // path and query, as received from the caller
	Host   string
	Header http.Header
	Body   [][]byte // segments
}

// bodyBytes returns the length of the body.
func (r *Request) bodyBytes() (n int) {
	for _, segment := range r.Body {
		n += len(segment)
	}
	return n
}

// Conn is a connection taken from the pool for one request. It is not safe for
// concurrent use, except for Interrupt.
type Conn struct {
	sender      *Sender
	pool        *idlePool
	conn        net.Conn
	headerLimit *io.LimitedReader
	br          *bufio.Reader
	idleSince   time.Time     // when the connection was last returned to the pool
	idleTimeout time.Duration // granted by the upstream, at most Options.IdleTimeout
	dialTime    time.Duration // time to open the connection, an estimate of the round-trip time
	idleTime    time.Duration // time in the pool before this request, 0 if new
	used        bool
	deadline    time.Time    // of the request
	interrupted atomic.Bool  // Interrupt was called
	inFlight    bool         // a request was sent and its response is not complete
	write       *write       // of a long body, nil for none
	request     http.Request // tells http.ReadResponse the method
	response    *http.Response
}

func newConn(s *Sender, p *idlePool, raw net.Conn) *Conn {
	c := &Conn{sender: s, pool: p, conn: raw, idleTimeout: s.options.IdleTimeout}
	c.headerLimit = &io.LimitedReader{R: raw}
	c.br = bufio.NewReaderSize(c.headerLimit, readBufferBytes)
	return c
}

// Reused reports whether a request was sent on the connection before.
func (c *Conn) Reused() bool { return c.used }

// reusable reports whether an idle connection may carry another request.
func (c *Conn) reusable() bool {
	return time.Since(c.idleSince) < c.idleTimeout && c.br.Buffered() == 0 && peeker.Idle(c.conn)
}

var headerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends the request and reads the header of its response. It returns when ctx is done
// or the deadline passes. On an error the connection is closed. The error is of kind
// Unreachable if no byte was sent, TimedOut after the deadline, ResponseMismatch if the
// upstream sent the response to another request, and Failed otherwise.
//
// A body without a length ends where the upstream closes its side of the connection. Reading it
// waits there until the upstream has received the request, and fails if the connection fails or
// the deadline passes before. The error says which.
func (c *Conn) Do(ctx context.Context, r *Request, deadline time.Time) (*http.Response, error) {
	c.deadline = deadline
	c.interrupted.Store(false)
	_ = c.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, c.Interrupt)
	response, err := c.roundTrip(r)
	if !stop() && err == nil {
		err = classifier.Failed.Wrap(context.Cause(ctx), "upstream "+c.address())
	}
	if err == nil {
		c.response = response
		return response, nil
	}
	c.Close()
	if classifier.Of(err) == classifier.Failed && errors.Is(err, errTimeout) && ctx.Err() == nil {
		return nil, classifier.TimedOut.Wrap(err, "upstream "+c.address())
	}
	return nil, err
}

func (c *Conn) address() string { return c.conn.RemoteAddr().String() }

func (c *Conn) roundTrip(r *Request) (*http.Response, error) {
	reused := c.used
	c.inFlight, c.used = true, true
	if r.bodyBytes() > maxCopiedBodyBytes {
		return c.roundTripLong(r, reused)
	}
	head := headerBuffers.Get().(*bytes.Buffer)
	defer headerBuffers.Put(head)
	head.Reset()
	writeRequest(head, r)
	start := time.Now()
	if n, err := c.conn.Write(head.Bytes()); err != nil {
		return nil, c.writeError(int64(n), err)
	}
	response, err := c.readMatching(r, reused)
	if classifier.Of(err) == classifier.Failed {
		c.detectDrop(err, start)
	}
	return response, err
}

// writeError returns the error of a request of which n bytes were written.
func (c *Conn) writeError(n int64, err error) error {
	if n == 0 {
		return classifier.Unreachable.Wrap(err, "upstream "+c.address())
	}
	return classifier.Failed.Wrap(asTimeout(err), "upstream "+c.address())
}

// readMatching reads responses until one belongs to the request.
func (c *Conn) readMatching(r *Request, reused bool) (*http.Response, error) {
	for range maxSkippedResponses {
		response, err := c.readResponse(r)
		if err != nil {
			return nil, classifier.Failed.Wrap(asTimeout(err), "upstream "+c.address())
		}
		match := c.sender.options.Match(r.Header, response.Header)
		if match == MatchSame || match == MatchNoID && !reused {
			return response, nil
		}
		if match == MatchNoID || closeDelimited(response) {
			break
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBodyBytes); err != io.EOF {
			break
		}
	}
	return nil, classifier.ResponseMismatch.New("upstream %s sent the response to another request", c.address())
}

// detectDrop records a dropped connection if the error looks like one: the connection had
// been idle, and failed within about a round-trip time of the request.
func (c *Conn) detectDrop(err error, start time.Time) {
	if errors.Is(err, errTimeout) || c.idleTime < minDroppedIdleTime || time.Since(start) > c.dialTime+dropResetMargin {
		return
	}
	c.sender.recordDrop(c)
}

// errTimeout replaces the timeout errors of package net.
var errTimeout = errors.New("no response before the deadline")

// asTimeout returns errTimeout if err is a timeout, and err otherwise.
func asTimeout(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errTimeout
	}
	return err
}

// writeRequest writes the header of a request, and its body unless that is long.
func writeRequest(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(b) // a bytes.Buffer does not fail
	n := r.bodyBytes()
	if n > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(n))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if n > maxCopiedBodyBytes {
		return
	}
	for _, segment := range r.Body {
		b.Write(segment)
	}
}

// readResponse reads the header of the next response that is not an informational (1xx)
// response.
func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	c.headerLimit.N = int64(c.sender.options.MaxHeaderBytes)
	for {
		response, err := c.readHeader(r.Method)
		switch {
		case err != nil && c.headerLimit.N <= 0:
			return nil, errHeaderTooLong
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream switched protocols")
		case response.StatusCode >= http.StatusOK:
			c.headerLimit.N = math.MaxInt64
			return response, nil
		}
	}
}

const http10, http11 = "HTTP/1.0", "HTTP/1.1"

// readHeader reads and checks the header of the next response. It reads an HTTP/1.0 response
// like one of HTTP/1.1, because http.ReadResponse ignores a Transfer-Encoding in HTTP/1.0 and
// would take the chunks for a body that ends with the connection. The connection is not reused
// after it (RFC 9112, section 6.1).
func (c *Conn) readHeader(method string) (*http.Response, error) {
	if err := c.awaitHeader(); err != nil {
		return nil, err
	}
	version, err := c.br.Peek(len(http10))
	if err != nil {
		return nil, err
	}
	isHTTP10 := string(version) == http10
	if isHTTP10 {
		copy(version, http11) // in the buffer
	}
	c.request.Method = method
	response, err := http.ReadResponse(c.br, &c.request)
	if err != nil {
		return nil, err
	}
	validator.CheckTrailer(response)
	if closeDelimited(response) && response.Body != http.NoBody {
		response.Body = &closeDelimitedBody{response.Body, c}
	}
	response.Close = response.Close || isHTTP10
	return response, nil
}

// awaitHeader waits until the buffer holds the whole header of the next response, and checks
// it. The buffer grows with the header, at most to twice the limit of the header.
func (c *Conn) awaitHeader() error {
	for next := 0; ; {
		buffered, _ := c.br.Peek(c.br.Buffered())
		var complete bool
		var err error
		if next, complete, err = validator.Scan(buffered, next); complete || err != nil {
			return err
		}
		if len(buffered) == c.br.Size() {
			c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.headerLimit), 2*c.br.Size())
		}
		if _, err = c.br.Peek(len(buffered) + 1); err != nil {
			if err == io.EOF && len(buffered) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// closeDelimited reports whether the body of the response ends where its connection is
// closed.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Release returns the connection to the pool. The response must have been read to its
// end. Release closes the connection instead if the upstream requested that or sent
// bytes after the response, if the response began before the whole body was sent, or if the
// pool is full.
func (c *Conn) Release() {
	if c.Early() {
		c.Close()
		return
	}
	r := c.response
	c.inFlight, c.write = false, nil
	if r == nil || r.Close || closeDelimited(r) || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.response = nil
	c.idleTimeout = min(c.sender.options.IdleTimeout, keepAliveTimeout(r.Header, c.sender.options.IdleTimeout))
	if c.idleTimeout <= 0 || !c.pool.put(c) {
		c.Close()
	}
}

// keepAliveTimeout returns the idle timeout in the Keep-Alive header, less one second so
// that a request in transit does not meet a closed connection, or defaultTimeout if the
// header names none.
func keepAliveTimeout(h http.Header, defaultTimeout time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n-1) * time.Second
		}
	}
	return defaultTimeout
}

// Close closes the connection. With a request in flight it resets the connection:
// otherwise the kernel would go on retransmitting a request that a network partition
// delays, and the upstream would run it after the caller had received a timeout.
func (c *Conn) Close() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.inFlight {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
	if c.write != nil {
		<-c.write.done // the segments may be released now
	}
}

// SetReadDeadline sets the deadline for reading the body of the response.
func (c *Conn) SetReadDeadline(deadline time.Time) { _ = c.conn.SetReadDeadline(deadline) }

// Interrupt makes pending reads and writes fail. It may be called from any goroutine.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}
