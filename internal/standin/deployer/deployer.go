// Package deployer runs a whole deployment in one process on loopback: the
// stand-ins of the platform and of all upstreams, with their sizes and delays,
// and the entry hosts. It opens free ports, so several deployments can run at
// once. What happens is fed to a checker.
package deployer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/examples"
	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// The number of entry hosts.
const (
	DefaultHosts = 8
	MaxHosts     = 12
)

// Options say what a Deployer runs.
type Options struct {
	// Deployment is the name of a directory of examples.
	Deployment string
	// Hosts is the number of entry hosts; zero means DefaultHosts.
	Hosts int
	// Immediate leaves out the delays between places.
	Immediate bool
	// Lifetime is how long callers may use a look-up, and so how long a host
	// serves after its stop began; zero means the hosts' default.
	Lifetime time.Duration
	// Log receives the log lines of all hosts; nil discards them.
	Log io.Writer
	// Bounds are those of the checker; zero means checker.DefaultBounds.
	Bounds checker.Bounds
}

// Deployer is one deployment.
type Deployer struct {
	options     Options
	description *Description
	note        *noter.Note
	plan        *planner.Plan
	delayer     *delayer.Delayer
	platform    *platformer.Platformer
	workers     map[string]*worker.Worker
	hosts       []*Host
	listeners   map[string]net.Listener
	servers     []*http.Server
	background  errgroup.Group
	cancel      context.CancelFunc

	mu      sync.Mutex
	checker *checker.Checker
	regions map[string]*flight
	clients map[string]*http.Client
	plans   []*planner.Plan
}

// flight counts the requests at all upstreams of a region.
type flight struct{ now, peak int }

// Deployments returns the names of the deployments that can run.
func Deployments() []string { return []string{"sakdiphong", "campos"} }

// New reads the files of a deployment and opens no socket.
func New(o Options) (*Deployer, error) {
	if !slices.Contains(Deployments(), o.Deployment) {
		return nil, classifier.BadRequest.New("deployment %q is not known: use one of %v", o.Deployment, Deployments())
	}
	if o.Hosts == 0 {
		o.Hosts = DefaultHosts
	}
	if o.Hosts < 1 || o.Hosts > MaxHosts {
		return nil, classifier.BadRequest.New("%d hosts: use 1 to %d", o.Hosts, MaxHosts)
	}
	if o.Bounds == (checker.Bounds{}) {
		o.Bounds = checker.DefaultBounds
	}
	d := &Deployer{
		options:   o,
		platform:  new(platformer.Platformer),
		workers:   make(map[string]*worker.Worker),
		listeners: make(map[string]net.Listener),
		checker:   checker.New(o.Bounds),
		regions:   make(map[string]*flight),
		clients:   make(map[string]*http.Client),
	}
	return d, d.read()
}

func (d *Deployer) read() error {
	raw, err := examples.FS.ReadFile(path.Join(d.options.Deployment, "stand-in.json"))
	if err != nil {
		return classifier.Internal.Wrap(err, "examples")
	}
	if d.description, err = Describe(raw); err != nil {
		return err
	}
	if d.note, err = d.Note("first"); err != nil {
		return err
	}
	if d.plan, err = new(planner.Plan).Apply(d.note); err != nil {
		return err
	}
	delays := delayer.Delays{
		Zone:   time.Duration(d.description.Delays.Zone),
		Region: time.Duration(d.description.Delays.Region),
		Client: time.Duration(d.description.Delays.Client),
	}
	if d.options.Immediate {
		delays = delayer.Delays{}
	}
	d.delayer = delayer.New(delays)
	return nil
}

// Note returns a release note of the deployment's examples by its file name.
func (d *Deployer) Note(name string) (*noter.Note, error) {
	f, err := examples.FS.Open(path.Join(d.options.Deployment, name+".json"))
	if err != nil {
		return nil, classifier.NotFound.Wrap(err, "examples")
	}
	defer f.Close()
	return noter.Read(f)
}

// Name returns the name of the deployment.
func (d *Deployer) Name() string { return d.options.Deployment }

