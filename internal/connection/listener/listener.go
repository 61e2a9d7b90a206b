// Package listener accepts connections in spite of errors.
package listener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// retryDelay is the pause after a failed Accept.
	retryDelay = 20 * time.Millisecond
	// reportInterval is the least time between two reports of errors.
	reportInterval = time.Second
)

// Listener retries Accept after errors, for example when the process has no file descriptors
// left. The server of net/http does so only for some errors and ends after the others.
type Listener struct {
	net.Listener
	report     func(error)
	nextReport atomic.Int64 // Unix nanoseconds
}

// New returns a Listener that calls report with errors that are retried, at most once per
// second.
func New(l net.Listener, report func(error)) *Listener {
	return &Listener{Listener: l, report: report}
}

// Accept implements net.Listener. The error is net.ErrClosed or os.ErrDeadlineExceeded.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		now := time.Now()
		if next := l.nextReport.Load(); now.UnixNano() >= next && l.nextReport.CompareAndSwap(next, now.Add(reportInterval).UnixNano()) {
			l.report(err)
		}
		time.Sleep(retryDelay)
	}
}
