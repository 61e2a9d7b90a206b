// Package peeker examines sockets without consuming data from them.
package peeker

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Idle reports whether the connection is open and has no unread data. It returns true for
// a connection without a file descriptor, such as a net.Pipe, and false on any error.
func Idle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// Control is used because RawConn.Read fails once the read deadline has passed, as
	// that of the last request on the connection may have.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = recvErr == syscall.EAGAIN
	})
	return err == nil && idle
}

// Readable reports whether a read of the socket, or Accept if it is a listener, would return
// at once. It returns false for a value without a file descriptor and on any error.
func Readable(socket any) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		n, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		readable = pollErr == nil && n > 0
	})
	return err == nil && readable
}

// HasUnacknowledged reports whether the peer has not acknowledged all that was written to the
// connection, including its end. It returns false for a connection without a file descriptor
// and on any error.
func HasUnacknowledged(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := false
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unacknowledged = ioctlErr == nil && n > 0
	})
	return err == nil && unacknowledged
}

// Disconnected reports whether the peer has closed the connection or its sending direction, or
// the connection has failed, also if there is unread data. It returns false for a connection
// without a file descriptor and on any error.
func Disconnected(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		// Poll also reports a hangup and an error, which are not requested.
		n, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
		disconnected = pollErr == nil && n > 0
	})
	return err == nil && disconnected
}
