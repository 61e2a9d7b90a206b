package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
)

// bodyHandler responds with the status that fits the result of ReadBody.
type bodyHandler struct{}

// Serve implements acceptor.Handler.
func (bodyHandler) Serve(_ context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	switch err := c.ReadBody(); {
	case err == nil:
		w.Refuse(http.StatusOK, nil)
	case errors.Is(err, acceptor.ErrTooLarge):
		w.Refuse(http.StatusRequestEntityTooLarge, nil)
	case errors.Is(err, acceptor.ErrStopping):
		w.Refuse(http.StatusServiceUnavailable, nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Refuse(http.StatusRequestTimeout, nil)
	default:
		w.Refuse(http.StatusInternalServerError, nil)
	}
}

func serveBodies(t *testing.T, bodyBytes int64, bodyTime time.Duration) (*acceptor.Acceptor, *net.TCPListener, net.Conn) {
	t.Helper()
	return serveWith(t, bodyHandler{}, bodyBytes, bodyTime)
}

func serveWith(t *testing.T, h acceptor.Handler, bodyBytes int64, bodyTime time.Duration) (*acceptor.Acceptor, *net.TCPListener, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{
		Handler: h, Limits: func() acceptor.Limits { return acceptor.Limits{BodyBytes: bodyBytes} },
		BodyDeadline: func(_ *http.Request, arrived time.Time) time.Time { return arrived.Add(bodyTime) },
	})
	go func() { _ = a.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return a, l.(*net.TCPListener), c
}

// Guards against a body of exactly the largest size that is refused because it comes in chunks,
// and one that exceeds the size and is accepted.
func TestLargestBodyIsServed(t *testing.T) {
	for name, limit := range map[string]int{"short": 1000, "long": 2 << 20} {
		for excess, status := range map[int]int{0: http.StatusOK, 1: http.StatusRequestEntityTooLarge} {
			t.Run(fmt.Sprintf("%s, %d more", name, excess), func(t *testing.T) {
				_, _, c := serveBodies(t, int64(limit), time.Minute)
				body := strings.Repeat("x", limit+excess)
				send(t, c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body))
				r, _ := readResponse(t, bufio.NewReader(c))
				assert.Equal(t, r.StatusCode, status)
			})
		}
	}
}

// Guards against callers who send their bodies so slowly that connections, memory and a shutdown
// wait for them without end, and who get no response.
func TestSlowBodyEndsWithResponse(t *testing.T) {
	for name, c := range map[string]struct {
		length, sent int
		bodyTime     time.Duration
		shutdown     bool
		status       int
	}{
		"short, deadline": {1000, 10, 200 * time.Millisecond, false, http.StatusRequestTimeout},
		"long, deadline":  {2 << 20, 10, 200 * time.Millisecond, false, http.StatusRequestTimeout},
		"short, shutdown": {1000, 10, time.Minute, true, http.StatusServiceUnavailable},
		"long, shutdown":  {2 << 20, 10, time.Minute, true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			a, l, conn := serveBodies(t, 4<<20, c.bodyTime)
			send(t, conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", c.length, strings.Repeat("x", c.sent)))
			time.Sleep(50 * time.Millisecond)
			if c.shutdown {
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				a.Shutdown(ctx, l)
				assert.NilError(t, ctx.Err())
			}
			r, _ := readResponse(t, bufio.NewReader(conn))
			assert.Equal(t, r.StatusCode, c.status)
			assert.Assert(t, r.Close)
		})
	}
}

// refusingHandler refuses all requests without reading their bodies.
type refusingHandler struct{}

// Serve implements acceptor.Handler.
func (refusingHandler) Serve(_ context.Context, _ *acceptor.Call, w *acceptor.ResponseWriter) {
	w.Refuse(http.StatusServiceUnavailable, nil)
}

// Guards against a refusal that is lost to a caller who reads it only after its whole body was
// sent: the connection was reset 0.5 s after the refusal.
func TestRefusalReachesCallerWhoSendsFirst(t *testing.T) {
	for name, c := range map[string]struct {
		limit int64 // of a body
		want  int
	}{"refused by the handler": {4 << 20, http.StatusServiceUnavailable}, "too large": {1 << 20, http.StatusRequestEntityTooLarge}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, _, conn := serveWith(t, refusingHandler{}, c.limit, 20*time.Second)
			send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n")
			for range 30 {
				send(t, conn, strings.Repeat("x", 100_000))
				time.Sleep(50 * time.Millisecond)
			}
			r, _ := readResponse(t, bufio.NewReader(conn))
			assert.Equal(t, r.StatusCode, c.want)
		})
	}
}
