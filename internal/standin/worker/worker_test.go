package worker_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

func call(w *worker.Worker, method, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, http.NoBody)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	rec := httptest.NewRecorder()
	w.ServeHTTP(rec, r)
	return rec
}

// Guards against a stand-in that accepts more than its slots and queue, which
// would hide an overload by the hosts.
func TestSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker.NewFrom(worker.Settings{Name: "u", Slots: 2, Queue: 1, Time: noter.Duration(time.Second), Size: 10})
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { assert.Check(t, call(w, "GET", "/").Code == http.StatusOK) })
		}
		synctest.Wait()
		rec := call(w, "GET", "/")
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, rec.Header().Get("Outcome"), "not-run")
		wg.Wait()
		assert.Equal(t, w.Peak(), 2)
		assert.Equal(t, w.Counts().Ran, 3)
	})
}

// Guards against a refusal that says "not run" for a request that ran, and
// against work for a caller whose deadline has passed.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker.New("u", 1, time.Second, 10)
		past := strconv.FormatInt(time.Now().Add(-time.Millisecond).UnixMilli(), 10)
		for name, c := range map[string]struct {
			header, value, outcome string
			ran                    int
		}{
			"past deadline":     {"Request-Deadline", past, "not-run", 0},
			"past timeout":      {"Request-Timeout", "0s", "not-run", 0},
			"short timeout":     {"Request-Timeout", "10ms", "may-have-run", 1},
			"sufficient":        {"Request-Timeout", "2s", "ran", 1},
			"unreadable header": {"Request-Timeout", "soon", "ran", 1},
		} {
			rec := call(w, "GET", "/", c.header, c.value, "Request-Id", name)
			assert.Equal(t, rec.Header().Get("Outcome"), c.outcome, name)
			assert.Equal(t, w.Runs(name), c.ran, name)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "GET", "/", http.NoBody))
		assert.Equal(t, w.Counts().Cancelled, 1)
	})
}

// Guards against downloads that differ between upstreams, which would make a
// resumption at another one impossible to check.
func TestContent(t *testing.T) {
	one, two := worker.New("one", 1, 0, 100_000), worker.New("two", 1, 0, 100_000)
	whole := call(one, "GET", "/file")
	sum := sha256.Sum256(whole.Body.Bytes())
	assert.Equal(t, whole.Header().Get("Repr-Digest"), "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	etag := whole.Header().Get("ETag")
	rest := call(two, "GET", "/file", "Range", "bytes=70000-", "If-Range", etag)
	assert.Equal(t, rest.Code, http.StatusPartialContent)
	assert.Equal(t, whole.Body.String()[70000:], rest.Body.String())
	assert.Equal(t, call(two, "GET", "/file", "Range", "bytes=70000-", "If-Range", `"x"`).Code, http.StatusOK)
	assert.Assert(t, call(one, "GET", "/other").Header().Get("ETag") != etag)
	deposit := call(one, "POST", "/deposit").Body.String()
	assert.Assert(t, deposit != call(one, "POST", "/deposit").Body.String(), "a second run has to show")
	assert.Equal(t, one.Counts().Bytes, int64(400_000))
}

// Guards against faults that have no effect, with which a test of the hosts
// passes for nothing.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults worker.Faults
		check  func(t *testing.T, resp *http.Response, err error)
		ran    int
	}{
		"fail":    {worker.Faults{Fail: true}, status(500, "ran"), 1},
		"shed":    {worker.Faults{Shed: true}, status(503, "not-run"), 0},
		"crossed": {worker.Faults{Crossed: true}, header("Request-Id", "another-id"), 1},
		"drain":   {worker.Faults{Draining: true}, header("Draining", "1"), 1},
		"short":   {worker.Faults{Short: 1000}, broken, 1},
		"request": {worker.Faults{CloseRequest: 1}, broken, 0},
		"answer":  {worker.Faults{CloseAnswer: true}, broken, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := worker.New("u", 1, 0, 100_000)
			server := httptest.NewServer(w)
			defer server.Close()
			w.SetFaults(c.faults)
			req, err := http.NewRequestWithContext(t.Context(), "POST", server.URL, strings.NewReader("body"))
			assert.NilError(t, err)
			req.Header.Set("Request-Id", "id")
			resp, err := server.Client().Do(req)
			if err == nil {
				defer resp.Body.Close()
			}
			c.check(t, resp, err)
			assert.Equal(t, w.Runs("id"), c.ran)
		})
	}
}

func status(code int, outcome string) func(*testing.T, *http.Response, error) {
	return func(t *testing.T, resp *http.Response, err error) {
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, code)
		assert.Equal(t, resp.Header.Get("Outcome"), outcome)
	}
}

func header(key, value string) func(*testing.T, *http.Response, error) {
	return func(t *testing.T, resp *http.Response, err error) {
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(key), value)
	}
}

func broken(t *testing.T, resp *http.Response, err error) {
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	assert.Assert(t, err != nil)
}

// Guards against a silent fault that also stops new connections, which is an
// outage and not what 4.8 of the design is about.
func TestSilent(t *testing.T) {
	w := worker.New("u", 1, 0, 10)
	server := httptest.NewUnstartedServer(w)
	server.Config.ConnContext = w.ConnContext
	server.Start()
	defer server.Close()
	get := func(client *http.Client, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "GET", server.URL, http.NoBody)
		assert.NilError(t, err)
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	old := &http.Client{Transport: new(http.Transport)}
	assert.NilError(t, get(old, 5*time.Second))
	w.SetFaults(worker.Faults{Silent: true})
	assert.ErrorIs(t, get(old, 200*time.Millisecond), context.DeadlineExceeded)
	fresh := &http.Client{Transport: new(http.Transport)}
	assert.NilError(t, get(fresh, 5*time.Second))
	assert.Equal(t, w.Counts().Ran, 2)
}

// Guards against a slot that is still taken when its answer is complete: a
// caller that uses it for its next request would be shed for no reason.
func TestSlotIsFreeAfterAnswer(t *testing.T) {
	w := worker.NewFrom(worker.Settings{Name: "u", Slots: 1, Size: 64 << 10})
	server := httptest.NewServer(w)
	defer server.Close()
	// A connection serves one request after the other by itself, so the
	// requests alternate between two.
	clients := []*http.Client{{Transport: new(http.Transport)}, {Transport: new(http.Transport)}}
	for i := range 2000 {
		resp, err := clients[i%2].Get(server.URL)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, w.Counts().Offered, 1)
}

// Guards against readings that are current although a lag is set, and against
// a start that is as fast as later work.
func TestLagAndColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker.NewFrom(worker.Settings{
			Name: "u", Slots: 2, Time: noter.Duration(time.Second), Size: 1,
			Cold: worker.Cold{Requests: 1, Factor: 3},
		})
		took := func() time.Duration {
			start := time.Now()
			call(w, "GET", "/")
			return time.Since(start)
		}
		assert.Equal(t, took(), 3*time.Second)
		assert.Equal(t, took(), time.Second)
		w.Restart()
		assert.Equal(t, took(), 3*time.Second)
		w.SetLag(5 * time.Second)
		w.SetDraining(true)
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, call(w, "GET", "/health").Body.String(), "ready")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, call(w, "GET", "/health").Body.String(), "draining")
		took()
		assert.Equal(t, time.Duration(w.Counts().Lag), 5100*time.Millisecond)
	})
}
