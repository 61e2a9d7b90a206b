package acceptor_test

import (
	"bufio"
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

// handler answers with the path and, if the path asks for it, waits until it is
// released or the caller leaves.
type handler struct {
	mu      sync.Mutex
	served  []string
	started chan string
	release chan struct{}
	left    chan string
}

func newHandler() *handler {
	return &handler{started: make(chan string, 16), release: make(chan struct{}), left: make(chan string, 16)}
}

func (h *handler) Serve(ctx context.Context, c *acceptor.Call, a *acceptor.ResponseWriter) {
	path := c.Request.URL.Path
	h.mu.Lock()
	h.served = append(h.served, path)
	h.mu.Unlock()
	h.started <- path
	if strings.HasPrefix(path, "/slow") {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.left <- path
			return
		}
	}
	body := path + " " + string(c.Body)
	if a.WriteHeader(http.StatusOK, http.Header{}, int64(len(body))) == nil {
		_, _ = a.Write([]byte(body))
	}
}

func (h *handler) paths() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.served, " ")
}

func start(t *testing.T, h acceptor.Handler) (*acceptor.Acceptor, func() net.Conn) {
	t.Helper()
	a, _, dial := open(t, h)
	return a, dial
}

func open(t *testing.T, h acceptor.Handler) (*acceptor.Acceptor, *net.TCPListener, func() net.Conn) {
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

func read(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return r, string(body)
}

// Guards against look-ups of one connection that wait for each other, and
// against answers out of order.
func TestPipelinedLookUpsRunTogether(t *testing.T) {
	h := newHandler()
	_, dial := start(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-h.started
	}
	close(h.release)
	br := bufio.NewReader(c)
	for _, want := range []string{"/slow/1 ", "/2 ", "/3 "} {
		_, body := read(t, br)
		assert.Equal(t, body, want)
	}
}

// Guards against a request that may run only once starting while an earlier one
// of its connection may still close it.
func TestOtherRequestsWait(t *testing.T) {
	h := newHandler()
	_, dial := start(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	assert.Equal(t, <-h.started, "/slow/1")
	assert.Equal(t, h.paths(), "/slow/1")
	close(h.release)
	br := bufio.NewReader(c)
	_, body := read(t, br)
	assert.Equal(t, body, "/slow/1 ")
	_, body = read(t, br)
	assert.Equal(t, body, "/2 abc")
}

// Guards against work for a caller that left, also with requests behind it.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	h := newHandler()
	_, dial := start(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /slow/2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.started
	<-h.started
	assert.NilError(t, c.Close())
	<-h.left
	<-h.left
}

// Guards against framing that an upstream could read in another way, and against
// a second request hidden in the first.
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
			_, dial := start(t, h)
			c := dial()
			send(t, c, head)
			br := bufio.NewReader(c)
			r, _ := read(t, br)
			assert.Assert(t, r.StatusCode >= 400 && r.StatusCode <= 501, "%d", r.StatusCode)
			assert.Assert(t, r.Close)
			_, err := br.ReadByte()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, h.paths(), "")
		})
	}
}

