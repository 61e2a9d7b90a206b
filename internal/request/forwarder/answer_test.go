package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

var content = bytes.Repeat([]byte("0123456789abcdef"), 40<<10)

func fileHandler(etag string) http.HandlerFunc {
	return echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", etag)
		http.ServeContent(w, r, "plan.bin", time.Time{}, bytes.NewReader(content))
	})
}

// truncatingHandler sends the first part of content and breaks the connection.
func truncatingHandler(etag string, chunked bool) http.HandlerFunc {
	return echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Etag", etag)
		if !chunked {
			w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		}
		_, _ = w.Write(content[:len(content)/3])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// Guards against a short or mixed response that looks complete, for HTTP/1.1,
// HTTP/2, and bodies with and without a length.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		whole         bool
	}{
		"strong":  {`"v1"`, `"v1"`, true},
		"changed": {`"v1"`, `"v2"`, false},
		"weak":    {`W/"v1"`, `W/"v1"`, false},
		"none":    {"", "", false},
	} {
		for _, h2 := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s h2=%v chunked=%v", name, h2, chunked), func(t *testing.T) {
					g := newLoopbackHost(t, truncatingHandler(c.first, chunked), fileHandler(c.second))
					g.retries.Store(1)
					g.client = g.newClient(t, h2)
					_, body, err := g.do(t, g.request(t, http.MethodGet, "/s/docs/f", ""))
					assert.Equal(t, err == nil, c.whole, "%v", err)
					assert.Assert(t, !c.whole || body == string(content))
					trace := <-g.traces
					assert.Equal(t, trace.Resumed == 1, c.first != "" && c.first[0] == '"')
				})
			}
		}
	}
}

// Guards against a broken response for an HTTP/1.0 caller, which takes the end of
// the connection for the end of the response.
func TestTruncatedResponseResetsHTTP10Connection(t *testing.T) {
	g := newLoopbackHost(t, truncatingHandler("", true))
	c, err := net.Dial("tcp", g.host)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /s/docs/f HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.Assert(t, err != nil, "the truncated response ended cleanly")
}

// Guards against changed bytes reaching a caller as a complete response.
func TestDigestMismatchIsTruncated(t *testing.T) {
	sum := sha256.Sum256(content)
	field := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	for name, c := range map[string]struct {
		size  int
		match bool
	}{"short": {100, false}, "long": {len(content) - 1, false}, "same": {len(content), true}} {
		t.Run(name, func(t *testing.T) {
			g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Repr-Digest", field)
				w.Header().Set("Content-Length", strconv.Itoa(c.size))
				_, _ = w.Write(content[:c.size])
			}))
			r := g.request(t, http.MethodGet, "/s/docs/f", "")
			if c.size <= bufferBytes {
				g.assertError(t, r, classifier.Truncated)
				return
			}
			_, _, err := g.do(t, r)
			assert.Equal(t, err == nil, c.match, "%v", err)
		})
	}
}

type fakePacer struct {
	link           string
	read, reserved int64
	room           int
}

func (p *fakePacer) Reader(_ context.Context, l *planner.Link, _ planner.Class, r io.Reader) io.Reader {
	p.link = l.Name()
	return io.TeeReader(r, p)
}

func (p *fakePacer) Write(b []byte) (int, error) {
	p.read += int64(len(b))
	return len(b), nil
}

func (p *fakePacer) Reserve(_ *planner.Link, rate int64) (func(), bool) {
	if p.room--; p.room < 0 {
		return nil, false
	}
	p.reserved += rate
	return func() { p.reserved -= rate }, true
}

// Guards against responses that bypass the limit of a link, and against downloads
// that keep their reservation or start without one.
func TestResponseUsesLinkPacing(t *testing.T) {
	g := newLoopbackHost(t, fileHandler(`"v1"`))
	p := &fakePacer{room: 1}
	g.f.options.Region, g.f.options.Pacer = "cnx", p
	_, body, err := g.do(t, g.request(t, http.MethodGet, "/s/docs/f", ""))
	assert.NilError(t, err)
	<-g.traces
	assert.Equal(t, p.read, int64(len(body)))
	assert.Equal(t, p.link, "bkk/cnx")
	assert.Equal(t, p.reserved, int64(0))
	g.assertError(t, g.request(t, http.MethodGet, "/s/docs/f", ""), classifier.Overloaded)
}

