package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// network connects hosts and upstreams through net.Pipe, so that tests that
// depend on time run in a synctest bubble, or through the loopback.
type network struct {
	mu       sync.Mutex
	at       map[string]chan net.Conn
	loopback bool
}

type listener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

type pipe struct{ net.Conn }

func (pipe) RemoteAddr() net.Addr { return address("192.0.2.99:1") }

func (n *network) listen(t testing.TB, at string) net.Listener {
	t.Helper()
	if n.loopback {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return l
	}
	l := &listener{address: at, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at[at] = l.conns
	return l
}

func (n *network) dial(ctx context.Context, _, at string) (net.Conn, error) {
	if n.loopback {
		return new(net.Dialer).DialContext(ctx, "tcp", at)
	}
	n.mu.Lock()
	conns := n.at[at]
	n.mu.Unlock()
	if conns == nil {
		return nil, fmt.Errorf("%s refuses the connection", at)
	}
	near, far := net.Pipe()
	select {
	case conns <- pipe{far}:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve starts a server and returns its address.
func (n *network) serve(t testing.TB, at string, h http.Handler) string {
	t.Helper()
	l := n.listen(t, at)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: protocols}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// testHost is a host with fake implementations of the interfaces of the forwarder.
type testHost struct {
	network
	f        *Forwarder
	host     string
	client   *http.Client
	pool     *pool.Pool
	retries  atomic.Int64 // extra attempts left in the budget
	hedge    time.Duration
	observed [ResponseMismatch + 1]atomic.Int64
	taken    atomic.Int64 // tickets
	refusals atomic.Int64 // how many of the next tickets are denied
	waits    atomic.Int64 // how many of the next waits succeed
	traces   chan RequestRecord

	mu     sync.Mutex
	claims map[string]*claim
	voided int
}

type claim struct {
	rig         *testHost
	fingerprint [32]byte
	stored      *StoredResponse
}

func (c *claim) ID() string { return fmt.Sprintf("%p", c) }

func (g *testHost) Choose(_ time.Time, q *Query) (*planner.Upstream, error) {
	for _, u := range q.Service.Upstreams() {
		if !tried(q, u) {
			return u, nil
		}
	}
	return nil, classifier.Shifting.New("no upstream is left")
}

func (g *testHost) Try(time.Time, *planner.Upstream, planner.Class, time.Time) (Ticket, bool) {
	if g.refusals.Add(-1) >= 0 {
		return nil, false
	}
	g.taken.Add(1)
	return g, true
}
func (g *testHost) Release(time.Time) { g.taken.Add(-1) }
func (g *testHost) Wait(ctx context.Context, s *planner.Service, c planner.Class, d time.Time) error {
	if g.waits.Add(-1) >= 0 {
		return nil
	}
	return open{}.Wait(ctx, s, c, d)
}

func (g *testHost) Queued(*planner.Service, planner.Class) int { return 0 }

func (g *testHost) RetryAfter(*planner.Service, planner.Class) time.Duration {
	return 1500 * time.Millisecond
}
func (g *testHost) CountRequest(time.Time, *planner.Service)  {}
func (g *testHost) HedgeDelay(*planner.Service) time.Duration { return g.hedge }
func (g *testHost) Start(string, time.Time) *recorder.Trace   { return nil }

func (g *testHost) Record(t *RequestRecord) { g.traces <- *t }
func (g *testHost) AllowExtraAttempt(time.Time, *planner.Service) (string, bool) {
	return "empty", g.retries.Add(-1) >= 0
}

func (g *testHost) Observe(_ time.Time, _ *planner.Upstream, s Observation, _ time.Duration) {
	g.observed[s].Add(1)
}

func (g *testHost) Begin(_ context.Context, _ *planner.Service, account, key string, fp [32]byte) (Claim, *StoredResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.claims[account+"/"+key]
	switch {
	case c == nil:
		c = &claim{rig: g, fingerprint: fp}
		g.claims[account+"/"+key] = c
		return c, nil, nil
	case c.fingerprint != fp:
		return nil, nil, classifier.KeyReused.New("another request")
	case c.stored == nil:
		return nil, nil, classifier.InDoubt.New("no outcome")
	}
	return nil, c.stored, nil
}

func (g *testHost) Finish(_ context.Context, c Claim, s *StoredResponse) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.(*claim).stored = s
	return nil
}

func (g *testHost) Void(_ context.Context, c Claim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.voided++
	for key, own := range g.claims {
		if own == c {
			delete(g.claims, key)
		}
	}
}

const maxBodyBytes = 1 << 20

// startHost starts a host in front of upstreams at these addresses. The service
// "docs" has class download, "prices" lookup, both echo.
func startHost(t testing.TB, g *testHost, upstreams ...string) {
	t.Helper()
	items := noter.Items{
		Regions: []noter.Region{{Name: "bkk", Zones: []string{"bkk-a"}, Slots: 100}, {Name: "cnx", Zones: []string{"cnx-a"}, Slots: 100}},
		Links:   []noter.Link{{From: "bkk", To: "cnx", Rate: 1 << 30}, {From: "cnx", To: "bkk", Rate: 1 << 30}},
	}
	for _, s := range []struct{ name, class string }{{"docs", "download"}, {"prices", "lookup"}} {
		items.Services = append(items.Services, noter.Service{
			Name: s.name, Class: s.class, Shares: map[string]int{"bkk": 1}, Hedge: true, Echo: true,
			Cap: noter.Cap{Fraction: 0.1, Every: noter.Duration(time.Second)}, Timeout: noter.Duration(time.Minute), Minimum: 1000,
			Routes: []noter.Route{{Method: "POST", Prefix: "/repeatable", Class: "lookup"}},
		})
	}
	services := []string{"docs", "prices"}
	for i, a := range upstreams {
		// An address may be used once, so the upstreams are divided between the services.
		items.Upstreams = append(items.Upstreams, noter.Upstream{
			Name: fmt.Sprintf("u%d", i), Service: services[i*len(services)/len(upstreams)], Region: "bkk", Zone: "bkk-a",
			Address: a, Slots: 10, Connections: 10,
		})
	}
	plan, err := new(planner.Plan).Apply(&noter.Note{ID: "n1", Added: items})
	assert.NilError(t, err)
	h := new(holder.Holder)
	assert.NilError(t, h.Install(plan))
	g.claims, g.traces = make(map[string]*claim), make(chan RequestRecord, 100)
	g.pool = pool.New(pool.Options{Dial: g.dial})
	t.Cleanup(g.pool.Close)
	g.f = New(h, g.pool, Options{
		HostName: "h1", Region: "bkk", MaxBodyBytes: maxBodyBytes, Chooser: g, Admitter: g, Budget: g, Observer: g, Claims: g, Recorder: g,
	})
	g.host = g.serve(t, "192.0.2.1:80", g.f.WithFallback(http.NewServeMux()))
	g.client = g.newClient(t, false)
}

func (g *testHost) newClient(t testing.TB, h2 bool) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!h2)
	protocols.SetUnencryptedHTTP2(h2)
	tr := &http.Transport{DialContext: g.dial, Protocols: protocols, DisableCompression: true, ExpectContinueTimeout: time.Minute}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// newLoopbackHost starts a host on the loopback. Both services have the same upstreams'
// handlers.
func newLoopbackHost(t *testing.T, handlers ...http.Handler) *testHost {
	t.Helper()
	g := &testHost{network: network{loopback: true}}
	var addresses []string
	for range 2 {
		for _, h := range handlers {
			addresses = append(addresses, g.serve(t, "", h))
		}
	}
	startHost(t, g, addresses...)
	return g
}

// newPipeHost starts a host behind net.Pipe.
func newPipeHost(t *testing.T, handlers ...http.Handler) *testHost {
	t.Helper()
	g := &testHost{network: network{at: make(map[string]chan net.Conn)}}
	var addresses []string
	for i := range 2 * len(handlers) {
		at := fmt.Sprintf("192.0.2.%d:80", 10+i)
		addresses = append(addresses, g.serve(t, at, handlers[i%len(handlers)]))
	}
	startHost(t, g, addresses...)
	return g
}

func (g *testHost) request(t *testing.T, method, path, body string, h ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+g.host+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(h); i += 2 {
		r.Header.Add(h[i], h[i+1])
	}
	return r
}

// do returns the response, its body and the error of reading it.
func (g *testHost) do(t *testing.T, r *http.Request) (*http.Response, string, error) {
	t.Helper()
	resp, err := g.client.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (g *testHost) assertError(t *testing.T, r *http.Request, k classifier.Kind) {
	t.Helper()
	resp, body, err := g.do(t, r)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, k.Status(), body)
	assert.Equal(t, resp.Header.Get("Outcome"), k.Outcome().String())
	assert.Assert(t, strings.Contains(body, `"kind":"`+k.String()+`"`), body)
	trace := <-g.traces
	assert.Equal(t, classifier.Of(trace.Err), k)
	g.awaitTicketRelease(t)
}

// awaitTicketRelease waits until no ticket is taken: the slot of a request that an
// upstream may still run is released shortly after the response. The timeout
// of a minute fails the test if a ticket is never released, also on slow machines.
func (g *testHost) awaitTicketRelease(t *testing.T) {
	for end := time.Now().Add(time.Minute); g.taken.Load() > 0 && time.Now().Before(end); {
		time.Sleep(cancelDelay / 10)
	}
	assert.Equal(t, g.taken.Load(), int64(0), "tickets were not released")
}

// echoRequestID sets the Request-Id as an upstream does and handles health checks.
func echoRequestID(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(w, "ready")
			return
		}
		f(w, r)
	}
}

// abortingHandler reads the request, or only its first byte, and closes the
// connection.
func abortingHandler(runs *atomic.Int64, whole bool) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if whole {
			_, _ = io.Copy(io.Discard, r.Body)
		} else {
			_, _ = bufio.NewReader(r.Body).ReadByte()
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
}

func tried(q *Query, u *planner.Upstream) bool {
	return slices.Contains(q.Failed, u) || slices.Contains(q.Shed, u)
}
