package delayer

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	chunkSize = 32 << 10
	// window is how many chunks of one direction are on their way at most. With
	// chunkSize it allows 4 MiB per connection and one-way delay.
	window = 128
)

// link is one delayed connection: raw is the real one, far the end of a pipe to
// the caller.
type link struct {
	from, to Place
	raw, far net.Conn
	silent   atomic.Bool
}

type chunk struct {
	due  time.Time
	data []byte
}

// carry moves bytes from src to dst, each after the delay, until one of them
// is closed. A close of src reaches dst after the delay as well.
func (l *link) carry(dst, src net.Conn, delay time.Duration, sent *atomic.Int64) {
	chunks := make(chan chunk, window)
	go func() {
		defer close(chunks)
		buf := make([]byte, chunkSize)
		for {
			n, err := src.Read(buf)
			if n > 0 && !l.silent.Load() {
				sent.Add(int64(n))
				chunks <- chunk{time.Now().Add(delay), append([]byte(nil), buf[:n]...)}
			}
			if err != nil {
				// The close of the source travels as a chunk without data.
				chunks <- chunk{due: time.Now().Add(delay)}
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if l.silent.Load() {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	if src == l.far || !l.silent.Load() {
		_ = l.raw.Close()
		_ = l.far.Close()
	}
	// A writer that failed leaves chunks, which would block the reader.
	for range chunks {
		continue
	}
}

// conn is the caller's end of a link. It shows the addresses of the real
// connection.
type conn struct {
	net.Conn
	raw net.Conn
}

// LocalAddr returns the address of the real connection.
func (c *conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr returns the address of the real connection.
func (c *conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }
