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
