// Package conductor runs one entry host on a platform that keeps routes and
// upstreams in its store: it builds the parts, joins them, opens the listeners
// and ends everything in order.
package conductor

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/linker"
	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/apportioner"
	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recoverer"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/internal/process/surveyor"
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
	"dandeliontrack.example/dandeliontrack/internal/process/watchdog"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/steerer"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// Settings describe one host and the bounds that its operator set.
type Settings struct {
	Name   string
	Zone   string
	Region string
	Zones  map[string]string // zone to region

	CallerAddress    string // address for callers
	ReadinessAddress string // address of the readiness check
	LookupAddress    string // address for look-ups of hosts
	MetricsAddress   string // address of the metrics, "" for none
	PeerAddress      string // address for other hosts
	Seeds            []string

	LookupTTL       time.Duration // of a look-up's answer
	StopGracePeriod time.Duration // from the signal to stop until the process is killed
	RetryBudget     budgeter.Limit
	MaxShift        float64 // largest part of the requests that changes region within ShiftSpan
	ShiftWindow     time.Duration
	ColdLimit       throttler.Limit
	CPUShare        float64 // of a processor
	MemoryLimit     int64   // limit of the process in bytes, 0 for none
}

// step returns the largest part of the requests that plans move within a second.
func (s *Settings) step() float64 { return shiftPart * s.MaxShift / s.ShiftWindow.Seconds() }

// Host is what a host says of itself in the store.
type Host struct {
	Name string
	Peer string // address for other hosts
}

// Platform is the users' platform.
type Platform interface {
	follower.Source
	steerer.Dialect
	// UpstreamTable and Operator name the tables with registrations and with what
	// the operator wrote.
	UpstreamTable() string
	OperatorTable() string
	// Registration reads a row of the table of upstreams.
	ParseRegistration(row follower.Row) (registrar.Registration, error)
	// SameRegistration reports whether two registrations differ only in what
	// shows that their upstream lives.
	SameRegistration(old, changed []byte) bool
	// Configuration reads a row of the operator's table; without an error, ok
	// says whether the row holds a configuration.
	ParseConfiguration(row follower.Row) (t *matcher.Table, ok bool, err error)
	// Evacuation returns the zone that a row of the operator's table evacuates.
	EvacuatedZone(key string) (zone string, ok bool)
	// Announce records the host in the store, Hosts returns those recorded.
	Announce(ctx context.Context, h Host) error
	Hosts(ctx context.Context) ([]Host, error)
	// Lookups returns the handler of look-ups, Readiness of readiness checks.
	LookupHandler(find func(zone, region string) []string, lifetime func() time.Duration) http.Handler
	ReadinessHandler(ready func() bool) http.Handler
}

// Conductor is one host.
type Conductor struct {
	settings Settings
	platform Platform
	log      logger.Logger
	regions  []string

	meter     *meter.Meter
	recoverer *recoverer.Recoverer
	watchdog  *watchdog.Watchdog
	linker    *linker.Linker
	gossiper  *gossiper.Gossiper
	registrar *registrar.Registrar
	surveyor  *surveyor.Surveyor
	plan      *apportioner.Apportioner
	budget    *budgeter.Budgeter
	throttler *throttler.Throttler
	ranker    *ranker.Ranker
	sender    *sender.Sender
	acceptor  *acceptor.Acceptor
	followers map[string]*follower.Follower

	table   atomic.Pointer[matcher.Table]
	stopped atomic.Bool
	told    atomic.Bool // readiness was logged

	view    atomic.Pointer[view]
	changes atomic.Int64 // of the membership

	reader  atomic.Bool // this host reads the store for others
	readers atomic.Pointer[[]string]
	born    time.Time
	met     atomic.Int64 // when another host answered last, in nanoseconds since born
	turn    int          // of the exchange; used by one goroutine
	opened  sync.Map     // address of a host to the time that a connection took

	lifetime atomic.Int64 // of a look-up's answer, in nanoseconds
	grace    atomic.Int64 // in nanoseconds

	mu    sync.Mutex
	seeds []string
}

