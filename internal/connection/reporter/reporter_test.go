package reporter_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/reporter"
	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
)

const (
	longBytes     = 32 << 20 // don't fit the buffers of a connection
	bufferedBytes = 1 << 20  // fit the buffer of the sender
	partOfBody    = "a part of the body"
)

// Guards against a part of a body that a client of package net/http takes for the whole: the
// kernel reports a reset once, and if the write of the request gets it, a body without a length
// ends. Guards also against a whole body that is refused, although its server went on reading.
func TestBodyOfFailedConnectionIsNotComplete(t *testing.T) {
	const whole = "none"
	const toEOF = "HTTP/1.1 200 OK\r\n\r\n" + partOfBody
	pause := func() { time.Sleep(10 * time.Millisecond) }
	for name, c := range map[string]struct {
		bodyBytes int
		response  string
		end       func(c *net.TCPConn)
		err       string // a part of it
	}{
		"reset":                        {longBytes, toEOF, responder.Reset, "reset by peer"},
		"reset later":                  {longBytes, toEOF, func(c *net.TCPConn) { pause(); responder.Reset(c) }, "reset by peer"},
		"closed, request unread":       {longBytes, toEOF, func(*net.TCPConn) {}, ""},
		"ended, then closed":           {longBytes, toEOF, func(c *net.TCPConn) { _ = c.CloseWrite(); pause() }, ""},
		"ended, then closed, buffered": {bufferedBytes, toEOF, func(c *net.TCPConn) { _ = c.CloseWrite(); pause() }, ""},
		"reset, short request":         {1 << 10, toEOF, responder.Reset, "reset by peer"},
		"reset, no request body":       {0, toEOF, responder.Reset, "reset by peer"},
		"ended, request read":          {longBytes, toEOF, responder.ReadOn, whole},
		"ended, request read later":    {longBytes, toEOF, func(c *net.TCPConn) { _ = c.CloseWrite(); pause(); responder.ReadOn(c) }, whole},
		"ended, short request":         {1 << 10, toEOF, responder.ReadOn, whole},
		"ended, no request body":       {0, toEOF, responder.ReadOn, whole},
	} {
		for form, upload := range map[string]func(n int) io.Reader{
			"":         func(n int) io.Reader { return bytes.NewReader(make([]byte, n)) },
			", stream": func(n int) io.Reader { return io.LimitReader(zeros{}, int64(n)) },
		} {
			t.Run(name+form, func(t *testing.T) {
				t.Parallel()
				const tries = 20 // the kernel reports a reset either to the writer or to the reader
				r := responder.NewEarly(t, c.response, c.end)
				for range tries {
					body, err := post(t.Context(), r.Address, upload(c.bodyBytes))
					if c.err == whole {
						assert.NilError(t, err)
						assert.Equal(t, body, partOfBody)
					} else {
						assert.ErrorContains(t, err, c.err)
					}
				}
				assert.Equal(t, r.Requests("/"), tries)
			})
		}
	}
}

// Guards against a reader that waits for ever for a server that has ended its response and
// neither reads the request nor resets the connection.
func TestReaderStopsWaitingAtDeadline(t *testing.T) {
	end := make(chan struct{})
	r := responder.NewEarly(t, "HTTP/1.1 200 OK\r\n\r\n"+partOfBody, func(c *net.TCPConn) { _ = c.CloseWrite(); <-end })
	defer close(end)
	for name, n := range map[string]int{"write in progress": longBytes, "written": bufferedBytes} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := post(ctx, r.Address, bytes.NewReader(make([]byte, n)))
			assert.ErrorContains(t, err, "deadline exceeded")
		})
	}
}

// Guards against a reader that waits for a server that has closed its side without a response and
// doesn't read the request.
func TestMissingResponseEndsAtOnce(t *testing.T) {
	end := make(chan struct{})
	r := responder.NewEarly(t, "", func(c *net.TCPConn) { _ = c.CloseWrite(); <-end })
	defer close(end)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := post(ctx, r.Address, bytes.NewReader(make([]byte, longBytes)))
	assert.ErrorContains(t, err, "")
	assert.NilError(t, ctx.Err())
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// post returns the body of the response and the error of the request or of reading that body.
func post(ctx context.Context, address string, body io.Reader) (string, error) {
	transport := reporter.New(new(http.Transport))
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", body)
	if err != nil {
		return "", err
	}
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return string(received), err
}
