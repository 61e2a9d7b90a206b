// Package peeker looks at connections without reading from them.
package peeker

import (
	"net"
	"syscall"
)

// Idle reports whether the connection is open and has nothing to read. A connection
// that cannot be looked at counts as quiet.
func Idle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// RawConn.Read would fail after the deadline of the last request.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failure == syscall.EAGAIN
	})
	return err == nil && quiet
}
