// Package reporter reports the failure of a connection to the reader of a response. The kernel
// reports a reset or a timeout once. If the write of the request gets that error, a read returns
// io.EOF as after a regular close, and net/http takes a body without a length for complete.
//
//	client := &http.Client{Transport: reporter.New(&http.Transport{DialContext: dial})}
package reporter

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper. A body that ends with its connection is complete only if
// the server has received the request: reading it waits for that at its end, and fails if the
// connection fails before or the context of the request ends. Package tls takes the end of the
// connection for that of its stream, too. Connections of Dial and DialTLSContext are not covered.
type Transport struct{ base *http.Transport }

// New returns a Transport that sends requests with a copy of base.
func New(base *http.Transport) *Transport {
	base = base.Clone()
	dial := base.DialContext
	if dial == nil {
		//lint:ignore SA1019 net/http uses Dial unless DialContext is set
		if base.Dial != nil {
			return &Transport{base}
		}
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return t.base.RoundTrip(r) // one write, which ends before the response begins
	}
	var current atomic.Pointer[conn] // net/http may send a request again on another one
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c := connOf(i.Conn); c != nil {
				c.beginRequest()
				current.Store(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := current.Load(); c != nil {
				c.endRequest()
			}
		},
	}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// connOf returns the conn that a connection is or, with TLS, uses. It returns nil if there is none.
func connOf(c net.Conn) *conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	own, _ := c.(*conn)
	return own
}

// CloseIdleConnections is called by http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
