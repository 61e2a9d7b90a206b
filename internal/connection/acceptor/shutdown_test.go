package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
)

// Guards against a connection that stays open after DisableKeepAlives because its caller
// always has another request in flight.
func TestPipelinedConnectionClosesAfterDisableKeepAlives(t *testing.T) {
	const slow, next, last = "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /slow/2 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /slow/3 HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		before string   // sent before DisableKeepAlives
		after  []string // sent one after the other, each when the one before it runs
		want   []string // responses, of which only the last one closes the connection
	}{
		"requests one by one":            {before: slow, after: []string{next, last}, want: []string{"/slow/1 ", "/slow/2 "}},
		"requests that arrived together": {after: []string{slow + next + last}, want: []string{"/slow/1 ", "/slow/2 ", "/slow/3 "}},
		"part of a request":              {before: slow, after: []string{next + last[:10], last[10:]}, want: []string{"/slow/1 ", "/slow/2 "}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			a, dial := startAcceptor(t, h)
			conn := dial()
			if c.before != "" {
				send(t, conn, c.before)
				<-h.received
			}
			a.DisableKeepAlives()
			for _, text := range c.after {
				send(t, conn, text)
				if len(h.servedPaths()) < len("/slow/1 /slow/2") {
					<-h.received
				}
			}
			close(h.release)
			br := bufio.NewReader(conn)
			for i, want := range c.want {
				r, body := readResponse(t, br)
				assert.Equal(t, body, want)
				assert.Equal(t, r.Close, i == len(c.want)-1)
			}
			_, err := br.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}

// Guards against requests that go on running after their caller disconnected, on a
// connection from which no further request is read.
func TestDisconnectCancelsLastRequest(t *testing.T) {
	h := newHandler()
	a, dial := startAcceptor(t, h)
	c := dial()
	a.DisableKeepAlives()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.received
	assert.NilError(t, c.Close())
	<-h.disconnected
}

// hookedListener accepts connections whose reads go through onRead, which gets the number
// of the read and a function that performs it.
type hookedListener struct {
	*net.TCPListener
	onRead func(i int, read func() (int, error)) (int, error)
}

type hookedConn struct {
	*net.TCPConn
	l     *hookedListener
	reads int
}

// Accept implements net.Listener.
func (l *hookedListener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &hookedConn{TCPConn: raw, l: l}, nil
}

// Read implements net.Conn.
func (c *hookedConn) Read(p []byte) (int, error) {
	c.reads++
	return c.l.onRead(c.reads, func() (int, error) { return c.TCPConn.Read(p) })
}

// bufferedListener accepts connections whose send buffer holds a long response.
type bufferedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l bufferedListener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return raw, raw.SetWriteBuffer(2 * longBodyBytes)
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.(*net.TCPListener)
}

