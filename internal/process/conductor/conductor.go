// Package conductor runs one entry host on a platform that keeps routes and upstreams in
// its store. It constructs and connects the components, opens the listeners, runs the
// background loops and stops the host gracefully.
package conductor

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/linker"
	"dandeliontrack.example/dandeliontrack/internal/connection/listener"
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
	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/request/steerer"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// Settings describes one host and the limits that its operator set.
type Settings struct {
	Name   string
	Zone   string
	Region string
	Zones  map[string]string // zone to region

	CallerAddress    string // address for callers
	ReadinessAddress string // address of the readiness check
	LookupAddress    string // address for lookups of hosts
	MetricsAddress   string // address of the metrics, "" for none
	PeerAddress      string // address for other hosts
	Seeds            []string

	LookupTTL       time.Duration  // how long callers may cache a lookup response
	StopGracePeriod time.Duration  // from the stop signal until the process is killed
	RetryBudget     budgeter.Limit // limit of retries and hedges
	MaxShift        float64        // maximum fraction of the requests that changes region within ShiftWindow
	ShiftWindow     time.Duration
	ColdLimit       throttler.Limit  // limit of requests to cold upstreams
	Quota           limiter.Settings // how far all hosts together may exceed the quotas of client accounts
	CPUShare        float64          // in processors
	MemoryLimit     int64            // limit of the process in bytes, 0 for none
}

// maxShiftPerSecond returns the maximum fraction of the requests that traffic plans move
// between regions per second.
func (s *Settings) maxShiftPerSecond() float64 {
	return planShiftFraction * s.MaxShift / s.ShiftWindow.Seconds()
}

// Host is the entry of a host in the store. The field names are stored.
type Host struct {
	Name string
	Peer string // address for other hosts
}

// Platform is the adapter for the platform on which the host runs.
type Platform interface {
	follower.Source
	steerer.Dialect
	// UpstreamTable and OperatorTable return the names of the tables with the
	// registrations of upstreams and with the rows that the operator writes.
	UpstreamTable() string
	OperatorTable() string
	// ParseRegistration parses a row of the table of upstreams.
	ParseRegistration(row follower.Row) (registrar.Registration, error)
	// SameRegistration reports whether two row values describe the same registration,
	// apart from fields that change with each heartbeat of the upstream.
	SameRegistration(old, changed []byte) bool
	// ParseConfiguration parses a row of the operator's table. Without an error, ok
	// reports whether the row holds a configuration.
	ParseConfiguration(row follower.Row) (t *matcher.Table, ok bool, err error)
	// EvacuatedZone returns the availability zone that the row with the given key of the
	// operator's table evacuates. ok is false for other rows.
	EvacuatedZone(key string) (zone string, ok bool)
	// Announce records a host in the store. Hosts returns the recorded hosts.
	Announce(ctx context.Context, h Host) error
	Hosts(ctx context.Context) ([]Host, error)
	// LookupHandler returns the handler of lookups, ReadinessHandler that of readiness
	// checks.
	LookupHandler(findHosts func(zone, region string) []string, ttl func() time.Duration) http.Handler
	ReadinessHandler(ready func() bool) http.Handler
}

// Conductor runs one host.
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
	limiter   *limiter.Limiter
	ranker    *ranker.Ranker
	sender    *sender.Sender
	acceptor  *acceptor.Acceptor
	followers map[string]*follower.Follower

	table          atomic.Pointer[matcher.Table]
	installedValue []byte // of the row with table; used in RowsChanged of the operator's table
	stopped        atomic.Bool
	readyLogged    atomic.Bool // whether readiness was announced and logged

	view              atomic.Pointer[view]
	membershipChanges atomic.Int64 // incremented to invalidate the view

	flowShares atomic.Pointer[map[string][]float64] // by service, in the order of regions

	readsStore      atomic.Bool // whether this host reads the store for its region
	readerAddresses atomic.Pointer[[]string]
	started         time.Time
	lastContact     atomic.Int64    // time of the last response of another host, in nanoseconds since started
	syncCount       int             // calls of syncPartner; used by one goroutine
	limitedAccounts map[string]bool // accounts whose quota was reached; used by tickLoop
	dialTimes       sync.Map        // time that a connection to a host took, by address

	lookupTTL       atomic.Int64 // in nanoseconds
	stopGracePeriod atomic.Int64 // in nanoseconds

	mu    sync.Mutex
	seeds []string
}

