package reporter

import (
	"errors"
	"io"
	"net"
	"sync"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
)

// conn is a connection whose Read returns io.EOF only once the peer has received the request that
// is written, and the error of a failed Write otherwise.
type conn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	pending  chan struct{} // closed once the request is written, nil if there was none
	answered bool          // a byte arrived since the request began
	err      error         // of the first Write that failed
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, closed: make(chan struct{})} }

func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.answered = make(chan struct{}), false
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.pending:
	default:
		close(c.pending)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err == nil { // a later one is a consequence
			c.err = err
		}
	}
	return n, err
}

// Close implements net.Conn. It ends a Read that waits.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.answered = true
		c.mu.Unlock()
	}
	var failure error
	switch {
	case err == io.EOF:
		failure = c.awaitReceipt()
	case errors.Is(err, net.ErrClosed): // by net/http, after the error of a Write
		failure = c.writeError()
	}
	if failure != nil {
		err = failure
	}
	return n, err
}

// awaitReceipt waits until the peer has received the request, if a response has begun. It returns
// an error if the connection fails or is closed before.
func (c *conn) awaitReceipt() error {
	c.mu.Lock()
	pending, answered := c.pending, c.answered
	c.mu.Unlock()
	if !answered {
		return c.writeError()
	}
	if pending != nil {
		select {
		case <-pending:
		case <-c.closed:
		}
	}
	if err := c.writeError(); err != nil {
		return err
	}
	// net/http reports a request as written before it has flushed the end of it.
	if err := peeker.AwaitAcknowledged(c.Conn, c.stopError); err != nil {
		return err
	}
	return c.stopError()
}

// stopError returns why a Read should no longer wait, or nil.
func (c *conn) stopError() error {
	if err := c.writeError(); err != nil {
		return err
	}
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
		return nil
	}
}

// writeError returns the error of the first Write that failed.
func (c *conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
