package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
)

// FuzzResponses guards against bytes from an upstream that cause a panic, are delivered as
// the response to another request or with an invalid status code or field name, or leave a
// broken connection in the pool.
func FuzzResponses(f *testing.F) {
	for _, text := range []string{
		firstResponse, firstResponse + firstResponse, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + firstResponse, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "garbage\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n" + firstResponse, "HTTP/1.1 200 OK\r\nId: 1\r\nContent Length: 5\r\n\r\nfirst", "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + firstResponse,
		"HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 5\r\n\r\nfirst", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nId: 1\r\n\r\nfirst",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := sender.New(sender.Options{
			Dial: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					go func() { _, _ = io.Copy(io.Discard, server) }()
					_, _ = server.Write(raw)
					_ = server.Close()
				}()
				return client, nil
			},
			Match: match,
		})
		defer s.Close()
		c, err := s.Get(t.Context(), "upstream:80")
		if err != nil {
			t.Fatal(err)
		}
		r := &sender.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
		response, err := c.Do(t.Context(), r, time.Now().Add(5*time.Second))
		if err != nil {
			return
		}
		if id := response.Header.Get("Id"); id != "1" && id != "" {
			t.Fatalf("response to request %q", id)
		}
		checkHeader(t, response)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			c.Close()
			return
		}
		c.Release()
	})
}

// checkHeader fails the test if the status code or the name of a field is invalid.
func checkHeader(t *testing.T, r *http.Response) {
	t.Helper()
	if r.StatusCode < 200 || r.StatusCode > 599 {
		t.Fatalf("status code %d", r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			t.Fatalf("field name %q", name)
		}
	}
}
