package platformer

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// RoundTrip serves the request without a socket, so that an Adapter in the
// same process can use the Platformer as its transport.
func (p *Platformer) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			resp, err = nil, errors.New("connection closed before the response")
		}
	}()
	recorder := httptest.NewRecorder()
	p.ServeHTTP(recorder, req)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