// New returns a Conductor for a host. It opens no sockets.
func New(s Settings, p Platform, log logger.Logger) (*Conductor, error) {
	c := &Conductor{settings: s, platform: p, log: log, meter: meter.New(), seeds: s.Seeds}
	for _, region := range s.Zones {
		if !slices.Contains(c.regions, region) {
			c.regions = append(c.regions, region)
		}
	}
	slices.Sort(c.regions)
	c.lookupTTL.Store(int64(s.LookupTTL))
	c.stopGracePeriod.Store(int64(s.StopGracePeriod))
	c.started = time.Now()
	c.watchdog = watchdog.New(nil)
	c.recoverer = recoverer.New(log, c.meter)
	now := time.Now()
	var err error
	if c.linker, err = linker.New(loader.Peer{Listen: s.PeerAddress, Plain: true}, c.handleEnvelope); err != nil {
		return nil, err
	}
	c.linker.UseDial(c.dialPeer)
	c.linker.UseGuard(c.recoverer.Do)
	c.linker.OnAcceptError(c.logAcceptError)
	c.gossiper = gossiper.New(c.selfMember(now), c.linker, c.seedAddresses)
	c.gossiper.UseGuard(c.recoverer.Do)
	c.gossiper.OnChange(c.memberChanged)
	c.throttler = throttler.New(s.Name, s.ColdLimit, now)
	c.limiter = limiter.New(s.Name, s.Quota, now)
	c.meter.SetValues(meter.QuotaUse, c.quotaUse)
	c.registrar = registrar.New(s.Zones)
	c.registrar.OnLeave(c.upstreamLeaving)
	c.surveyor = surveyor.New(s.Name, s.Region, now)
	c.plan = apportioner.New(slices.Index(c.regions, s.Region), s.maxShiftPerSecond())
	c.budget = budgeter.New(s.RetryBudget, c.fleetSize, now)
	c.ranker = ranker.New(s.Region)
	c.sender = sender.New(sender.Options{
		Dial: newDialer(upstreamAckTimeout, upstreamReceiveBytes).DialContext, DialTimeout: upstreamDialTimeout, IdleTimeout: upstreamIdleTimeout, Match: c.matchResponse,
	})
	c.meter.SetFunc(meter.Dials, c.sender.DialCount)
	memory := reserver.New(int64(bodyMemoryFraction * float64(s.MemoryLimit)))
	streams := reserver.New(int64(streamMemoryFraction * float64(s.MemoryLimit)))
	c.meter.SetFunc(meter.BodyBytes, memory.Used)
	c.meter.SetFunc(meter.StreamBytes, streams.Used)
	requests := steerer.New(steerer.Options{
		Dialect: p, Table: c.table.Load, ConfigurationCurrent: c.configurationCurrent, Quotas: c.limiter, Regions: c.regions, Plan: c, ColdRate: c.coldRate, RateShare: c.rateShare,
		Upstreams: c.registrar, Ranker: c.ranker, Budget: c.budget, Sender: c.sender,
		Memory: memory, Streams: streams, StreamBytes: upstreamReceiveBytes, Guard: c.recoverer.Do, Watchdog: c, Log: log, Meter: c.meter,
	})
	c.acceptor = acceptor.New(acceptor.Options{
		Handler: requests, Limits: c.acceptorLimits, Concurrent: requests.Repeatable, BodyDeadline: requests.BodyDeadline, Memory: memory, Guard: c.recoverer.Do,
		AcceptFailed: c.logAcceptError,
	})
	c.followers = c.newFollowers()
	return c, nil
}

// newFollowers returns the followers of the tables that other programs write, by table. After a
// restoration of the store, a row of the operator takes effect at once: an evacuation that
// began again must not wait, and one that was taken back costs little until its writer repairs
// the store. An upstream that has left must not get requests again.
func (c *Conductor) newFollowers() map[string]*follower.Follower {
	upstreams := follower.New(c.platform.UpstreamTable(), c.platform, minUpstreamReadInterval, c)
	upstreams.SetEquivalent(c.platform.SameRegistration)
	upstreams.SetHoldBack(c.mayHaveLeft)
	operator := follower.New(c.platform.OperatorTable(), c.platform, 0, c)
	for _, f := range []*follower.Follower{upstreams, operator} {
		f.SetReadCondition(c.isReader)
	}
	return map[string]*follower.Follower{upstreams.Table(): upstreams, operator.Table(): operator}
}

