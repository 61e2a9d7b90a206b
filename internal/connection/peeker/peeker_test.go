package peeker_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
)

// Guards against reporting a connection as idle that has unread bytes or was closed, also
// after its deadline, and against consuming bytes.
func TestIdleWithoutConsumingBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	server, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, client.SetDeadline(time.Unix(1, 0)))
	assert.Assert(t, peeker.Idle(client))
	_, err = io.WriteString(server, "x")
	assert.NilError(t, err)
	for peeker.Idle(client) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, client.SetDeadline(time.Time{}))
	b := make([]byte, 1)
	_, err = io.ReadFull(client, b)
	assert.NilError(t, err)
	assert.Assert(t, peeker.Idle(client))
	_ = server.Close()
	for peeker.Idle(client) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, client.Close())
	assert.Assert(t, !peeker.Idle(client))
}

// Guards against a listener with a waiting connection that counts as not readable, and the
// reverse.
func TestReadableListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, !peeker.Readable(l))
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	for !peeker.Readable(l) {
		time.Sleep(time.Millisecond)
	}
	server, err := l.Accept()
	assert.NilError(t, err)
	defer server.Close()
	assert.Assert(t, !peeker.Readable(l))
	assert.NilError(t, l.Close())
	assert.Assert(t, !peeker.Readable(l))
}

// Guards against bytes that count as acknowledged although the peer has no room for them, and
// against acknowledged ones that count as outstanding.
func TestHasUnacknowledged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	server, err := l.Accept()
	assert.NilError(t, err)
	assert.Assert(t, !peeker.HasUnacknowledged(client))
	assert.NilError(t, client.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = io.CopyN(client, zeros{}, 1<<30)
	assert.ErrorContains(t, err, "timeout")
	assert.Assert(t, peeker.HasUnacknowledged(client))
	assert.NilError(t, client.(*net.TCPConn).CloseWrite())
	_, err = io.Copy(io.Discard, server)
	assert.NilError(t, err)
	for peeker.HasUnacknowledged(client) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, client.Close())
	assert.Assert(t, !peeker.HasUnacknowledged(client))
}

// Guards against a disconnect that is hidden by unread data, and against unread data that
// counts as a disconnect.
func TestDisconnectedWithUnreadData(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err := l.Accept()
	assert.NilError(t, err)
	defer server.Close()
	_, err = io.WriteString(client, "x")
	assert.NilError(t, err)
	for peeker.Idle(server) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !peeker.Disconnected(server))
	assert.NilError(t, client.Close())
	for !peeker.Disconnected(server) {
		time.Sleep(time.Millisecond)
	}
}

// zeros is an endless reader.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }
