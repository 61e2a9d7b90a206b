package steerer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

// matchID compares the IDs of a request and a response like the host does.
func matchID(request, response sender.Header) sender.Match {
	switch response.Get("Id") {
	case request.Get("Id"):
		return sender.MatchSame
	case "":
		return sender.MatchNoID
	default:
		return sender.MatchOther
	}
}

// exchangeStep is what an upstream does with one request of a kept connection.
type exchangeStep struct {
	response string // written byte for byte
	runs     bool
}

// respondSteps returns a handler that does one step for each request, and the last step
// for all further requests.
func respondSteps(u *upstream, steps ...exchangeStep) http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, br, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for {
			s := steps[min(int(n.Add(1)), len(steps))-1]
			if s.runs {
				u.ran.Add(1)
			}
			if _, err := io.WriteString(conn, s.response); err != nil || strings.Contains(s.response, "Connection: close") {
				return
			}
			if r, err = http.ReadRequest(br.Reader); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			u.received.Add(1)
		}
	}
}

// sendOnce sends a request that must run at most once. It has no ID if id is empty.
func (g *testHost) sendOnce(id string) int {
	g.t.Helper()
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	c := g.dial()
	_, err := fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\n%sObject: %s\r\nPatience: 1s\r\nContent-Length: 3\r\n\r\nabc", id, object)
	assert.NilError(g.t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(g.t, err)
	return r.StatusCode
}

const (
	firstOK        = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nfirst"
	firstOKAndEnd  = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst"
	secondOK       = "HTTP/1.1 200 OK\r\nId: 2\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nown"
	secondFailed   = "HTTP/1.1 500 Failed\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
	earlierRefusal = "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	secondRefusal  = "HTTP/1.1 503 Busy\r\nId: 2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unnamedRefusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a caller that is told "not run" for a request that ran, because its host
// took a refusal of an earlier request for the response: the request ran a second time. Also
// against a success with the body of another response.
// The upstream runs the second request in all cases.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	earlier := func(status string) string { return strings.Replace(earlierRefusal, "503 Busy", status, 1) }
	unnamed := func(status string) string { return strings.Replace(unnamedRefusal, "503 Busy", status, 1) }
	for name, c := range map[string]struct {
		response string // to the second request
		want     int
	}{
		"with its ID":                       {earlierRefusal + secondOK, 200},
		"with its ID, status 429":           {earlier("429 Slow") + secondOK, 200},
		"with its ID, status 421":           {earlier("421 Other") + secondOK, 200},
		"with its ID, status 408":           {earlier("408 Late") + secondOK, 200},
		"with its ID, status 400":           {earlier("400 Bad") + secondOK, 200},
		"with its ID, twice":                {earlierRefusal + earlierRefusal + secondOK, 200},
		"with its ID, more often":           {earlierRefusal + earlierRefusal + earlierRefusal + secondOK, 502},
		"with its ID, alone":                {earlierRefusal, 504},
		"with its ID, a body of one byte":   {strings.Replace(earlierRefusal, "Length: 0\r\n\r\n", "Length: 1\r\n\r\nx", 1) + secondOK, 200},
		"with its ID, without a length":     {strings.Replace(earlierRefusal, "Content-Length: 0\r\n", "", 1) + secondOK, 502},
		"without an ID":                     {unnamedRefusal + secondOK, 502},
		"without an ID, alone":              {unnamedRefusal, 502},
		"without an ID, status 429":         {unnamed("429 Slow") + secondOK, 502},
		"without an ID, status 421":         {unnamed("421 Other") + secondOK, 502},
		"without an ID, status 408":         {unnamed("408 Late") + secondOK, 502},
		"without an ID, status 400":         {unnamed("400 Bad") + secondOK, 502},
		"after the response":                {secondOK + earlierRefusal, 200},
		"inside the response's body":        {strings.Replace(secondOK, "Length: 3", "Length: 78", 1) + earlierRefusal, 504},
		"two IDs, that of the other first":  {strings.Replace(earlierRefusal, "Id: 1", "Id: 1\r\nId: 2", 1) + secondOK, 200},
		"two IDs, that of this one first":   {strings.Replace(earlierRefusal, "Id: 1", "Id: 2\r\nId: 1", 1) + secondOK, 502},
		"informational, 100":                {"HTTP/1.1 100 Continue\r\nId: 2\r\nNot-Run: 1\r\n\r\n" + secondOK, 200},
		"informational, 102":                {"HTTP/1.1 102 Processing\r\nId: 2\r\nNot-Run: 1\r\n\r\n" + secondOK, 200},
		"informational, 103":                {"HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n" + earlierRefusal + secondOK, 200},
		"informational, then unnamed":       {"HTTP/1.1 100 Continue\r\nId: 2\r\n\r\n" + unnamedRefusal + secondOK, 502},
		"informational, switching":          {"HTTP/1.1 101 Switching Protocols\r\nId: 2\r\nNot-Run: 1\r\n\r\n", 502},
		"field of a success":                {strings.Replace(secondOK, "Id: 2", "Id: 2\r\nNot-Run: 1", 1), 502},
		"field of a failure":                {strings.Replace(secondFailed, "Id: 2", "Id: 2\r\nNot-Run: 1", 1), 502},
		"with a signature":                  {"HTTP/1.1 503 Busy\r\nId: 2\r\nSigned: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 502},
		"status without the field":          {"HTTP/1.1 503 Busy\r\nId: 2\r\nContent-Length: 0\r\n\r\n", 502},
		"in the header of a success":        {"HTTP/1.1 200 OK\r\nId: 2\r\nSigned: 1\r\nDate: Sat" + earlierRefusal, 502},
		"unnamed, in that of a success":     {"HTTP/1.1 200 OK\r\nId: 2\r\nSigned: 1\r\nDate: Sat" + unnamedRefusal, 502},
		"unnamed, in that of a failure":     {"HTTP/1.1 500 Failed\r\nId: 2\r\nDate: Sat" + unnamedRefusal, 502},
		"in the header of a bad request":    {"HTTP/1.1 400 Bad\r\nId: 2\r\nDate: Sat" + unnamedRefusal, 502},
		"cut short, then a success":         {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nDate: Sat" + secondOK, 502},
		"cut short, then a failure":         {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nDate: Sat" + secondFailed, 502},
		"cut short, after its ID":           {"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nDate: Sat" + secondOK, 504},
		"success cut short, then a success": {"HTTP/1.1 200 OK\r\nId: 2\r\nSigned: 1\r\nDate: SatHTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nfirst", 502},
		"cut short, before a line":          {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + secondOK, 502},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(first, _ *upstream) {
				first.handle = respondSteps(first, exchangeStep{firstOK, true}, exchangeStep{c.response, true})
			})
			assert.Equal(t, g.sendOnce("1"), 200)
			assert.Equal(t, g.sendOnce("2"), c.want)
			assert.Equal(t, g.first.ran.Load(), int64(2))
			assert.Equal(t, g.second.received.Load(), int64(0))
		})
	}
}

// Guards against a refusal that an upstream writes to an idle connection and that its host
// takes for the response to the next request.
func TestRefusalOnIdleConnectionIsNotBelieved(t *testing.T) {
	for name, refusal := range map[string]string{
		"with its ID": earlierRefusal, "with the ID of the next request": secondRefusal, "without an ID": unnamedRefusal,
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{})
			g := newTestHost(t, func(first, _ *upstream) {
				serve := respondSteps(first, exchangeStep{secondOK, true})
				first.handle = func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Id") != "1" {
						serve(w, r)
						return
					}
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					_, _ = io.WriteString(conn, firstOK)
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(conn, refusal)
					close(written)
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			assert.Equal(t, g.sendOnce("1"), 200)
			<-written
			assert.Equal(t, g.sendOnce("2"), 200)
			assert.Equal(t, g.first.ran.Load(), int64(1))
		})
	}
}