// matchResponse compares the request ID of a response with that of its request.
func (c *Conductor) matchResponse(request, response sender.Header) sender.Match {
	switch c.platform.RequestID(response.(http.Header)) {
	case c.platform.RequestID(request.(http.Header)):
		return sender.MatchSame
	case "":
		return sender.MatchNoID
	default:
		return sender.MatchOther
	}
}

// configurationCurrent reports whether the store confirmed the configuration a short time ago.
func (c *Conductor) configurationCurrent() bool {
	confirmed, _ := c.followers[c.platform.OperatorTable()].ConfirmedSince(time.Now().Add(-maxConfigurationAge))
	return confirmed
}

func (c *Conductor) acceptorLimits() acceptor.Limits {
	t := c.table.Load()
	if t == nil {
		return acceptor.Limits{}
	}
	l := t.Limits()
	return acceptor.Limits{HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Run serves until ctx is done and then stops gracefully: the host is removed from
// lookups, accepts requests of callers with a cached lookup for a while, and completes
// the requests in flight as far as the stop grace period allows.
func (c *Conductor) Run(ctx context.Context) error {
	callers, err := listenCallers(c.settings.CallerAddress)
	if err != nil {
		c.log.Event(logger.ListenFailed).Err(err).Send()
		return err
	}
	runCtx, endRun := context.WithCancel(context.WithoutCancel(ctx))
	defer endRun()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return c.acceptor.Serve(callers) })
	if err := c.listenOthers(runCtx, g); err != nil {
		c.log.Event(logger.ListenFailed).Err(err).Send()
		return err
	}
	c.log.Event(logger.HostStarted).Str("caller", c.settings.CallerAddress).Str("zone", c.settings.Zone).Send()
	c.startLoops(runCtx, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			c.stop(runCtx, callers)
		case <-runCtx.Done():
		}
		endRun()
		_ = callers.Close()
		return c.linker.Close()
	})
	err = g.Wait()
	c.sender.Close()
	c.log.Event(logger.HostStopped).Int64("dropped", c.acceptor.DroppedRequests()).Err(err).Send()
	return err
}

func listenCallers(address string) (acceptor.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setReceiveBuffer(raw, callerReceiveBytes) // accepted connections inherit it
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// listenOthers opens all listeners except the one for callers.
func (c *Conductor) listenOthers(ctx context.Context, g *errgroup.Group) error {
	peers, err := net.Listen("tcp", c.settings.PeerAddress)
	if err != nil {
		return err
	}
	g.Go(func() error { return c.linker.Serve(peers) })
	lookups := c.platform.LookupHandler(c.lookupHosts, func() time.Duration { return time.Duration(c.lookupTTL.Load()) })
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
		c.serveAuxiliary(ctx, g, l, h)
	}
	return nil
}

