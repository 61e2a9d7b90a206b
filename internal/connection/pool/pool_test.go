package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func request(ctx context.Context, method, address, body string) *http.Request {
	r := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: address, Path: "/run"},
		Header: http.Header{"Idempotency-Key": {"k1"}}, Body: http.NoBody, ContentLength: int64(len(body)),
	}
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(body)), nil }
	}
	return r.WithContext(ctx)
}

// closer answers the first request of a connection and closes the connection as
// the second one arrives. It counts the POSTs that arrived.
func closer(t *testing.T) (address string, posts *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	posts = new(atomic.Int64)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go answerOnce(c, posts)
		}
	}()
	return l.Addr().String(), posts
}

func answerOnce(c net.Conn, posts *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.Method == http.MethodPost {
			posts.Add(1)
		}
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against a POST that runs twice because a library sends it again on a
// new connection. The plain http.Transport does that, which shows that the test
// can fail.
func TestNoReplay(t *testing.T) {
	for name, body := range map[string]string{"body": "amount=5", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			address, posts := closer(t)
			p := New(Options{})
			defer p.Close()
			get := func(method string) error {
				l, err := p.Get(t.Context(), address)
				assert.NilError(t, err)
				resp, err := l.Do(request(t.Context(), method, address, body), time.Time{}, nil)
				if err != nil {
					return err
				}
				assert.NilError(t, resp.Body.Close())
				l.Done()
				return nil
			}
			assert.NilError(t, get(http.MethodGet))
			err := get(http.MethodPost)
			assert.Equal(t, classifier.Of(err), classifier.Failed, "%v", err)
			assert.Equal(t, posts.Load(), int64(1))

			address, posts = closer(t)
			naive := &http.Transport{}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				resp, err := naive.RoundTrip(request(t.Context(), method, address, body))
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
			}
			assert.Equal(t, posts.Load(), int64(2))
		})
	}
}

// Guards against "may have run" for a request of which no byte left, and
// against "not run" for one of which some did.
func TestClosedBeforeWrite(t *testing.T) {
	address, _ := closer(t)
	p := New(Options{})
	defer p.Close()
	l, err := p.Get(t.Context(), address)
	assert.NilError(t, err)
	assert.NilError(t, l.conn.Close())
	_, err = l.Do(request(t.Context(), http.MethodPost, address, "x"), time.Time{}, nil)
	assert.Equal(t, classifier.Of(err), classifier.Unreachable)
	assert.Equal(t, p.Counts(), Counts{Dials: 1})
}

// memory is an upstream behind net.Pipe.
type memory struct {
	mu     sync.Mutex
	dials  int
	times  []time.Time
	mute   map[int]bool // connections, by number, that answer nothing from now on
	refuse bool
	health int
}

func (m *memory) is(i int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mute[i] || m.mute[-1]
}

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memory) dial(context.Context, string, string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.dials
	m.dials++
	m.times = append(m.times, time.Now())
	if m.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go m.serve(i, far)
	return near, nil
}

func (m *memory) serve(i int, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/health" {
			m.set(func() { m.health++ })
		}
		for m.is(i) {
			if _, err := r.Peek(1); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready"); err != nil {
			return
		}
	}
}

type sight struct{ silent, dead atomic.Int64 }

func (s *sight) Silent(_ string, n int) { s.silent.Add(int64(n)) }
func (s *sight) Dead(string, error)     { s.dead.Add(1) }

type watcher struct{ silent, stalled atomic.Int64 }

func (w *watcher) Silent()  { w.silent.Add(1) }
func (w *watcher) Stalled() { w.stalled.Add(1) }

const upstream = "192.0.2.7:80"

func run(t *testing.T, p *Pool, deadline time.Duration, w Watcher) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	l, err := p.Get(ctx, upstream)
	if err != nil {
		return err
	}
	end, _ := ctx.Deadline()
	resp, err := l.Do(request(ctx, http.MethodGet, upstream, ""), end, w)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	l.Done()
	return nil
}

// Guards against connections that stay in use after they went silent, and
// against their siblings being used without a check.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s, w := &memory{mute: map[int]bool{}}, new(sight), new(watcher)
		p := New(Options{Dial: m.dial, Events: s})
		defer p.Close()
		var held []*Link
		for range 3 {
			l, err := p.Get(t.Context(), upstream)
			assert.NilError(t, err)
			held = append(held, l)
		}
		for _, l := range held {
			assert.NilError(t, l.health(t.Context()))
			l.Done()
		}
		m.set(func() { m.mute[0], m.mute[1], m.mute[2] = true, true, true })
		assert.Equal(t, classifier.Of(run(t, p, 3*time.Second, w)), classifier.TimedOut)
		assert.Equal(t, w.silent.Load(), int64(1))
		assert.Equal(t, s.silent.Load(), int64(1))
		assert.Equal(t, s.dead.Load(), int64(0))
		// The probe's connection is newest; both siblings fail their check.
		assert.NilError(t, run(t, p, 10*time.Second, w))
		l, err := p.Get(t.Context(), upstream)
		assert.NilError(t, err)
		assert.NilError(t, run(t, p, 10*time.Second, w))
		l.Close()
	})
}

// Guards against an upstream that is gone or frozen being taken for silent
// connections, which would cut off requests that it still answers.
func TestDeadIsNotSilent(t *testing.T) {
	for name, kill := range map[string]func(*memory){
		"refuses": func(m *memory) { m.refuse, m.mute[0] = true, true },
		"frozen":  func(m *memory) { m.mute[-1] = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, s, w := &memory{mute: map[int]bool{}}, new(sight), new(watcher)
				p := New(Options{Dial: m.dial, Events: s})
				defer p.Close()
				assert.NilError(t, run(t, p, time.Second, w))
				m.set(func() { kill(m) })
				assert.Equal(t, classifier.Of(run(t, p, 8*time.Second, w)), classifier.TimedOut)
				p.Close() // waits for the probes
				assert.Equal(t, w.silent.Load(), int64(0))
				assert.Equal(t, s.silent.Load(), int64(0))
				assert.Assert(t, s.dead.Load() > 0)
			})
		})
	}
}

