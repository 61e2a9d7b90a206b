package sender_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
)

const (
	partOfBody    = "a part of the body"
	responseToEOF = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + partOfBody
	// shortBodyBytes are written together with the header, mediumBodyBytes fit the buffers of both
	// ends of a connection, and bufferedBodyBytes that of the sender.
	shortBodyBytes    = 8 << 10
	mediumBodyBytes   = 64 << 10
	bufferedBodyBytes = 1 << 20
	uploadTimeout     = 1500 * time.Millisecond
	ackTimeout        = 200 * time.Millisecond
	// tries is how often a case is repeated in which the kernel reports a reset either to the
	// writer or to the reader.
	tries = 20
)

// endBody ends the response of an upstream that may go on reading the request.
func endBody(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

func pause() { time.Sleep(20 * time.Millisecond) }

func readRequest(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

// Guards against a part of a body that counts as the whole: the kernel reports a reset once, and
// if the goroutine that writes the request gets it, the reader of a body without a length sees a
// regular end. Guards also against a whole body that is refused, although its upstream ended it
// and went on reading the request.
func TestBodyOfFailedConnectionIsNotComplete(t *testing.T) {
	const whole = "none"
	sendPart := respond(responseToEOF)
	reset := respondAndReset(responseToEOF)
	for name, c := range map[string]struct {
		bodyBytes, tries int
		serve            func(c net.Conn, r *http.Request)
		want             string // in the error, or whole
	}{
		"reset":                        {longBodyBytes, tries, func(c net.Conn, _ *http.Request) { reset(c) }, "reset by peer"},
		"reset, request buffered":      {bufferedBodyBytes, tries, func(c net.Conn, _ *http.Request) { reset(c) }, "reset by peer"},
		"reset, medium request":        {mediumBodyBytes, tries, func(c net.Conn, _ *http.Request) { reset(c) }, "reset by peer"},
		"reset, short request":         {shortBodyBytes, tries, func(c net.Conn, _ *http.Request) { reset(c) }, "reset by peer"},
		"reset later":                  {longBodyBytes, tries, func(c net.Conn, _ *http.Request) { sendPart(c); pause(); respondAndReset("")(c) }, "reset by peer"},
		"reset after half the request": {longBodyBytes, tries, func(c net.Conn, r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, longBodyBytes/2); reset(c) }, "reset by peer"},
		// A reset, or a FIN and then a reset if no byte is unread at that moment.
		"closed, request unread":               {longBodyBytes, tries, func(c net.Conn, _ *http.Request) { sendPart(c); _ = c.Close() }, ""},
		"ended, then closed":                   {longBodyBytes, 3, func(c net.Conn, _ *http.Request) { sendPart(c); endBody(c); pause(); _ = c.Close() }, "writev"},
		"ended, then closed, request buffered": {bufferedBodyBytes, 3, func(c net.Conn, _ *http.Request) { sendPart(c); endBody(c); pause(); _ = c.Close() }, "may be incomplete"},
		"ended, request unread":                {longBodyBytes, 1, func(c net.Conn, _ *http.Request) { sendPart(c); endBody(c); time.Sleep(2 * uploadTimeout) }, "i/o timeout"},
		"ended, buffered request unread":       {bufferedBodyBytes, 1, func(c net.Conn, _ *http.Request) { sendPart(c); endBody(c); time.Sleep(2 * uploadTimeout) }, "may be incomplete"},
		"ended, request read":                  {longBodyBytes, tries, func(c net.Conn, r *http.Request) { sendPart(c); endBody(c); readRequest(r) }, whole},
		"ended, request read later":            {longBodyBytes, 3, func(c net.Conn, r *http.Request) { sendPart(c); endBody(c); pause(); readRequest(r) }, whole},
		"ended, buffered request read later":   {bufferedBodyBytes, 3, func(c net.Conn, r *http.Request) { sendPart(c); endBody(c); pause(); readRequest(r) }, whole},
		"ended after the request":              {longBodyBytes, 3, func(c net.Conn, r *http.Request) { readRequest(r); sendPart(c); endBody(c) }, whole},
		"closed after a medium request":        {mediumBodyBytes, tries, func(c net.Conn, r *http.Request) { readRequest(r); sendPart(c); _ = c.Close() }, whole},
		"closed after a short request":         {shortBodyBytes, tries, func(c net.Conn, r *http.Request) { readRequest(r); sendPart(c); _ = c.Close() }, whole},
		"closed, no body in the request":       {0, tries, func(c net.Conn, _ *http.Request) { sendPart(c); _ = c.Close() }, whole},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range c.tries {
				body, err := uploadTo(t, newSender(t), headUpstream(t, c.serve), c.bodyBytes)
				assert.Equal(t, body, partOfBody)
				if c.want == whole {
					assert.NilError(t, err)
				} else {
					assert.ErrorContains(t, err, c.want)
				}
			}
		})
	}
}

// Guards against a part of a body that counts as the whole because the upstream stopped
// acknowledging the request, an error that goes to the writer like a reset.
func TestBodyWithoutAcknowledgementIsNotComplete(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	address := headUpstream(t, func(c net.Conn, _ *http.Request) { respond(responseToEOF)(c); <-end })
	s := sender.New(sender.Options{Match: match, Dial: dialWithAckTimeout})
	defer s.Close()
	body, err := uploadTo(t, s, address, longBodyBytes)
	assert.Equal(t, body, partOfBody)
	assert.ErrorContains(t, err, "connection timed out")
}

// dialWithAckTimeout opens a connection that fails once sent bytes stay unacknowledged for
// ackTimeout.
func dialWithAckTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	}}
	return d.DialContext(ctx, network, address)
}

// Guards against a request that is cut off because its upstream ended the response before it had
// read the request.
func TestRequestIsSentAfterEndOfBody(t *testing.T) {
	received := make(chan int64, 1)
	address := headUpstream(t, func(c net.Conn, r *http.Request) {
		respond(responseToEOF)(c)
		endBody(c)
		first, _ := io.CopyN(io.Discard, r.Body, longBodyBytes-mediumBodyBytes)
		pause()
		last, _ := io.Copy(io.Discard, r.Body)
		received <- first + last
	})
	_, err := uploadTo(t, newSender(t), address, longBodyBytes)
	assert.NilError(t, err)
	assert.Equal(t, <-received, int64(longBodyBytes))
}

// uploadTo sends a request with a body of n bytes, and returns the body of the response and the
// error of reading that.
func uploadTo(t *testing.T, s *sender.Sender, address string, n int) (string, error) {
	t.Helper()
	conn, err := s.Get(t.Context(), address)
	assert.NilError(t, err)
	r := &sender.Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Id": {"1"}}, Body: [][]byte{make([]byte, n)}}
	response, err := conn.Do(t.Context(), r, time.Now().Add(uploadTimeout))
	assert.NilError(t, err)
	var body bytes.Buffer
	_, err = io.Copy(&body, response.Body)
	if err != nil {
		conn.Close()
	} else {
		conn.Release()
	}
	return body.String(), err
}
