package validator

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that fails responses with an invalid status code, or with
// a field in an interim or final head or in a trailer whose name isn't a token. The error says
// which. It sees heads as net/http has parsed them, where a line that begins with a space is
// a part of the field before it. A connection whose response is read to its end is idle by
// then, so an invalid response closes the idle connections.
type Transport struct{ base http.RoundTripper }

// New returns a Transport that sends requests with base.
func New(base http.RoundTripper) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var interim error
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if err := checkFields(h); err != nil {
			interim = err
		}
		return interim
	}}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err = interim; err == nil { // a hook of the caller replaces the result of the one above
		err = checkStatus(response.StatusCode)
	}
	if err == nil {
		err = checkFields(response.Header)
	}
	if err != nil {
		_ = response.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	checkTrailer(response, t.CloseIdleConnections)
	return response, nil
}

// CloseIdleConnections is called by http.Client.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
