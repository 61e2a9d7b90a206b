package faulter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/runner"
	"dandeliontrack.example/dandeliontrack/internal/process/settler"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/caller"
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

// sent is a request in flight, sent to the caller address of a host.
type sent struct {
	address string
	at      time.Time
}

// host is one entry host, which may be started several times.
type host struct {
	fleet    *fleet
	name     string
	place    delayer.Place
	index    int
	starting sync.Mutex

	// The fleet's lock guards what follows.
	life    *life
	starts  int
	away    int  // faults that keep it from being reached
	watched bool // the checker knows it as running
}

// life is one process of a host.
type life struct {
	proc    *process
	run     *runner.Runner
	stop    context.CancelFunc
	ended   chan struct{}
	planned bool // its stop is a planned one
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

func (h *host) address(port int) string { return fmt.Sprintf("10.2.%d.1:%d", h.index+1, port) }

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
	n.Added.Customers = []noter.Customer{{Name: "stays", Hold: "stay"}, {Name: "refuses", Hold: "refuse"}}
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

// current returns the newest process of the host.
func (h *host) current() *life {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.life
}

// settings returns what the host is started with.
func (h *host) settings() *settler.Settings {
	s := &settler.Settings{
		Name: h.name, Region: h.place.Region, Zone: h.place.Zone,
		Caller:   settler.Listener{Listen: h.address(8080)},
		Operator: settler.Listener{Listen: h.address(8081)},
		Peer:     settler.Peer{Listen: h.address(8082), Plain: true},
		Platform: settler.Platform{Table: "http://" + platformAddress, Objects: "http://" + platformAddress, Hosts: "http://" + platformAddress},
		Stop:     settler.Stop{Lifetime: noter.Duration(lifetime)},
	}
	if h.fleet.off == offDrain {
		s.Stop.Hard = noter.Duration(time.Millisecond)
	}
	for _, o := range h.fleet.hosts {
		if o != h {
			s.Seeds = append(s.Seeds, o.address(8082))
		}
	}
	// Reading the settings fills in the defaults and checks them.
	raw, err := json.Marshal(s)
	if err == nil {
		s, err = settler.Read(bytes.NewReader(raw))
	}
	must(err)
	return s
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the host as a new process on its addresses, unless it runs.
func (h *host) start() {
	h.starting.Lock()
	defer h.starting.Unlock()
	f := h.fleet
	if l := h.current(); f.closing.Load() || l != nil && !l.hasEnded() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &life{proc: f.net.process(h.name, h.place), stop: stop, ended: make(chan struct{})}
	var err error
	l.run, err = runner.New(h.settings(), logger.New(logs{h, l}, zerolog.InfoLevel, h.name), runner.WithDial(l.proc.Dial), runner.WithListen(l.proc.Listen))
	must(err)
	f.tell(func(now time.Time) {
		h.life = l
		h.starts++
		h.watch(now)
	})
	f.reached(Start, l.proc)
	f.wg.Go(func() {
		defer close(l.ended)
		if err := l.run.Run(ctx); err != nil && !l.proc.isDead() {
			f.tell(func(now time.Time) { f.checker.CutOff(now, h.name, true, "the host ended: "+err.Error()) })
		}
	})
}

func (l *life) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// watch tells the checker whether the host runs and can be reached. The caller
// holds the fleet's lock.
func (h *host) watch(now time.Time) {
	on := h.away == 0 && !h.life.proc.isDead() && !h.life.hasEnded()
	if on == h.watched {
		return
	}
	h.watched = on
	if on {
		h.fleet.checker.Started(now, h.name)
	} else {
		h.fleet.checker.Stopped(h.name)
	}
}

// kill ends a process of the host as a fault.
func (h *host) kill(l *life) {
	l.proc.Kill()
	h.fleet.tell(h.watch)
	l.run.Abort()
	l.stop()
	<-l.ended
}

// die kills the host and starts it again after two thirds of a fault's length.
func (h *host) die() func() {
	l := h.current()
	l.proc.Kill()
	return func() {
		h.kill(l)
		time.Sleep(length * 2 / 3)
		h.start()
	}
}

// leave stops the host as planned and waits for its end.
func (h *host) leave() {
	f, l := h.fleet, h.current()
	f.tell(func(time.Time) { l.planned = true })
	f.reached(Stop, l.proc)
	l.stop()
	<-l.ended
	f.tell(func(now time.Time) {
		h.watch(now)
		for id, s := range f.open {
			// A caller on a silent connection is not told of the end.
			if s.address == h.address(8080) && !l.proc.isDead() && s.at.After(f.severed) {
				f.checker.CutOff(now, h.name, true, id)
			}
		}
	})
}

// logs reads the host's log.
type logs struct {
	h *host
	l *life
}

func (l logs) Write(line []byte) (int, error) {
	var e struct {
		Event    logger.Event `json:"event"`
		Version  uint64       `json:"version"`
		Requests []string     `json:"requests"`
	}
	if json.Unmarshal(line, &e) != nil {
		return len(line), nil
	}
	switch e.Event {
	case logger.VersionInstalled:
		if e.Version > 1 {
			// The host holds locks while it logs.
			go l.h.fleet.reached(Install, l.l.proc)
		}
	case logger.WorkCutOff:
		l.h.fleet.tell(func(now time.Time) {
			l.h.fleet.checker.CutOff(now, l.h.name, l.l.planned && !l.l.proc.isDead(), e.Requests...)
		})
	}
	return len(line), nil
}

// client returns an HTTP client of a process. It opens a connection for each
// request, because http.Transport sends requests again on connections it
// reused.
func (p *process) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: p.Dial, DisableKeepAlives: true, DisableCompression: true}}
}

