package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/connection/linker"
	"dandeliontrack.example/dandeliontrack/internal/connection/pacer"
	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
	"dandeliontrack.example/dandeliontrack/internal/connection/reporter"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/claimer"
	"dandeliontrack.example/dandeliontrack/internal/process/controller"
	"dandeliontrack.example/dandeliontrack/internal/process/drainer"
	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
	"dandeliontrack.example/dandeliontrack/internal/process/granter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/prober"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/process/snapshotter"
	"dandeliontrack.example/dandeliontrack/internal/process/spreader"
	"dandeliontrack.example/dandeliontrack/internal/process/weigher"
	"dandeliontrack.example/dandeliontrack/internal/request/admitter"
	"dandeliontrack.example/dandeliontrack/internal/request/finder"
	"dandeliontrack.example/dandeliontrack/internal/request/forwarder"
	"dandeliontrack.example/dandeliontrack/internal/request/retrier"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// parts are what one host consists of.
type parts struct {
	settings *loader.Settings
	log      logger.Logger
	store    *adapter.Adapter
	began    time.Time
	storeUp  atomic.Bool

	holder      *holder.Holder
	publisher   *publisher.Publisher
	snapshotter *snapshotter.Snapshotter
	spreader    *spreader.Driver
	linker      *linker.Linker
	gossiper    *gossiper.Gossiper
	granter     *granter.Granter
	claimer     *claimer.Claimer
	shifter     *shifter.Shifter
	gauger      *gauger.Gauger
	weigher     *weigher.Weigher
	prober      *prober.Prober
	pool        *pool.Pool
	pacer       *pacer.Pacer
	admitter    *admitter.Admitter
	routers     [planner.ClassCount]*router.Router // by class
	retrier     *retrier.Retrier
	finder      *finder.Finder
	drainer     *drainer.Drainer
	recorder    *recorder.Recorder
	meter       *meter.Meter

	addresses map[string]bool // of the upstreams in force, used by the holder's hook only
	snapshots chan *planner.Plan
	dirty     chan struct{} // has a token when refreshHosts is due

	mu     sync.Mutex
	read   bool                 // the list has been read
	seen   map[string]time.Time // first sight of each ready host
	listed []adapter.HostEntry  // the platform's list of hosts
}

func newParts(s *loader.Settings, log logger.Logger, n network) (*parts, error) {
	now := time.Now()
	transport := func() *reporter.Transport {
		return reporter.New(&http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute})
	}
	count := meter.New()
	store := adapter.New(s.Platform.Table, s.Platform.Objects, s.Platform.Hosts, time.Duration(s.Platform.Timeout), storeCounter{transport(), count})
	p := &parts{
		settings: s, log: log, store: store, began: now,
		holder: new(holder.Holder), shifter: shifter.New(now), gauger: gauger.New(now),
		pacer: new(pacer.Pacer), admitter: admitter.New(s.Limits.MaxQueued), retrier: retrier.New(),
		finder: new(finder.Finder), drainer: drainer.New(), recorder: recorder.New(), meter: count,
		snapshotter: snapshotter.New(store), seen: make(map[string]time.Time), dirty: make(chan struct{}, 1), snapshots: make(chan *planner.Plan, 1),
	}
	var err error
	if p.linker, err = linker.New(s.Peer, p.handle); err != nil {
		return nil, err
	}
	p.linker.UseDial(n.dial)
	p.pool = pool.New(pool.Options{Dial: n.dial, Headers: int64(s.Limits.MaxHeaderBytes), Events: connectionEvents{p}})
	p.publisher = publisher.New(store, p.holder)
	self := &framer.Member{
		Name: s.Name, Address: s.Peer.Listen, Caller: s.Caller.Listen, Operator: s.Operator.Listen,
		Region: s.Region, Zone: s.Zone, Incarnation: uint64(now.UnixNano()),
	}
	p.gossiper = gossiper.New(self, p.linker, p.seeds)
	p.spreader = spreader.NewDriver(s.Name, s.Peer.Listen, p.holder, p.gossiper, p.publisher, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	p.spreader.UseLogger(log)
	p.publisher.UsePeers(p.spreader)
	p.publisher.UseSnapshots(p.snapshotter)
	p.granter = granter.New(granter.Options{
		Self:  allotter.Identity{Address: s.Peer.Listen, Host: s.Name, Incarnation: self.Incarnation},
		Store: store, Caller: p.gossiper, Peers: p.peers, Expected: p.expected, Slots: slots{p.admitter, p.pool}, Links: p.pacer, Log: log,
		OnReady: func() { p.meet(drainer.SharesGranted) },
		OnLoan:  func() { count.Add(meter.Loans, 1) },
	})
	p.claimer = claimer.New(store, writes{p.pacer}, s.Name)
	p.weigher = weigher.New(p.shifter, p.gauger, store, p.gossiper, p.peers)
	p.prober = prober.New(transport(), p.gauger, func(upstream string) { p.tellLeaving(upstream, gauger.HealthSign) })
	for class := range p.routers {
		units := capacity{p.admitter, planner.Class(class)}
		p.routers[class] = router.New(units, weights{p.shifter}, p.gauger, router.Location{Region: s.Region, Zone: s.Zone})
	}
	count.SetFunc(meter.Dials, func() int64 { return p.pool.Counts().Dials })
	count.SetFunc(meter.PeerMessages, func() int64 { return int64(p.linker.Counts().MessagesOut) })
	count.SetFunc(meter.PeerBytes, func() int64 { return int64(p.linker.Counts().BytesOut) })
	p.holder.OnPrepare(p.prepare)
	p.holder.OnInstall(p.installed)
	p.gossiper.OnChange(p.changed)
	return p, nil
}

