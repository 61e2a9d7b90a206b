package faulter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
)

const (
	slots    = 6
	linkRate = 1 << 20
	lifetime = 3 * time.Second
	// platformAddress is in region r1.
	platformAddress = "10.0.0.1:9100"
)

var regions = []string{"r1", "r2", "r3"}

// fleet is three hosts, built as the product builds them, six upstreams, the
// platform and three callers, all in one synctest bubble.
type fleet struct {
	net      *network
	platform *platformer.Platformer
	stall    bool // upstreams leave /health and /load unanswered
	hosts    []*host
	ups      []*upstream
	reached  func(s Step, at *process)
	off      string // the mechanism that is switched off
	closing  atomic.Bool
	wg       sync.WaitGroup

	mu       sync.Mutex // guards the rest
	checker  *checker.Checker
	flights  map[string]int
	open     map[string]sent // requests in flight by id
	severed  time.Time       // when connections of callers last went silent
	links    map[delayer.Pair]int64
	next     int
	toggles  int
	weights  map[string]float64 // of the first region by host
	answered map[string]int
}

type upstream struct {
	*worker.Worker
	proc   *process
	region string
}

func newFleet(reached func(Step, *process), off string) *fleet {
	f := &fleet{
		net:      newNetwork(delayer.Delays{Zone: time.Millisecond, Region: 12 * time.Millisecond, Client: 3 * time.Millisecond}),
		platform: new(platformer.Platformer), reached: reached, off: off,
		checker: checker.New(checker.DefaultBounds), flights: make(map[string]int),
		open: make(map[string]sent), links: make(map[delayer.Pair]int64), answered: make(map[string]int), weights: make(map[string]float64),
	}
	f.serve(f.net.process("platform", delayer.Place{Region: "r1", Zone: "r1-p"}), platformAddress, http.HandlerFunc(f.servePlatform), nil)
	for i, r := range regions {
		for j, z := range []string{"a", "b"} {
			f.addUpstream(fmt.Sprintf("u%d%s", i+1, z), r, r+"-"+z, fmt.Sprintf("10.1.%d.%d:80", i+1, j+1))
		}
	}
	for i, r := range regions {
		f.hosts = append(f.hosts, &host{fleet: f, name: fmt.Sprintf("h%d", i+1), index: i, place: delayer.Place{Region: r, Zone: r + "-a"}})
	}
	return f
}

type peerKey struct{}

func (f *fleet) serve(p *process, address string, handler http.Handler, connContext func(context.Context, net.Conn) context.Context) {
	l, err := p.Listen("tcp", address)
	must(err)
	s := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if c, ok := c.(*conn); ok {
			ctx = context.WithValue(ctx, peerKey{}, c.peer)
		}
		return ctx
	}}
	f.wg.Go(func() { _ = s.Serve(l) })
}

func peerOf(r *http.Request) *process {
	p, _ := r.Context().Value(peerKey{}).(*process)
	return p
}

// servePlatform serves the store and tells which step a write belongs to.
func (f *fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		switch path := r.URL.Path; {
		case strings.HasPrefix(path, "/table/claim/") && r.Header.Get("If-None-Match") != "":
			f.reached(Claim, peerOf(r))
		case strings.HasPrefix(path, "/table/claim/"):
			f.reached(AnswerRecording, peerOf(r))
		case strings.HasPrefix(path, "/objects/note/"):
			f.reached(Publication, peerOf(r))
		case path == "/table/config/head":
			defer f.reached(Spreading, peerOf(r))
		}
	}
	if !f.disable(w, r) {
		f.platform.ServeHTTP(w, r)
	}
}

func (f *fleet) addUpstream(name, region, zone, address string) {
	w := worker.NewFrom(worker.Settings{
		Name: name, Slots: slots, Time: noter.Duration(40 * time.Millisecond), Jitter: 0.5, Seed: uint64(len(f.ups)), Size: 2000,
		Cold: worker.Cold{For: noter.Duration(4 * time.Second), Factor: 4},
	})
	u := &upstream{Worker: w, proc: f.net.process(name, delayer.Place{Region: region, Zone: zone}), region: region}
	w.OnRun(func(r worker.Run) {
		f.tell(func(now time.Time) {
			f.checker.Ran(checker.Ran{At: now, Upstream: r.Upstream, ID: r.Request, Key: r.Key})
		})
	})
	w.OnFlight(func(delta int) { f.flight(u, delta) })
	f.serve(u.proc, address, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		stall := f.stall
		f.mu.Unlock()
		switch path := r.URL.Path; {
		case stall && (path == "/health" || path == "/load"):
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case path != "/health" && path != "/load":
			f.reached(Dispatch, peerOf(r))
		}
		if f.off == offSigns {
			if r.URL.Path == "/health" {
				_, _ = io.WriteString(rw, "ready")
				return
			}
			rw = signless{rw}
		}
		w.ServeHTTP(rw, r)
	}), w.ConnContext)
	f.ups = append(f.ups, u)
}

// tell feeds the checker.
func (f *fleet) tell(event func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	event(time.Now())
}

func (f *fleet) flight(u *upstream, delta int) {
	f.tell(func(now time.Time) {
		f.flights[u.Name()] += delta
		f.flights[u.region] += delta
		f.checker.Flight(checker.Flight{At: now, Kind: "upstream", Name: u.Name(), Count: f.flights[u.Name()], Limit: slots})
		f.checker.Flight(checker.Flight{At: now, Kind: "region", Name: u.region, Count: f.flights[u.region], Limit: 2 * slots})
	})
}

