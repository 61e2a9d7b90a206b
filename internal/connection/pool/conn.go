package pool

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
)

// conn counts the bytes of a connection and records when it last moved.
type conn struct {
	net.Conn
	base time.Time // moved counts from here, with the monotonic clock

	writing sync.Mutex // held during a Write
	sent    int64      // guarded by writing

	moved   atomic.Int64 // nanoseconds since base of the last byte, or of the start of the Read that waits
	blocked atomic.Bool  // a Read waits for bytes

	awaitsHead  atomic.Bool           // the next byte belongs to the head of a response
	head        []byte                // the part of it that has arrived, used by Read only
	checked     int                   // bytes of head that are checked
	invalidHead atomic.Pointer[error] // why a head was refused
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
		if invalid := c.checkHead(p[:n]); invalid != nil {
			c.invalidHead.Store(&invalid)
			return 0, invalid
		}
	}
	return n, err
}

// checkHead checks bytes that were read as far as they belong to the head of a response or of
// the interim responses before it.
func (c *conn) checkHead(b []byte) error {
	if !c.awaitsHead.Load() {
		return nil
	}
	if len(c.head) > 0 {
		c.head = append(c.head, b...)
		b = c.head
	}
	for {
		end, complete, err := validator.Scan(b, c.checked)
		switch {
		case err != nil:
			return err
		case !complete:
			c.head, c.checked = append(c.head[:0], b...), end
			return nil
		case !validator.IsInterim(b):
			c.awaitsHead.Store(false)
			c.head, c.checked = nil, 0
			return nil
		}
		b, c.checked = b[end:], 0
	}
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