// serveOn starts an acceptor on a listener and returns it with a connection.
func serveOn(t *testing.T, l net.Listener, h acceptor.Handler) (*acceptor.Acceptor, net.Conn) {
	t.Helper()
	a := acceptor.New(acceptor.Options{Handler: h})
	go func() { _ = a.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return a, c
}

// Guards against a shutdown that closes a connection as idle while a request has been read
// from its socket and is not counted yet.
func TestShutdownServesRequestThatHasJustBeenRead(t *testing.T) {
	consumed, release := make(chan struct{}), make(chan struct{})
	l := &hookedListener{listen(t), func(i int, read func() (int, error)) (int, error) {
		n, err := read()
		if i == 2 {
			close(consumed)
			<-release
		}
		return n, err
	}}
	a, c := serveOn(t, l, newHandler())
	br := bufio.NewReader(c)
	send(t, c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, br)
	send(t, c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-consumed
	finished := make(chan struct{})
	go func() {
		a.Shutdown(t.Context(), l)
		close(finished)
	}()
	time.Sleep(2 * acceptor.ShutdownAcceptWindow)
	close(release)
	r, body := readResponse(t, br)
	assert.Equal(t, body, "/2 ")
	assert.Assert(t, r.Close)
	<-finished
}

// Guards against an idle timeout that drops a request which arrived at the same moment, for
// example while the process was paused.
func TestIdleTimeoutServesRequestThatHasArrived(t *testing.T) {
	arrived := make(chan struct{})
	l := &hookedListener{listen(t), func(i int, read func() (int, error)) (int, error) {
		if i == 2 {
			<-arrived
			return 0, os.ErrDeadlineExceeded
		}
		return read()
	}}
	_, c := serveOn(t, l, newHandler())
	br := bufio.NewReader(c)
	for _, path := range []string{"/1", "/2", "/3"} {
		send(t, c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		if path == "/2" {
			close(arrived)
		}
		_, body := readResponse(t, br)
		assert.Equal(t, body, path+" ")
	}
}

// slowListener takes a while to accept a connection.
type slowListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(5 * time.Millisecond)
	return l.TCPListener.Accept()
}

// Guards against a shutdown that resets connections in the accept queue because the process
// is too slow to accept them at once.
func TestShutdownEmptiesTheAcceptQueue(t *testing.T) {
	h := newHandler()
	h.received = make(chan string, 20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := acceptor.New(acceptor.Options{Handler: h})
	conns := make([]net.Conn, cap(h.received))
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conns[i].Close()
		send(t, conns[i], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	finished := make(chan struct{})
	go func() {
		a.Shutdown(t.Context(), l.(*net.TCPListener))
		close(finished)
	}()
	go func() { _ = a.Serve(slowListener{l.(*net.TCPListener)}) }()
	for _, c := range conns {
		r, _ := readResponse(t, bufio.NewReader(c))
		assert.Equal(t, r.StatusCode, http.StatusOK)
	}
	<-finished
}

// Guards against a header that stays incomplete canceling the requests before it on its
// connection.
func TestHeaderTimeoutCompletesEarlierRequests(t *testing.T) {
	h := newHandler()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{
		Handler: h, Limits: func() acceptor.Limits { return acceptor.Limits{HeaderTimeout: time.Millisecond} },
		Concurrent: func(*http.Request) bool { return true },
	})
	go func() { _ = a.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP")
	<-h.received
	select {
	case path := <-h.disconnected:
		t.Fatalf("request %s was canceled", path)
	case <-time.After(200 * time.Millisecond):
	}
	close(h.release)
	br := bufio.NewReader(c)
	r, body := readResponse(t, br)
	assert.Equal(t, body, "/slow/1 ")
	assert.Assert(t, !r.Close)
	r, _ = readResponse(t, br)
	assert.Equal(t, r.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, r.Close)
}

// Guards against a refusal that is lost because its connection is reset while the rest of
// the request is unread.
func TestRefusalIsFollowedByCleanClose(t *testing.T) {
	h := newHandler()
	_, dial := startAcceptor(t, h)
	c := dial()
	send(t, c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n"+strings.Repeat("x", 256<<10))
	br := bufio.NewReader(c)
	r, _ := readResponse(t, br)
	assert.Equal(t, r.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Assert(t, r.Close)
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// abortingHandler responds with a long body, and aborts the response to /abort.
type abortingHandler struct{ received chan struct{} }

// Serve implements acceptor.Handler.
func (h abortingHandler) Serve(_ context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	h.received <- struct{}{}
	_ = w.WriteHeader(http.StatusOK, nil, longBodyBytes)
	if c.Request.URL.Path == "/abort" {
		w.Abort()
		return
	}
	_, _ = w.Write(make([]byte, longBodyBytes))
}

const longBodyBytes = 512 << 10

// Guards against an aborted response that takes complete responses before it along, because
// the connection is reset while these wait in its send buffer.
func TestAbortKeepsEarlierResponses(t *testing.T) {
	h := abortingHandler{make(chan struct{}, 2)}
	a, c := serveOn(t, bufferedListener{listen(t)}, h)
	send(t, c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\nGET /abort HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.received
	<-h.received
	for a.ActiveRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	br := bufio.NewReader(c)
	_, body := readResponse(t, br)
	assert.Equal(t, len(body), longBodyBytes)
	r, err := http.ReadResponse(br, nil)
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	assert.ErrorContains(t, err, "EOF")
}

// Guards against a caller that loses the end of its last response because it reads slowly and
// still sends requests when the connection is closed.
func TestClosePreservesResponseOfSlowReader(t *testing.T) {
	h := abortingHandler{make(chan struct{}, 1)}
	a, c := serveOn(t, bufferedListener{listen(t)}, h)
	a.DisableKeepAlives()
	for range 20 {
		// An error would show in the response.
		_, _ = io.WriteString(c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	}
	r, body := readResponse(t, bufio.NewReader(c))
	assert.Assert(t, r.Close)
	assert.Equal(t, len(body), longBodyBytes)
}

// Guards against a shutdown that waits for all requests that a caller has sent ahead, however
// many they are, instead of those in flight.
func TestShutdownClosesBehindRequestsInFlight(t *testing.T) {
	h := newHandler()
	h.received = make(chan string, 100)
	a, l, dial := startWithListener(t, h)
	c := dial()
	send(t, c, strings.Repeat("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", cap(h.received)))
	for range 16 {
		<-h.received
	}
	finished := make(chan struct{})
	go func() {
		a.Shutdown(t.Context(), l)
		close(finished)
	}()
	for { // until the listener is closed
		probe, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	close(h.release)
	br := bufio.NewReader(c)
	for i := 1; ; i++ {
		r, _ := readResponse(t, br)
		if r.Close {
			assert.Equal(t, i, 17)
			break
		}
	}
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, c.Close())
	<-finished
}

// Guards against a request that completes late in a shutdown and is then cut off while an
// upstream works on it.
func TestShutdownRefusesRequestThatCompletesLate(t *testing.T) {
	for name, text := range map[string]string{
		"header": "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"body":   "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy",
	} {
		t.Run(name+" after the acceptance", func(t *testing.T) {
			h := newHandler()
			a, l, dial := startWithListener(t, h)
			c := dial()
			send(t, c, text[:len(text)-1])
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				a.Shutdown(ctx, l)
			}()
			// A connection can't be opened any more once the acceptance has ended.
			for {
				other, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					break
				}
				_ = other.Close()
			}
			time.Sleep(time.Second)
			send(t, c, text[len(text)-1:])
			r, _ := readResponse(t, bufio.NewReader(c))
			assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, h.servedPaths(), "")
			<-stopped
		})
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			a, l, dial := startWithListener(t, h)
			c := dial()
			br := bufio.NewReader(c)
			send(t, c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
			readResponse(t, br)
			send(t, c, text[:len(text)-1])
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
			defer cancel()
			a.Shutdown(ctx, l)
			send(t, c, text[len(text)-1:])
			r, _ := readResponse(t, br)
			assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, r.Close)
			assert.Equal(t, h.servedPaths(), "/first")
		})
	}
}