// first is the first release note.
func (f *fleet) first() *noter.Note {
	n := &noter.Note{ID: "first"}
	for _, r := range regions {
		n.Added.Regions = append(n.Added.Regions, noter.Region{Name: r, Zones: []string{r + "-a", r + "-b"}, Slots: 2 * slots})
		for _, to := range regions {
			if to != r {
				n.Added.Links = append(n.Added.Links, noter.Link{From: r, To: to, Rate: linkRate})
			}
		}
	}
	n.Added.Services = []noter.Service{f.service(4, 4, 4)}
	n.Added.ClientAccounts = []noter.ClientAccount{{Name: "stays", Hold: "stay"}, {Name: "refuses", Hold: "refuse"}}
	for _, u := range f.ups {
		n.Added.Upstreams = append(n.Added.Upstreams, noter.Upstream{
			Name: u.Name(), Service: "shop", Region: u.region, Zone: u.proc.place.Zone,
			Address: u.proc.open[0].address.String(), Slots: slots, Connections: 90,
		})
	}
	return n
}

func (f *fleet) service(shares ...int) noter.Service {
	s := noter.Service{
		Name: "shop", Class: "lookup", Shares: make(map[string]int), Cap: noter.Cap{Fraction: 0.2, Every: noter.Duration(5 * time.Second)},
		Retry: 0.1, Timeout: noter.Duration(time.Minute), Hedge: true, Echo: true, Minimum: 1 << 10,
		Routes: []noter.Route{{Method: "GET", Prefix: "/file", Class: "download"}},
	}
	if f.off == offCap {
		s.Cap = noter.Cap{Fraction: 1, Every: noter.Duration(time.Second)}
	}
	for i, r := range regions {
		s.Shares[r] = shares[i]
	}
	return s
}

// observe feeds the checker once a second with what the hosts report and what
// the links carried.
func (f *fleet) observe(ctx context.Context) {
	for ctx.Err() == nil {
		sent := f.net.delayer.Bytes()
		f.tell(func(now time.Time) {
			for p, n := range sent {
				f.checker.Window(checker.Window{At: now, Length: time.Second, From: p.From, To: p.To, Bytes: n - f.links[p], Rate: linkRate})
				f.links[p] = n
			}
			f.checker.Tick(now)
		})
		for _, h := range f.hosts {
			f.wg.Go(func() { f.ask(h) })
		}
		time.Sleep(time.Second)
	}
}

func (f *fleet) ask(h *host) {
	l := h.current()
	if l.proc.isDead() || l.hasEnded() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	s, err := h.operator().Status(ctx)
	if err != nil {
		return
	}
	f.tell(func(now time.Time) {
		if h.life != l || s.Version == 0 {
			return
		}
		f.checker.InForce(checker.InForce{At: now, Host: h.name, Version: uint64(s.Version), Chain: s.Chain})
		for _, shift := range s.Shifts {
			w := checker.Weights{At: now, Host: fmt.Sprintf("%s/%d", h.name, h.starts), Service: shift.Service, Shares: make(map[string]float64), Fraction: 0.2, Every: 5 * time.Second}
			sum := 0.0
			for _, x := range shift.Weights {
				w.Shares[x.Region] = x.Effective
				sum += x.Effective
			}
			if sum > 0 && s.State == api.StatusStateReady {
				f.checker.Weights(w)
			}
			if last, ok := f.weights[h.name]; ok && last != w.Shares["r1"] {
				go f.reached(Shift, l.proc)
			}
			f.weights[h.name] = w.Shares["r1"]
		}
	})
}

// entries is the platform's list of hosts.
func (f *fleet) entries(leaving string) []adapter.HostEntry {
	var out []adapter.HostEntry
	for _, h := range f.hosts {
		e := adapter.HostEntry{Name: h.name, Address: h.address(8082), Zone: h.place.Zone, State: "live"}
		if h.name == leaving {
			e.State = "leaving"
		}
		out = append(out, e)
	}
	return out
}

// The mechanisms that can be switched off.
const (
	offDrain  = "a stop waits for requests in flight"
	offClaims = "claims are durable"
	offSigns  = "leaving signs are heeded"
	offCap    = "shifts keep to the cap"
	offLedger = "hosts share one ledger"
)

// disable answers a request to the platform as if a mechanism were off, and
// reports whether it did.
func (f *fleet) disable(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case f.off == offClaims && strings.HasPrefix(r.URL.Path, "/table/claim/"):
		if r.Method == http.MethodGet {
			http.NotFound(w, r)
			return true
		}
		w.Header().Set("ETag", `"1"`)
		w.WriteHeader(http.StatusNoContent)
		return true
	case f.off == offLedger && strings.HasPrefix(r.URL.Path, "/table/ledger/"):
		r.URL.Path += "@" + peerOf(r).name
	case f.off == offLedger && r.URL.Path == "/hosts":
		// With the list each host would still take no more than its part.
		_, _ = io.WriteString(w, "[]")
		return true
	}
	return false
}

// signless drops the headers with which an upstream says that it leaves.
type signless struct{ http.ResponseWriter }

func (s signless) WriteHeader(status int) {
	s.Header().Del("Draining")
	s.Header().Del("Connection")
	s.ResponseWriter.WriteHeader(status)
}
