package sender_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
)

// loopConn is a connection in memory whose upstream responds to each request with the same
// response.
type loopConn struct {
	cutConn
	response string
	reader   strings.Reader
}

func (c *loopConn) Write(p []byte) (int, error) {
	c.reader.Reset(c.response)
	return len(p), nil
}

func (c *loopConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// BenchmarkRoundTrip measures a request and its response on a connection that is used again.
func BenchmarkRoundTrip(b *testing.B) {
	const fields = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 08:00:00 GMT\r\nContent-Type: application/json\r\nId: 1\r\n" +
		"Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 3,0,8\r\nKeep-Alive: timeout=5\r\n"
	body := strings.Repeat("x", 600)
	for name, response := range map[string]string{
		"length":           fields + "Content-Length: 600\r\n\r\n" + body,
		"chunked":          fields + "Transfer-Encoding: chunked\r\n\r\n258\r\n" + body + "\r\n0\r\n\r\n",
		"chunked, trailer": fields + "Transfer-Encoding: chunked\r\n\r\n258\r\n" + body + "\r\n0\r\nSum: 1\r\n\r\n",
		"after interim":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + fields + "Content-Length: 600\r\n\r\n" + body,
		"many fields":      fields + strings.Repeat("Set-Cookie: session=0123456789abcdef; Path=/; Secure; HttpOnly\r\n", 40) + "Content-Length: 600\r\n\r\n" + body,
	} {
		b.Run(name, func(b *testing.B) {
			s := sender.New(sender.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
				return &loopConn{response: response}, nil
			}})
			defer s.Close()
			b.ReportAllocs()
			var received bytes.Buffer
			for b.Loop() {
				received.Reset()
				exchange(b, s, &received)
				if received.Len() != len(body) {
					b.Fatal(received.Len(), "bytes")
				}
			}
			if s.DialCount() != 1 {
				b.Fatal(s.DialCount(), "connections")
			}
		})
	}
}

// exchange sends a request and writes the body of its response to w.
func exchange(b *testing.B, s *sender.Sender, w io.Writer) {
	c, err := s.Get(b.Context(), "upstream")
	if err != nil {
		b.Fatal(err)
	}
	r := &sender.Request{Method: http.MethodGet, Target: "/a", Host: "h", Header: requestHeader}
	response, err := c.Do(b.Context(), r, time.Now().Add(time.Minute))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		b.Fatal(err)
	}
	c.Release()
}

var requestHeader = http.Header{"Id": {"1"}}