// New builds a host without opening a socket.
func New(s Settings, p Platform, log logger.Logger) (*Conductor, error) {
	c := &Conductor{settings: s, platform: p, log: log, meter: meter.New(), seeds: s.Seeds}
	for _, region := range s.Zones {
		if !slices.Contains(c.regions, region) {
			c.regions = append(c.regions, region)
		}
	}
	slices.Sort(c.regions)
	c.lifetime.Store(int64(s.LookupTTL))
	c.grace.Store(int64(s.StopGracePeriod))
	c.born = time.Now()
	c.watchdog = watchdog.New(nil)
	c.recoverer = recoverer.New(log, c.meter)
	now := time.Now()
	var err error
	if c.linker, err = linker.New(loader.Peer{Listen: s.PeerAddress, Plain: true}, c.handle); err != nil {
		return nil, err
	}
	c.linker.UseDial(c.dialHost)
	c.linker.UseGuard(c.recoverer.Do)
	c.gossiper = gossiper.New(c.self(now), c.linker, c.seedAddresses)
	c.gossiper.UseGuard(c.recoverer.Do)
	c.gossiper.OnChange(c.changed)
	c.throttler = throttler.New(s.Name, s.ColdLimit, now)
	c.registrar = registrar.New(s.Zones)
	c.registrar.OnLeave(c.leaves)
	c.surveyor = surveyor.New(s.Name, s.Region, now)
	c.plan = apportioner.New(slices.Index(c.regions, s.Region), s.step())
	c.budget = budgeter.New(s.RetryBudget, c.fleet)
	c.ranker = ranker.New(s.Region)
	c.sender = sender.New(sender.Options{
		Dial: dialer(upstreamSilence).DialContext, DialTimeout: openWithin, IdleTimeout: idleWithin, Match: c.match,
	})
	c.meter.SetFunc(meter.Dials, c.sender.DialCount)
	memory := reserver.New(int64(bodyShare * float64(s.MemoryLimit)))
	c.meter.SetFunc(meter.BodyBytes, memory.Used)
	st := steerer.New(steerer.Options{
		Dialect: p, Table: c.table.Load, Regions: c.regions, Plan: c, ColdRate: c.coldRate,
		Upstreams: c.registrar, Ranker: c.ranker, Budget: c.budget, Sender: c.sender,
		Memory: memory, Guard: c.recoverer.Do, Watchdog: c, Log: log, Meter: c.meter,
	})
	c.acceptor = acceptor.New(acceptor.Options{
		Handler: st, Limits: c.limits, Concurrent: st.Repeatable, Memory: memory, Guard: c.recoverer.Do,
	})
	c.followers = map[string]*follower.Follower{
		p.UpstreamTable(): follower.New(p.UpstreamTable(), p, upstreamPeriod, c),
		p.OperatorTable(): follower.New(p.OperatorTable(), p, 0, c),
	}
	c.followers[p.UpstreamTable()].SetEquivalent(p.SameRegistration)
	for _, f := range c.followers {
		f.SetReadCondition(c.reads)
	}
	return c, nil
}

// match compares the ID of an answer with the one of its request.
func (c *Conductor) match(request, answer sender.Header) sender.Match {
	switch c.platform.RequestID(answer.(http.Header)) {
	case c.platform.RequestID(request.(http.Header)):
		return sender.MatchSame
	case "":
		return sender.MatchNoID
	default:
		return sender.MatchOther
	}
}

