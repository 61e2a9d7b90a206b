package steerer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recoverer"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/steerer"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// dialect uses header fields of the test.
type dialect struct{}

func (dialect) RequestID(h http.Header) string { return h.Get("Id") }
func (dialect) CallerTimeout(h http.Header) (time.Duration, bool) {
	d, err := time.ParseDuration(h.Get("Patience"))
	return d, err == nil
}

func (dialect) ObjectKey(r *http.Request) string {
	if r.Header.Get("Break") != "" {
		panic("test: request that triggers a panic")
	}
	return r.Header.Get("Object")
}

func (dialect) SetUpstreamFields(h http.Header, instance string, left time.Duration) {
	h.Set("Instance", instance)
	h.Set("Patience", left.String())
}

func (dialect) ResponseMetadata(status int, h http.Header) steerer.ResponseMetadata {
	if h.Get("Break") != "" {
		panic("test: response that triggers a panic")
	}
	m := steerer.ResponseMetadata{Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest}
	m.ConflictingIDs = len(h["Id"]) > 1
	m.Load, m.HasLoad = registrar.Load{Slots: 4}, h.Get("Free") != ""
	if limit, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		m.RateLimit, m.HasRateLimit = registrar.RateLimit(limit), true
	} else {
		m.InvalidRateLimit = h.Get("Limit")
	}
	if v := h.Get("Leaving"); v == "1" {
		m.Leaving = true
	} else {
		m.InvalidLeaving = v
	}
	return m
}
func (dialect) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

func (dialect) AccountKey(h http.Header) string { return h.Get("Key") }

func (dialect) AuthenticationScheme() string { return "Test" }

func (dialect) SetAccount(h http.Header, account string) {
	delete(h, "Key")
	delete(h, "Account")
	if account != "" {
		h.Set("Account", account)
	}
}

// oneRegionPlanner sends all requests to one region.
type oneRegionPlanner struct{}

func (oneRegionPlanner) CountRequest(string)                           {}
func (oneRegionPlanner) RegionWeights(string, matcher.Class) []float64 { return []float64{1} }
func (oneRegionPlanner) AllowCrossRegion(bool) bool                    { return true }

// upstream counts the requests that it received and those that it ran.
type upstream struct {
	id       string
	address  string
	ran      atomic.Int64
	received atomic.Int64
	handle   http.HandlerFunc
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.received.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	u.handle(w, r)
}

func respondOK(u *upstream) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.ran.Add(1)
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Signed", "1")
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	}
}

func respondStatus(u *upstream, code int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, h := range headers {
			w.Header().Set(h, "1")
		}
		if !strings.Contains(strings.Join(headers, " "), "Not-Run") {
			u.ran.Add(1)
		}
		w.WriteHeader(code)
	}
}

func dropConnection(u *upstream) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		u.ran.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func respondTruncated(u *upstream) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		u.ran.Add(1)
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	}
}

// logLines collects log lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

// count returns the number of lines of an event.
func (l *logLines) count(e logger.Event) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, fmt.Sprintf(`"event":%d,`, e)) {
			n++
		}
	}
	return n
}

// contains reports whether a line contains the text.
func (l *logLines) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(strings.Join(l.lines, ""), text)
}

// testHost is a host with two upstreams. All requests refer to the same object, so the
// first attempt of each goes to the same upstream, first.
type testHost struct {
	t        *testing.T
	table    *matcher.Table
	first    *upstream
	second   *upstream
	steer    *steerer.Steerer
	memory   *reserver.Reserver
	watchdog *watchdog
	log      *logLines
	meter    *meter.Meter
	remove   func(id string)
	register func(registrar.Registration)
	group    func() *registrar.Group // of the upstreams that may get new requests
	dial     func() net.Conn
}

const object = "7"

// bodyMemoryBytes is the memory for bodies, enough for four long ones.
const bodyMemoryBytes = 4 << 20

func newTestHost(t *testing.T, setHandlers func(first, second *upstream)) *testHost {
	t.Helper()
	return newTestHostWithAdmission(t, setHandlers, nil)
}

func newTestHostWithAdmission(t *testing.T, setHandlers func(first, second *upstream), admission steerer.Admission) *testHost {
	t.Helper()
	g := &testHost{t: t, watchdog: new(watchdog), log: new(logLines), memory: reserver.New(bodyMemoryBytes)}
	reg := registrar.New(map[string]string{"z": "r"})
	var ups []*upstream
	for i := range 2 {
		u := &upstream{id: fmt.Sprint(i)}
		u.handle = respondOK(u)
		server := httptest.NewUnstartedServer(u)
		server.Config.ErrorLog = nil
		server.Start()
		t.Cleanup(server.Close)
		u.address = strings.TrimPrefix(server.URL, "http://")
		reg.Put(registrar.Registration{
			ID: fmt.Sprint(i), Service: "s", Address: u.address, Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1),
		}, time.Now(), true)
		ups = append(ups, u)
	}
	routes := []matcher.Route{
		{Name: "look", Host: "h", Prefix: "/look/", Class: matcher.Idempotent, Timeout: time.Minute, LatencyTarget: 30 * time.Second, AttemptLimit: 2, ObjectAffinity: true, Backends: []matcher.Backend{{Service: "s", Weight: 1}}},
		{Name: "unhedged", Host: "h", Prefix: "/unhedged/", Class: matcher.Idempotent, Timeout: time.Minute, LatencyTarget: 30 * time.Second, AttemptLimit: 1, ObjectAffinity: true, Backends: []matcher.Backend{{Service: "s", Weight: 1}}},
		{Name: "pay", Host: "h", Prefix: "/pay/", Class: matcher.AtMostOnce, Timeout: time.Minute, LatencyTarget: 30 * time.Second, AttemptLimit: 2, ObjectAffinity: true, Backends: []matcher.Backend{{Service: "s", Weight: 1}}},
	}
	var err error
	g.table, err = matcher.New(1, routes, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	g.serve(steerer.Options{
		Dialect: dialect{}, Table: func() *matcher.Table { return g.table }, Regions: []string{"r"}, Plan: oneRegionPlanner{}, Admission: admission,
		ColdRate:  func(*registrar.Upstream, float64) float64 { return 100 },
		Upstreams: reg, Ranker: ranker.New("r"),
		Budget: budgeter.New(budgeter.Limit{Fixed: 100, Window: 10 * time.Second}, func() int { return 1 }, time.Now().Add(-time.Minute)), Memory: g.memory, Watchdog: g.watchdog, Guard: recoverer.New(logger.Logger{}, meter.New()).Do,
		Log: logger.New(g.log, zerolog.InfoLevel, "h"),
	})
	// A request shows which upstream the object goes to.
	g.first, g.second = ups[0], ups[1]
	_, _, err = g.send("GET", "/look/probe")
	assert.NilError(t, err)
	if ups[1].received.Load() == 1 {
		g.first, g.second = ups[1], ups[0]
	}
	g.first.received.Store(0)
	g.first.ran.Store(0)
	setHandlers(g.first, g.second)
	g.remove = func(id string) { reg.Remove(id, sequencer.New(0, 2)) }
	g.group = func() *registrar.Group { return reg.Group("s") }
	g.register = func(r registrar.Registration) { reg.Put(r, time.Now(), true) }
	return g
}

// serve makes the host serve callers with the options and a new sender.
func (g *testHost) serve(o steerer.Options) {
	o.Sender = sender.New(sender.Options{Match: matchID, Dial: dialUnbuffered})
	g.t.Cleanup(o.Sender.Close)
	g.steer = steerer.New(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = l.Close() })
	a := acceptor.New(acceptor.Options{Handler: g.steer, Concurrent: g.steer.Repeatable, BodyDeadline: g.steer.BodyDeadline, Memory: g.memory})
	go func() { _ = a.Serve(l) }()
	g.dial = func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(g.t, err)
		g.t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// dialUnbuffered opens a connection that takes much less than uploadBytes while the peer does not
// read.
func dialUnbuffered(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(uploadBytes / 32)
}

// removeFirst deregisters the upstream that the object goes to.
func (g *testHost) removeFirst() { g.remove(g.first.id) }