// Guards against a response whose end cannot be told from a broken connection.
func TestResponseWithoutEndIsRejected(t *testing.T) {
	g := &testHost{network: network{loopback: true}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\nhalf")
		_ = c.Close()
	}()
	startHost(t, g, l.Addr().String(), "127.0.0.1:1")
	g.assertError(t, g.request(t, http.MethodGet, "/s/docs/f", "", "Request-Id", "r1"), classifier.Truncated)
}

// Guards against a part of an early response that reaches the caller as the whole, and against a
// request that is sent again after it, if the upstream resets the connection in the request.
func TestEarlyResponseWithoutLengthIsRejected(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){"reset": responder.Reset, "closed, request unread": func(*net.TCPConn) {}} {
		t.Run(name, func(t *testing.T) {
			up := responder.NewEarly(t, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart", end)
			g := &testHost{network: network{loopback: true}}
			startHost(t, g, up.Address, "127.0.0.1:1")
			const tries = 10
			for range tries {
				r := g.request(t, http.MethodPost, "/s/docs/f", strings.Repeat("x", maxBodyBytes), "Request-Id", "r1")
				r.Close = true // the host may close the connection of the request before
				resp, body, err := g.receive(r)
				assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%q", body)
			}
			assert.Equal(t, up.Requests("/"), tries)
		})
	}
}

// Guards against a part of a response without a length that reaches the caller as the whole
// because it has a digest that isn't compared: one of another representation, in another form, or
// beside a status other than 200.
func TestDigestOfResponseWithoutLengthIsCompared(t *testing.T) {
	const body = "the whole body"
	sum := sha256.Sum256([]byte(body))
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	const ranged = "206 Partial Content\r\nContent-Range: bytes 0-13/100"
	for name, c := range map[string]struct {
		status, digest, sent string
		whole                bool
	}{
		"206, whole range":     {ranged, digest, body, true},
		"206, part of a range": {ranged, digest, body[:5], false},
		"206, more":            {ranged, digest, body + body, false},
		"200, whole":           {"200 OK", digest, body, true},
		"201, whole":           {"201 Created", digest, body, true},
		"404, whole":           {"404 Not Found", digest, body, true},
		"200, part":            {"200 OK", digest, body[:5], false},
		"201, part":            {"201 Created", digest, body[:5], false},
		"404, part":            {"404 Not Found", digest, body[:5], false},
		"206, part":            {"206 Partial Content", digest, body[:5], false},
		"unknown digest, part": {"200 OK", "sha-512=:AAAA:", body[:5], false},
		"invalid digest, part": {"200 OK", "sha-256=:AAAA:", body[:5], false},
		"empty digest, part":   {"200 OK", "", body[:5], false},
	} {
		for how, end := range map[string]func(*net.TCPConn){"ended": responder.ReadOn, "reset": responder.Reset} {
			for _, key := range []string{"", "k"} {
				t.Run(name+", "+how+" "+key, func(t *testing.T) {
					up := responder.NewEarly(t, "HTTP/1.1 "+c.status+"\r\nRequest-Id: r1\r\nRepr-Digest: "+c.digest+"\r\n\r\n"+c.sent, end)
					g := &testHost{network: network{loopback: true}}
					startHost(t, g, up.Address, "127.0.0.1:1")
					r := g.request(t, http.MethodPost, "/s/docs/f", "x", "Request-Id", "r1")
					if key != "" {
						r.Header.Set("Idempotency-Key", key)
					}
					resp, got, err := g.receive(r)
					complete := err == nil && resp.StatusCode != http.StatusBadGateway
					assert.Equal(t, complete, c.whole && how == "ended", "%+v, body %q, %v", resp, got, err)
					assert.Assert(t, !complete || got == body, "%q", got)
					assert.Equal(t, up.Requests("/"), 1)
				})
			}
		}
	}
}

