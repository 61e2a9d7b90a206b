package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
)

// FuzzAnswers guards against bytes of an upstream that end the process, are taken for
// the answer to another request, or leave a broken connection in use.
func FuzzAnswers(f *testing.F) {
	for _, text := range []string{
		first, first + first, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + first, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "garbage\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := sender.New(sender.Options{
			Dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					go func() { _, _ = io.Copy(io.Discard, far) }()
					_, _ = far.Write(raw)
					_ = far.Close()
				}()
				return near, nil
			},
			Match: match,
		})
		defer s.Close()
		c, err := s.Get(t.Context(), "upstream:80")
		if err != nil {
			t.Fatal(err)
		}
		r := &sender.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
		answer, err := c.Do(t.Context(), r, time.Now().Add(5*time.Second))
		if err != nil {
			return
		}
		if id := answer.Header.Get("Id"); id != "1" && id != "" {
			t.Fatalf("answer of request %q", id)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			c.Close()
			return
		}
		c.Release()
	})
}
