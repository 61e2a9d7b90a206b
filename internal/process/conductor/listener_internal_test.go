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
	"golang.org/x/sys/unix"
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

// Guards against a caller whose unread bytes fill the memory of the machine: the kernel may grow
// a receive buffer to 32 MB.
func TestUnreadBytesOfCallerAreBounded(t *testing.T) {
	l, err := listenCallers("127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	go func() { _, _ = caller.Write(make([]byte, 256<<20)) }()
	// The kernel grows the buffer while the host reads.
	_, err = io.CopyN(io.Discard, conn, 64<<20)
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	unread := 0
	assert.NilError(t, raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	assert.NilError(t, err)
	assert.Assert(t, unread > 0 && unread <= 2*callerReceiveBytes, "%d bytes are unread", unread)
}
