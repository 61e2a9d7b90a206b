package steerer_test

import (
	"bufio"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondEndlessly returns a handler that writes begin, and then more again and again until
// the connection is closed. It reports the end on closed.
func respondEndlessly(u *upstream, closed chan<- struct{}, begin, more string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.ran.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, strings.ReplaceAll(begin, "ID", r.Header.Get("Id")))
		for err == nil {
			_, err = io.WriteString(conn, more)
		}
		closed <- struct{}{}
	}
}

// Guards against responses in which one part never ends: the connection must be closed, a
// repeatable request retried, and a body that has begun aborted when the caller times out,
// without an end that makes it look complete.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n"
	chunk := "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"
	const repeated, failed, aborted = "served by the second", "status 502", "body aborted"
	for name, c := range map[string]struct {
		method, begin, more string
		want                string
	}{
		"status line":           {"GET", "HTTP/1.1 200 O", "kkkkkkkkkkkkkkkk", repeated},
		"one header":            {"GET", head + "Long: ", "xxxxxxxxxxxxxxxx", repeated},
		"headers":               {"GET", head, "More: headers\r\n", repeated},
		"folded header":         {"GET", head + "Long: x\r\n", " folded\r\n", repeated},
		"early responses":       {"GET", "", "HTTP/1.1 103 Early Hints\r\n\r\n", repeated},
		"no response":           {"GET", "", "no answer at all\r\n", repeated},
		"chunk size":            {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000", repeated},
		"chunk extension":       {"GET", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", "xxxxxxxxxxxxxxxx", repeated},
		"trailers":              {"GET", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "More: trailers\r\n", repeated},
		"headers, once":         {"POST", head, "More: headers\r\n", failed},
		"chunk extension, once": {"POST", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", "xxxxxxxxxxxxxxxx", failed},
		"chunks":                {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, aborted},
		"chunks, once":          {"POST", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, aborted},
		"no length":             {"GET", head + "\r\n", chunk, aborted},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 4)
			g := newTestHost(t, func(first, _ *upstream) { first.handle = respondEndlessly(first, closed, c.begin, c.more) })
			path := map[string]string{"GET": "/look/1", "POST": "/pay/1"}[c.method]
			if c.method == "GET" && c.want == aborted {
				path = "/unhedged/1" // a hedge may replace the endless body before it is passed on
			}
			r, body, err := g.send(c.method, path, "Patience: 700ms\r\n")
			<-closed
			switch c.want {
			case repeated:
				assert.NilError(t, err)
				assert.Equal(t, r.StatusCode, 200)
				assert.Equal(t, g.second.ran.Load(), int64(1))
				assert.Assert(t, strings.HasPrefix(body, "GET /look/1"), "%.40s", body)
			case failed:
				assert.NilError(t, err)
				assert.Equal(t, r.StatusCode, 502)
				assert.Equal(t, g.second.ran.Load(), int64(0))
			case aborted:
				assert.ErrorContains(t, err, "")
				assert.Equal(t, g.second.ran.Load(), int64(0))
			}
			assert.Equal(t, g.first.ran.Load(), int64(1))
			assert.Equal(t, g.memory.Used(), int64(0))
		})
	}
}

// Guards against endless responses of many upstreams that exhaust the memory of the host
// or make other requests fail.
func TestManyEndlessResponses(t *testing.T) {
	closed := make(chan struct{}, 100)
	g := newTestHost(t, func(first, _ *upstream) {
		first.handle = respondEndlessly(first, closed, "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
	})
	var wg sync.WaitGroup
	for range 16 {
		c := g.dial()
		_, err := io.WriteString(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nObject: "+object+"\r\nPatience: 2s\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		wg.Go(func() {
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // refused because no capacity was free
			}
			_, _ = io.Copy(io.Discard, r.Body)
		})
	}
	wg.Wait()
	assert.Assert(t, g.memory.Peak() > 0 && g.memory.Peak() <= bodyMemoryBytes, "%d bytes", g.memory.Peak())
	assert.Equal(t, g.memory.Used(), int64(0))
	g.first.handle = respondOK(g.first)
	r, _, err := g.send("GET", "/look/1")
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, 200)
}

// Guards against the connection of an attempt whose response isn't delivered, and that stays open
// and fills its buffers until the garbage collector finds it.
func TestLongResponseOfLosingAttemptIsClosed(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	closed, hedged := make(chan struct{}, 2), make(chan struct{})
	var requests atomic.Int64
	g := newTestHost(t, func(first, second *upstream) {
		for _, u := range []*upstream{first, second} {
			respond := respondEndlessly(u, closed, "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 1000000000\r\n\r\n", strings.Repeat("x", 0x1000))
			u.handle = func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 2 {
					close(hedged)
				}
				<-hedged
				respond(w, r)
			}
		}
	})
	c := g.dial()
	_, err := io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nObject: "+object+"\r\nPatience: 60s\r\n\r\n")
	assert.NilError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusOK)
	for _, action := range []func() error{func() error { return nil }, c.Close} { // the loser's first
		assert.NilError(t, action())
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("a connection stays open")
		}
	}
}

// Guards against a response without an end that is kept after its caller's time is over, because
// the caller neither reads nor closes its connection.
func TestUnreadEndlessResponseEndsWithPatience(t *testing.T) {
	closed := make(chan struct{}, 1)
	g := newTestHost(t, func(first, _ *upstream) {
		first.handle = respondEndlessly(first, closed, "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\n", strings.Repeat("x", 0x4000))
	})
	c := g.dial()
	_, err := io.WriteString(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nObject: "+object+"\r\nPatience: 700ms\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection to the upstream stays open")
	}
	assert.Equal(t, g.first.ran.Load(), int64(1))
}
