package pool

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn counts the bytes of a connection and records when it last moved.
type conn struct {
	net.Conn
	base time.Time // moved counts from here, with the monotonic clock

	writing sync.Mutex // held during a Write
	sent    int64      // guarded by writing

	moved   atomic.Int64 // nanoseconds since base of the last byte, or of the start of the Read that waits
	blocked atomic.Bool  // a Read waits for bytes
}

func (c *conn) touch() { c.moved.Store(int64(time.Since(c.base))) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.touch()
	c.blocked.Store(true)
	n, err := c.Conn.Read(p)
	c.blocked.Store(false)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent += int64(n)
		c.touch()
	}
	return n, err
}

// total returns how many bytes were handed to the network. After Close the
// figure is final: it waits for a Write under way, and a later one fails.
func (c *conn) total() int64 {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.sent
}
