package pool

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// group holds the connections to one upstream.
type group struct {
	pool    *Pool
	address string
	tokens  *rate.Limiter
	places  chan struct{}

	mu       sync.Mutex
	idle     list[*Link]
	busy     []*Link
	waiters  list[*waiter]
	limit    int
	open     int // with those being dialed
	dialing  int
	epoch    uint64 // raised by each suspicion; links of an older epoch are checked
	probing  bool
	probed   time.Duration // no probe before this time
	failures int
	down     time.Time // dials fail at once until then

	withdrawn bool // no new connections
	forgotten bool // not in Pool.groups any more
}

type waiter struct{ ready chan offer }

type offer struct {
	link *Link
	err  error
}

func newGroup(p *Pool, address string) *group {
	// A full burst and the refill add up to the budget of one second.
	return &group{
		pool: p, address: address, limit: p.options.Limit,
		tokens: rate.NewLimiter(dialsPerSecond-dialsAtOnce, dialsAtOnce),
		places: make(chan struct{}, dialsAtOnce),
	}
}

func (g *group) now() time.Duration { return time.Since(g.pool.base) }

// bound reports false if the group was forgotten in the meantime.
func (g *group) bound(n int) bool {
	g.mu.Lock()
	if g.forgotten {
		g.mu.Unlock()
		return false
	}
	g.withdrawn = false
	removed := g.shrink(n)
	g.spawn()
	g.mu.Unlock()
	closeAll(removed)
	return true
}

func (g *group) withdraw() {
	g.mu.Lock()
	g.withdrawn = true
	removed := g.shrink(0)
	g.mu.Unlock()
	closeAll(removed)
}

// shrink sets the limit and returns the idle connections above it. Called with
// mu held.
func (g *group) shrink(n int) (removed []*Link) {
	g.limit = n
	for g.open-len(removed) > n {
		l, ok := g.idle.oldest()
		if !ok {
			break
		}
		removed = append(removed, l)
	}
	return removed
}

// forget drops a withdrawn group without connections and waiters. Called with
// mu held.
func (g *group) forget() {
	if g.withdrawn && g.open == 0 && g.waiters.size() == 0 {
		g.forgotten = true
		g.pool.groups.CompareAndDelete(g.address, g)
	}
}

// take returns an idle connection if reuse is set and there is one, or else the
// first that becomes free or is opened.
func (g *group) take(ctx context.Context, reuse bool) (*Link, error) {
	g.mu.Lock()
	for reuse {
		l, ok := g.idle.newest()
		if !ok {
			break
		}
		if l.client.Err() == nil {
			g.lend(l)
			g.mu.Unlock()
			return l, nil
		}
		g.mu.Unlock()
		l.Close()
		g.mu.Lock()
	}
	if g.withdrawn {
		g.mu.Unlock()
		return nil, classifier.Unreachable.New("upstream %s was withdrawn", g.address)
	}
	if time.Now().Before(g.down) {
		g.mu.Unlock()
		return nil, classifier.Unreachable.New("upstream %s refused the last connection", g.address)
	}
	w := &waiter{ready: make(chan offer, 1)}
	g.waiters.push(w)
	g.spawn()
	g.mu.Unlock()
	select {
	case o := <-w.ready:
		return o.link, o.err
	case <-ctx.Done():
		g.leave(w)
		return nil, classifier.Expired.Wrap(context.Cause(ctx), "no connection to upstream "+g.address)
	}
}

func (g *group) leave(w *waiter) {
	g.mu.Lock()
	waiting := g.waiters.remove(w)
	g.mu.Unlock()
	if waiting {
		return
	}
	if o := <-w.ready; o.link != nil {
		g.put(o.link)
	}
}

// lend marks a connection as in use. Called with mu held.
func (g *group) lend(l *Link) {
	l.place = len(g.busy)
	l.stall, l.watcher, l.told = 0, nil, true // not judged before Do
	l.waiting.Store(false)
	g.busy = append(g.busy, l)
}

// release undoes lend. Called with mu held.
func (g *group) release(l *Link) {
	if l.place < 0 {
		return
	}
	last := len(g.busy) - 1
	g.busy[l.place] = g.busy[last]
	g.busy[l.place].place = l.place
	g.busy[last] = nil
	g.busy = g.busy[:last]
	l.place = -1
	l.watcher = nil
}

// put makes a connection available to the next request.
func (g *group) put(l *Link) {
	g.mu.Lock()
	if g.pool.closed.Load() || l.suspect || g.open > g.limit {
		g.mu.Unlock()
		l.Close()
		return
	}
	g.release(l)
	// A connection that just carried an answer needs no check.
	l.epoch = g.epoch
	g.offer(l)
	g.mu.Unlock()
}

// offer gives l to a waiter or to the idle list. Called with mu held.
func (g *group) offer(l *Link) {
	l.since = g.now()
	if w, ok := g.waiters.oldest(); ok {
		g.lend(l)
		w.ready <- offer{link: l}
		return
	}
	g.idle.push(l)
}

// spawn starts as many dials as there are waiters without one. Called with mu
// held.
func (g *group) spawn() {
	for g.dialing < g.waiters.size() && g.open < g.limit && !g.pool.closed.Load() {
		g.dialing++
		g.open++
		g.pool.tasks.Go(g.dial)
	}
}

func (g *group) dial() {
	l, err := g.connect(g.pool.ctx, g.wanted)
	g.mu.Lock()
	g.dialing--
	if err == nil {
		g.failures, g.down = 0, time.Time{}
		l.epoch = g.epoch
		g.offer(l)
		g.mu.Unlock()
		return
	}
	g.open--
	if errors.Is(err, errUnwanted) {
		g.spawn()
		g.mu.Unlock()
		return
	}
	g.fail(err)
	g.mu.Unlock()
	if g.pool.ctx.Err() == nil {
		g.pool.options.Events.Dead(g.address, err)
	}
}

var errUnwanted = errors.New("no request waits for the connection")

func (g *group) wanted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiters.size() > 0
}

// fail refuses all waiters, so that their requests go elsewhere, and holds off
// new dials for a jittered time. Called with mu held.
func (g *group) fail(err error) {
	pause := min(backoffFirst<<min(g.failures, 8), backoffLast)
	g.failures++
	g.down = time.Now().Add(pause/2 + rand.N(pause/2))
	for w, ok := g.waiters.oldest(); ok; w, ok = g.waiters.oldest() {
		w.ready <- offer{err: classifier.Unreachable.Wrap(err, "upstream "+g.address)}
	}
}

// connect opens a connection within the dial budget, if it is still wanted when
// its turn comes.
func (g *group) connect(ctx context.Context, wanted func() bool) (*Link, error) {
	select {
	case g.places <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-g.places }()
	if err := g.await(ctx); err != nil {
		return nil, err
	}
	if !wanted() {
		return nil, errUnwanted
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	g.pool.dials.Add(1)
	raw, err := g.pool.options.Dial(ctx, "tcp", g.address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, base: g.pool.base}
	c.touch()
	client, err := g.pool.transport.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", g.address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &Link{group: g, client: client, conn: c, place: -1}, nil
}

// await takes a token of the dial budget.
func (g *group) await(ctx context.Context) error {
	if g.tokens.Allow() {
		return nil
	}
	// The jitter keeps hosts that lost their connections together from dialing in
	// step. It comes before the token, so that it cannot pack dials closer than
	// the budget allows.
	if !sleeper.Sleep(ctx, rand.N(time.Second/dialsPerSecond)) {
		return ctx.Err()
	}
	return g.tokens.Wait(ctx)
}