// serveAuxiliary starts a server for readiness checks, lookups or metrics.
func (c *Conductor) serveAuxiliary(ctx context.Context, g *errgroup.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: auxiliaryHeaderTimeout, IdleTimeout: auxiliaryIdleTimeout}
	g.Go(func() error {
		if err := server.Serve(listener.New(l, c.logAcceptError)); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

// startLoops starts the background loops.
func (c *Conductor) startLoops(ctx context.Context, g *errgroup.Group) {
	loops := map[string]func(context.Context){
		"membership": c.gossiper.Run, "exchange": c.syncLoop, "tick": c.tickLoop, "announce": c.announce, "heartbeat": c.heartbeat,
	}
	for table, f := range c.followers {
		loops["table "+table] = f.Run
	}
	for name, run := range loops {
		g.Go(func() error {
			c.recoverer.RunWithRestart(ctx, name, run)
			return nil
		})
	}
}

// ready reports whether the host accepts new requests: it is not stopping, has a
// configuration and at least one registered upstream.
func (c *Conductor) ready() bool {
	ready := !c.stopped.Load() && c.table.Load() != nil && len(c.registrar.Services()) > 0
	if ready && !c.readyLogged.Swap(true) {
		c.gossiper.SetReady(true)
		c.log.Event(logger.HostReady).Uint64("version", c.table.Load().Version()).Send()
	}
	return ready
}

// Reload applies changed settings: the lookup TTL, the stop grace period and the limits
// that hold over all hosts. A change of addresses, region or zone requires a restart. If
// err is not nil, the settings stay as they are and the error is logged.
func (c *Conductor) Reload(s Settings, err error) {
	if err != nil {
		c.log.Event(logger.SettingsRefused).Err(err).Send()
		return
	}
	c.lookupTTL.Store(int64(s.LookupTTL))
	c.stopGracePeriod.Store(int64(s.StopGracePeriod))
	c.budget.SetLimit(s.RetryBudget)
	c.throttler.SetLimit(s.ColdLimit)
	c.limiter.SetSettings(s.Quota, time.Now())
	c.plan.SetShiftRate(s.maxShiftPerSecond())
	c.log.Event(logger.SettingsReloaded).Dur("lifetime", s.LookupTTL).Dur("grace", s.StopGracePeriod).
		Float64("retries", s.RetryBudget.Ratio).Float64("shift", s.MaxShift).Float64("cold", s.ColdLimit.Factor).Send()
}

// acceptDuration returns how long a stopping host accepts requests before it shuts the
// acceptor down: until cached lookups have expired, but at most for stopAcceptFraction of
// the grace period. It leaves out the time during which Shutdown still accepts requests,
// so that the last accepted request also has the rest of the grace period to complete.
func acceptDuration(gracePeriod, ttl time.Duration) time.Duration {
	limit := time.Duration(stopAcceptFraction * float64(gracePeriod))
	return max(0, min(limit, ttl+lookupRemovalTime)-acceptor.ShutdownAcceptWindow)
}

// stopDeadlines returns until when a host that handles the stop signal at begun accepts
// requests, and when it exits at the latest. The signal may have been sent at the start of a
// pause of the process that has just ended, so that the platform kills the process that much
// earlier. Then the host accepts requests for a shorter time, and still leaves those in
// flight as long as it may have.
func stopDeadlines(begun time.Time, pause, gracePeriod, ttl time.Duration) (acceptEnd, exit time.Time) {
	return begun.Add(acceptDuration(gracePeriod, ttl) - pause), begun.Add(gracePeriod - stopExitMargin)
}

// acceptUntil notifies other hosts and returns at the deadline, or when ctx is done. Other
// hosts may take long to respond.
func acceptUntil(ctx context.Context, deadline time.Time, notify func(context.Context)) {
	notify(ctx)
	sleeper.Sleep(ctx, time.Until(deadline))
}

// stop stops the host gracefully. It returns before the grace period ends, also if
// requests are still in flight.
func (c *Conductor) stop(ctx context.Context, callers acceptor.Listener) {
	begun, grace := time.Now(), time.Duration(c.stopGracePeriod.Load())
	pause, _ := c.watchdog.Heartbeat()
	c.log.Event(logger.HostLeaving).Int("flight", c.acceptor.ActiveRequests()).Dur("pause", pause).Send()
	c.stopped.Store(true)
	c.gossiper.SetReady(false)
	c.acceptor.DisableKeepAlives()
	acceptEnd, exit := stopDeadlines(begun, pause, grace, time.Duration(c.lookupTTL.Load()))
	acceptUntil(ctx, acceptEnd, c.notifyLeaving)
	shutdownCtx, cancel := context.WithDeadline(ctx, exit)
	defer cancel()
	c.acceptor.Shutdown(shutdownCtx, callers)
	if n := c.acceptor.ActiveRequests(); n > 0 {
		c.logAborted(n)
	}
	c.meter.ObserveDrain(time.Since(begun))
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	c.gossiper.Leave(leaveCtx)
}

// logAcceptError logs that a listener could not accept a connection.
func (c *Conductor) logAcceptError(err error) { c.log.Event(logger.AcceptFailed).Err(err).Send() }

// logAborted logs that the process ends with count requests in flight.
func (c *Conductor) logAborted(count int) {
	requests := zerolog.Arr()
	for _, u := range c.acceptor.UnfinishedRequests(maxLoggedRequests) {
		requests.Dict(zerolog.Dict().Str("request", c.platform.RequestID(u.Request.Header)).
			Dur("age", time.Since(u.Arrived)).Int("pipelined", u.Pipelined))
	}
	c.log.Event(logger.RequestsAborted).Int("count", count).Array("requests", requests).Send()
}
