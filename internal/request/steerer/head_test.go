package steerer_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/steerer"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// cutConn is a connection in memory to an upstream that sends text as the response to the
// first request, and then ends the connection.
type cutConn struct {
	net.Conn
	requests *atomic.Int64
	text     string // sent after the request
	unread   string
	end      error // of the next read after the text
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.requests.Add(1)
	c.unread, c.text = c.text, ""
	return len(p), nil
}

// Read returns the end of the connection like a socket does: a reset is reported once, and
// io.EOF from then on.
func (c *cutConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		err := c.end
		c.end = io.EOF
		return 0, err
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (*cutConn) Close() error                     { return nil }
func (*cutConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*cutConn) SetDeadline(time.Time) error      { return nil }
func (*cutConn) SetReadDeadline(time.Time) error  { return nil }
func (*cutConn) SetWriteDeadline(time.Time) error { return nil }

const secondBody = "of the second"

// cutHost is a host whose first request to an upstream gets a response that ends early,
// and whose further requests get a complete one.
type cutHost struct {
	t        *testing.T
	address  string
	table    *matcher.Table
	memory   *reserver.Reserver
	requests atomic.Int64 // to upstreams
	log      *logLines
	steer    *steerer.Steerer
	caller   net.Conn
	br       *bufio.Reader
}

// newCutHost starts a host with bodyBytes of memory for bodies.
func newCutHost(t *testing.T, bodyBytes int64) *cutHost {
	t.Helper()
	g := &cutHost{t: t, memory: reserver.New(bodyBytes)}
	backends := []matcher.Backend{{Service: "s", Weight: 1}}
	var err error
	g.table, err = matcher.New(1, []matcher.Route{
		{Name: "look", Host: "h", Prefix: "/look/", Class: matcher.Idempotent, Timeout: time.Minute, LatencyTarget: 30 * time.Second, AttemptLimit: 2, Backends: backends},
		{Name: "pay", Host: "h", Prefix: "/pay/", Class: matcher.AtMostOnce, Timeout: time.Minute, LatencyTarget: 30 * time.Second, AttemptLimit: 2, Backends: backends},
	}, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{Handler: g, Concurrent: func(*http.Request) bool { return false }})
	go func() { _ = a.Serve(l) }()
	g.address = l.Addr().String()
	t.Cleanup(g.closeCaller)
	return g
}

// Serve implements acceptor.Handler.
func (g *cutHost) Serve(ctx context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	g.steer.Serve(ctx, c, w)
}

func (g *cutHost) closeCaller() {
	if g.caller != nil {
		_ = g.caller.Close()
		g.caller = nil
	}
}

// prepare replaces the upstreams by new ones, of which the first to get a request sends
// text and ends its connection with end.
func (g *cutHost) prepare(text string, end error) (closeSender func()) {
	reg := registrar.New(map[string]string{"z": "r"})
	for i := range 2 {
		reg.Put(registrar.Registration{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, time.Now(), true)
	}
	var mu sync.Mutex
	next := &cutConn{requests: &g.requests, text: text, end: end}
	s := sender.New(sender.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		c := next
		next = &cutConn{requests: &g.requests, text: fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", len(secondBody), secondBody), end: io.EOF}
		return c, nil
	}})
	g.requests.Store(0)
	g.log = new(logLines)
	// The expected response time is long, so that a slow test sends no hedge.
	rank := ranker.New("r")
	for _, route := range []string{"look", "pay"} {
		rank.ObserveResponse(time.Now(), "s", route, false, "r", 5*time.Second)
	}
	g.steer = steerer.New(steerer.Options{
		Dialect: dialect{}, Table: func() *matcher.Table { return g.table }, Regions: []string{"r"}, Plan: oneRegionPlanner{},
		ColdRate:  func(*registrar.Upstream, float64) float64 { return 100 },
		Upstreams: reg, Ranker: rank, Sender: s, Memory: g.memory, Watchdog: new(watchdog), Log: logger.New(g.log, zerolog.InfoLevel, "h"),
		Budget: budgeter.New(budgeter.Limit{Fixed: 100, Window: 10 * time.Second}, func() int { return 1 }, time.Now().Add(-time.Minute)),
	})
	return s.Close
}

// send sends a request on the connection of the preceding one if that is still open, and
// returns the response and its body. It reads a body that is longer than the response
// states, which would be taken for the next response.
func (g *cutHost) send(method, path, version string) (*http.Response, string, error) {
	if g.caller == nil {
		var err error
		g.caller, err = net.Dial("tcp", g.address)
		assert.NilError(g.t, err)
		g.br = bufio.NewReader(g.caller)
	}
	text := method + " " + path + " " + version + "\r\nHost: h\r\nId: 1\r\n"
	if method == http.MethodPost {
		text += "Content-Length: 3\r\n\r\nabc"
	} else {
		text += "\r\n"
	}
	_, err := io.WriteString(g.caller, text)
	assert.NilError(g.t, err)
	r, err := http.ReadResponse(g.br, &http.Request{Method: method})
	if err != nil {
		g.closeCaller()
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	assert.Equal(g.t, g.br.Buffered(), 0)
	if err != nil || r.Close {
		g.closeCaller()
	}
	return r, string(body), err
}

// cutFraming is a response in one kind of framing.
type cutFraming struct {
	method string // GET if empty
	head   string
	body   string // as sent
	want   string // body of the complete response
	status int    // of the response, 200 if 0
	atEnd  bool   // the body ends with the connection
	broken bool   // the head is invalid, so that the response is never complete
}

const signedOK = "HTTP/1.1 200 OK\r\nSigned: 1\r\n"

var cutFramings = map[string]cutFraming{
	"length":                   {head: signedOK + "Content-Length: 12\r\n\r\n", body: "twelve bytes", want: "twelve bytes"},
	"length before signature":  {head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nSigned: 1\r\n\r\n", body: "twelve bytes", want: "twelve bytes"},
	"length 0":                 {head: signedOK + "Content-Length: 0\r\n\r\n"},
	"length, bare line feeds":  {head: "HTTP/1.1 200 OK\nSigned: 1\nContent-Length: 4\n\n", body: "body", want: "body"},
	"length, after interim":    {head: "HTTP/1.1 103 Early Hints\r\nSigned: 1\r\n\r\n" + signedOK + "Content-Length: 4\r\n\r\n", body: "body", want: "body"},
	"chunked":                  {head: signedOK + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", want: "body0123456789abcdef"},
	"chunked before signature": {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSigned: 1\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"chunked, trailers":        {head: signedOK + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nSum: 1\r\n\r\n", want: "body"},
	"chunked, version 1.0":     {head: "HTTP/1.0 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"chunked, empty":           {head: signedOK + "Transfer-Encoding: chunked\r\n\r\n", body: "0\r\n\r\n"},
	"chunked and length":       {head: signedOK + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"no length":                {head: signedOK + "\r\n", body: "twelve bytes", want: "twelve bytes", atEnd: true},
	"no length, to be closed":  {head: signedOK + "Connection: close\r\n\r\n", body: "body", want: "body", atEnd: true},
	"no content":               {status: 204, head: "HTTP/1.1 204 No Content\r\nSigned: 1\r\n\r\n"},
	"not modified":             {status: 304, head: "HTTP/1.1 304 Not Modified\r\nSigned: 1\r\nContent-Length: 12\r\n\r\n"},
	"to HEAD":                  {method: http.MethodHead, head: signedOK + "Content-Length: 12\r\n\r\n"},
	"to HEAD, no length":       {method: http.MethodHead, head: signedOK + "\r\n"},
	"two lengths":              {head: signedOK + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", body: "body5", broken: true},
	"negative length":          {head: signedOK + "Content-Length: -4\r\n\r\n", body: "body", broken: true},
	"misspelt coding":          {head: signedOK + "Transfer-Encoding: chunkd\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"misspelt length":          {head: signedOK + "Content-Length : 12\r\n\r\n", body: "twelve bytes", broken: true},
}

// complete returns the body of the response if only its first n bytes arrive, and whether
// the response is complete.
func (f *cutFraming) complete(n int, cleanClose bool) (string, bool) {
	switch {
	case f.broken:
		return "", false
	case f.atEnd:
		return f.body[:max(0, n-len(f.head))], n >= len(f.head) && cleanClose
	default:
		return f.want, n == len(f.head)+len(f.body)
	}
}

// Guards against a response that reaches the caller as a complete one although its
// upstream ended the connection in its head or body: each response is cut after each of
// its bytes. A repeatable request is served by another upstream and another one gets
// status 502, and without memory for its body a response that has begun is broken off.
func TestCutResponseIsNotDeliveredAsComplete(t *testing.T) {
	for name, f := range cutFramings {
		f.method, f.status = cmp.Or(f.method, http.MethodGet), cmp.Or(f.status, http.StatusOK)
		t.Run(name+", buffered", func(t *testing.T) {
			t.Parallel()
			g := newCutHost(t, 0)
			for n := range len(f.head) + len(f.body) + 1 {
				g.checkCuts(&f, n, false)
			}
		})
		t.Run(name+", streamed", func(t *testing.T) {
			t.Parallel()
			g := newCutHost(t, 1)
			for n := range len(f.body) + 1 {
				g.checkCuts(&f, len(f.head)+n, !f.broken)
			}
		})
	}
}

// checkCuts cuts the response after n bytes with each end of the connection and on each
// route. A streamed one has begun to reach the caller if its head is complete.
func (g *cutHost) checkCuts(f *cutFraming, n int, streamed bool) {
	g.t.Helper()
	for end, err := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
		for _, route := range []string{"/look/", "/pay/"} {
			closeSender := g.prepare((f.head + f.body)[:n], err)
			g.checkCut(f, route, n, end, streamed)
			closeSender()
		}
	}
}

func (g *cutHost) checkCut(f *cutFraming, route string, n int, end string, streamed bool) {
	g.t.Helper()
	method := f.method
	if route == "/pay/" && method == http.MethodGet {
		method = http.MethodPost
	}
	at := fmt.Sprintf("%s %s, %s after %d bytes", method, route, end, n)
	r, body, err := g.send(method, route, "HTTP/1.1")
	want, complete := f.complete(n, end == "closed")
	requests := int64(1)
	switch {
	case complete:
		assert.NilError(g.t, err, at)
		assert.Equal(g.t, r.StatusCode, f.status, at)
		assert.Equal(g.t, body, want, at)
	case streamed:
		assert.Assert(g.t, err != nil, "%s: %q is taken for complete", at, body)
	case route == "/pay/":
		assert.NilError(g.t, err, at)
		assert.Equal(g.t, r.StatusCode, http.StatusBadGateway, at)
		assert.Equal(g.t, r.Header.Get("Signed"), "", at)
	default:
		requests = 2
		assert.NilError(g.t, err, at)
		assert.Equal(g.t, r.StatusCode, http.StatusOK, at)
		if method != http.MethodHead {
			assert.Equal(g.t, body, secondBody, at)
		}
	}
	assert.Equal(g.t, g.requests.Load(), requests, at)
	assert.Equal(g.t, g.memory.Used(), int64(0), at)
}

// Guards against a response without a body that states the length of its empty body: a
// caller takes it for the length of the resource.
func TestLengthOfResponseWithoutBody(t *testing.T) {
	for name, c := range map[string]struct {
		method, response string
		want             string // Content-Length to the caller
	}{
		"HEAD, length":            {"HEAD", signedOK + "Content-Length: 12\r\n\r\n", "12"},
		"HEAD, length 0":          {"HEAD", signedOK + "Content-Length: 0\r\n\r\n", "0"},
		"HEAD, length over 1 MiB": {"HEAD", signedOK + "Content-Length: 2000000\r\n\r\n", "2000000"},
		"HEAD, no length":         {"HEAD", signedOK + "\r\n", ""},
		"HEAD, chunked":           {"HEAD", signedOK + "Transfer-Encoding: chunked\r\n\r\n", ""},
		"not modified":            {"GET", "HTTP/1.1 304 Not Modified\r\nSigned: 1\r\nContent-Length: 12\r\n\r\n", ""},
		"not modified, no length": {"GET", "HTTP/1.1 304 Not Modified\r\nSigned: 1\r\n\r\n", ""},
		"no content":              {"GET", "HTTP/1.1 204 No Content\r\nSigned: 1\r\n\r\n", ""},
		"empty body":              {"GET", signedOK + "Content-Length: 0\r\n\r\n", "0"},
	} {
		for memory, bodyBytes := range map[string]int64{"buffered": 0, "streamed": 1} {
			t.Run(name+", "+memory, func(t *testing.T) {
				g := newCutHost(t, bodyBytes)
				defer g.prepare(c.response, io.EOF)()
				r, body, err := g.send(c.method, "/look/", "HTTP/1.1")
				assert.NilError(t, err)
				assert.Equal(t, body, "")
				assert.Equal(t, r.Header.Get("Content-Length"), c.want)
			})
		}
	}
}

// Guards against a response over 1 MiB that is cut after it has begun to reach the caller
// and then looks complete, also for an HTTP/1.0 caller, for which the end of the
// connection ends a response without a length.
func TestCutLongResponseIsBrokenOff(t *testing.T) {
	const mebibyte = 1 << 20
	long := strings.Repeat("0123456789abcdef", mebibyte/16+mebibyte/64)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long)/2, long[:len(long)/2])
	for name, f := range map[string]cutFraming{
		"length":    {head: signedOK + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)), body: long, want: long},
		"enormous":  {head: signedOK + "Content-Length: 9223372036854775807\r\n\r\n", body: long, broken: true},
		"chunked":   {head: signedOK + "Transfer-Encoding: chunked\r\n\r\n", body: chunk + chunk + "0\r\n\r\n", want: long},
		"no length": {head: signedOK + "\r\n", body: long, want: long, atEnd: true},
	} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+strings.ReplaceAll(version, "/", " "), func(t *testing.T) {
				t.Parallel()
				g := newCutHost(t, 0)
				text := f.head + f.body
				for _, n := range cutsOfLong(len(f.head), len(text), mebibyte) {
					for end, err := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
						closeSender := g.prepare(text[:n], err)
						_, body, err := g.send(http.MethodGet, "/look/", version)
						want, complete := f.complete(n, end == "closed")
						switch {
						case complete:
							assert.NilError(t, err, "%s after %d bytes", end, n)
							assert.Assert(t, body == want, "%s after %d bytes: %d bytes", end, n, len(body))
						case err == nil:
							assert.Assert(t, body == secondBody, "%s after %d bytes: %d bytes are taken for complete", end, n, len(body))
							assert.Assert(t, n < len(f.head)+mebibyte+mebibyte/8, "%s after %d bytes: replaced", end, n)
						}
						assert.Equal(t, g.memory.Used(), int64(0))
						closeSender()
					}
				}
			})
		}
	}
}

// cutsOfLong returns the offsets at which a long response is cut: around the end of the
// head, the length up to which a body is buffered, and the last bytes.
func cutsOfLong(head, total, buffered int) (cuts []int) {
	for n := range 3 {
		cuts = append(cuts, head-1+n, head+buffered-1+n)
	}
	for n := range 9 {
		cuts = append(cuts, total-n)
	}
	return cuts
}

// Guards against a response with an invalid head or trailer that reaches the caller, against an
// order that is sent again after one, and against a log that doesn't say what was invalid. A
// repeatable request is served by another upstream.
func TestInvalidResponseIsNotDelivered(t *testing.T) {
	const withBody = "Content-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct{ response, reason string }{
		"status 000":              {"HTTP/1.1 000 OK\r\nSigned: 1\r\n\r\n" + signedOK + withBody, "status code 000 is not between 100 and 599"},
		"status 099":              {"HTTP/1.1 099 OK\r\nSigned: 1\r\n\r\n" + signedOK + withBody, "status code 099 is not between 100 and 599"},
		"status 600":              {"HTTP/1.1 600 OK\r\nSigned: 1\r\n" + withBody, "status code 600 is not between 100 and 599"},
		"status with a sign":      {"HTTP/1.1 +12 OK\r\nSigned: 1\r\n\r\n" + signedOK + withBody, "malformed status line"},
		"space in a name":         {signedOK + "X Y: 1\r\n" + withBody, `\"X Y\" is not a token`},
		"space in a length name":  {signedOK + "Content Length: 4\r\n\r\nbody", `\"Content Length\" is not a token`},
		"space before a name":     {signedOK + "X: 1\r\n Content-Length: 4\r\n\r\nbody", "continuation line that reads as a field line"},
		"tab before a name":       {signedOK + "X: 1\r\n\tContent-Length: 4\r\n\r\nbody", "continuation line that reads as a field line"},
		"line feed before a name": {signedOK + "Content-Length: 4\r\n\nX: 1\r\n\r\nbody", "empty line ends with a bare line feed"},
		"control byte in a name":  {signedOK + "X\x01Y: 1\r\n" + withBody, `\"X\\x01Y\" is not a token`},
		"space in an interim":     {"HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + signedOK + withBody, `\"X Y\" is not a token`},
		"space in a trailer":      {signedOK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n", `trailer: field name \"X Y\" is not a token`},
	} {
		t.Run(name, func(t *testing.T) {
			g := newCutHost(t, 0)
			for path, want := range map[string]struct {
				status   int
				requests int64
			}{"/look/": {http.StatusOK, 2}, "/pay/": {http.StatusBadGateway, 1}} {
				closeSender := g.prepare(c.response, io.EOF)
				method := http.MethodGet
				if path == "/pay/" {
					method = http.MethodPost
				}
				r, body, err := g.send(method, path, "HTTP/1.1")
				assert.NilError(t, err)
				assert.Equal(t, r.StatusCode, want.status)
				assert.Equal(t, body == secondBody, path == "/look/", "%q", body)
				assert.Equal(t, g.requests.Load(), want.requests)
				assert.Equal(t, r.Header.Get("X Y"), "")
				g.closeCaller()
				closeSender()
				assert.Assert(t, g.log.contains(c.reason) && g.log.contains(`"upstream":"`), "%q", g.log.lines)
			}
		})
	}
}
