package steerer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
)

// respondEarly returns a handler that responds before it has read the body of the request, and
// then ends the connection.
func respondEarly(u *upstream, response string, end func(c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		u.ran.Add(1)
		raw, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(raw, response)
		for peeker.HasUnacknowledged(raw) { // a reset discards what is not
			time.Sleep(time.Millisecond)
		}
		end(raw.(*net.TCPConn))
		_ = raw.Close()
	}
}

// Guards against a part of an early response that reaches the caller as a complete one, and
// against a request with a long body that is sent again after it. A response whose upstream goes
// on reading the request reaches the caller unchanged.
func TestPartOfEarlyResponseIsNotDelivered(t *testing.T) {
	const aborted = 0
	const signed = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n"
	body := strings.Repeat("0123456789abcdef", 1<<10)
	long := strings.Repeat(body, 96) // is passed on as it arrives
	leaveUnread := func(*net.TCPConn) {}
	for name, c := range map[string]struct {
		response string
		end      func(c *net.TCPConn)
		status   int // aborted if the response ends without its end
		body     string
		reason   string // in the log
	}{
		"reset":              {signed + "\r\n" + body, responder.Reset, http.StatusBadGateway, "", "reset by peer"},
		"reset, long part":   {signed + "\r\n" + long, responder.Reset, aborted, "", "reset by peer"},
		"unread":             {signed + "\r\n" + body, leaveUnread, http.StatusBadGateway, "", "upstream"},
		"unread, long part":  {signed + "\r\n" + long, leaveUnread, aborted, "", "upstream"},
		"reset, chunked":     {signed + "Transfer-Encoding: chunked\r\n\r\n4000\r\n" + body, responder.Reset, http.StatusBadGateway, "", "upstream"},
		"reset, with length": {signed + "Content-Length: 20000\r\n\r\n" + body, responder.Reset, http.StatusBadGateway, "", "upstream"},
		"status 000":         {"HTTP/1.1 000 OK\r\nId: 1\r\nSigned: 1\r\n\r\n" + body, responder.ReadOn, http.StatusBadGateway, "", "status code 000 is not between 100 and 599"},
		"space in a name":    {signed + "X Y: 1\r\n\r\n" + body, responder.ReadOn, http.StatusBadGateway, "", `\"X Y\" is not a token`},
		"control byte":       {signed + "X\x01Y: 1\r\n\r\n" + body, responder.ReadOn, http.StatusBadGateway, "", `\"X\\x01Y\" is not a token`},
		"read on":            {signed + "\r\n" + body, responder.ReadOn, http.StatusOK, body, ""},
		"read on, long body": {signed + "\r\n" + long, responder.ReadOn, http.StatusOK, long, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const tries = 5 // the kernel reports a reset either to the writer or to the reader
			for i := range 2 * tries {
				g := newTestHost(t, func(first, _ *upstream) { first.handle = respondEarly(first, c.response, c.end) })
				status, body, err := g.uploadTo([]string{"/look/1", "/pay/1"}[i%2])
				if c.status == aborted {
					assert.ErrorContains(t, err, "EOF")
				} else {
					assert.NilError(t, err)
					assert.Equal(t, status, c.status)
					assert.Assert(t, body == c.body, "%d bytes", len(body))
				}
				assert.Equal(t, g.first.ran.Load(), int64(1))
				assert.Equal(t, g.second.received.Load(), int64(0))
				g.awaitLog(c.reason)
				if c.status != http.StatusOK {
					g.awaitLog(`"error":"upstream `)
				}
			}
		})
	}
}

// Guards against a caller who waits beyond its deadline, or gets a part as the whole, if an
// upstream ends its response and neither reads the request nor resets the connection. Nothing
// shows then whether the upstream has sent all.
func TestUnreadRequestEndsAtDeadline(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	endOnly := func(c *net.TCPConn) { _ = c.CloseWrite(); <-end }
	for name, part := range map[string]string{"short": "part", "passed on as it arrives": strings.Repeat("x", 3<<19)} {
		for _, path := range []string{"/look/1", "/pay/1"} {
			t.Run(name+", "+path[1:4], func(t *testing.T) {
				g := newTestHost(t, func(first, _ *upstream) {
					first.handle = respondEarly(first, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n\r\n"+part, endOnly)
				})
				status, _, err := g.uploadTo(path, "Patience: 400ms\r\n")
				if name == "short" {
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusGatewayTimeout)
				} else {
					assert.ErrorContains(t, err, "EOF")
				}
				assert.Equal(t, g.first.ran.Load(), int64(1))
				assert.Equal(t, g.second.received.Load(), int64(0))
				g.awaitMemory(0)
			})
		}
	}
}

// uploadTo sends a request with a long body and reads its response. The error is that of reading
// the body of the response.
func (g *testHost) uploadTo(path string, headers ...string) (status int, body string, err error) {
	g.t.Helper()
	c := g.dial()
	defer c.Close()
	head, upload := longRequest(false, headers...)
	_, err = io.WriteString(c, strings.Replace(head, "/pay/1", path, 1)+upload)
	assert.NilError(g.t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(g.t, err)
	received, err := io.ReadAll(r.Body)
	return r.StatusCode, string(received), err
}

// awaitLog waits until a line of the log contains the text.
func (g *testHost) awaitLog(text string) {
	g.t.Helper()
	for range 10_000 {
		if g.log.contains(text) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	g.t.Errorf("no line of the log contains %q", text)
}
