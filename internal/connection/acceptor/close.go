package acceptor

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
)

const (
	// lingerTimeout is how long the connection is drained after its last response.
	// Closing a socket with unread bytes resets the connection, which could make the
	// caller lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerTime bounds how long a connection stays open after its last response while
	// the caller has not acknowledged the whole response. It is the time that one write of
	// the response may take.
	maxLingerTime = writeTimeout
)

// finish waits for the requests in flight and closes a connection from which no further
// request is read. If the caller disconnected, it cancels these requests first.
func (c *conn) finish(wg *sync.WaitGroup) {
	if c.isClosing() {
		c.discardUntilDone(wg)
	} else {
		c.cancel(cmp.Or(c.readErr, errCallerDisconnected))
		wg.Wait()
	}
	c.cancel(errResponseComplete)
	if c.isClosing() {
		c.linger()
	}
	_ = c.raw.Close()
}

// interruptReader makes a read of the connection return at once, now or when it begins.
func (c *conn) interruptReader() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

// discardUntilDone waits for the requests in flight, discards what the caller still sends,
// and cancels the requests if the caller disconnects.
func (c *conn) discardUntilDone(wg *sync.WaitGroup) {
	_ = c.raw.SetReadDeadline(time.Time{})
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		if _, err := io.Copy(io.Discard, c.raw); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel(cmp.Or(err, errCallerDisconnected))
		}
	}()
	wg.Wait()
	c.interruptReader()
	<-discarded
}

// abort ends the connection after an incomplete response and cancels the requests behind it.
// The end of the connection is visible to the caller as the end of a response only if the
// response is delimited by it, so that one is reset. A reset would also discard complete
// responses that have not been transmitted yet.
func (c *conn) abort(closeDelimited bool) {
	c.cancel(errResponseAborted)
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok || closeDelimited || tcp.CloseWrite() != nil {
		if ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.raw.Close()
		return
	}
	c.interruptReader()
}

// linger half-closes the connection after its last response and discards what the caller
// still sends, for lingerTimeout, until the caller has acknowledged the response, and while a
// refused caller goes on sending its body: it may read the response only after that.
func (c *conn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for end := time.Now().Add(maxLingerTime); time.Now().Before(end); {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		n, err := io.Copy(io.Discard, c.raw)
		sends := n > 0 && c.sendsBody()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !sends && !peeker.HasUnacknowledged(c.raw) {
			return
		}
	}
}

// sendsBody reports whether the caller may still send a body that is not read. It is false in a
// shutdown, which doesn't wait for that.
func (c *conn) sendsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body != nil && !c.body.isAtEOF() && time.Now().Before(c.body.deadline) && !c.acceptor.shuttingDown.Load()
}
