package steerer_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/steerer"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// headerLog keeps the headers that upstreams got.
type headerLog struct {
	mu      sync.Mutex
	headers []http.Header
}

func (l *headerLog) record(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.headers = append(l.headers, r.Header.Clone())
		l.mu.Unlock()
		h(w, r)
	}
}

// accountRoutes are routes with and without a key, with and without allowed regions.
func accountRoutes() []matcher.Route {
	var routes []matcher.Route
	for _, r := range []matcher.Route{
		{Name: "look"},
		{Name: "public", Public: true},
		{Name: "far", Regions: []string{"far"}},
		{Name: "both", Regions: []string{"far", "r"}},
		{Name: "near", Public: true, Regions: []string{"r"}},
	} {
		r.Host, r.Prefix, r.Timeout, r.LatencyTarget, r.AttemptLimit = "h", "/"+r.Name+"/", time.Minute, 30*time.Second, 2
		r.Backends = []matcher.Backend{{Service: "s", Weight: 1}}
		routes = append(routes, r)
	}
	return routes
}

// newAccountHost returns a host with accounts, whose second upstream is in another region.
func newAccountHost(t *testing.T, accounts bool, current func() bool) (*testHost, *headerLog) {
	t.Helper()
	seen := new(headerLog)
	g := newTestHost(t, func(first, second *upstream) {
		first.handle, second.handle = seen.record(respondOK(first)), seen.record(respondOK(second))
	})
	table, err := matcher.New(2, accountRoutes(), []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	if accounts {
		a, err := authenticator.New([]authenticator.Account{
			{Name: "all", Keys: []string{"k-all"}},
			{Name: "far-only", Keys: []string{"k-far"}, Regions: []string{"far"}},
			{Name: "near-only", Keys: []string{"k-near"}, Regions: []string{"r"}},
			{Name: "nowhere", Keys: []string{"k-none"}, Regions: []string{"other"}},
			{Name: "limited", Keys: []string{"k-quota"}, Quota: authenticator.Quota{PerSecond: 1}},
		})
		assert.NilError(t, err)
		table = table.WithAccounts(a)
	}
	g.table = table
	reg := registrar.New(map[string]string{"z": "r", "zf": "far"})
	for zone, u := range map[string]*upstream{"z": g.first, "zf": g.second} {
		reg.Put(registrar.Registration{ID: u.id, Service: "s", Address: u.address, Zone: zone, Slots: 4, RowVersion: sequencer.New(0, 1)}, time.Now(), true)
	}
	g.meter = meter.New()
	g.serve(steerer.Options{
		Dialect: dialect{}, Table: func() *matcher.Table { return g.table }, ConfigurationCurrent: current, Quotas: &limitedQuotas{1},
		Regions: []string{"r", "far"}, Plan: twoRegionPlanner{}, Upstreams: reg, Ranker: ranker.New("r"),
		ColdRate: func(*registrar.Upstream, float64) float64 { return 100 },
		Budget:   budgeter.New(budgeter.Limit{Fixed: 100, Window: 10 * time.Second}, func() int { return 1 }, time.Now().Add(-time.Minute)),
		Log:      logger.New(g.log, 0, "h"), Meter: g.meter,
	})
	return g, seen
}

// twoRegionPlanner sends all requests to the region of the host, and lets them leave it.
type twoRegionPlanner struct{ oneRegionPlanner }

func (twoRegionPlanner) RegionWeights(string, matcher.Class) []float64 { return []float64{1, 0} }

// Guards against a request that is served without a key, or refused with one, against a refusal
// with 401 of a key that may be new, against the key or the caller's own account at an upstream
// or in a log, against an upstream outside the allowed regions, and against latencies of refused
// requests that count for no service.
func TestAccountsOfRequests(t *testing.T) {
	const spoof = "Account: spoof\r\nAccount: more\r\n"
	type want struct {
		status  int
		account string // at the upstream
		region  string // any if empty
	}
	for name, c := range map[string]struct {
		path, key  string
		unbound    bool // there are no accounts
		outdated   bool // the configuration isn't confirmed
		unprepared bool // there is no configuration
		want       want
	}{
		"known key":                       {path: "/look/", key: "k-all", want: want{200, "all", "r"}},
		"unknown key":                     {path: "/look/", key: "k-x", want: want{status: 401}},
		"no key":                          {path: "/look/", want: want{status: 401}},
		"known key, unconfirmed":          {path: "/look/", key: "k-all", outdated: true, want: want{200, "all", "r"}},
		"unknown key, unconfirmed":        {path: "/look/", key: "k-x", outdated: true, want: want{status: 503}},
		"no key, unconfirmed":             {path: "/look/", outdated: true, want: want{status: 503}},
		"known key, no configuration":     {path: "/look/", key: "k-all", unprepared: true, want: want{status: 503}},
		"no key, no configuration":        {path: "/look/", unprepared: true, want: want{status: 503}},
		"no route":                        {path: "/none/", key: "k-all", want: want{status: 404}},
		"public, no key":                  {path: "/public/", want: want{200, "", "r"}},
		"public, unknown key":             {path: "/public/", key: "k-x", want: want{200, "", "r"}},
		"public, known key":               {path: "/public/", key: "k-all", want: want{200, "all", "r"}},
		"public, unconfirmed":             {path: "/public/", key: "k-x", outdated: true, want: want{200, "", "r"}},
		"public, regions of the account":  {path: "/public/", key: "k-far", want: want{200, "far-only", "far"}},
		"regions of the account":          {path: "/look/", key: "k-far", want: want{200, "far-only", "far"}},
		"regions of the route":            {path: "/far/", key: "k-all", want: want{200, "all", "far"}},
		"regions of both":                 {path: "/both/", key: "k-far", want: want{200, "far-only", "far"}},
		"regions of both, near":           {path: "/both/", key: "k-near", want: want{200, "near-only", "r"}},
		"regions without a common one":    {path: "/far/", key: "k-near", want: want{status: 503}},
		"public, without a common region": {path: "/near/", key: "k-far", want: want{status: 503}},
		"region without upstreams":        {path: "/look/", key: "k-none", want: want{status: 503}},
		"no accounts":                     {path: "/look/", unbound: true, want: want{200, "spoof", "r"}},
		"no accounts, any key":            {path: "/look/", key: "k-x", unbound: true, outdated: true, want: want{200, "spoof", "r"}},
	} {
		t.Run(name, func(t *testing.T) {
			g, seen := newAccountHost(t, !c.unbound, func() bool { return !c.outdated })
			if c.unprepared {
				g.table = nil
			}
			headers := spoof
			if c.key != "" {
				headers += "Key: " + c.key + "\r\n"
			}
			r, _, err := g.send(http.MethodGet, c.path, headers)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.want.status)
			assert.Equal(t, r.Header.Get("Retry-After") != "", c.want.status == http.StatusServiceUnavailable)
			near, far := g.first.received.Load(), g.second.received.Load()
			if c.want.status != http.StatusOK {
				assert.Equal(t, near+far, int64(0))
			} else {
				assert.Equal(t, map[string]int64{"r": near, "far": far}[c.want.region], int64(1))
				assert.Equal(t, near+far, int64(1))
				h := seen.headers[0]
				assert.Equal(t, h.Get("Account"), c.want.account)
				assert.Equal(t, len(h["Account"]) > 1, c.unbound, "%v", h)
				assert.Equal(t, h.Get("Key") != "", c.unbound && c.key != "", "%v", h)
			}
			assert.Equal(t, g.meter.Latency(meter.Series{Class: "lookup"}).TotalCount(), int64(0))
			if c.key != "" {
				assert.Assert(t, !strings.Contains(strings.Join(g.log.lines, ""), c.key))
			}
		})
	}
}