// Guards against a download that hangs for good at an upstream, and against one
// that is cut off only because it takes longer than the progress timeout.
func TestStalledDownload(t *testing.T) {
	for name, stalls := range map[string]bool{"stalls": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newPipeHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Content-Length", strconv.Itoa(len(content)))
					w.Header().Set("Etag", `"v1"`)
					for part := range 4 {
						time.Sleep(time.Duration(part) * 3 * time.Second)
						_, _ = w.Write(content[part*len(content)/4 : (part+1)*len(content)/4])
						_ = http.NewResponseController(w).Flush()
						if stalls {
							<-r.Context().Done()
							return
						}
					}
				}), fileHandler(`"v1"`))
				g.retries.Store(1)
				_, body, err := g.do(t, g.request(t, http.MethodGet, "/s/docs/f", ""))
				assert.NilError(t, err)
				assert.Assert(t, body == string(content))
				trace := <-g.traces
				assert.Equal(t, trace.Resumed == 1, stalls)
			})
		})
	}
}

// Guards against a caller that holds a slot without sending its body.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeHost(t, echoRequestID(func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				t.Error("the body ended cleanly")
			}
		}))
		from, to := io.Pipe()
		time.AfterFunc(time.Minute, func() { _ = to.Close() }) // ends a test that fails
		defer to.Close()
		r := g.request(t, http.MethodPost, "/s/docs/x", "")
		r.Body, r.ContentLength = from, 100
		go func() { _, _ = to.Write([]byte("part")) }()
		start := time.Now()
		g.assertError(t, r, classifier.Failed)
		assert.Equal(t, time.Since(start).Truncate(time.Second), callerReadTimeout)
		time.Sleep(time.Second) // the server closes the connection a little later
	})
}

// Guards against a response that waits for the end of the request body, and
// against a caller's connection that is used again although the rest of a body
// was not read.
func TestResponseDuringRequestBody(t *testing.T) {
	g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		assert.Check(t, c.EnableFullDuplex() == nil)
		if r.URL.Path == "/deny" {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusForbidden)
			return
		}
		buf := make([]byte, 1)
		for n, err := r.Body.Read(buf); n > 0 && err == nil; n, err = r.Body.Read(buf) {
			_, _ = w.Write(buf)
			_ = c.Flush()
		}
	}))
	for path, status := range map[string]int{"/s/docs/echo": 200, "/s/docs/deny": 403} {
		from, to := io.Pipe()
		r := g.request(t, http.MethodPost, path, "")
		r.Body, r.ContentLength = from, -1
		go func() { _, _ = to.Write([]byte("a")) }()
		resp, err := g.client.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status)
		assert.Assert(t, resp.Close)
		buf := make([]byte, 1)
		for _, s := range []string{"a", "b"} {
			if status != http.StatusOK {
				break
			}
			_, err := io.ReadFull(resp.Body, buf)
			assert.NilError(t, err)
			assert.Equal(t, string(buf), s)
			_, _ = to.Write([]byte("b"))
		}
		_ = to.Close()
		_ = resp.Body.Close()
	}
}

// Guards against a lookup that waits on an unresponsive connection until its
// deadline, and against a request that must not be repeated being cut off
// because its upstream is slow.
func TestUnresponsiveConnectionOrSlowUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		method, want string
		open         int   // connections: that of the probe, and the one that answered if it is not under suspicion
		taken        int64 // slots that the upstream may still use after the response
	}{
		"lookup moves": {http.MethodGet, "second", 2, 1},
		"order waits":  {http.MethodPost, "first", 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newPipeHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(20 * time.Second):
					case <-r.Context().Done():
					}
					_, _ = io.WriteString(w, "first")
				}), echoRequestID(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "second") }))
				g.retries.Store(1)
				_, body, err := g.do(t, g.request(t, c.method, "/s/prices/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, body, c.want)
				<-g.traces
				assert.Equal(t, g.pool.Counts().Open, c.open)
				time.Sleep(2 * cancelDelay)
				assert.Equal(t, g.taken.Load(), c.taken, "the close does not reach the upstream on an unresponsive connection")
				time.Sleep(time.Hour)
				assert.Equal(t, g.taken.Load(), int64(0))
			})
		})
	}
}

