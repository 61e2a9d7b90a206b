package steerer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

const uploadBytes = 2 << 20

// longRequest returns the header of a request with a long body, and its body as it is sent.
func longRequest(chunked bool, headers ...string) (head, body string) {
	head = "POST /pay/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nObject: " + object + "\r\n" + strings.Join(headers, "")
	body = strings.Repeat("x", uploadBytes)
	if !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadBytes), body
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat(fmt.Sprintf("8000\r\n%s\r\n", body[:0x8000]), uploadBytes/0x8000) + "0\r\n\r\n"
}

// upload sends a request with a long body and reads its response.
func (g *testHost) upload(chunked bool, headers ...string) *http.Response {
	g.t.Helper()
	c := g.dial()
	head, body := longRequest(chunked, headers...)
	// The host may respond and close the connection before it has read the body.
	_, _ = io.WriteString(c, head+body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(g.t, err)
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

// awaitMemory waits until as many bytes are reserved. They are released after the response.
func (g *testHost) awaitMemory(used int64) {
	g.t.Helper()
	for range 10_000 {
		if g.memory.Used() == used {
			return
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(g.t, g.memory.Used(), used)
}

func discardAndRespond(u *upstream) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.ran.Add(1)
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("Signed", "1")
		fmt.Fprint(w, n)
	}
}

// Guards against a body that is copied while it is held: a host of 284 MB was ended by four
// callers who sent bodies of 40 MB in chunks, because each was held up to three times.
func TestLongBodyIsHeldOnce(t *testing.T) {
	for name, chunked := range map[string]bool{"known length": false, "unknown length": true} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(first, _ *upstream) { first.handle = discardAndRespond(first) })
			assert.Equal(t, g.upload(chunked).StatusCode, http.StatusOK) // fills the pools of buffers
			head, text := longRequest(chunked)
			body := []byte(text)
			c := g.dial()
			br := bufio.NewReader(c)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := io.WriteString(c, head)
			assert.NilError(t, err)
			_, err = c.Write(body)
			assert.NilError(t, err)
			r, err := http.ReadResponse(br, nil)
			assert.NilError(t, err)
			runtime.ReadMemStats(&after)
			assert.Equal(t, r.StatusCode, http.StatusOK)
			n := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, n < uploadBytes*3/2, "%d bytes were allocated for a body of %d", n, uploadBytes)
		})
	}
}

// Guards against a request whose body has no memory and that gets no response, reaches an
// upstream or is asked for its body, and against long bodies that leave no memory for short ones.
func TestRefusalWithoutMemory(t *testing.T) {
	for name, c := range map[string]struct {
		chunked bool
		used    int64
	}{
		"known length":             {false, 3 << 20},
		"unknown length":           {true, 3 << 20},
		"unknown length, a part":   {true, 2 << 20},
		"known length, just short": {false, bodyMemoryBytes*3/4 - uploadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(_, _ *upstream) {})
			assert.Assert(t, g.memory.TryAcquire(c.used))
			for _, header := range []string{"", "Expect: 100-continue\r\n"} {
				if c.chunked && header != "" {
					continue // the first part of the body has to be asked for
				}
				r := g.upload(c.chunked, header)
				assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, r.Header.Get("Retry-After") != "")
			}
			assert.Equal(t, g.first.received.Load()+g.second.received.Load(), int64(0))
			g.awaitMemory(c.used)
			r, _, err := g.send("POST", "/pay/1")
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a caller who sends its body slowly and occupies an upstream meanwhile, and
// against a response that says that its request may have run although nothing was sent.
func TestSlowCallerOccupiesNoUpstream(t *testing.T) {
	g := newTestHost(t, func(_, _ *upstream) {})
	head, body := longRequest(true, "Patience: 600ms\r\n")
	c := g.dial()
	_, err := io.WriteString(c, head+body[:1_500_000])
	assert.NilError(t, err)
	for g.memory.Used() < 1_500_000 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	for _, u := range g.group().Upstreams() {
		assert.Equal(t, u.EstimatedLoad(time.Now()), 0.0)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, g.first.received.Load()+g.second.received.Load(), int64(0))
	g.awaitMemory(0)
}

// Guards against a long body that is sent twice, one that isn't sent although its first upstream
// got no byte of it, and memory that an upstream holds that doesn't read.
func TestLongBodyIsSentOnce(t *testing.T) {
	wait := func(done <-chan struct{}) func(u *upstream) http.HandlerFunc {
		return func(*upstream) http.HandlerFunc { return func(http.ResponseWriter, *http.Request) { <-done } }
	}
	for name, c := range map[string]struct {
		first          func(u *upstream) http.HandlerFunc
		unreachable    bool
		headers        string
		status         int
		first1, second int64 // requests that each upstream received
	}{
		"served":      {discardAndRespond, false, "", 200, 1, 0},
		"dropped":     {dropConnection, false, "", 502, 1, 0},
		"refused":     {func(u *upstream) http.HandlerFunc { return respondStatus(u, 503, "Not-Run") }, false, "", 503, 1, 0},
		"rejected":    {func(u *upstream) http.HandlerFunc { return respondStatus(u, 413, "Signed") }, false, "", 413, 1, 0},
		"not read":    {nil, false, "Patience: 400ms\r\n", 504, 1, 0},
		"unreachable": {discardAndRespond, true, "", 200, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			if c.first == nil {
				c.first = wait(end)
			}
			g := newTestHost(t, func(first, second *upstream) { first.handle, second.handle = c.first(first), discardAndRespond(second) })
			t.Cleanup(func() { close(end) })
			if c.unreachable {
				g.register(registrar.Registration{ID: g.first.id, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 2)})
			}
			assert.Equal(t, g.upload(true, c.headers).StatusCode, c.status)
			assert.Equal(t, g.first.received.Load(), c.first1)
			assert.Equal(t, g.second.received.Load(), c.second)
			g.awaitMemory(0)
		})
	}
}
