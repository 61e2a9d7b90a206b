package peeker_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
)

// Guards against a connection that counts as quiet with bytes waiting or its other end
// gone, and against a look that takes bytes.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer near.Close()
	far, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, near.SetDeadline(time.Unix(1, 0)))
	assert.Assert(t, peeker.Idle(near))
	_, err = io.WriteString(far, "x")
	assert.NilError(t, err)
	for peeker.Idle(near) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, near.SetDeadline(time.Time{}))
	one := make([]byte, 1)
	_, err = io.ReadFull(near, one)
	assert.NilError(t, err)
	assert.Assert(t, peeker.Idle(near))
	_ = far.Close()
	for peeker.Idle(near) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, near.Close())
	assert.Assert(t, !peeker.Idle(near))
}