// operator returns a client of the host's operator API.
func (h *host) operator() *api.Client {
	c, err := api.NewClient("http://"+h.address(8081), api.WithClient(h.fleet.net.process("operator", h.place).client()))
	must(err)
	return c
}

// publish publishes a note on top of the host's version and returns whether it
// was accepted.
func (h *host) publish(n *noter.Note) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	op := h.operator()
	if n.ID != "first" {
		s, err := op.Status(ctx)
		if err != nil {
			return false
		}
		n.Base = uint64(s.Version)
	}
	raw, err := json.Marshal(n)
	must(err)
	var note api.Note
	if err := json.Unmarshal(raw, &note); err != nil {
		panic(err)
	}
	p, err := op.Publish(ctx, note)
	if err != nil {
		return false
	}
	h.fleet.tell(func(now time.Time) { h.fleet.checker.Accepted(now, uint64(p.Version), p.Chain) })
	return true
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

// attempts sends the requests of a caller and feeds the checker with each of
// them. The caller repeats what did not run, each time with a new id.
type attempts struct {
	fleet *fleet
	next  http.RoundTripper
}

func (a attempts) RoundTrip(r *http.Request) (*http.Response, error) {
	f := a.fleet
	var at *process
	for _, h := range f.hosts {
		if h.address(8080) == r.URL.Host {
			at = h.current().proc
		}
	}
	if strings.HasPrefix(r.URL.Path, "/v1/lookup/") {
		f.reached(Lookup, at)
		return a.next.RoundTrip(r)
	}
	for _, s := range []Step{Admission, RegionChoice, UpstreamChoice} {
		f.reached(s, at)
	}
	r = r.Clone(r.Context())
	var id string
	f.tell(func(now time.Time) {
		f.next++
		id = fmt.Sprintf("q%d", f.next)
		f.open[id] = sent{r.URL.Host, now}
		f.checker.Sent(checker.Sent{At: now, ID: id, Service: "shop", Customer: r.Header.Get("Customer"), Key: r.Header.Get("Idempotency-Key"), Once: r.Method == http.MethodPost})
	})
	r.Header.Set("Request-Id", id)
	resp, err := a.next.RoundTrip(r)
	answer := checker.Answered{ID: id, Broken: err != nil}
	if err != nil {
		// A refused dial did not run.
		if op := new(net.OpError); asDial(err, &op) {
			answer.Outcome = "not-run"
		}
		f.answer(answer)
		return nil, err
	}
	answer.Status, answer.Outcome, answer.Echo = resp.StatusCode, resp.Header.Get("Outcome"), resp.Header.Get("Request-Id")
	if want := resp.Header.Get("Repr-Digest"); want != "" && resp.StatusCode == http.StatusOK {
		answer.Want = want
	}
	resp.Body = &body{ReadCloser: resp.Body, f: f, at: at, answer: answer, hash: sha256.New(), download: strings.Contains(r.URL.Path, "/file")}
	return resp, nil
}

