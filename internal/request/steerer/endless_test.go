package steerer_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// respondEndlessly answers with a beginning and goes on with more of the same until the
// connection is closed, which it tells.
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

// Guards against answers without an end, in each part of an answer: the connection
// is closed, another upstream answers where the request may be repeated, and a body
// that was begun is broken off when the caller's time is over, never completed.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n"
	chunk := "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"
	const repeated, failed, broken = "answered by the second", "answered 502", "broken off"
	for name, c := range map[string]struct {
		method, begin, more string
		want                string
	}{
		"status line":           {"GET", "HTTP/1.1 200 O", "kkkkkkkkkkkkkkkk", repeated},
		"one header":            {"GET", head + "Long: ", "xxxxxxxxxxxxxxxx", repeated},
		"headers":               {"GET", head, "More: headers\r\n", repeated},
		"folded header":         {"GET", head + "Long: x\r\n", " folded\r\n", repeated},
		"early answers":         {"GET", "", "HTTP/1.1 103 Early Hints\r\n\r\n", repeated},
		"no answer":             {"GET", "", "no answer at all\r\n", repeated},
		"chunk size":            {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000", repeated},
		"chunk extension":       {"GET", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", "xxxxxxxxxxxxxxxx", repeated},
		"trailers":              {"GET", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "More: trailers\r\n", repeated},
		"headers, once":         {"POST", head, "More: headers\r\n", failed},
		"chunk extension, once": {"POST", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", "xxxxxxxxxxxxxxxx", failed},
		"chunks":                {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, broken},
		"chunks, once":          {"POST", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, broken},
		"no length":             {"GET", head + "\r\n", chunk, broken},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 4)
			g := newTestHost(t, func(first, _ *upstream) { first.handle = respondEndlessly(first, closed, c.begin, c.more) })
			path := map[string]string{"GET": "/look/1", "POST": "/pay/1"}[c.method]
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
			case broken:
				assert.ErrorContains(t, err, "")
				assert.Equal(t, g.second.ran.Load(), int64(0))
			}
			assert.Equal(t, g.first.ran.Load(), int64(1))
			assert.Equal(t, g.memory.Used(), int64(0))
		})
	}
}

// Guards against a host that runs out of memory because many upstreams answer
// without an end, and against other requests that suffer from it.
func TestManyEndlessAnswers(t *testing.T) {
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
				return // refused for want of room
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
