package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a POST that runs twice, and against "not run" for one that may
// have run. The route that makes a POST repeatable shows that the upstreams
// would run it again.
func TestAtMostOnceRequestRunsOnce(t *testing.T) {
	body := strings.Repeat("x", 300<<10)
	for name, c := range map[string]struct {
		path, body, key string
		whole           bool
		runs            int64
	}{
		"during the write":   {"/s/docs/order", body, "", false, 1},
		"after the write":    {"/s/docs/order", body, "", true, 1},
		"with key":           {"/s/docs/order", body, "k1", true, 1},
		"with key, no body":  {"/s/docs/order", "", "k1", true, 1},
		"repeatable, as now": {"/s/docs/repeatable", "", "", true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			g := newLoopbackHost(t, abortingHandler(&runs, c.whole), abortingHandler(&runs, c.whole))
			g.retries.Store(100)
			r := g.request(t, http.MethodPost, c.path, c.body)
			if c.key != "" {
				r.Header.Set("Idempotency-Key", c.key)
			}
			kind := classifier.Failed
			g.assertError(t, r, kind)
			assert.Equal(t, runs.Load(), c.runs)
			if c.key != "" {
				g.assertError(t, g.request(t, http.MethodPost, c.path, c.body, "Idempotency-Key", c.key), classifier.InDoubt)
				assert.Equal(t, g.voided, 0)
			}
		})
	}
}

// Guards against giving up, or claiming doubt, when no byte of a request that
// must not be repeated can have left the host; and against using the budget for
// what it does not allow.
func TestUnreachableDidNotRun(t *testing.T) {
	var runs atomic.Int64
	g := newLoopbackHost(t, echoRequestID(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	live := g.serve(t, "", echoRequestID(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	startHost(t, g, "127.0.0.1:1", live)
	services := g.f.holder.Plan().Service("docs").Upstreams()
	assert.Equal(t, len(services), 1)
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", "body", "Idempotency-Key", "k"), classifier.Unreachable)
	assert.Equal(t, g.voided, 1)
	startHost(t, g, "127.0.0.1:1", live, "127.0.0.1:2", "127.0.0.1:3")
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", "body"), classifier.Unreachable)
	g.retries.Store(1)
	resp, _, err := g.do(t, g.request(t, http.MethodPost, "/s/docs/x", "body"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, runs.Load(), int64(1))
	assert.Assert(t, g.observed[Unreachable].Load() > 0)
}

// Guards against a retry of what an upstream shed, and against keeping the claim
// of a request that did not run.
func TestShedRequestIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	shed := echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g := newLoopbackHost(t, shed, shed)
	g.retries.Store(100)
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", "b", "Idempotency-Key", "k"), classifier.Shed)
	assert.Equal(t, runs.Load(), int64(1))
	assert.Equal(t, g.voided, 1)
	assert.Equal(t, g.observed[Shed].Load(), int64(1))
	assert.Equal(t, g.pool.Counts().Open, 1, "a shed response that was read to its end keeps its connection")
}

// Guards against a rejection that says "not run" after an earlier attempt of the
// request may have run.
func TestNotRunIsNotReportedAfterAmbiguousAttempt(t *testing.T) {
	var runs atomic.Int64
	g := newLoopbackHost(t, abortingHandler(&runs, true))
	g.retries.Store(100)
	g.assertError(t, g.request(t, http.MethodGet, "/s/prices/x", ""), classifier.Failed)
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a response that reaches the wrong caller.
func TestMismatchedResponseIsNotDelivered(t *testing.T) {
	g := newLoopbackHost(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "another")
		_, _ = io.WriteString(w, "secret")
	}))
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", ""), classifier.ResponseMismatch)
	assert.Equal(t, g.pool.Counts().Open, 0)
	assert.Equal(t, g.observed[ResponseMismatch].Load(), int64(1))
}

// Guards against a repeat that runs again, gets part of the response, or gets the
// response to something else under the same key.
func TestKeyReuseReplaysResponse(t *testing.T) {
	var runs atomic.Int64
	g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Order", "7")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	}))
	for range 3 {
		resp, body, err := g.do(t, g.request(t, http.MethodPost, "/s/docs/x", "whole", "Idempotency-Key", "k", "Expect", "100-continue"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusCreated)
		assert.Equal(t, body+resp.Header.Get("Order")+resp.Header.Get("Outcome"), "whole7ran")
	}
	assert.Equal(t, runs.Load(), int64(1))
	for range 3 {
		<-g.traces
	}
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", "other", "Idempotency-Key", "k"), classifier.KeyReused)
	big := strings.Repeat("x", maxBodyBytes+1)
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", big, "Idempotency-Key", "k2"), classifier.TooLarge)
	r := g.request(t, http.MethodPost, "/s/docs/x", big, "Idempotency-Key", "k2")
	r.ContentLength = -1
	g.assertError(t, r, classifier.TooLarge)
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against an upstream that goes on running a request for a caller that disconnected, and against a
// claim that stays in doubt only because its caller disconnected.
func TestCallerLeaves(t *testing.T) {
	for name, key := range map[string]string{"without key": "", "with key": "k"} {
		t.Run(name, func(t *testing.T) {
			arrived, ended := make(chan bool), make(chan bool)
			proceed := make(chan struct{})
			g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
				arrived <- true
				select {
				case <-r.Context().Done():
					ended <- true
				case <-proceed:
					_, _ = io.WriteString(w, "done")
					ended <- false
				}
			}))
			ctx, cancel := context.WithCancel(t.Context())
			r := g.request(t, http.MethodPost, "/s/docs/x", "").WithContext(ctx)
			if key != "" {
				r.Header.Set("Idempotency-Key", key)
			}
			go func() {
				<-arrived
				cancel()
				if key != "" {
					close(proceed)
				}
			}()
			_, err := g.client.Do(r)
			assert.ErrorIs(t, err, context.Canceled)
			assert.Equal(t, <-ended, key == "")
			<-g.traces
			if key != "" {
				_, body, err := g.do(t, g.request(t, http.MethodPost, "/s/docs/x", "", "Idempotency-Key", key))
				assert.NilError(t, err)
				assert.Equal(t, body, "done")
			}
		})
	}
}

// Guards against an upstream that goes on sending to a caller that disconnected.
func TestCallerLeavesDownload(t *testing.T) {
	ended := make(chan struct{})
	g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for _, err := w.Write(content); err == nil; _, err = w.Write(content) {
		}
	}))
	resp, err := g.client.Do(g.request(t, http.MethodGet, "/s/docs/x", ""))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	<-ended
	<-g.traces
	g.awaitTicketRelease(t)
	assert.Equal(t, g.observed[Failed].Load(), int64(0), "the upstream is not at fault")
}