func (c *Conductor) limits() acceptor.Limits {
	t := c.table.Load()
	if t == nil {
		return acceptor.Limits{}
	}
	l := t.Limits()
	return acceptor.Limits{HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Run serves until ctx ends, and then stops gracefully: the host leaves the
// look-ups, serves callers with a cached look-up for a while, and lets every
// request in flight finish.
func (c *Conductor) Run(ctx context.Context) error {
	front, err := listenFront(c.settings.CallerAddress)
	if err != nil {
		c.log.Event(logger.ListenFailed).Err(err).Send()
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, life := errgroup.WithContext(life)
	g.Go(func() error { return c.acceptor.Serve(front) })
	if err := c.listen(life, g); err != nil {
		c.log.Event(logger.ListenFailed).Err(err).Send()
		return err
	}
	c.log.Event(logger.HostStarted).Str("caller", c.settings.CallerAddress).Str("zone", c.settings.Zone).Send()
	c.start(life, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			c.stop(life, front)
		case <-life.Done():
		}
		end()
		_ = front.Close()
		return c.linker.Close()
	})
	err = g.Wait()
	c.sender.Close()
	c.log.Event(logger.HostStopped).Send()
	return err
}

func listenFront(address string) (acceptor.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// listen opens the listeners other than the one for callers.
func (c *Conductor) listen(ctx context.Context, g *errgroup.Group) error {
	peers, err := net.Listen("tcp", c.settings.PeerAddress)
	if err != nil {
		return err
	}
	g.Go(func() error { return c.linker.Serve(peers) })
	lookups := c.platform.LookupHandler(c.find, func() time.Duration { return time.Duration(c.lifetime.Load()) })
	for address, h := range map[string]http.Handler{
		c.settings.ReadinessAddress: c.platform.ReadinessHandler(c.ready), c.settings.LookupAddress: lookups, c.settings.MetricsAddress: c.meter,
	} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: headerWithin, IdleTimeout: sideIdle}
		g.Go(func() error {
			if err := server.Serve(l); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	return nil
}

// start begins the work that goes on beside requests.
func (c *Conductor) start(ctx context.Context, g *errgroup.Group) {
	work := map[string]func(context.Context){
		"membership": c.gossiper.Run, "exchange": c.exchange, "tick": c.tick, "announce": c.announce, "heartbeat": c.heartbeat,
	}
	for table, f := range c.followers {
		work["table "+table] = f.Run
	}
	for place, run := range work {
		g.Go(func() error {
			c.recoverer.RunWithRestart(ctx, place, run)
			return nil
		})
	}
}

// ready reports whether the host takes new work.
func (c *Conductor) ready() bool {
	ready := !c.stopped.Load() && c.table.Load() != nil && len(c.registrar.Services()) > 0
	if ready && !c.told.Swap(true) {
		c.gossiper.SetReady(true)
		c.log.Event(logger.HostReady).Uint64("version", c.table.Load().Version()).Send()
	}
	return ready
}

// Reload puts changed settings in force: the lifetime of look-ups, the time for a
// stop and the limits over all hosts. Addresses and places need a new process.
// With an error, the settings in force stay.
func (c *Conductor) Reload(s Settings, err error) {
	if err != nil {
		c.log.Event(logger.SettingsRefused).Err(err).Send()
		return
	}
	c.lifetime.Store(int64(s.LookupTTL))
	c.grace.Store(int64(s.StopGracePeriod))
	c.budget.SetLimit(s.RetryBudget)
	c.throttler.SetLimit(s.ColdLimit)
	c.plan.SetShiftRate(s.step())
	c.log.Event(logger.SettingsReloaded).Dur("lifetime", s.LookupTTL).Dur("grace", s.StopGracePeriod).
		Float64("retries", s.RetryBudget.Ratio).Float64("shift", s.MaxShift).Float64("cold", s.ColdLimit.Factor).Send()
}

// linger returns how long a host that stops serves new requests: until callers with a
// cached look-up have a new one, and at most for a part of the time until it is killed.
// What Finish still accepts is within that time, so that the last request has as long
// as it was meant to have.
func linger(grace, lifetime time.Duration) time.Duration {
	most := time.Duration(stopLinger * float64(grace))
	return max(0, min(most, lifetime+toldWithin)-acceptor.ShutdownAcceptWindow)
}

// stop ends the work of the host in order.
func (c *Conductor) stop(ctx context.Context, front acceptor.Listener) {
	begun, grace := time.Now(), time.Duration(c.grace.Load())
	c.log.Event(logger.HostLeaving).Int("flight", c.acceptor.ActiveRequests()).Send()
	c.stopped.Store(true)
	c.gossiper.SetReady(false)
	c.acceptor.DisableKeepAlives()
	c.tellAll(ctx)
	sleeper.Sleep(ctx, linger(grace, time.Duration(c.lifetime.Load())))
	hard, cancel := context.WithDeadline(ctx, begun.Add(grace-stopMargin))
	defer cancel()
	c.acceptor.Shutdown(hard, front)
	if n := c.acceptor.ActiveRequests(); n > 0 {
		c.log.Event(logger.RequestsAborted).Int("count", n).Send()
	}
	c.meter.ObserveDrain(time.Since(begun))
	leave, done := context.WithTimeout(ctx, leaveWithin)
	defer done()
	c.gossiper.Leave(leave)
}
