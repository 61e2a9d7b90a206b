// Package peeker examines sockets without consuming data from them.
package peeker

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Idle reports whether the connection is open and has no unread data. It returns true for
// a connection without a file descriptor, such as a net.Pipe, and false on any error.
func Idle(c net.Conn) bool {
	if _, ok := c.(syscall.Conn); !ok {
		return true
	}
	return examine(c, func(fd int) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == syscall.EAGAIN
	})
}

// Readable reports whether a read of the socket, or Accept if it is a listener, would return
// at once. It returns false for a value without a file descriptor and on any error.
func Readable(socket any) bool {
	return examine(socket, func(fd int) bool { return poll(fd, unix.POLLIN) })
}

// HasUnacknowledged reports whether the peer has not acknowledged all that was written to the
// connection, including its end. It returns false for a connection without a file descriptor
// and on any error.
func HasUnacknowledged(c net.Conn) bool {
	return examine(c, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err == nil && n > 0
	})
}

// Disconnected reports whether the peer has closed the connection or its sending direction, or
// the connection has failed, also if there is unread data. It returns false for a connection
// without a file descriptor and on any error.
func Disconnected(c net.Conn) bool {
	// Poll also reports a hangup and an error, which are not requested.
	return examine(c, func(fd int) bool { return poll(fd, unix.POLLRDHUP) })
}

// errFailed is the error of a connection whose own error may have been returned already.
var errFailed = errors.New("connection failed before the peer had acknowledged what was sent")

// acknowledgementPollPeriod is how often AwaitAcknowledged examines a connection.
const acknowledgementPollPeriod = time.Millisecond

// AwaitAcknowledged waits until the peer has acknowledged all that was written to the connection.
// It returns an error if the connection fails before, and that of stop once stop returns one. It
// returns nil at once for a connection without a file descriptor and on any other error.
func AwaitAcknowledged(c net.Conn, stop func() error) error {
	for ; HasUnacknowledged(c); time.Sleep(acknowledgementPollPeriod) {
		if failed(c) {
			return errFailed
		}
		if err := stop(); err != nil {
			return err
		}
	}
	return nil
}

// failed reports whether the connection was reset or timed out, also if a write or a read has
// returned that error. A connection that only the peer has closed has not failed.
func failed(c net.Conn) bool {
	// Poll reports an error and a hangup in both directions without being asked for them.
	return examine(c, func(fd int) bool { return poll(fd, 0) })
}

func poll(fd int, events int16) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
	return err == nil && n > 0
}

// examine returns the result of f for the file descriptor of the socket, and false if there
// is none. Control is used because RawConn.Read fails once the read deadline has passed, as
// that of the last request on a connection may have.
func examine(socket any, f func(fd int) bool) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	result := false
	err = raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return err == nil && result
}