// Guards against a refusal without an ID that is taken for the response to a request that
// ran. Also the first response on a connection may have been written without a request.
func TestUnnamedRefusalOnNewConnectionIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		runs     bool
		want     int
		second   int64 // requests at the second upstream
	}{
		"refusal":                       {unnamedRefusal + secondOK, true, 502, 0},
		"refusal of another instance":   {strings.Replace(unnamedRefusal, "503 Busy", "421 Other", 1) + secondOK, true, 502, 0},
		"refusal after an interim one":  {"HTTP/1.1 100 Continue\r\nId: 2\r\n\r\n" + unnamedRefusal + secondOK, true, 502, 0},
		"refusal with the request's ID": {secondRefusal, false, 200, 1},
		"success":                       {strings.Replace(secondOK, "Id: 2\r\n", "", 1), true, 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(first, _ *upstream) {
				first.handle = respondSteps(first, exchangeStep{firstOKAndEnd, true}, exchangeStep{c.response, c.runs})
			})
			assert.Equal(t, g.sendOnce("1"), 200)
			assert.Equal(t, g.sendOnce("2"), c.want)
			assert.Equal(t, g.second.received.Load(), c.second)
		})
	}
}

// Guards against a second copy of a refusal that is taken for the response to the next
// attempt of the same request: a process that restarts is registered with two IDs and one
// address for some time, so that both attempts used one connection.
func TestRefusalIsNotBelievedAtNextAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 421 Other\r\nId: 2\r\nInstance: 9\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	g := newTestHost(t, func(first, _ *upstream) {
		refuse := respondSteps(first, exchangeStep{refusal, false}, exchangeStep{refusal + secondOK, true})
		serve := respondOK(first)
		first.handle = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Instance") == "9" {
				serve(w, r)
				return
			}
			refuse(w, r)
		}
	})
	g.remove(g.second.id)
	g.register(registrar.Registration{ID: "9", Service: "s", Address: g.first.address, Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 3)})
	assert.Equal(t, g.sendOnce("2"), 200)
	assert.Equal(t, g.first.ran.Load(), int64(1))
	assert.Equal(t, g.second.received.Load(), int64(0))
}