func (g *testHost) send(method, path string, headers ...string) (*http.Response, string, error) {
	c := g.dial()
	text := method + " " + path + " HTTP/1.1\r\nHost: h\r\nId: 1\r\nObject: " + object + "\r\n" + strings.Join(headers, "")
	if method == "POST" {
		text += "Content-Length: 3\r\n\r\nabc"
	} else {
		text += "\r\n"
	}
	_, err := io.WriteString(c, text)
	assert.NilError(g.t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

// Guards against each way in which a request could run twice, a refusal could claim that a
// request did not run although it did, or a response could be incomplete.
func TestNoDoubleRunOrFalseRefusal(t *testing.T) {
	type want struct {
		status        int
		first, second int64 // how often the request ran at each upstream
		retryAfter    bool
	}
	set := func(f, s func(u *upstream) http.HandlerFunc) func(first, second *upstream) {
		return func(first, second *upstream) { first.handle, second.handle = f(first), s(second) }
	}
	code := func(code int, headers ...string) func(u *upstream) http.HandlerFunc {
		return func(u *upstream) http.HandlerFunc { return respondStatus(u, code, headers...) }
	}
	for name, c := range map[string]struct {
		method, path string
		setHandlers  func(first, second *upstream)
		want         want
	}{
		"idempotent, served":                  {"GET", "/look/1", set(respondOK, respondOK), want{200, 1, 0, false}},
		"idempotent, dropped":                 {"GET", "/look/1", set(dropConnection, respondOK), want{200, 1, 1, false}},
		"idempotent, truncated":               {"GET", "/look/1", set(respondTruncated, respondOK), want{200, 1, 1, false}},
		"idempotent, failed":                  {"GET", "/look/1", set(code(500, "Signed"), respondOK), want{200, 1, 1, false}},
		"idempotent, failed twice":            {"GET", "/look/1", set(code(500, "Signed"), code(500, "Signed")), want{500, 1, 1, false}},
		"idempotent, unsigned":                {"GET", "/look/1", set(code(200), respondOK), want{200, 1, 1, false}},
		"idempotent, refused twice":           {"GET", "/look/1", set(code(503, "Not-Run"), code(503, "Not-Run")), want{503, 0, 0, true}},
		"at most once, served":                {"POST", "/pay/1", set(respondOK, respondOK), want{200, 1, 0, false}},
		"at most once, dropped":               {"POST", "/pay/1", set(dropConnection, respondOK), want{502, 1, 0, false}},
		"at most once, truncated":             {"POST", "/pay/1", set(respondTruncated, respondOK), want{502, 1, 0, false}},
		"at most once, failed":                {"POST", "/pay/1", set(code(500, "Signed"), respondOK), want{500, 1, 0, false}},
		"at most once, unsigned":              {"POST", "/pay/1", set(code(200), respondOK), want{502, 1, 0, false}},
		"at most once, refused":               {"POST", "/pay/1", set(code(503, "Not-Run"), respondOK), want{200, 0, 1, false}},
		"at most once, refused twice":         {"POST", "/pay/1", set(code(503, "Not-Run"), code(429, "Not-Run")), want{503, 0, 0, true}},
		"at most once, refused, then dropped": {"POST", "/pay/1", set(code(503, "Not-Run"), dropConnection), want{502, 0, 1, false}},
		"at most once, misdirected":           {"POST", "/pay/1", set(code(421, "Not-Run"), respondOK), want{200, 0, 1, false}},
		"503 without not-run":                 {"POST", "/pay/1", set(code(503), respondOK), want{502, 1, 0, false}},
		"429 without not-run":                 {"POST", "/pay/1", set(code(429, "Signed"), respondOK), want{502, 1, 0, false}},
		"rejected by the upstream":            {"POST", "/pay/1", set(code(400, "Signed"), respondOK), want{400, 1, 0, false}},
		"get on an at-most-once route":        {"GET", "/pay/1", set(dropConnection, respondOK), want{502, 1, 0, false}},
		"no route":                            {"GET", "/none/1", set(respondOK, respondOK), want{404, 0, 0, false}},
		"path shorter than a prefix":          {"GET", "/look", set(respondOK, respondOK), want{404, 0, 0, false}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, c.setHandlers)
			r, _, err := g.send(c.method, c.path)
			assert.NilError(t, err)
			got := want{r.StatusCode, g.first.ran.Load(), g.second.ran.Load(), r.Header.Get("Retry-After") != ""}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against one message that crashes the process: a request that triggers a panic gets
// an error, a response that does is replaced by that of another upstream if the request is
// repeatable, and other requests are not affected.
func TestPanicFailsOneRequest(t *testing.T) {
	broken := func(u *upstream) http.HandlerFunc { return respondStatus(u, 200, "Break") }
	for name, c := range map[string]struct {
		method, path, header string
		want                 int
	}{
		"request":        {"GET", "/look/1", "Break: 1\r\n", 500},
		"response":       {"GET", "/look/1", "", 200},
		"response, once": {"POST", "/pay/1", "", 500},
		"request, once":  {"POST", "/pay/1", "Break: 1\r\n", 500},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestHost(t, func(first, _ *upstream) { first.handle = broken(first) })
			r, _, err := g.send(c.method, c.path, c.header)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.want)
			assert.Equal(t, r.Header.Get("Id"), "1")
			assert.Assert(t, c.method == "GET" || g.second.ran.Load() == 0)
			g.awaitMemory(0)
			g.first.handle = respondOK(g.first)
			r, _, err = g.send("GET", "/look/1")
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, 200)
		})
	}
}