// Guards against a rejection while waiting helps, a wait that never ends, and a
// Retry-After that is too early.
func TestWaitForSlot(t *testing.T) {
	g := newLoopbackHost(t, echoRequestID(func(http.ResponseWriter, *http.Request) {}))
	g.refusals.Store(2)
	g.waits.Store(2)
	resp, _, err := g.do(t, g.request(t, http.MethodPost, "/s/docs/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	<-g.traces
	g.refusals.Store(1)
	resp, _, err = g.do(t, g.request(t, http.MethodPost, "/s/docs/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status[:3]+" "+resp.Header.Get("Retry-After"), "503 2")
}

// Guards against headers that belong to one connection being passed on, headers
// of ours being forged, and paths being rewritten.
func TestHeaders(t *testing.T) {
	var got *http.Request
	g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		got = r
		h := w.Header()
		h["Connection"], h["X-Hop"], h["Outcome"] = []string{"X-Hop"}, []string{"1"}, []string{"not-run"}
		h["Content-Type"] = nil
		w.WriteHeader(http.StatusNotFound)
	}))
	resp, _, err := g.do(t, g.request(t, http.MethodGet, "/s/docs/a%2Fb/%C3%A9//c?q=%20&r", "",
		"Connection", "X-Mine, keep-alive", "X-Mine", "1", "Te", "trailers, gzip", "Via", "1.1 other",
		"Forwarded", "for=10.0.0.1", "Request-Timeout", "20s", "Request-Id", "r1", "X-End", "2", "Proxy-Authorization", "x"))
	assert.NilError(t, err)
	assert.Equal(t, got.RequestURI, "/a%2Fb/%C3%A9//c?q=%20&r")
	assert.DeepEqual(t, got.Header["Via"], []string{"1.1 other", "1.1 h1"})
	assert.DeepEqual(t, got.Header["Forwarded"], []string{"for=10.0.0.1", `for=127.0.0.1;host="` + g.host + `";proto=http`})
	assert.DeepEqual(t, got.Header["Te"], []string{"trailers"})
	assert.Equal(t, got.Header.Get("X-Mine")+got.Header.Get("Proxy-Authorization")+got.Header.Get("X-End"), "2")
	left, err := requestTimeout(got.Header, 1<<40)
	assert.NilError(t, err)
	assert.Assert(t, left <= 20e9 && got.Header.Get("Request-Deadline") != "")
	assert.Equal(t, resp.Header.Get("Outcome")+resp.Header.Get("X-Hop")+resp.Header.Get("Content-Type"), "ran")
	assert.Equal(t, resp.Header.Get("Request-Id")+resp.Header.Get("Via")+resp.Header.Get("Config-Version"), "r11.1 h11")
	<-g.traces
	for name, h := range map[string][]string{
		"loop": {"Via", "1.0 a, 1.1 h1"}, "upgrade": {"Connection", "upgrade", "Upgrade", "websocket"},
		"timeout": {"Request-Timeout", "-1s"}, "id": {"Request-Id", strings.Repeat("x", 129)}, "key": {"Idempotency-Key", "a b"},
	} {
		t.Run(name, func(t *testing.T) {
			g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", "", h...), classifier.BadRequest)
		})
	}
	g.assertError(t, g.request(t, http.MethodGet, "/s/none/x", ""), classifier.NotFound)
}

// Guards against lost trailers, in both directions and protocols.
func TestTrailers(t *testing.T) {
	for name, h2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Trailer", "Sum")
				_, _ = io.Copy(w, r.Body)
				w.Header().Set("Sum", r.Trailer.Get("Sum")+"5")
				w.Header().Set(http.TrailerPrefix+"Late", "6")
			}))
			g.client = g.newClient(t, h2)
			r := g.request(t, http.MethodPost, "/s/docs/x", "abc")
			r.ContentLength, r.Trailer = -1, http.Header{"Sum": {"4"}}
			resp, body, err := g.do(t, r)
			assert.NilError(t, err)
			assert.Equal(t, body, "abc")
			assert.Equal(t, resp.Trailer.Get("Sum")+resp.Trailer.Get("Late"), "456")
		})
	}
}

