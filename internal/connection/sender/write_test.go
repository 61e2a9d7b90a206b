package sender_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// failingConn is a connection whose writes fail after a number of bytes.
type failingConn struct {
	net.Conn
	written int
	err     error
}

func (c *failingConn) Write([]byte) (int, error) { return c.written, c.err }

// Guards against an error that says "not run" for a request of which a byte left the host.
func TestFailedWriteMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		written int
		err     error
		want    classifier.Kind
	}{
		"reset before the first byte":   {0, syscall.ECONNRESET, classifier.Unreachable},
		"timeout before the first byte": {0, syscall.ETIMEDOUT, classifier.Unreachable},
		"reset after one byte":          {1, syscall.ECONNRESET, classifier.Failed},
		"timeout after one byte":        {1, syscall.ETIMEDOUT, classifier.TimedOut},
		"reset after all bytes":         {1000, syscall.EPIPE, classifier.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			s := sender.New(sender.Options{Match: match, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				raw, err := new(net.Dialer).DialContext(ctx, network, address)
				return &failingConn{raw, c.written, c.err}, err
			}})
			t.Cleanup(s.Close)
			address, _ := upstream(t, respond(firstResponse))
			_, err := do(t, s, address, "1")
			assert.Equal(t, classifier.Of(err), c.want, "%v", err)
		})
	}
}

// Guards against a request that counts as not run although the upstream received it: on a
// connection that the upstream closes between the check for reuse and the write, it counts
// as not run only if the kernel takes none of its bytes.
func TestWriteToClosedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		reset bool
		want  classifier.Kind
	}{"reset": {true, classifier.Unreachable}, "closed": {false, classifier.Failed}} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan net.Conn, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				if c, err := l.Accept(); err == nil {
					accepted <- c
				}
			}()
			conn, err := newSender(t).Get(t.Context(), l.Addr().String())
			assert.NilError(t, err)
			up := <-accepted
			if c.reset {
				assert.NilError(t, up.(*net.TCPConn).SetLinger(0))
			}
			assert.NilError(t, up.Close())
			time.Sleep(20 * time.Millisecond)
			r := &sender.Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("x")}}
			_, err = conn.Do(t.Context(), r, time.Now().Add(time.Second))
			assert.Equal(t, classifier.Of(err), c.want, "%v", err)
		})
	}
}