// Plan returns the first version of the configuration, with the addresses that
// are in use once Start has returned.
func (d *Deployer) Plan() *planner.Plan { return d.plan }

// Platform returns the stand-in of the platform.
func (d *Deployer) Platform() *platformer.Platformer { return d.platform }

// PlatformAddress returns where the stand-in of the platform listens.
func (d *Deployer) PlatformAddress() string { return d.description.Platform }

// Network returns the delays between places, to cut and silence them.
func (d *Deployer) Network() *delayer.Delayer { return d.delayer }

// Worker returns the stand-in of an upstream, or nil.
func (d *Deployer) Worker(name string) *worker.Worker { return d.workers[name] }

// Hosts returns the entry hosts.
func (d *Deployer) Hosts() []*Host { return d.hosts }

// Check calls f with the checker, which must not be used otherwise.
func (d *Deployer) Check(f func(*checker.Checker)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.checker)
}

// Breaches returns the broken promises that were found so far.
func (d *Deployer) Breaches() []checker.Breach {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.checker.Breaches()
}

// Start starts everything and returns once every host has the first version in
// force. Stop has to be called even after an error.
func (d *Deployer) Start(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.startPlatform(); err != nil {
		return err
	}
	if err := d.startWorkers(); err != nil {
		return err
	}
	if err := d.makeHosts(); err != nil {
		return err
	}
	first := d.hosts[0]
	if err := first.start(ctx); err != nil {
		return err
	}
	if err := d.publishFirst(ctx, first); err != nil {
		return err
	}
	g, gctx := errgroup.WithContext(ctx)
	for _, h := range d.hosts[1:] {
		g.Go(func() error { return h.start(gctx) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	d.background.Go(func() error {
		d.sample(background)
		return nil
	})
	return d.WaitVersion(ctx, 1)
}

// publishFirst publishes the first version, again while the host that just
// started is not ready to.
func (d *Deployer) publishFirst(ctx context.Context, h *Host) error {
	for {
		_, err := d.Publish(ctx, h, d.note)
		var refusal *api.RefusalStatusCode
		if !errors.As(err, &refusal) || refusal.Response.Kind != classifier.NotReady.String() {
			return err
		}
		select {
		case <-ctx.Done():
			return classifier.NotReady.Wrap(ctx.Err(), "host "+h.Name())
		case <-time.After(poll):
		}
	}
}

// Stop stops the hosts gracefully, then the stand-ins. At the end of ctx the
// rest is left to the end of the process.
func (d *Deployer) Stop(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	for _, h := range d.hosts {
		g.Go(func() error { return h.Stop(gctx) })
	}
	err := g.Wait()
	if d.cancel != nil {
		d.cancel()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	// The servers have to be closed first; each returns an error of its own.
	_ = d.background.Wait()
	d.mu.Lock()
	for _, l := range d.listeners {
		_ = l.Close()
	}
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	d.mu.Unlock()
	return err
}

// free opens a listener on a free port of the IP address in address, and
// returns its address.
func (d *Deployer) free(address string) (string, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", classifier.Invalid.Wrap(err, "listen")
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", classifier.Invalid.Wrap(err, "listen")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// listen returns the listener that free has opened, once. Later calls, such as
// those of a host that starts again, open the address anew.
func (d *Deployer) listen(network, address string) (net.Listener, error) {
	d.mu.Lock()
	l, ok := d.listeners[address]
	delete(d.listeners, address)
	d.mu.Unlock()
	if ok {
		return l, nil
	}
	return net.Listen(network, address)
}

// serve runs a stand-in on a free port of the address's IP.
func (d *Deployer) serve(address string, s *http.Server, p delayer.Place) (string, error) {
	address, err := d.free(address)
	if err != nil {
		return "", err
	}
	l, err := d.listen("tcp", address)
	if err != nil {
		return "", classifier.Invalid.Wrap(err, "listen")
	}
	d.delayer.SetPlace(address, p)
	d.servers = append(d.servers, s)
	d.background.Go(func() error { return s.Serve(l) })
	return address, nil
}

func (d *Deployer) place(zone string) delayer.Place {
	p := delayer.Place{Zone: zone}
	if r := d.plan.RegionOfZone(zone); r != nil {
		p.Region = r.Name()
	}
	return p
}

func (d *Deployer) startPlatform() error {
	var err error
	d.platform.SetFaults(d.description.Faults)
	s := &http.Server{Handler: d.platform, ReadHeaderTimeout: 5 * time.Second}
	d.description.Platform, err = d.serve(d.description.Platform, s, d.place(d.description.Zone))
	return err
}

// startWorkers starts the upstreams that both the stand-in file and the release
// note name, and writes their addresses into the note.
func (d *Deployer) startWorkers() error {
	described := make(map[string]worker.Settings)
	for _, u := range d.description.Upstreams {
		described[u.Name] = u.Settings
	}
	ups := d.note.Added.Upstreams
	for i, u := range ups {
		s, ok := described[u.Name]
		if !ok || s.Slots != u.Slots {
			return invalid("upstream %q: the stand-in file and the release note differ: describe it in both with the same slots", u.Name)
		}
		w := worker.NewFrom(s)
		w.OnRun(func(r worker.Run) {
			d.Check(func(c *checker.Checker) {
				c.Ran(checker.Ran{At: r.At, Upstream: r.Upstream, ID: r.Request, Key: r.Key})
			})
		})
		w.OnFlight(d.counter(u))
		address, err := d.serve(u.Address, w.Server(), d.place(u.Zone))
		if err != nil {
			return err
		}
		ups[i].Address = address
		d.workers[u.Name] = w
	}
	var err error
	d.plan, err = new(planner.Plan).Apply(d.note)
	return err
}

// counter feeds the requests in flight at an upstream and in its region.
func (d *Deployer) counter(u noter.Upstream) func(int) {
	own := new(flight)
	region, limit := d.regions[u.Region], d.plan.Region(u.Region).Slots()
	if region == nil {
		region = new(flight)
		d.regions[u.Region] = region
	}
	add := func(f *flight, delta int, kind, name string, limit int) {
		f.now += delta
		// Only a new peak is fed, so that one overload is one breach.
		if f.now > f.peak {
			f.peak = f.now
			d.checker.Flight(checker.Flight{At: time.Now(), Kind: kind, Name: name, Count: f.now, Limit: limit})
		}
	}
	return func(delta int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		add(own, delta, "upstream", u.Name, u.Slots)
		add(region, delta, "region", u.Region, limit)
	}
}

// makeHosts reads the settings of the hosts and gives them free ports.
func (d *Deployer) makeHosts() error {
	entries := d.description.Hosts
	if len(entries) < d.options.Hosts {
		return invalid("field \"hosts\" lists %d hosts, %d are to run", len(entries), d.options.Hosts)
	}
	entries = entries[:d.options.Hosts]
	addresses := make(map[string]string)
	for i, e := range entries {
		h, err := d.makeHost(e.Name, addresses)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		entries[i].Address = h.settings.Peer.Listen
	}
	for _, h := range d.hosts {
		seeds := h.settings.Seeds
		h.settings.Seeds = nil
		for _, seed := range seeds {
			if address, ok := addresses[seed]; ok {
				h.settings.Seeds = append(h.settings.Seeds, address)
			}
		}
		if err := h.settings.Check(); err != nil {
			return classifier.Of(err).Wrap(err, fmt.Sprintf("settings of %s", h.Name()))
		}
	}
	d.platform.SetHosts(entries)
	return nil
}

// SetHostState changes the state of a host in the platform's list.
func (d *Deployer) SetHostState(name, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := d.description.Hosts[:len(d.hosts)]
	for i := range entries {
		if entries[i].Name == name {
			entries[i].State = state
		}
	}
	// SetHosts copies the list.
	d.platform.SetHosts(entries)
}

// encode returns a note as the API takes it.
func encode[T any](n *noter.Note) (T, error) {
	var to T
	raw, err := n.Encode()
	if err != nil {
		return to, classifier.Internal.Wrap(err, "release note")
	}
	return to, classifier.Internal.Wrap(json.Unmarshal(raw, &to), "release note")
}