// Guards against an attempt after the first one, or one that goes around a lost region, that
// reaches an upstream outside the allowed regions.
func TestRetriesStayInRegions(t *testing.T) {
	for name, key := range map[string]string{"near": "k-near", "far": "k-far"} {
		t.Run(name, func(t *testing.T) {
			g, _ := newAccountHost(t, true, nil)
			allowed, other := g.first, g.second
			if name == "far" {
				allowed, other = other, allowed
			}
			allowed.handle = respondStatus(allowed, http.StatusServiceUnavailable, "Not-Run")
			for range 5 {
				r, _, err := g.send(http.MethodGet, "/look/", "Key: "+key+"\r\n")
				assert.NilError(t, err)
				assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
			}
			assert.Equal(t, other.received.Load(), int64(0))
			assert.Assert(t, allowed.received.Load() > 0)
		})
	}
}

// limitedQuotas allows a number of requests of all accounts together.
type limitedQuotas struct{ left int }

func (*limitedQuotas) UntilAllowed(string, time.Time) time.Duration { return time.Second }

func (q *limitedQuotas) Return(string, time.Time, time.Time) { q.left++ }

func (q *limitedQuotas) Allow(string, time.Time) bool {
	q.left--
	return q.left >= 0
}

// Guards against a refusal because of a quota that runs or that doesn't say so, and against
// requests without a key or without a quota that count in one.
func TestQuotaRefusesRequests(t *testing.T) {
	g, _ := newAccountHost(t, true, nil)
	for _, c := range []struct {
		path, key string
		want      int
	}{
		{"/look/", "k-x", 401},
		{"/none/", "k-quota", 404},
		{"/look/", "k-all", 200},
		{"/public/", "k-quota", 200},
		{"/look/", "k-quota", 429},
		{"/public/", "k-quota", 429},
		{"/public/", "k-x", 200},
		{"/look/", "k-all", 200},
	} {
		ran := g.first.ran.Load()
		r, _, err := g.send(http.MethodGet, c.path, "Key: "+c.key+"\r\n")
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, c.want, "%+v", c)
		assert.Equal(t, r.Header.Get("Retry-After") != "", c.want == 429)
		assert.Equal(t, g.first.ran.Load() > ran, c.want == 200)
	}
}
