package sender

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxCopiedBodyBytes is the size up to which a body is written together with its header, from
// one buffer. A longer one is written from its segments while the response is awaited.
const maxCopiedBodyBytes = 16 << 10

// write is the write of a request with a long body, which goes on while the response is read.
type write struct {
	done  chan struct{} // closed at the end
	early bool          // the response began before the upstream had received the whole request
	n     int64         // bytes written, valid after done
	err   error         // valid after done
}

// startWrite writes a header and the segments of a body in another goroutine. That ends when
// the connection is closed or interrupted.
func (c *Conn) startWrite(head []byte, body [][]byte) *write {
	w := &write{done: make(chan struct{})}
	buffers := append(net.Buffers{head}, body...)
	go func() {
		defer close(w.done)
		w.n, w.err = buffers.WriteTo(c.conn)
	}()
	return w
}

const (
	// maxWriteEndDelay bounds the time from the last byte of a request to the end of the
	// goroutine that wrote it, which may have to wait for a processor.
	maxWriteEndDelay = time.Second
	writePollPeriod  = time.Millisecond
)

// isEarly reports whether a response that has begun came before the upstream had received the whole
// request. A write that is blocked has unacknowledged bytes. Without any, its goroutine may only
// not have run since.
func (w *write) isEarly(c net.Conn) bool {
	poll := time.NewTicker(writePollPeriod)
	defer poll.Stop()
	for end := time.Now().Add(maxWriteEndDelay); time.Now().Before(end); {
		select {
		case <-w.done:
			return w.err != nil || peeker.HasUnacknowledged(c)
		case <-poll.C:
			if peeker.HasUnacknowledged(c) {
				return true
			}
		}
	}
	return true
}

// Early reports whether the response began before the upstream had received the whole request.
// Such a connection is not reused.
func (c *Conn) Early() bool { return c.write != nil && c.write.early }

var errNotReceived = errors.New("request was given up before the upstream had received it")

// awaitReceipt waits until the upstream has received the whole request. It returns an error if
// the connection fails, is interrupted, or the deadline of the request passes before.
func (c *Conn) awaitReceipt() error {
	if c.write != nil {
		<-c.write.done // the deadline applies to the write, too
		if c.write.err != nil {
			return c.write.err
		}
	}
	err := peeker.AwaitAcknowledged(c.conn, func() error {
		if c.interrupted.Load() || !time.Now().Before(c.deadline) {
			return errNotReceived
		}
		return nil
	})
	if err == nil && c.write != nil {
		c.write.early = false // closing the connection need not reset it
	}
	return err
}

// closeDelimitedBody is the body of a response that ends where its connection is closed. The
// kernel reports the failure of a connection once. If a write of the request gets that error,
// reads return the same as after a regular close. So the body is complete only if the upstream
// has received the request.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := b.conn.awaitReceipt(); failure != nil {
		err = fmt.Errorf("response without a length may be incomplete: %w", failure)
	}
	return n, err
}

// roundTripLong sends a request with a long body and reads the header of its response. An
// upstream may respond before it has read the body, and not read the rest.
func (c *Conn) roundTripLong(r *Request, reused bool) (*http.Response, error) {
	var head bytes.Buffer
	writeRequest(&head, r)
	start := time.Now()
	w := c.startWrite(head.Bytes(), r.Body)
	c.write = w
	response, err := c.readMatching(r, reused)
	if err == nil {
		w.early = w.isEarly(c.conn)
		return response, nil
	}
	if classifier.Of(err) == classifier.Failed {
		c.detectDrop(err, start)
	}
	c.Interrupt()
	<-w.done
	if w.err != nil && w.n == 0 {
		return nil, c.writeError(0, w.err)
	}
	return nil, err
}
