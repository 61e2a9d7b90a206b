// Package granter obtains the units of the limits that a host may use. It runs
// the allotter of each ledger against the table service, exchanges loans with
// other hosts, and puts the resulting rights in force where requests are
// admitted and links are paced.
package granter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/lender"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// storeLedger is the ledger of the limit on writes to the store.
const storeLedger = "store"

// storeWrites is the limit on the store's writes per second for claims.
const storeWrites = 300

// Store is what a Granter needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (adapter.Row, error)
	Put(ctx context.Context, key, revision string, value []byte) (string, error)
}

// Caller exchanges an envelope with a peer.
type Caller interface {
	Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error)
}

// Gate is where units are counted: of upstreams and regions, or of links.
type Gate interface {
	Install(plan *planner.Plan, rights allotter.Rights)
	Idle(limit string) int64
	Lend(limit string, units int64) bool
	Regain(limit string, lent int64)
}

// Slots is the Gate of upstreams and regions.
type Slots interface {
	Gate
	Used(region string, keep allotter.Set) allotter.Set
	Free(u *planner.Upstream) int
}

// Links is the Gate of links and of writes to the store.
type Links interface {
	Gate
	Used(region string, keep allotter.Set) allotter.Set
	UsedWrites(keep allotter.Set) allotter.Set
}

// Options configure a Granter.
type Options struct {
	Self   allotter.Identity
	Store  Store
	Caller Caller
	// Peers returns the peer addresses of the live members but this host.
	Peers func() []string
	// Expected returns how many hosts are live or about to start.
	Expected func() int
	Slots    Slots
	Links    Links
	Log      logger.Logger
	// OnReady is called once, when the host holds shares of every ledger.
	OnReady func()
	// OnLoan is called for each loan taken.
	OnLoan func()
}

// Granter obtains the rights of one host. It is safe for concurrent use.
type Granter struct {
	o Options

	mu      sync.Mutex
	plan    *planner.Plan
	ledgers map[string]*ledger
	lender  *lender.Lender
	lent    map[string]bool // limits that were ever lent
	needs   map[string]bool // services whose requests wait
	ready   bool
	leaving bool
	run     func(*ledger)

	wg sync.WaitGroup
}

// New returns a Granter without rights.
func New(o Options) *Granter {
	return &Granter{
		o: o, plan: new(planner.Plan),
		ledgers: make(map[string]*ledger), lender: lender.New(o.Self.Incarnation),
		lent: make(map[string]bool), needs: make(map[string]bool),
	}
}

// Need says that requests of the service wait for units.
func (g *Granter) Need(s *planner.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.needs[s.Name()] = true
}

// Install makes the host obtain rights in the plan's regions, and takes in what
// its drains say about machines that are gone.
func (g *Granter) Install(plan *planner.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plan = plan
	for _, r := range plan.Regions() {
		g.open(r.Name())
	}
	g.open(storeLedger)
	g.gone(time.Now())
	g.install(time.Now())
}

// open starts the work on a ledger, when Run is running. The caller holds g.mu.
func (g *Granter) open(name string) {
	if g.ledgers[name] != nil {
		return
	}
	l := &ledger{name: name, allotter: allotter.New(g.o.Self, time.Now()), wake: make(chan struct{}, 1)}
	g.ledgers[name] = l
	if g.run != nil {
		g.run(l)
	}
}

// gone passes on which machines the operator says are gone. The caller holds
// g.mu.
func (g *Granter) gone(now time.Time) {
	for _, d := range g.plan.Drains() {
		if !d.Gone || d.Kind != planner.DrainHost {
			continue
		}
		for _, l := range g.ledgers {
			row, _ := l.allotter.Row()
			for _, h := range row.Holders {
				if h.Host == d.Item && l.allotter.Gone(now, h.Address) {
					g.o.Log.Event(logger.HolderGone).Str("holder", h.Host).Str("ledger", l.name).Send()
				}
			}
		}
	}
}

// install puts the rights of now in force. The caller holds g.mu.
func (g *Granter) install(now time.Time) {
	rights := allotter.Rights{Regions: make(map[string]allotter.Right), Loans: g.lender.Borrowed(now), Writes: storeWrites}
	complete := len(g.ledgers) > 1
	for name, l := range g.ledgers {
		shares, until := l.allotter.Held(now)
		complete = complete && shares != 0
		if shares != l.shares {
			g.o.Log.Event(logger.SharesChanged).Str("ledger", name).Int("shares", shares.Len()).Send()
			l.shares = shares
		}
		right := allotter.Right{Shares: shares, Until: until}
		if name == storeLedger {
			rights.Store = right
			continue
		}
		rights.Regions[name] = right
	}
	g.o.Slots.Install(g.plan, rights)
	g.o.Links.Install(g.plan, rights)
	if complete && !g.ready {
		g.ready = true
		g.o.OnReady()
	}
}

// Run works on the ledgers and loans until ctx ends.
func (g *Granter) Run(ctx context.Context) {
	defer g.wg.Wait()
	g.mu.Lock()
	g.run = func(l *ledger) { g.wg.Go(func() { g.work(ctx, l) }) }
	for _, l := range g.ledgers {
		g.run(l)
	}
	g.mu.Unlock()
	ticker := time.NewTicker(loanPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.borrow(ctx)
		}
	}
}

// Release gives all shares back, and returns when the ledgers show it or ctx
// ends. Shares that are not given back become free when the lease has ended.
func (g *Granter) Release(ctx context.Context) bool {
	g.mu.Lock()
	g.leaving = true
	for _, l := range g.ledgers {
		l.allotter.Leave()
		l.wakeUp()
	}
	g.install(time.Now())
	g.mu.Unlock()
	ticker := time.NewTicker(fastPoll)
	defer ticker.Stop()
	for !g.released() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (g *Granter) released() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.ledgers {
		if !l.allotter.Released() {
			return false
		}
	}
	return true
}

func isLink(limit string) bool { return strings.HasPrefix(limit, allotter.LinkLimit("")) }

func (g *Granter) gate(limit string) Gate {
	if isLink(limit) {
		return g.o.Links
	}
	return g.o.Slots
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
