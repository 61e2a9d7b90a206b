package listener_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/listener"
)

// failingListener returns errors, and then a connection.
type failingListener struct {
	net.Listener
	errs []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return new(net.TCPConn), nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

// Guards against a process that ends, with all requests in flight, because it could not
// accept a connection, against one that does not notice that its listener was closed, and
// against a flood of reports.
func TestAcceptRetriesAfterErrors(t *testing.T) {
	for name, c := range map[string]struct {
		errs     []error
		want     error
		reported int
	}{
		"no error":            {},
		"no file descriptors": {errs: []error{syscall.EMFILE}, reported: 1},
		"no memory":           {errs: []error{syscall.ENOBUFS, syscall.ENOBUFS}, reported: 1},
		"for longer":          {errs: make100(syscall.EMFILE), reported: 2},
		"closed":              {errs: []error{net.ErrClosed}, want: net.ErrClosed},
		"deadline":            {errs: []error{syscall.EMFILE, os.ErrDeadlineExceeded}, want: os.ErrDeadlineExceeded, reported: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reported := 0
				_, err := listener.New(&failingListener{errs: c.errs}, func(error) { reported++ }).Accept()
				assert.ErrorIs(t, err, c.want)
				assert.Equal(t, reported, c.reported)
			})
		})
	}
}

func make100(err error) []error {
	errs := make([]error, 100)
	for i := range errs {
		errs[i] = err
	}
	return errs
}
