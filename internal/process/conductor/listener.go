package conductor

import (
	"errors"
	"net"
	"time"
)

// retryingListener retries Accept after every error except net.ErrClosed. The server of
// net/http does so only for some errors and ends after the others.
type retryingListener struct {
	net.Listener
	failed func(error) // called with each error that is retried
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failed(err)
		time.Sleep(acceptRetryDelay)
	}
}
