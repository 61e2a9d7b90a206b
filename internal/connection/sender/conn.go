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
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	readSize = 4 << 10
	// skipMost bounds the answers of other requests that are skipped.
	skipMost = 3
	// skipBytes bounds the body of a skipped answer.
	skipBytes = 1 << 20
)

var errHeader = errors.New("the header of the answer is too long")

// Request is what is sent. Body is whole, so that its length is known.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection, lent for one request. It is used by one goroutine.
type Conn struct {
	sender *Sender
	group  *group
	conn   net.Conn
	limit  *io.LimitedReader
	br     *bufio.Reader
	since  time.Time // when it became idle
	idle   time.Duration
	way    time.Duration // that opening it took
	rested time.Duration // that it was idle before this request
	used   bool
	busy   bool // a request was written and its answer is not complete
	answer *http.Response
}

func newConn(s *Sender, g *group, raw net.Conn) *Conn {
	c := &Conn{sender: s, group: g, conn: raw, idle: s.options.IdleTimeout}
	c.limit = &io.LimitedReader{R: raw}
	c.br = bufio.NewReaderSize(c.limit, readSize)
	return c
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.used }

// usable reports whether a kept connection may carry another request.
func (c *Conn) usable() bool {
	return time.Since(c.since) < c.idle && c.br.Buffered() == 0 && peeker.Idle(c.conn)
}

var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do writes the request and reads the header of its answer. It stops when ctx
// ends or the deadline passes. On an error the connection is closed, and the
// kind says what is known: Unreachable if no byte left the host, TimedOut after
// the deadline, Failed otherwise.
func (c *Conn) Do(ctx context.Context, r *Request, deadline time.Time) (*http.Response, error) {
	_ = c.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	answer, err := c.exchange(r)
	if !stop() && err == nil {
		err = classifier.Failed.Wrap(context.Cause(ctx), "upstream "+c.address())
	}
	if err == nil {
		c.answer = answer
		return answer, nil
	}
	c.Close()
	if classifier.Of(err) == classifier.Failed && errors.Is(err, errTimeout) && ctx.Err() == nil {
		return nil, classifier.TimedOut.Wrap(err, "upstream "+c.address())
	}
	return nil, err
}

func (c *Conn) address() string { return c.conn.RemoteAddr().String() }

func (c *Conn) exchange(r *Request) (*http.Response, error) {
	head := heads.Get().(*bytes.Buffer)
	defer heads.Put(head)
	head.Reset()
	writeHead(head, r)
	begun := time.Now()
	c.busy = true
	reused := c.used
	n, err := c.conn.Write(head.Bytes())
	if err != nil {
		if n == 0 {
			return nil, classifier.Unreachable.Wrap(err, "upstream "+c.address())
		}
		return nil, classifier.Failed.Wrap(note(err), "upstream "+c.address())
	}
	c.used = true
	for range skipMost {
		answer, err := c.read(r)
		if err != nil {
			c.suspect(note(err), begun)
			return nil, classifier.Failed.Wrap(note(err), "upstream "+c.address())
		}
		match := c.sender.options.Match(r.Header, answer.Header)
		if match == MatchSame || match == MatchNoID && !reused {
			return answer, nil
		}
		if match == MatchNoID || unending(answer) {
			break
		}
		if _, err := io.CopyN(io.Discard, answer.Body, skipBytes); err != io.EOF {
			break
		}
	}
	return nil, classifier.ResponseMismatch.New("upstream %s answered another request", c.address())
}

// suspect finds out whether the upstream had forgotten the connection: it was idle
// before, and was reset as soon as the request arrived.
func (c *Conn) suspect(err error, begun time.Time) {
	if errors.Is(err, errTimeout) || c.rested < restLeast || time.Since(begun) > c.way+earlyMargin {
		return
	}
	c.sender.forgot(c)
}

// errTimeout marks an error of a deadline.
var errTimeout = errors.New("no answer before the deadline")

func note(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errTimeout
	}
	return err
}

func writeHead(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(b) // a bytes.Buffer does not fail
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
}

// read reads the header of the next answer that is final.
func (c *Conn) read(r *Request) (*http.Response, error) {
	c.limit.N = int64(c.sender.options.MaxHeaderBytes)
	for {
		answer, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		switch {
		case err != nil && c.limit.N <= 0:
			return nil, errHeader
		case err != nil:
			return nil, err
		case answer.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the upstream switched protocols")
		case answer.StatusCode >= http.StatusOK:
			c.limit.N = math.MaxInt64
			return answer, nil
		}
	}
}

// unending reports whether the answer ends with its connection.
func unending(a *http.Response) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// Release keeps the connection after the answer was read to its end, or closes it
// if the upstream asks for that or sent more than the answer.
func (c *Conn) Release() {
	a := c.answer
	c.busy = false
	if a == nil || a.Close || unending(a) || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.answer = nil
	c.idle = min(c.sender.options.IdleTimeout, keepAlive(a.Header, c.sender.options.IdleTimeout))
	if c.idle <= 0 || !c.group.put(c) {
		c.Close()
	}
}

// keepAlive returns the idle time that the upstream promises, less a second for
// the way there.
func keepAlive(h http.Header, most time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n-1) * time.Second
		}
	}
	return most
}

// Close closes the connection, which also cancels a request under way. The request
// is reset, because the kernel would go on sending what a partition holds up, and
// the upstream would run it after the caller was told that its time is over.
func (c *Conn) Close() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.busy {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// SetReadDeadline sets a new deadline for reading the body.
func (c *Conn) SetReadDeadline(deadline time.Time) { _ = c.conn.SetReadDeadline(deadline) }

// Interrupt makes reads and writes under way fail.
func (c *Conn) Interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }
