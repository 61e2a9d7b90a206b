package conductor

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// failingListener fails the first Accept as if the kernel had no memory for a socket.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends, with all requests in flight, because the listener for
// readiness checks, lookups or metrics fails for a moment.
func TestAuxiliaryServerRetriesAfterAcceptError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &Conductor{started: time.Now(), log: logger.New(io.Discard, zerolog.InfoLevel, "self")}
	ctx, cancel := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	c.serveAuxiliary(ctx, g, &failingListener{Listener: l}, http.NotFoundHandler())
	client := http.Client{Timeout: 5 * time.Second}
	r, err := client.Get("http://" + l.Addr().String())
	assert.Check(t, err)
	if err == nil {
		_ = r.Body.Close()
	}
	cancel()
	assert.NilError(t, g.Wait())
}