// Guards against a body that is requested although the upstream refuses it, and
// against lost informational responses.
func TestInformational(t *testing.T) {
	g := newLoopbackHost(t, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</a.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	for path, want := range map[string]string{"/s/docs/take": "200 103 100 body read", "/s/docs/refuse": "417 103"} {
		var seen []string
		r := g.request(t, http.MethodPost, path, "", "Expect", "100-continue")
		body := &flagged{Reader: strings.NewReader("body")}
		r.Body, r.ContentLength = io.NopCloser(body), 4
		ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			seen = append(seen, http.StatusText(code))
			assert.Check(t, code == 100 || h.Get("Link") == "</a.css>")
			return nil
		}})
		resp, text, err := g.do(t, r.WithContext(ctx))
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("Link"), "")
		got := resp.Status[:3]
		for _, s := range seen {
			got += map[string]string{"Early Hints": " 103", "Continue": " 100"}[s]
		}
		if text != "" {
			got += " " + text
		}
		if body.read.Load() {
			got += " read"
		}
		assert.Equal(t, got, want)
	}
}

type flagged struct {
	io.Reader
	read atomic.Bool
}

func (f *flagged) Read(p []byte) (int, error) {
	f.read.Store(true)
	return f.Reader.Read(p)
}

// Guards against bodies above the limit: refused by their stated length without
// a dispatch, and truncated otherwise, without reporting that nothing ran.
func TestBodyBound(t *testing.T) {
	var runs atomic.Int64
	g := newLoopbackHost(t, echoRequestID(func(_ http.ResponseWriter, r *http.Request) {
		if n, _ := io.Copy(io.Discard, r.Body); n <= maxBodyBytes {
			runs.Add(1)
		}
	}))
	big := strings.Repeat("x", maxBodyBytes+1)
	g.assertError(t, g.request(t, http.MethodPost, "/s/docs/x", big), classifier.TooLarge)
	assert.Equal(t, g.pool.Counts().Dials, int64(0))
	r := g.request(t, http.MethodPost, "/s/docs/x", big)
	r.ContentLength = -1
	g.assertError(t, r, classifier.Failed)
	_, _, err := g.do(t, g.request(t, http.MethodPost, "/s/docs/x", big[:maxBodyBytes]))
	assert.NilError(t, err)
}
