package acceptor_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recoverer"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

// handler responds with the path and the body of the request. For a path that starts with
// /slow it waits until it is released or the caller disconnects.
type handler struct {
	mu           sync.Mutex
	served       []string
	received     chan string
	release      chan struct{}
	disconnected chan string
}

func newHandler() *handler {
	return &handler{received: make(chan string, 16), release: make(chan struct{}), disconnected: make(chan string, 16)}
}

func (h *handler) Serve(ctx context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	path := c.Request.URL.Path
	h.mu.Lock()
	h.served = append(h.served, path)
	h.mu.Unlock()
	h.received <- path
	if strings.HasPrefix(path, "/slow") {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.disconnected <- path
			return
		}
	}
	body := path + " " + string(bytes.Join(c.Body.Segments(), nil))
	if w.WriteHeader(http.StatusOK, http.Header{}, int64(len(body))) == nil {
		_, _ = w.Write([]byte(body))
	}
}

func (h *handler) servedPaths() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.served, " ")
}

func startAcceptor(t *testing.T, h acceptor.Handler) (*acceptor.Acceptor, func() net.Conn) {
	t.Helper()
	a, _, dial := startWithListener(t, h)
	return a, dial
}

func startWithListener(t *testing.T, h acceptor.Handler) (*acceptor.Acceptor, *net.TCPListener, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := acceptor.New(acceptor.Options{Handler: h, Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }})
	go func() { _ = a.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return a, l.(*net.TCPListener), func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

func readResponse(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return r, string(body)
}

// Guards against pipelined requests that run one after the other although they may run
// concurrently, and against responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	h := newHandler()
	_, dial := startAcceptor(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-h.received
	}
	close(h.release)
	br := bufio.NewReader(c)
	for _, want := range []string{"/slow/1 ", "/2 ", "/3 "} {
		_, body := readResponse(t, br)
		assert.Equal(t, body, want)
	}
}

// Guards against a request that must not run concurrently starting while the response to
// an earlier request may still close the connection.
func TestNonConcurrentRequestWaitsForEarlierOnes(t *testing.T) {
	h := newHandler()
	_, dial := startAcceptor(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	assert.Equal(t, <-h.received, "/slow/1")
	assert.Equal(t, h.servedPaths(), "/slow/1")
	close(h.release)
	br := bufio.NewReader(c)
	_, body := readResponse(t, br)
	assert.Equal(t, body, "/slow/1 ")
	_, body = readResponse(t, br)
	assert.Equal(t, body, "/2 abc")
}

// Guards against requests that go on running after their caller disconnected, also when
// several are pipelined.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	h := newHandler()
	_, dial := startAcceptor(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /slow/2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.received
	<-h.received
	assert.NilError(t, c.Close())
	<-h.disconnected
	<-h.disconnected
}

// Guards against request smuggling: framing that an upstream could interpret differently,
// and a second request hidden in the first.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"length and chunks":  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n",
		"two lengths":        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"signed length":      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nabcde",
		"folded header":      "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n",
		"bare line feed":     "GET / HTTP/1.1\r\nHost: a\nX: 1\r\n\r\n",
		"space before colon": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nabcde",
		"no colon":           "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n",
		"other encoding":     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"chunk extension":    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			_, dial := startAcceptor(t, h)
			c := dial()
			send(t, c, head)
			br := bufio.NewReader(c)
			r, _ := readResponse(t, br)
			assert.Assert(t, r.StatusCode >= 400 && r.StatusCode <= 501, "%d", r.StatusCode)
			assert.Assert(t, r.Close)
			_, err := br.ReadByte()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, h.servedPaths(), "")
		})
	}
}

// Guards against a shutdown that drops a request in flight or its response.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	h := newHandler()
	a, l, dial := startWithListener(t, h)
	busy, idle := dial(), dial()
	send(t, idle, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	readResponse(t, idleReader)
	<-h.received
	send(t, busy, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.received
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		a.Shutdown(ctx, l)
		close(finished)
	}()
	_, err := idleReader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, a.ActiveRequests(), 1)
	close(h.release)
	r, body := readResponse(t, bufio.NewReader(busy))
	assert.Equal(t, body, "/slow/1 ")
	assert.Assert(t, r.Close)
	<-finished
	assert.NilError(t, ctx.Err())
}

