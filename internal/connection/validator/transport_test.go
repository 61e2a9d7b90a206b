package validator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
)

// Guards against an invalid response that a client of package net/http accepts, against a
// connection that is used again after one, and against a valid response that is refused.
func TestTransport(t *testing.T) {
	const withBody = "Content-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct{ response, err string }{
		"valid":                      {okLine + "A: 1\r\n" + withBody, ""},
		"valid trailer":              {okLine + "Trailer: My Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n", ""},
		"valid interim":              {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okLine + withBody, ""},
		"status 000":                 {"HTTP/1.1 000 OK\r\n" + withBody, "status code 000 is not between 100 and 599"},
		"status 000, no body":        {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "status code 000 is not between 100 and 599"},
		"status 099":                 {"HTTP/1.1 099 OK\r\n" + withBody, "status code 099 is not between 100 and 599"},
		"status +12":                 {"HTTP/1.1 +12 OK\r\n" + withBody, "status code 012 is not between 100 and 599"},
		"status 600":                 {"HTTP/1.1 600 OK\r\n" + withBody, "status code 600 is not between 100 and 599"},
		"space in a name":            {okLine + "A B: 1\r\n" + withBody, `field name "A B" is not a token`},
		"space in a name, no body":   {okLine + "A B: 1\r\nContent-Length: 0\r\n\r\n", `field name "A B" is not a token`},
		"space in a length name":     {okLine + "Content Length: 4\r\n\r\nbody", `field name "Content Length" is not a token`},
		"control byte in a name":     {okLine + "A\x01B: 1\r\n" + withBody, "malformed"},
		"space in an interim name":   {"HTTP/1.1 103 Early Hints\r\nA B: 1\r\n\r\n" + okLine + withBody, `field name "A B" is not a token`},
		"space in a trailer name":    {okLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: 1\r\n\r\n", `trailer: field name "A B" is not a token`},
		"space before a coding name": {okLine + " Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "malformed"},
	} {
		hooks := map[string]*httptrace.ClientTrace{"": {}, ", hook of the caller": {Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil }}}
		for with, hook := range hooks {
			t.Run(name+with, func(t *testing.T) {
				url := respondOnce(t, c.response)
				client := &http.Client{Transport: validator.New(new(http.Transport))}
				defer client.CloseIdleConnections()
				body, err := get(t, client, hook, url)
				if c.err == "" {
					assert.NilError(t, err)
					assert.Equal(t, body, "body")
					return
				}
				assert.ErrorContains(t, err, c.err)
				_, err = get(t, client, hook, url)
				assert.NilError(t, err)
			})
		}
	}
}

// respondOnce starts a server that sends the response to the first request, on whose connection
// no other may follow, and an empty one to the second. It returns its URL.
func respondOnce(t *testing.T, response string) string {
	t.Helper()
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := requests.Add(1)
		assert.Check(t, n <= 2, "a request was sent again")
		if n > 1 {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if !assert.Check(t, err) {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response)
		read, _ := conn.Read(make([]byte, 1))
		assert.Check(t, read == 0, "another request on the connection")
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func get(t *testing.T, client *http.Client, hook *httptrace.ClientTrace, url string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), hook), http.MethodGet, url, nil)
	assert.NilError(t, err)
	resp, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
