package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

const echoOK = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"

// cutFraming is a response in one kind of framing.
type cutFraming struct {
	method string // GET and POST if empty
	head   string
	body   string // as sent
	want   string // body of the complete response
	atEnd  bool   // the body ends with the connection, so its end cannot be checked
	broken bool   // the head is invalid, so that the response is never complete
}

var cutFramings = map[string]cutFraming{
	"length":                  {head: echoOK + "Content-Length: 12\r\n\r\n", body: "twelve bytes", want: "twelve bytes"},
	"length before the ID":    {head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: 1\r\n\r\n", body: "body", want: "body"},
	"length 0":                {head: echoOK + "Content-Length: 0\r\n\r\n"},
	"length, bare line feeds": {head: "HTTP/1.1 200 OK\nRequest-Id: 1\nContent-Length: 4\n\n", body: "body", want: "body"},
	"length, after interim":   {head: "HTTP/1.1 103 Early Hints\r\n\r\n" + echoOK + "Content-Length: 4\r\n\r\n", body: "body", want: "body"},
	"chunked":                 {head: echoOK + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"chunked, trailers":       {head: echoOK + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nSum: 1\r\n\r\n", want: "body"},
	"chunked, version 1.0":    {head: "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", atEnd: true},
	"no length":               {head: echoOK + "\r\n", body: "body", want: "body", atEnd: true},
	"no content":              {head: "HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n"},
	"to HEAD":                 {method: http.MethodHead, head: echoOK + "Content-Length: 12\r\n\r\n"},
	"two lengths":             {head: echoOK + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", body: "body5", broken: true},
	"negative length":         {head: echoOK + "Content-Length: -4\r\n\r\n", body: "body", broken: true},
	"misspelt coding":         {head: echoOK + "Transfer-Encoding: chunkd\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"misspelt length":         {head: echoOK + "Content-Length : 12\r\n\r\n", body: "twelve bytes", atEnd: true},

	"status 000":                     {head: "HTTP/1.1 000 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 000, then a response":    {head: "HTTP/1.1 000 OK\r\nRequest-Id: 1\r\n\r\n" + echoOK + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 099":                     {head: "HTTP/1.1 099 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status +12":                     {head: "HTTP/1.1 +12 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 600":                     {head: "HTTP/1.1 600 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a name":                {head: echoOK + "X Y: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a coding name, length": {head: echoOK + "Transfer -Encoding: chunked\r\nContent-Length: 3\r\n\r\n", body: "4\r\n", broken: true},
	"space in a length name":         {head: echoOK + "Content Length: 4\r\n\r\n", body: "body", broken: true},
	"space before a length name":     {head: echoOK + "X: 1\r\n Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"line feed before a name":        {head: echoOK + "Content-Length: 4\r\n\nX: 1\r\n\r\n", body: "body", broken: true},
	"control byte in a name":         {head: echoOK + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a name, interim":       {head: "HTTP/1.1 103 Early Hints\r\nLi nk: </a>\r\n\r\n" + echoOK + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a trailer name":        {head: echoOK + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n", broken: true},
}

// cut is the response of an upstream that ends its connection early. Requests with the
// path /warm get a complete one.
type cut struct {
	text     atomic.Pointer[string]
	reset    atomic.Bool
	requests atomic.Int64
}

func (u *cut) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if r.URL.Path != "/cut" {
		return
	}
	u.requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, *u.text.Load())
	if tcp, ok := c.(*net.TCPConn); ok && u.reset.Load() {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a response that reaches the caller as a complete one although its
// upstream ended the connection in its head or body: each response is cut after each of
// its bytes, on new connections and on those that carried a request before. Closes and
// resets alternate, so that each cut is tried with one method and either end.
func TestCutResponseIsNotDeliveredAsComplete(t *testing.T) {
	for name, f := range cutFramings {
		methods := []string{f.method}
		if f.method == "" {
			methods = []string{http.MethodGet, http.MethodPost}
		}
		for _, method := range methods {
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				checkCuts(t, &f, method)
			})
		}
	}
}

// cutHosts is the number of hosts that a test divides the cuts of a response among, because
// a host limits the rate of its dials to one upstream.
const cutHosts = 4

func checkCuts(t *testing.T, f *cutFraming, method string) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range cutHosts {
		first := new(cut)
		g := newLoopbackHost(t, first, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
			first.requests.Add(1)
			_, _ = io.WriteString(w, "second")
		}))
		wg.Go(func() {
			for n := i; n <= len(f.head)+len(f.body); n += cutHosts {
				g.checkCut(t, f, first, method, n)
			}
		})
	}
	wg.Wait()
}

// checkCut fails the test if a caller could take the first n bytes of the response of the
// first upstream for a complete response, or does not get a complete one.
func (g *testHost) checkCut(t *testing.T, f *cutFraming, first *cut, method string, n int) {
	t.Helper()
	text := (f.head + f.body)[:n]
	first.text.Store(&text)
	first.reset.Store((n%2 == 0) == (method == http.MethodGet))
	if n/2%2 == 1 {
		g.sendCut(t, method, "/s/prices/warm")
	}
	first.requests.Store(0)
	g.retries.Store(1)
	at := fmt.Sprintf("after %d bytes, reset: %t", n, first.reset.Load())
	r, body, err := g.sendCut(t, method, "/s/prices/cut")
	failed := err != nil || r.StatusCode >= http.StatusInternalServerError
	complete := !f.atEnd && !f.broken && n == len(f.head)+len(f.body)
	switch {
	case failed:
		assert.Check(t, !complete || first.reset.Load(), "%s: %v", at, err)
	case complete:
		assert.Check(t, body == f.want, "%s: body %q", at, body)
	default:
		assert.Check(t, body == "second" || method == http.MethodHead, "%s: %q is taken for complete", at, body)
	}
	if method == http.MethodPost {
		assert.Check(t, first.requests.Load() == 1, "%s: %d requests", at, first.requests.Load())
	}
}

// sendCut sends a request and reads its response.
func (g *testHost) sendCut(t *testing.T, method, path string) (*http.Response, string, error) {
	t.Helper()
	return g.receive(g.request(t, method, path, strings.Repeat("x", len(method)-len(http.MethodGet)), "Request-Id", "1"))
}

// receive returns the response to a request, its body, and the error of receiving either.
func (g *testHost) receive(r *http.Request) (*http.Response, string, error) {
	resp, err := g.client.Do(r)
	<-g.traces
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a response with an invalid head that reaches the caller, against a request that
// is sent again although it must run once, and against an error that doesn't name the upstream
// and the reason. One with an invalid trailer has begun to reach the caller and is broken off.
func TestInvalidHeadIsNotDelivered(t *testing.T) {
	for name, reason := range map[string]string{
		"status 000":               "status code 000 is not between 100 and 599",
		"status 099":               "status code 099 is not between 100 and 599",
		"status +12":               "malformed status line",
		"status 600":               "status code 600 is not between 100 and 599",
		"space in a name":          `field name "X Y" is not a token`,
		"space in a length name":   `field name "Content Length" is not a token`,
		"line feed before a name":  "empty line ends with a bare line feed",
		"control byte in a name":   `field name "X\x01Y" is not a token`,
		"space in a name, interim": `field name "Li nk" is not a token`,
	} {
		f := cutFramings[name]
		text := f.head + f.body
		for method, status := range map[string]int{http.MethodGet: http.StatusOK, http.MethodPost: http.StatusBadGateway} {
			t.Run(name+", "+method, func(t *testing.T) {
				first := new(cut)
				first.text.Store(&text)
				g := newLoopbackHost(t, first, echoRequestID(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "second") }))
				g.retries.Store(1)
				resp, err := g.client.Do(g.request(t, method, "/s/prices/cut", strings.Repeat("x", len(method)-len(http.MethodGet)), "Request-Id", "1"))
				assert.NilError(t, err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, status)
				assert.Equal(t, string(body) == "second", method == http.MethodGet, "%q", body)
				assert.Equal(t, first.requests.Load(), int64(1))
				record := <-g.traces
				assert.ErrorContains(t, record.Attempts[0].Err, reason)
				assert.ErrorContains(t, record.Attempts[0].Err, "upstream ")
			})
		}
	}
}
