// Package responder is a server that sends given bytes as its response to each request, which
// needn't be valid in HTTP/1.1.
package responder

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Responder sends the same bytes as the response to each request, and then closes the
// connection.
type Responder struct {
	// Address is the address of the server as HOST:PORT.
	Address string

	mu    sync.Mutex
	paths []string // of the requests
}

// New starts a Responder that ends with the test. It doesn't read the bodies of requests.
func New(t testing.TB, response string) *Responder {
	t.Helper()
	return NewEarly(t, response, func(*net.TCPConn) {})
}

// NewEarly starts a Responder that ends with the test. It responds before it has read the body
// of a request, and calls end before it closes the connection.
func NewEarly(t testing.TB, response string, end func(c *net.TCPConn)) *Responder {
	t.Helper()
	r, server := newServer(t, response, end)
	server.Start()
	r.Address = server.Listener.Addr().String()
	return r
}

// NewEarlyTLS does the same as NewEarly with TLS, whose end it doesn't announce. It also returns
// the certificate of the server.
func NewEarlyTLS(t testing.TB, response string, end func(c *net.TCPConn)) (*Responder, *x509.Certificate) {
	t.Helper()
	r, server := newServer(t, response, end)
	server.StartTLS()
	r.Address = server.Listener.Addr().String()
	return r, server.Certificate()
}

func newServer(t testing.TB, response string, end func(c *net.TCPConn)) (*Responder, *httptest.Server) {
	t.Helper()
	r := new(Responder)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.paths = append(r.paths, req.URL.Path)
		r.mu.Unlock()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, response)
		if encrypted, ok := conn.(*tls.Conn); ok {
			conn = encrypted.NetConn()
		}
		end(conn.(*net.TCPConn))
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return r, server
}

// Reset makes closing the connection reset it.
func Reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// ReadOn ends the response and reads the rest of the request.
func ReadOn(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Requests returns the number of requests so far whose path begins with the prefix.
func (r *Responder) Requests(prefix string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, path := range r.paths {
		if strings.HasPrefix(path, prefix) {
			n++
		}
	}
	return n
}

// Valid returns a valid response with status 200, field lines and a body.
func Valid(fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}

// Invalid returns responses with the field lines and the body, by what is invalid in them.
func Invalid(fields, body string) map[string]string {
	rest := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	valid := Valid(fields, body)
	return map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n" + rest,
		"status 099":               "HTTP/1.1 099 OK\r\n" + rest,
		"status 600":               "HTTP/1.1 600 OK\r\n" + rest,
		"space in a name":          Valid("A B: 1\r\n"+fields, body),
		"space before a colon":     Valid("A : 1\r\n"+fields, body),
		"control byte in a name":   Valid("A\x01: 1\r\n"+fields, body),
		"space in a length name":   fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent Length: %d\r\n\r\n%s", fields, len(body), body),
		"space in an interim name": "HTTP/1.1 103 Early Hints\r\nA B: 1\r\n\r\n" + valid,
		"space in a trailer name":  fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA B: 1\r\n\r\n", fields, len(body), body),
	}
}