// Guards against a refusal of an earlier request that is taken for the response to a
// request without an ID: neither has one, so the connection must not have carried another.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nown"
	for name, c := range map[string]struct {
		earlier string // written in front of the response on a connection in use again
	}{"refusal": {unnamedRefusal}, "success": {strings.Replace(firstOK, "Id: 1\r\n", "", 1)}} {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int64
			g := newTestHost(t, func(first, _ *upstream) {
				first.handle = func(w http.ResponseWriter, r *http.Request) {
					connections.Add(1)
					respondSteps(first, exchangeStep{ok, true}, exchangeStep{c.earlier + ok, true})(w, r)
				}
			})
			for range 2 {
				assert.Equal(t, g.sendOnce(""), 200)
			}
			assert.Equal(t, g.second.received.Load(), int64(0))
			assert.Equal(t, g.first.ran.Load(), int64(2))
			assert.Equal(t, connections.Load(), int64(2))
		})
	}
}

// Guards against a caller that is told "not run", or a second upstream that gets the
// request, while the first one may still run it.
func TestUnfinishedAttemptIsNotRefused(t *testing.T) {
	readBody := func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		serve func(conn net.Conn, r *http.Request)
		want  int
	}{
		"no response": {func(conn net.Conn, r *http.Request) { readBody(r); _, _ = io.Copy(io.Discard, conn) }, 504},
		"refusal after the deadline": {func(conn net.Conn, r *http.Request) {
			readBody(r)
			time.Sleep(1100 * time.Millisecond)
			_, _ = io.WriteString(conn, secondRefusal)
		}, 504},
		"closed after the body":         {func(_ net.Conn, r *http.Request) { readBody(r) }, 502},
		"reset before the body is read": {func(conn net.Conn, _ *http.Request) { reset(conn) }, 502},
		"earlier refusal before the body is read": {func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, earlierRefusal)
			readBody(r)
			_, _ = io.WriteString(conn, secondOK)
		}, 200},
		"unnamed refusal before the body is read": {func(conn net.Conn, r *http.Request) { _, _ = io.WriteString(conn, unnamedRefusal); readBody(r) }, 502},
		"incomplete refusal": {func(conn net.Conn, r *http.Request) {
			readBody(r)
			_, _ = io.WriteString(conn, secondRefusal[:len(secondRefusal)-4])
		}, 502},
		"interim response with the field, then none": {func(conn net.Conn, r *http.Request) {
			readBody(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nId: 2\r\nNot-Run: 1\r\n\r\n")
		}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(first, _ *upstream) {
				first.handle = func(w http.ResponseWriter, _ *http.Request) {
					conn, br, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					c.serve(conn, &http.Request{Body: io.NopCloser(io.LimitReader(br, longBodyBytes))})
				}
			})
			conn := g.dial()
			_, err := fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nId: 2\r\nObject: %s\r\nPatience: 1s\r\nContent-Length: %d\r\n\r\n%s", object, longBodyBytes, strings.Repeat("x", longBodyBytes))
			assert.NilError(t, err)
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.want)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, g.second.received.Load(), int64(0))
		})
	}
}