// Guards against a host that responds "not found" before it has a configuration.
func TestNoConfigurationIsNotReady(t *testing.T) {
	g := newTestHost(t, func(_, _ *upstream) {})
	g.table = nil
	r, _, err := g.send("GET", "/look/1")
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, 503)
	assert.Equal(t, r.Header.Get("Id"), "1")
}

// Guards against a host that changes the target or body of a request.
func TestMessagesPassUnchanged(t *testing.T) {
	g := newTestHost(t, func(_, _ *upstream) {})
	_, body, err := g.send("POST", "/pay/a%2Fb//c?x=%20&y")
	assert.NilError(t, err)
	assert.Equal(t, body, "POST /pay/a%2Fb//c?x=%20&y abc")
}

// Guards against an upstream that works on a request after the caller timed out, and
// against an upstream that is given more time than the caller waits.
func TestDeadlineStopsUpstream(t *testing.T) {
	stopped := make(chan string, 2)
	g := newTestHost(t, func(first, second *upstream) {
		wait := func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			stopped <- r.Header.Get("Patience")
		}
		first.handle, second.handle = wait, wait
	})
	r, _, err := g.send("GET", "/look/1", "Patience: 300ms\r\n")
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, 504)
	left, err := time.ParseDuration(<-stopped)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 300*time.Millisecond, "%v", left)
}

// Guards against an upstream that hangs and keeps a repeatable request from being served by
// another one.
func TestSilentUpstreamIsHedged(t *testing.T) {
	g := newTestHost(t, func(first, _ *upstream) {
		first.handle = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	})
	r, _, err := g.send("GET", "/look/1")
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, 200)
	assert.Equal(t, g.second.ran.Load(), int64(1))
}

// Guards against services of a split route that get other fractions of the requests than
// their weights.
func TestSplitIsEven(t *testing.T) {
	g := newTestHost(t, func(_, _ *upstream) {})
	routes := []matcher.Route{{
		Name: "split", Host: "h", Prefix: "/", Class: matcher.Idempotent, Timeout: time.Minute, LatencyTarget: time.Minute, AttemptLimit: 1,
		Backends: []matcher.Backend{{Service: "s", Weight: 3}, {Service: "none", Weight: 1}},
	}}
	var err error
	g.table, err = matcher.New(2, routes, []matcher.Service{{Name: "s"}, {Name: "none"}}, matcher.Limits{})
	assert.NilError(t, err)
	refused := 0
	for range 40 {
		r, _, err := g.send("GET", "/x")
		assert.NilError(t, err)
		if r.StatusCode == 503 {
			refused++
		}
	}
	assert.Equal(t, refused, 10)
}