// handlers returns what callers and operators reach.
func (p *parts) handlers() (callers, operators http.Handler, err error) {
	server, err := api.NewServer(controller.New(controller.Parts{
		Settings: p.settings, Holder: p.holder, Publisher: p.publisher, Members: p.gossiper, Finder: p.finder,
		Drainer: p.drainer, Recorder: p.recorder, Limits: []controller.Limits{p.admitter, linkFigures{p}},
		Shifter: p.shifter, Gauger: p.gauger, Flight: p.admitter.InFlight, Store: p.storeState, Log: p.log,
	}))
	if err != nil {
		return nil, nil, classifier.Internal.Wrap(err, "API server")
	}
	b := bridge{p}
	forward := forwarder.New(p.holder, p.pool, forwarder.Options{
		HostName: p.settings.Name, Region: p.settings.Region, MaxBodyBytes: p.settings.Limits.MaxBodyBytes,
		Chooser: b, Admitter: b, Budget: b, Observer: b, Pacer: p.pacer, Claims: claims{p.claimer, p.meter}, Recorder: b,
	})
	// Callers reach look-ups only; control is for the operators' listener.
	lookups := http.NewServeMux()
	lookups.Handle("/v1/lookup/", controller.WithRemote(server))
	front := forward.WithFallback(lookups)
	back := http.NewServeMux()
	back.Handle("/v1/", controller.WithRemote(server))
	back.Handle("/debug/vars", p.meter)
	return p.counted(front), back, nil
}

// counted lets forwarded requests in and out of the host's life cycle.
func (p *parts) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, forwarder.PathPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		p.meter.Add(meter.Requests, 1)
		if err := p.drainer.BeginRequest(time.Now()); err != nil {
			p.meter.CountRefusal(classifier.Of(err).String())
			forwarder.WriteError(w, r.Header.Get("Request-Id"), err)
			return
		}
		defer p.drainer.EndRequest()
		next.ServeHTTP(w, r)
	})
}

// start runs the parts until ctx ends.
func (p *parts) start(ctx context.Context, g *errgroup.Group) {
	plan, log := p.holder.Plan, p.log
	for _, run := range []func(context.Context){
		p.gossiper.Run, p.spreader.Run, p.granter.Run, p.claimer.Run, p.watchHosts, p.watchStart, p.refresh,
		func(ctx context.Context) { p.weigher.Run(ctx, plan) },
		func(ctx context.Context) {
			p.snapshotter.Run(ctx, p.snapshots, p.settings.Name, p.memberNames, func(err error) {
				log.Event(logger.StoreFailed).Err(err).Send()
			})
		},
		func(ctx context.Context) { p.prober.Run(ctx, plan) },
	} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
}

// prepare makes a plan known to the parts that decide on requests.
func (p *parts) prepare(plan *planner.Plan) {
	now := time.Now()
	p.gauger.Install(plan, now)
	p.shifter.Install(plan, now)
	for _, r := range p.routers {
		r.Install(plan)
	}
	p.retrier.Prune(plan)
	p.granter.Install(plan)
}

// installed follows a plan that is in force.
func (p *parts) installed(plan *planner.Plan) {
	p.gossiper.SetVersion(plan.Version())
	p.meter.Add(meter.Installs, 1)
	p.scheduleRefresh()
	p.log.Event(logger.VersionInstalled).Uint64("version", plan.Version()).Str("id", plan.ID()).Send()
	p.dropUpstreams(plan)
	select {
	case p.snapshots <- plan:
	default:
		// A snapshot is being written; the next version makes up for this one.
	}
}

// dropUpstreams closes the connections to upstreams that the plan no longer has.
func (p *parts) dropUpstreams(plan *planner.Plan) {
	now := make(map[string]bool, len(plan.Upstreams()))
	for _, u := range plan.Upstreams() {
		now[u.Address()] = true
	}
	for address := range p.addresses {
		if !now[address] {
			p.pool.Remove(address)
		}
	}
	p.addresses = now
}

func (p *parts) meet(c drainer.Condition) {
	if p.drainer.SetMet(c) {
		p.gossiper.SetReady(true)
		p.scheduleRefresh()
		p.log.Event(logger.HostReady).Send()
	}
}

// watchStart tells when the conditions of the start hold.
func (p *parts) watchStart(ctx context.Context) {
	poll(ctx, 1<<62, func() bool {
		if p.spreader.Ready() && p.holder.Plan().Version() > 0 {
			p.meet(drainer.PlanInstalled)
		}
		if p.shifter.Ready() {
			p.meet(drainer.ShiftLoaded)
		}
		return p.drainer.State() != drainer.Starting
	})
}

func (p *parts) storeState() string {
	if p.storeUp.Load() {
		return "up"
	}
	return "down"
}
