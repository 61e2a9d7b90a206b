package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
)

// Guards against requests that go on running after their caller disconnected, while the
// reader of the connection waits for them.
func TestDisconnectWhileReaderWaitsCancelsRequests(t *testing.T) {
	const get, post = "GET /slow/get HTTP/1.1\r\nHost: a\r\n\r\n", "POST /slow/post HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		text    string
		running int
	}{
		"behind a request that runs alone": {text: post + "Content-Length: 0\r\n\r\n" + get, running: 1},
		"before a request that runs alone": {text: get + post + "Content-Length: 0\r\n\r\n", running: 1},
		"more requests than may run":       {text: strings.Repeat(get, 20), running: 16},
		"refused request":                  {text: get + "GET / HTTP/1.1\r\nbad\r\n\r\n", running: 1},
		"streamed body":                    {text: post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2<<20, strings.Repeat("x", 2<<20)), running: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			_, dial := startAcceptor(t, bodyReadingHandler{h})
			conn := dial()
			send(t, conn, c.text)
			for range c.running {
				<-h.received
			}
			assert.NilError(t, conn.Close())
			for i := range c.running {
				select {
				case <-h.disconnected:
				case <-time.After(10 * time.Second):
					t.Fatalf("%d of %d requests were canceled", i, c.running)
				}
			}
		})
	}
}

// bodyReadingHandler reads a streamed body before it handles the request.
type bodyReadingHandler struct{ *handler }

// Serve implements acceptor.Handler.
func (h bodyReadingHandler) Serve(ctx context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	if c.Request.Body != nil {
		_, _ = io.Copy(io.Discard, c.Request.Body)
	}
	h.handler.Serve(ctx, c, w)
}

// Guards against an interim response in front of or inside of an earlier response.
func TestContinueFollowsEarlierResponses(t *testing.T) {
	h := newHandler()
	_, dial := startAcceptor(t, h)
	c := dial()
	send(t, c, "GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	<-h.received
	time.Sleep(50 * time.Millisecond)
	close(h.release)
	br := bufio.NewReader(c)
	_, body := readResponse(t, br)
	assert.Equal(t, body, "/slow/1 ")
	r, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusContinue)
	send(t, c, "x")
	_, body = readResponse(t, br)
	assert.Equal(t, body, "/2 x")
}

// Guards against an interim response that fails because of the write deadline of an earlier
// response.
func TestContinueAfterIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		a := acceptor.New(acceptor.Options{Handler: newHandler()})
		go func() { _ = a.Serve(l) }()
		c, server := net.Pipe()
		l.conns <- server
		br := bufio.NewReader(c)
		send(t, c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
		readResponse(t, br)
		time.Sleep(50 * time.Second)
		send(t, c, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
		r, err := http.ReadResponse(br, nil)
		assert.Check(t, err)
		if err == nil {
			assert.Equal(t, r.StatusCode, http.StatusContinue)
			send(t, c, "x")
			_, body := readResponse(t, br)
			assert.Equal(t, body, "/2 x")
		}
		_ = c.Close()
		_ = l.Close()
	})
}

// streamingHandler writes a response without an end until its deadline.
type streamingHandler struct {
	deadline time.Duration
	err      chan error
}

// Serve implements acceptor.Handler.
func (h streamingHandler) Serve(_ context.Context, _ *acceptor.Call, w *acceptor.ResponseWriter) {
	w.SetDeadline(time.Now().Add(h.deadline))
	err := w.WriteHeader(http.StatusOK, nil, -1)
	for err == nil {
		_, err = w.Write(make([]byte, 4096))
	}
	h.err <- err
}

// Guards against a write that waits for a caller who doesn't read, after the deadline of the
// response, and against one that never ends without a deadline before that.
func TestWriteFailsAtDeadline(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{2 * time.Second: 2 * time.Second, time.Hour: 30 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				h := streamingHandler{deadline, make(chan error, 1)}
				a := acceptor.New(acceptor.Options{Handler: h})
				go func() { _ = a.Serve(l) }()
				c, server := net.Pipe()
				l.conns <- server
				send(t, c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
				begun := time.Now()
				assert.ErrorIs(t, <-h.err, acceptor.ErrWriteFailed)
				assert.Equal(t, time.Since(begun), want)
				_ = c.Close()
				_ = l.Close()
			})
		})
	}
}

// pipeListener accepts the connections that are sent to conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { close(l.closed); return nil }

// Addr implements net.Listener.
func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against requests that run although an earlier request asked for the connection to be
// closed, and whose response follows one that the end of the connection delimits.
func TestNoRequestRunsAfterRequestedClose(t *testing.T) {
	for name, text := range map[string]string{
		"HTTP/1.1": "GET /slow/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"HTTP/1.0": "GET /slow/1 HTTP/1.0\r\nHost: a\r\n\r\nGET /2 HTTP/1.0\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			_, dial := startAcceptor(t, h)
			c := dial()
			send(t, c, text)
			<-h.received
			close(h.release)
			br := bufio.NewReader(c)
			r, body := readResponse(t, br)
			assert.Equal(t, body, "/slow/1 ")
			assert.Assert(t, r.Close)
			_, err := br.ReadByte()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, h.servedPaths(), "/slow/1")
		})
	}
}

// unreadBodyHandler responds while a body is still being read by another goroutine, and sends
// the error that ends the reads.
type unreadBodyHandler struct{ readErr chan error }

// Serve implements acceptor.Handler.
func (h unreadBodyHandler) Serve(_ context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	begun := make(chan struct{}, 1<<20)
	go func() {
		b := make([]byte, 1)
		for {
			if _, err := c.Request.Body.Read(b); err != nil {
				h.readErr <- err
				return
			}
			begun <- struct{}{}
		}
	}()
	<-begun
	w.Refuse(http.StatusGatewayTimeout, nil)
}

// Guards against a body that goes on being read after the response to its request, which keeps
// the connection open as long as its caller sends.
func TestBodyEndsWithResponse(t *testing.T) {
	h := unreadBodyHandler{make(chan error, 1)}
	_, dial := startAcceptor(t, h)
	c := dial()
	send(t, c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				_, _ = io.WriteString(c, "x")
			}
		}
	}()
	br := bufio.NewReader(c)
	r, _ := readResponse(t, br)
	assert.Equal(t, r.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, r.Close)
	assert.Assert(t, <-h.readErr != io.EOF)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
}