// longBodyBytes is a body that the host buffers and that is longer than a segment.
const longBodyBytes = 900 << 10

// Guards against a refused request that is sent to the same upstream again, where a second
// copy of the refusal could not be told from the response, because its registration changed
// or because the process was paused.
func TestRefusedRequestDoesNotReturnToUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		pauseBefore func(call int64) bool
		want        int
		second      int64
	}{
		"not paused":                               {nil, 200, 1},
		"paused before the second attempt":         {func(n int64) bool { return n == 4 }, 200, 1},
		"paused before each of the later attempts": {func(n int64) bool { return n > 2 && n%2 == 0 }, 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(_, _ *upstream) {})
			refuse := respondStatus(g.first, 503, "Not-Run")
			g.first.handle = func(w http.ResponseWriter, r *http.Request) {
				g.register(registrar.Registration{ID: g.first.id, Service: "s", Address: g.first.address, Zone: "z", Slots: 5, RowVersion: sequencer.New(0, 3)})
				refuse(w, r)
			}
			g.watchdog.pauseBefore = c.pauseBefore
			assert.Equal(t, g.sendOnce("2"), c.want)
			assert.Equal(t, g.first.received.Load(), int64(1))
			assert.Equal(t, g.second.received.Load(), c.second)
		})
	}
}

// Guards against a request that reaches an upstream although its caller was told that its
// body is malformed or incomplete.
func TestIncompleteRequestBodyIsNotSent(t *testing.T) {
	part := fmt.Sprintf("%x\r\n%s\r\n", 300<<10, strings.Repeat("x", 300<<10))
	for name, c := range map[string]struct {
		body string
		want int
	}{
		"short, malformed":  {part + "x\r\n", 400},
		"long, malformed":   {strings.Repeat(part, 5) + "x\r\n", 400},
		"short, incomplete": {part, 0},
		"long, incomplete":  {strings.Repeat(part, 5), 400},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(_, _ *upstream) {})
			conn := g.dial()
			_, err := fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nId: 2\r\nObject: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", object, c.body)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			status := 0
			if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				status = r.StatusCode
			}
			assert.Equal(t, status, c.want)
			assert.Equal(t, g.first.received.Load()+g.second.received.Load(), int64(0))
		})
	}
}
