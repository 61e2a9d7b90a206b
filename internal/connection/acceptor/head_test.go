package acceptor_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

// cutCaller is the connection in memory of a caller that sends text and ends it.
type cutCaller struct {
	net.Conn
	segment int // bytes of each read
	unread  string
	end     error // of the next read after the text
	once    sync.Once
	closed  chan struct{}
}

// Read returns the end of the connection like a socket does: a reset is reported once, and
// io.EOF from then on.
func (c *cutCaller) Read(p []byte) (int, error) {
	if c.unread == "" {
		err := c.end
		c.end = io.EOF
		return 0, err
	}
	n := copy(p, c.unread[:min(len(c.unread), c.segment)])
	c.unread = c.unread[n:]
	return n, nil
}

func (c *cutCaller) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
func (*cutCaller) Write(p []byte) (int, error)      { return len(p), nil }
func (*cutCaller) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*cutCaller) SetDeadline(time.Time) error      { return nil }
func (*cutCaller) SetReadDeadline(time.Time) error  { return nil }
func (*cutCaller) SetWriteDeadline(time.Time) error { return nil }

// callers is a listener that accepts connections in memory.
type callers chan net.Conn

func (l callers) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (callers) Close() error   { return nil }
func (callers) Addr() net.Addr { return &net.TCPAddr{} }

// recordingHandler records the requests that it read to their end.
type recordingHandler struct {
	mu       sync.Mutex
	requests []string
}

func (h *recordingHandler) Serve(_ context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	body := bytes.Join(c.Body.Segments(), nil)
	if c.Request.Body != nil {
		rest, err := io.ReadAll(c.Request.Body)
		if err != nil {
			w.Refuse(http.StatusBadRequest, nil)
			return
		}
		body = append(body, rest...)
	}
	h.mu.Lock()
	h.requests = append(h.requests, fmt.Sprintf("%s %s %s", c.Request.Method, c.Request.RequestURI, body))
	h.mu.Unlock()
	w.Refuse(http.StatusOK, nil)
}

// take returns the recorded requests in the order of their text and forgets them.
func (h *recordingHandler) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.requests
	h.requests = nil
	slices.Sort(out)
	return out
}

// cutRequest is a request and what the handler gets. A request that is never complete has
// no want.
type cutRequest struct{ text, want string }

// cutRequests are the requests of one connection each.
var cutRequests = map[string][]cutRequest{
	"no body":                    {{"GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\n", "GET /a "}},
	"no body, version 1.0":       {{"GET /a HTTP/1.0\r\nHost: h\r\n\r\n", "GET /a "}},
	"length":                     {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\ntwelve bytes", "POST /a twelve bytes"}},
	"length 0":                   {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "POST /a "}},
	"length, version 1.0":        {{"POST /a HTTP/1.0\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "POST /a body"}},
	"length first":               {{"POST /a HTTP/1.1\r\nContent-Length: 4\r\nHost: h\r\n\r\nbody", "POST /a body"}},
	"expectation":                {{"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "POST /a body"}},
	"chunked":                    {{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", "POST /a body0123456789abcdef"}},
	"chunked, trailers":          {{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n", "POST /a body"}},
	"chunked, empty":             {{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "POST /a "}},
	"two":                        {{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a "}, {"GET /b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /b "}},
	"two, with bodies":           {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none", "POST /a one"}, {"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n", "POST /b two"}},
	"one inside a body":          {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 32\r\n\r\nGET /b HTTP/1.1\r\nHost: hosts\r\n\r\n", "POST /a GET /b HTTP/1.1\r\nHost: hosts\r\n\r\n"}},
	"bare line feeds":            {{"POST /a HTTP/1.1\nHost: h\nContent-Length: 4\n\nbody", ""}},
	"two lengths":                {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody5", ""}},
	"equal lengths":              {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", ""}},
	"chunked and length":         {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""}},
	"misspelt coding":            {{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunkd\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""}},
	"negative length":            {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\nbody", ""}},
	"length over 63 bits":        {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9223372036854775808\r\n\r\nbody", ""}},
	"chunked, version 1.0":       {{"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""}},
	"chunked, version 1.0, kept": {{"POST /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n4 /b HTTP/1.1\r\nHost: h\r\n\r\nbody\r\n0\r\n\r\n", ""}},
	"space before colon":         {{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nbody", ""}},
}

// textAndHandled returns the bytes of the requests of one connection, and what the handler
// gets if only the first n bytes arrive.
func textAndHandled(requests []cutRequest, n int) (text string, handled []string) {
	for _, r := range requests {
		text += r.text
		if len(text) <= n && r.want != "" {
			handled = append(handled, r.want)
		}
	}
	return text, handled
}

// Guards against a request that is handled although its caller ended the connection in its
// head or body: the requests of a connection are cut after each of their bytes, with and
// without memory for their bodies.
func TestCutRequestIsNotHandled(t *testing.T) {
	for memory, bodyBytes := range map[string]int64{"buffered": 0, "streamed": 1} {
		for name, requests := range cutRequests {
			t.Run(name+", "+memory, func(t *testing.T) {
				t.Parallel()
				h := new(recordingHandler)
				l := make(callers)
				defer close(l)
				a := acceptor.New(acceptor.Options{Handler: h, Memory: reserver.New(bodyBytes), Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }})
				go func() { _ = a.Serve(l) }()
				text, _ := textAndHandled(requests, 0)
				for n := range len(text) + 1 {
					checkCut(t, l, h, requests, n)
				}
			})
		}
	}
}

func checkCut(t *testing.T, l callers, h *recordingHandler, requests []cutRequest, n int) {
	t.Helper()
	text, want := textAndHandled(requests, n)
	for _, segment := range []int{1, len(text) + 1} {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			c := &cutCaller{unread: text[:n], segment: segment, end: end, closed: make(chan struct{})}
			l <- c
			<-c.closed
			got := h.take()
			assert.Assert(t, slices.Equal(got, want), "%v after %d bytes: handled %q, want %q", end, n, got, want)
		}
	}
}