// Guards against a stop that loses a request which was read, or an answer.
func TestStopFinishesWhatWasRead(t *testing.T) {
	h := newHandler()
	a, l, dial := open(t, h)
	busy, idle := dial(), dial()
	send(t, idle, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	read(t, idleReader)
	<-h.started
	send(t, busy, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.started
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
	r, body := read(t, bufio.NewReader(busy))
	assert.Equal(t, body, "/slow/1 ")
	assert.Assert(t, r.Close)
	<-finished
	assert.NilError(t, ctx.Err())
}

// Guards against a stop under load that cuts off requests which have just been
// accepted: those whose connection waits in the listener's queue, those that arrived
// and have not been read, and those of callers that have just connected.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	const callers = 60
	h := newHandler()
	close(h.release)
	go func() {
		for range h.started {
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := acceptor.New(acceptor.Options{Handler: h})
	kept := make([]net.Conn, callers)
	for i := range kept {
		kept[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer kept[i].Close()
		if i%3 > 0 {
			send(t, kept[i], "GET /early HTTP/1.1\r\nHost: a\r\n\r\n")
		}
	}
	// All connections are in the queue when the stop begins.
	a.DisableKeepAlives()
	finished := make(chan struct{})
	go func() {
		a.Shutdown(t.Context(), l.(*net.TCPListener))
		close(finished)
	}()
	go func() { _ = a.Serve(l) }()
	for i, c := range kept {
		if i%3 == 0 {
			send(t, c, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
		}
	}
	for _, c := range kept {
		r, _ := read(t, bufio.NewReader(c))
		assert.Equal(t, r.StatusCode, http.StatusOK)
		assert.Assert(t, r.Close)
	}
	<-finished
}

// Guards against an idle connection that is closed while its caller may still
// use it after a stop began.
func TestStoppingHostAnswersKeptConnections(t *testing.T) {
	h := newHandler()
	a, dial := start(t, h)
	c := dial()
	br := bufio.NewReader(c)
	send(t, c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	read(t, br)
	a.DisableKeepAlives()
	send(t, c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	r, body := read(t, br)
	assert.Equal(t, body, "/2 ")
	assert.Assert(t, r.Close)
}

// breaking starts an answer and does not complete it.
type breaking struct{ known bool }

func (b breaking) Serve(_ context.Context, _ *acceptor.Call, a *acceptor.ResponseWriter) {
	length := int64(-1)
	if b.known {
		length = 10
	}
	_ = a.WriteHeader(http.StatusOK, http.Header{}, length)
	_, _ = a.Write([]byte("abc"))
	_ = a.Flush()
	if !b.known {
		a.Abort()
	}
}

// Guards against a part of an answer that looks like the whole.
func TestBrokenAnswerIsVisible(t *testing.T) {
	for name, h := range map[string]breaking{"length": {known: true}, "chunks": {}} {
		t.Run(name, func(t *testing.T) {
			_, dial := start(t, h)
			c := dial()
			send(t, c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // the reset overtook the header
			}
			_, err = io.ReadAll(r.Body)
			assert.Assert(t, err != nil)
		})
	}
}

// FuzzRequests guards against input that runs more requests than RFC 9112 finds
// in it: what is answered with success was served, once each.
func FuzzRequests(f *testing.F) {
	f.Add("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, input string) {
		h := newHandler()
		h.started = make(chan string, 1024)
		close(h.release)
		_, dial := start(t, h)
		c := dial()
		_, _ = io.WriteString(c, input)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, c)
		if strings.Contains(strings.ToLower(input), "content-length") && strings.Contains(strings.ToLower(input), "transfer-encoding") {
			return
		}
		assert.Assert(t, len(strings.Fields(h.paths())) <= strings.Count(input, "\r\n\r\n"))
	})
}

// Guards against a handler that panics and takes the process, or the connection's
// later requests, with it.
func TestHandlerPanics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{Handler: panicking{}, Guard: recoverer.New(logger.Logger{}, meter.New()).Do})
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
	assert.ErrorContains(t, err, "") // never taken for whole
}

// panicking panics before or in the middle of an answer.
type panicking struct{}

func (panicking) Serve(_ context.Context, c *acceptor.Call, a *acceptor.ResponseWriter) {
	switch c.Request.URL.Path {
	case "/break":
		panic("before the answer")
	case "/midway":
		_ = a.WriteHeader(http.StatusOK, nil, 100)
		_, _ = a.Write([]byte("part"))
		_ = a.Flush()
		panic("in the middle of the answer")
	default:
		_ = a.WriteHeader(http.StatusOK, nil, 0)
	}
}

// Guards against a host that runs out of memory because many callers send long bodies
// at once, and against bodies that stay counted when their callers leave.
func TestBodiesAreBounded(t *testing.T) {
	const most = 1 << 20
	memory := reserver.New(most)
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
			// Two of three callers leave in the middle of their body.
			_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"+body[i%3*1000:])
			if i%3 == 0 {
				_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
			}
		})
	}
	wg.Wait()
	a.Shutdown(t.Context(), l.(*net.TCPListener))
	assert.Assert(t, memory.Peak() > 0 && memory.Peak() <= most, "%d", memory.Peak())
	assert.Equal(t, memory.Used(), int64(0))
}