// Guards against a shutdown under load that drops requests which have just arrived: on
// connections in the accept queue, in the socket but not yet read, and of callers that
// have just connected.
func TestShutdownServesRequestsThatHaveArrived(t *testing.T) {
	const callers = 60
	h := newHandler()
	close(h.release)
	go func() {
		for range h.received {
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := acceptor.New(acceptor.Options{Handler: h})
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conns[i].Close()
		if i%3 > 0 {
			send(t, conns[i], "GET /early HTTP/1.1\r\nHost: a\r\n\r\n")
		}
	}
	// All connections are in the accept queue when the shutdown begins.
	a.DisableKeepAlives()
	finished := make(chan struct{})
	go func() {
		a.Shutdown(t.Context(), l.(*net.TCPListener))
		close(finished)
	}()
	go func() { _ = a.Serve(l) }()
	for i, c := range conns {
		if i%3 == 0 {
			send(t, c, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
		}
	}
	for _, c := range conns {
		r, _ := readResponse(t, bufio.NewReader(c))
		assert.Equal(t, r.StatusCode, http.StatusOK)
		assert.Assert(t, r.Close)
	}
	<-finished
}

// Guards against DisableKeepAlives closing an idle connection on which its caller may be
// sending a request.
func TestIdleConnectionIsServedAfterDisableKeepAlives(t *testing.T) {
	h := newHandler()
	a, dial := startAcceptor(t, h)
	c := dial()
	br := bufio.NewReader(c)
	send(t, c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, br)
	a.DisableKeepAlives()
	send(t, c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	r, body := readResponse(t, br)
	assert.Equal(t, body, "/2 ")
	assert.Assert(t, r.Close)
}

// incompleteHandler starts a response and does not complete it.
type incompleteHandler struct{ knownLength bool }

func (h incompleteHandler) Serve(_ context.Context, _ *acceptor.Call, w *acceptor.ResponseWriter) {
	length := int64(-1)
	if h.knownLength {
		length = 10
	}
	_ = w.WriteHeader(http.StatusOK, http.Header{}, length)
	_, _ = w.Write([]byte("abc"))
	_ = w.Flush()
	if !h.knownLength {
		w.Abort()
	}
}

// Guards against a partial response that looks complete to the caller.
func TestIncompleteResponseIsAnError(t *testing.T) {
	for name, h := range map[string]incompleteHandler{"length": {knownLength: true}, "chunks": {}} {
		t.Run(name, func(t *testing.T) {
			_, dial := startAcceptor(t, h)
			c := dial()
			send(t, c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // the reset arrived before the header was read
			}
			_, err = io.ReadAll(r.Body)
			assert.Assert(t, err != nil)
		})
	}
}

// FuzzRequests guards against input that is served as more requests than it contains
// according to RFC 9112.
func FuzzRequests(f *testing.F) {
	f.Add("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, input string) {
		h := newHandler()
		h.received = make(chan string, 1024)
		close(h.release)
		_, dial := startAcceptor(t, h)
		c := dial()
		_, _ = io.WriteString(c, input)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, c)
		if strings.Contains(strings.ToLower(input), "content-length") && strings.Contains(strings.ToLower(input), "transfer-encoding") {
			return
		}
		assert.Assert(t, len(strings.Fields(h.servedPaths())) <= strings.Count(input, "\r\n\r\n"))
	})
}

// Guards against a panic of a handler that ends the process, breaks later requests of the
// connection, or leaves a partial response that looks complete.
func TestHandlerPanicIsRecovered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{Handler: panickingHandler{}, Guard: recoverer.New(logger.Logger{}, meter.New()).Do})
	go func() { _ = a.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	br := bufio.NewReader(conn)
	for _, c := range []struct {
		path string
		want int
	}{{"/break", 500}, {"/a", 200}, {"/break", 500}} {
		_, err = io.WriteString(conn, "GET "+c.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		r, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, c.want)
	}
	_, err = io.WriteString(conn, "GET /midway HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	r, err := http.ReadResponse(br, nil)
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	assert.ErrorContains(t, err, "") // a partial response is an error
}

// panickingHandler panics before or in the middle of a response.
type panickingHandler struct{}

func (panickingHandler) Serve(_ context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	switch c.Request.URL.Path {
	case "/break":
		panic("before the response")
	case "/midway":
		_ = w.WriteHeader(http.StatusOK, nil, 100)
		_, _ = w.Write([]byte("part"))
		_ = w.Flush()
		panic("in the middle of the response")
	default:
		_ = w.WriteHeader(http.StatusOK, nil, 0)
	}
}

// Guards against a host that runs out of memory because many callers send long bodies at
// once, and against memory that stays reserved when callers disconnect in mid-body.
func TestBodyMemoryIsBounded(t *testing.T) {
	const memoryLimitBytes = 1 << 20
	memory := reserver.New(memoryLimitBytes)
	h := newHandler()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{Handler: h, Memory: memory})
	go func() { _ = a.Serve(l) }()
	var wg sync.WaitGroup
	for i := range 12 {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		wg.Go(func() {
			defer conn.Close()
			body := strings.Repeat("x", 300_000)
			// Two of three callers disconnect in the middle of their body.
			_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"+body[i%3*1000:])
			if i%3 == 0 {
				_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
			}
		})
	}
	wg.Wait()
	a.Shutdown(t.Context(), l.(*net.TCPListener))
	assert.Assert(t, memory.Peak() > 0 && memory.Peak() <= memoryLimitBytes, "%d", memory.Peak())
	assert.Equal(t, memory.Used(), int64(0))
}