// Guards against a connection that idled for long being used without a check,
// and against checks of connections in steady use.
func TestIdleIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{mute: map[int]bool{}}
		p := New(Options{Dial: m.dial})
		defer p.Close()
		time.Sleep(time.Minute) // a new connection in an old pool is fresh as well
		for _, step := range []struct {
			idle   time.Duration
			health int
		}{{0, 0}, {stale - time.Second, 0}, {stale + time.Second, 1}} {
			time.Sleep(step.idle)
			assert.NilError(t, run(t, p, time.Second, nil))
			assert.Equal(t, m.health, step.health)
		}
		assert.Equal(t, m.dials, 1)
	})
}

// Guards against a health check that an invalid response passes, against one that fails because
// a valid response arrives in pieces, and against a connection that is used again after an
// invalid one.
func TestInvalidHealthResponse(t *testing.T) {
	const withBody = "Content-Length: 5\r\n\r\nready"
	for name, c := range map[string]struct{ response, err string }{
		"valid":                    {"HTTP/1.1 200 OK\r\nA: 1\r\n" + withBody, ""},
		"valid, after interim":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + withBody, ""},
		"body that reads as heads": {"HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n\r\n\r\nHTTP/1.1 000 OK\r\nA B: 1\r\n\r\n", ""},
		"status 000":               {"HTTP/1.1 000 OK\r\n" + withBody, "status code 000"},
		"status 000, no body":      {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "status code 000"},
		"status 600":               {"HTTP/1.1 600 OK\r\n" + withBody, "status code 600"},
		"space in a name":          {"HTTP/1.1 200 OK\r\nA B: 1\r\n" + withBody, "is not a token"},
		"space in an interim name": {"HTTP/1.1 103 Early Hints\r\nA B: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + withBody, "is not a token"},
		"space before a name":      {"HTTP/1.1 200 OK\r\nA: 1\r\n " + withBody, "reads as a field line"},
		"space in a trailer name":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nready\r\n0\r\nA B: 1\r\n\r\n", "is not a token"},
	} {
		for _, piece := range []int{1, 7, len(c.response)} {
			t.Run(fmt.Sprintf("%s, pieces of %d", name, piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					checkHealth(t, c.response, piece, c.err)
				})
			})
		}
	}
}

// checkHealth sends two health checks to an upstream that sends the response in pieces. Unless
// they succeed the connection has to be closed after the first one.
func checkHealth(t *testing.T, response string, piece int, want string) {
	t.Helper()
	near, far := net.Pipe()
	var conn sync.WaitGroup
	conn.Go(func() { respondInPieces(far, response, piece) })
	p := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
	defer p.Close()
	l, err := p.Get(t.Context(), upstream)
	assert.NilError(t, err)
	err = l.health(t.Context())
	if want == "" {
		assert.NilError(t, err)
		assert.NilError(t, l.health(t.Context()))
		l.Done()
		return
	}
	assert.ErrorContains(t, err, want)
	l.Done()
	conn.Wait()
}

// respondInPieces sends the response to each request until the connection is closed.
func respondInPieces(c net.Conn, response string, piece int) {
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		for part := range slices.Chunk([]byte(response), piece) {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
	}
}

// storm returns when callers that never give up made the pool dial.
func storm(t *testing.T, refuse bool, d time.Duration) []time.Time {
	m := &memory{mute: map[int]bool{}, refuse: refuse}
	p := New(Options{Dial: m.dial, Limit: 10000})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := p.Get(ctx, upstream); err != nil {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	p.Close()
	p.each(func(g *group) { closeAll(append([]*Link(nil), g.busy...)) })
	return m.times
}

// Guards against a storm of new connections towards an upstream that refuses
// them or that lost all its connections at once.
func TestDialBudget(t *testing.T) {
	for name, refuse := range map[string]bool{"refuses": true, "accepts": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := storm(t, refuse, 5*time.Second)
				// After a refusal the queued dials are dropped, which keeps the
				// number far below the budget.
				assert.Equal(t, len(times) > 2*dialsPerSecond, !refuse, "%d dials", len(times))
				for i := range max(0, len(times)-dialsPerSecond) {
					span := times[i+dialsPerSecond].Sub(times[i])
					assert.Assert(t, span >= time.Second, "%d dials in %v", dialsPerSecond+1, span)
				}
			})
		})
	}
}

// Guards against more connections than the owner allows, and against a request
// that waits for good although idle connections could make room.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{mute: map[int]bool{}}
		p := New(Options{Dial: m.dial})
		defer p.Close()
		p.Bound(upstream, 2)
		for range 20 {
			go func() { assert.Check(t, run(t, p, 5*time.Second, nil) == nil) }()
		}
		time.Sleep(time.Second)
		assert.Equal(t, p.Counts(), Counts{Open: 2, Idle: 2, Dials: 2})
		m.set(func() { m.mute[0], m.mute[1] = true, true })
		time.Sleep(stale + time.Second)
		assert.NilError(t, run(t, p, 10*time.Second, nil))
		assert.Assert(t, p.Counts().Open <= 2)
		p.Remove(upstream)
		assert.Equal(t, p.Counts().Open, 0)
		time.Sleep(time.Second)
		p.each(func(*group) { t.Error("a withdrawn upstream is kept in memory") })
		p.Bound(upstream, 2)
		assert.NilError(t, run(t, p, 10*time.Second, nil))
	})
}
