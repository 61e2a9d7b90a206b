package sender_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// longBodyBytes doesn't fit the buffers of a connection.
const longBodyBytes = 32 << 20

// headUpstream starts a server that reads the header of each request and calls f.
func headUpstream(t *testing.T, f func(c net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					f(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a response that is lost or late because its upstream doesn't read the rest of
// the body, and against a connection that is used again in the middle of a body.
func TestResponseBeforeEndOfBody(t *testing.T) {
	const tooLarge = "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 4\r\n\r\nlong"
	discard := func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	for name, c := range map[string]struct {
		serve  func(c net.Conn, r *http.Request)
		reused bool
		kind   classifier.Kind // of the error, Internal for none
	}{
		"after the body":  {func(c net.Conn, r *http.Request) { discard(r); time.Sleep(50 * time.Millisecond); respond(tooLarge)(c) }, true, classifier.Internal},
		"before the body": {func(c net.Conn, r *http.Request) { respond(tooLarge)(c); time.Sleep(50 * time.Millisecond); discard(r) }, false, classifier.Internal},
		"in the body": {func(c net.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, longBodyBytes/2)
			respond(tooLarge)(c)
			time.Sleep(50 * time.Millisecond)
			discard(r)
		}, false, classifier.Internal},
		"body unread, open": {func(c net.Conn, _ *http.Request) { respond(tooLarge)(c); time.Sleep(300 * time.Millisecond) }, false, classifier.Internal},
		"body unread, closed": {func(c net.Conn, _ *http.Request) {
			respond(tooLarge)(c)
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
		}, false, classifier.Internal},
		"no response, closed": {func(c net.Conn, _ *http.Request) { _ = c.Close() }, false, classifier.Failed},
		"no response, open":   {func(net.Conn, *http.Request) { time.Sleep(3 * time.Second) }, false, classifier.TimedOut},
		"half a response":     {func(c net.Conn, _ *http.Request) { respond(tooLarge[:20])(c); _ = c.Close() }, false, classifier.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSender(t)
			address := headUpstream(t, c.serve)
			conn, err := s.Get(t.Context(), address)
			assert.NilError(t, err)
			r := &sender.Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Id": {"1"}}, Body: [][]byte{make([]byte, longBodyBytes/2), make([]byte, longBodyBytes/2)}}
			response, err := conn.Do(t.Context(), r, time.Now().Add(2*time.Second))
			if c.kind != classifier.Internal {
				assert.Equal(t, classifier.Of(err), c.kind, "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "long")
			conn.Release()
			_, err = s.Get(t.Context(), address)
			assert.NilError(t, err)
			assert.Equal(t, s.DialCount() == 1, c.reused)
		})
	}
}

// Guards against a connection that is closed after a fast response because the goroutine that
// wrote the request has not run since.
func TestConnectionIsReusedAfterLongBody(t *testing.T) {
	s := newSender(t)
	address := headUpstream(t, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlong")(c)
	})
	for range 100 {
		conn, err := s.Get(t.Context(), address)
		assert.NilError(t, err)
		r := &sender.Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Id": {"1"}}, Body: [][]byte{make([]byte, 1<<20)}}
		response, err := conn.Do(t.Context(), r, time.Now().Add(10*time.Second))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		conn.Release()
	}
	assert.Equal(t, s.DialCount(), int64(1))
}