func (f *fleet) answer(a checker.Answered) {
	f.tell(func(now time.Time) {
		a.At = now
		delete(f.open, a.ID)
		f.answered[fmt.Sprint(a.Status, " ", a.Outcome, " ", a.Broken)]++
		f.checker.Answered(a)
	})
}

type hash interface {
	io.Writer
	Sum(b []byte) []byte
}

// body reads an answer and feeds the checker with its end.
type body struct {
	io.ReadCloser
	f        *fleet
	at       *process
	answer   checker.Answered
	hash     hash
	download bool
	done     bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	_, _ = b.hash.Write(p[:n])
	if n > 0 && err == nil && b.download {
		b.f.reached(AnswerStreaming, b.at)
	}
	if err != nil {
		b.end(err != io.EOF)
	}
	return n, err
}

func (b *body) Close() error {
	b.end(true)
	return b.ReadCloser.Close()
}

func (b *body) end(broken bool) {
	if b.done {
		return
	}
	b.done, b.answer.Broken = true, broken
	if b.answer.Want != "" {
		b.answer.Digest = digestField(b.hash.Sum(nil))
	}
	b.f.answer(b.answer)
}

// entries is the platform's list of hosts.
func (f *fleet) entries(leaving string) []adapter.Entry {
	var out []adapter.Entry
	for _, h := range f.hosts {
		e := adapter.Entry{Name: h.name, Address: h.address(8082), Zone: h.place.Zone, State: "live"}
		if h.name == leaving {
			e.State = "leaving"
		}
		out = append(out, e)
	}
	return out
}

// traffic sends the requests of one caller until ctx ends: a look-up every
// 200 ms, an order every 500 ms, a download every 3 s and a burst every 4 s.
func (f *fleet) traffic(ctx context.Context, i int) {
	p := f.net.process("client", delayer.Place{Region: regions[i], Zone: regions[i] + "-a", Client: true})
	seeds := []string{f.hosts[i].address(8080), f.hosts[(i+1)%3].address(8080)}
	c := caller.New(seeds, attempts{f, p.client().Transport})
	for n := 0; ctx.Err() == nil; n++ {
		if n%2 == 0 {
			f.wg.Go(func() { f.send(c, http.MethodGet, fmt.Sprintf("/price/%d", n%7), "") })
		}
		if n%5 == 0 {
			f.order(c, i, n)
		}
		if n%30 == 7 {
			f.wg.Go(func() { f.send(c, http.MethodGet, fmt.Sprintf("/file/%d?size=200000&rate=40000", n), "") })
		}
		if n%40 == 13 {
			for range 24 {
				f.wg.Go(func() { f.send(c, http.MethodGet, "/price/1", "") })
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// order sends the n-th order of caller i: every second one with a key, and every
// fourth twice, as an application that repeats it while the first is under way.
func (f *fleet) order(c *caller.Caller, i, n int) {
	key := ""
	if n%10 == 0 {
		key = fmt.Sprintf("k%d-%d", i, n)
	}
	f.wg.Go(func() { f.send(c, http.MethodPost, "/order", key) })
	if n%20 == 0 {
		f.wg.Go(func() { f.send(c, http.MethodPost, "/order", key) })
	}
}

func (f *fleet) send(c *caller.Caller, method, path, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var payload io.Reader
	if method == http.MethodPost {
		payload = strings.NewReader("order")
	}
	r, err := http.NewRequestWithContext(ctx, method, path, payload)
	must(err)
	r.Header.Set("Customer", []string{"stays", "refuses"}[len(path)%2])
	if !strings.HasPrefix(path, "/file") {
		r.Header.Set("Request-Timeout", "2s")
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.Do("shop", r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func digestField(sum []byte) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum) + ":"
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