// Guards against hedges that use more than their budget, that leave the loser
// running, or that make a lookup wait for the slower response.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		retries int64
		want    string
	}{"allowed": {1, "fast"}, "no budget": {0, "slow"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cancelled := make(chan struct{}, 1)
				g := newPipeHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(time.Second):
						_, _ = io.WriteString(w, "slow")
					case <-r.Context().Done():
						cancelled <- struct{}{}
					}
				}), echoRequestID(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fast") }))
				g.hedge = 50 * time.Millisecond
				g.retries.Store(c.retries)
				_, body, err := g.do(t, g.request(t, http.MethodGet, "/s/prices/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, body, c.want)
				if c.want == "fast" {
					<-cancelled
				}
				assert.Equal(t, g.observed[Failed].Load()+g.observed[TimedOut].Load(), int64(0))
			})
		})
	}
}

// Guards against "not run" for a lookup whose first attempt found no connection
// while its hedge ran and got no response in time.
func TestHedgeMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeHost(t, echoRequestID(func(http.ResponseWriter, *http.Request) {}), echoRequestID(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}))
		g.at["192.0.2.12:80"] = make(chan net.Conn) // the first upstream accepts nothing
		g.hedge = 50 * time.Millisecond
		g.retries.Store(1)
		resp, _, err := g.do(t, g.request(t, http.MethodGet, "/s/prices/x", "", "Request-Timeout", "1s"))
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("Outcome"), classifier.MayHaveRun.String())
	})
}

// Guards against an upstream that responds after the deadline: the response must
// not reach the next request.
func TestLateResponseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/late" {
				time.Sleep(3 * time.Second)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}))
		g.assertError(t, g.request(t, http.MethodPost, "/s/docs/late", "", "Request-Timeout", "1s"), classifier.TimedOut)
		time.Sleep(2500 * time.Millisecond)
		_, body, err := g.do(t, g.request(t, http.MethodGet, "/s/docs/next", ""))
		assert.NilError(t, err)
		assert.Equal(t, body, "/next")
	})
}

// Guards against a wait for a connection or slot that outlives the deadline, and
// against "may have run" for a request that was never sent.
func TestConnectionWaitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeHost(t, echoRequestID(func(http.ResponseWriter, *http.Request) {}))
		g.network.mu.Lock()
		for at := range g.at {
			if at != g.host {
				g.at[at] = make(chan net.Conn) // nobody accepts
			}
		}
		g.network.mu.Unlock()
		g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", "", "Request-Timeout", "1s"), classifier.Expired)
	})
}

// Guards against timeouts that are taken for longer than the service allows, and
// against a crash on what callers send.
func FuzzTimeout(f *testing.F) {
	for _, s := range []string{"1500ms", "1h", "-1s", "", "9223372036854775807ns", "1e9s", "1s ", "0"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		d, err := requestTimeout(http.Header{"Request-Timeout": {s}}, time.Minute)
		assert.Assert(t, err != nil || d > 0 && d <= time.Minute)
		assert.Assert(t, err == nil || classifier.Of(err) == classifier.BadRequest)
		if id, err := token(http.Header{"Request-Id": {s}}, "Request-Id"); err == nil {
			assert.Assert(t, id != "" && len(id) <= maxTokenBytes)
		}
	})
}

// Guards against a digest that is read from a field that does not hold it.
func FuzzDigest(f *testing.F) {
	sum := sha256.Sum256(nil)
	good := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	for _, s := range []string{good, "sha-512=:AA==:, " + good + ";x=1", "sha-256=AA", "sha-256=:AA==:", "sha-256=", good + ", sha-256=::", "\"" + good} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, ok := digest(http.Header{"Repr-Digest": {s}})
		if ok {
			again, ok := digest(http.Header{"Repr-Digest": {"sha-256=:" + base64.StdEncoding.EncodeToString(got[:]) + ":"}})
			assert.Assert(t, ok && again == got)
		}
	})
	got, ok := digest(http.Header{"Repr-Digest": {good}})
	assert.Assert(f, ok && got == sum)
}
