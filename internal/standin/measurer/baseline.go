package measurer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/internal/standin/naive"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	probePeriod  = time.Second
	probeTimeout = time.Second
	maxBody      = 1 << 20
)

// baseline is one host that forwards by the rules of package naive.
type baseline struct {
	plan    atomic.Pointer[planner.Plan]
	gauge   *gauger.Gauger
	chooser *naive.Naive
	client  *http.Client
	server  *http.Server
	address string
	cancel  context.CancelFunc
	stopped atomic.Bool

	mu      sync.Mutex
	flights map[string]int
}

// newBaseline starts a host at the place of a host of the deployment.
func newBaseline(d *deployer.Deployer, h *deployer.Host, live *atomic.Int64) (*baseline, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	place := delayer.Place{Region: h.Region(), Zone: h.Zone()}
	d.Network().SetPlace(l.Addr().String(), place)
	ctx, cancel := context.WithCancel(context.Background())
	b := &baseline{
		gauge: gauger.New(time.Now()), address: l.Addr().String(), cancel: cancel, flights: make(map[string]int),
		client: &http.Client{Transport: &http.Transport{DialContext: d.Network().Dialer(place), MaxIdleConnsPerHost: 16, DisableCompression: true}},
	}
	b.chooser = naive.New(b, b.gauge, func() int { return int(live.Load()) })
	b.install(d.Plan())
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns when stop closes the server.
		_ = b.server.Serve(l)
	}()
	go b.probe(ctx)
	return b, nil
}

func (b *baseline) install(p *planner.Plan) {
	b.gauge.Install(p, time.Now())
	b.plan.Store(p)
}

// stop ends the host without notice.
func (b *baseline) stop() {
	b.stopped.Store(true)
	b.cancel()
	// The connections are cut on purpose; there is nobody to tell of an error.
	_ = b.server.Close()
	b.client.CloseIdleConnections()
}

// InFlight implements naive.Flights.
func (b *baseline) InFlight(u *planner.Upstream) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.flights[u.Name()]
}

func (b *baseline) enter(u *planner.Upstream, delta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flights[u.Name()] += delta
}

// probe reads the health of all upstreams until ctx ends.
func (b *baseline) probe(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for _, u := range b.plan.Load().Upstreams() {
			wg.Go(func() {
				asked := time.Now()
				b.gauge.OnHealth(u.Name(), b.health(ctx, u), asked, time.Now())
			})
		}
		wg.Wait()
		b.gauge.Evaluate(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *baseline) health(ctx context.Context, u *planner.Upstream) gauger.State {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address()+"/health", nil)
	if err != nil {
		return gauger.Failed
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return gauger.Failed
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64))
	switch {
	case err != nil:
		return gauger.Failed
	case string(text) == "ready":
		return gauger.Ready
	case string(text) == "draining":
		return gauger.Draining
	default:
		return gauger.Starting
	}
}

// ServeHTTP forwards /s/{service}/{path}. It retries whatever failed and has
// one timeout for the whole request.
func (b *baseline) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	service, path, ok := cutPath(r.URL.Path)
	plan := b.plan.Load()
	s := plan.Service(service)
	if !ok || s == nil {
		http.NotFound(rw, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), b.chooser.Timeout(s))
	defer cancel()
	id := r.Header.Get("Request-Id")
	q := router.Query{Plan: plan, Service: s, Hash: xxhash.Sum64String(id)}
	for n := 1; ; n++ {
		last := !b.chooser.Retry(n)
		c, err := b.chooser.Choose(time.Now(), &q)
		if err == nil && b.attempt(ctx, rw, r, c.Upstream(), path, body, last) {
			return
		}
		if last || ctx.Err() != nil {
			refuse(rw, id, err != nil)
			return
		}
	}
}

// refuse answers a request that no attempt has answered. A baseline doesn't
// know whether anything ran, so it states no outcome.
func refuse(rw http.ResponseWriter, id string, full bool) {
	kind, status := "failed", http.StatusBadGateway
	if full {
		kind, status = "overloaded", http.StatusServiceUnavailable
	}
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, `{"kind":"`+kind+`"}`)
}

// attempt reports whether it has answered the request.
func (b *baseline) attempt(ctx context.Context, rw http.ResponseWriter, r *http.Request, u *planner.Upstream, path string, body []byte, last bool) bool {
	b.enter(u, 1)
	defer b.enter(u, -1)
	target := "http://" + u.Address() + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(body))
	if err != nil {
		return false
	}
	for _, k := range []string{"Request-Id", "Idempotency-Key", "Request-Timeout"} {
		if v := r.Header.Get(k); v != "" {
			req.Header.Set(k, v)
		}
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError && !last {
		return false
	}
	for k, v := range resp.Header {
		if k != "Connection" {
			rw.Header()[k] = v
		}
	}
	rw.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(rw, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// cutPath splits "/s/{service}/{path}".
func cutPath(p string) (service, path string, ok bool) {
	const prefix = "/s/"
	if len(p) <= len(prefix) || p[:len(prefix)] != prefix {
		return "", "", false
	}
	p = p[len(prefix):]
	for i := range p {
		if p[i] == '/' {
			return p[:i], p[i:], true
		}
	}
	return p, "/", true
}
