// Package pool keeps the connections of a host to the upstreams. Each one is an
// http.ClientConn that carries one request at a time; nothing in this package
// sends a request a second time.
//
//	link, err := p.Get(ctx, "192.0.2.7:8080")
//	resp, err := link.Do(req, deadline, nil)
//	... read resp.Body to its end ...
//	link.Done()
//
// The pool finds connections that went silent: in use without a byte while the
// upstream answers a probe on a new connection. It limits how many connections
// it opens, so that a failing upstream is not flooded with new ones.
package pool

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	silence   = 2 * time.Second        // in use without a byte: the upstream is probed
	stale     = 5 * time.Second        // idle for longer: checked before the next use
	sweep     = 100 * time.Millisecond // resolution of the times above
	probeGap  = 500 * time.Millisecond // between probes, so that slow answers cost few connections
	checkTime = time.Second            // a probe or check without an answer failed
	dialTime  = 3 * time.Second
	idleTime  = 60 * time.Second // idle for longer: closed

	dialsAtOnce    = 8
	dialsPerSecond = 32

	backoffFirst = 100 * time.Millisecond
	backoffLast  = 2 * time.Second

	defaultLimit   = 256
	defaultHeaders = 64 << 10
	expectTime     = time.Second
)

// Events receives what the pool finds out about upstreams. The methods must not
// block.
type Events interface {
	// Silent reports n connections that carry nothing although the upstream
	// answers on a new one.
	Silent(address string, n int)
	// Dead reports that the upstream refused a connection or left a probe on a
	// new connection unanswered.
	Dead(address string, err error)
}

type noEvents struct{}

// Silent implements Events.
func (noEvents) Silent(string, int) {}

// Dead implements Events.
func (noEvents) Dead(string, error) {}

// Options configure a Pool. All fields may be left zero.
type Options struct {
	// Dial opens a connection; the default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Limit is the bound on connections to an upstream for which Bound was not
	// called.
	Limit int
	// Headers bounds the header of an answer in bytes.
	Headers int64
	Events  Events
}

// Pool keeps connections by upstream address. It is safe for concurrent use.
type Pool struct {
	options   Options
	transport *http.Transport
	base      time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	groups    sync.Map // address to *group
	closed    atomic.Bool
	dials     atomic.Int64
	tasks     sync.WaitGroup // the sweep, dials and probes
}

// New returns a Pool. Close ends its goroutine.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Events == nil {
		o.Events = noEvents{}
	}
	o.Limit = cmp.Or(o.Limit, defaultLimit)
	o.Headers = cmp.Or(o.Headers, defaultHeaders)
	p := &Pool{options: o, base: time.Now()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            dialed,
		DisableCompression:     true,
		MaxResponseHeaderBytes: o.Headers,
		ExpectContinueTimeout:  expectTime,
		Protocols:              protocols,
	}
	p.tasks.Go(p.run)
	return p
}

type connKey struct{}

// dialed hands the connection that the pool opened to the transport.
func dialed(ctx context.Context, _, _ string) (net.Conn, error) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *Pool) group(address string) *group {
	if g, ok := p.groups.Load(address); ok {
		return g.(*group)
	}
	g, _ := p.groups.LoadOrStore(address, newGroup(p, address))
	return g.(*group)
}

// Bound sets how many connections the host may hold to the upstream. Idle ones
// above the bound are closed at once, others when their request ends.
func (p *Pool) Bound(address string, n int) {
	for !p.group(address).bound(n) {
	}
}

// Remove closes the idle connections to an upstream that was withdrawn, and
// forgets it once the last request there has ended.
func (p *Pool) Remove(address string) {
	if g, ok := p.groups.Load(address); ok {
		g.(*group).withdraw()
	}
}

// Get returns a connection for one request. An error means that nothing was
// sent: its kind is Expired when ctx ended, and Unreachable otherwise.
func (p *Pool) Get(ctx context.Context, address string) (*Link, error) {
	g := p.group(address)
	l, err := g.take(ctx, true)
	if err != nil || g.check(ctx, l) {
		return l, err
	}
	// The other idle connections are under the same suspicion, so a new one is
	// the quicker way.
	return g.take(ctx, false)
}

// Counts says how many connections there are.
type Counts struct {
	Open, Idle, Busy, Dialing int
	Dials                     int64 // opened or tried so far
}

// Counts returns the sums over all upstreams.
func (p *Pool) Counts() Counts {
	c := Counts{Dials: p.dials.Load()}
	p.each(func(g *group) {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.Open += g.open - g.dialing
		c.Idle += g.idle.size()
		c.Busy += len(g.busy)
		c.Dialing += g.dialing
	})
	return c
}

func (p *Pool) each(f func(*group)) {
	p.groups.Range(func(_, g any) bool {
		f(g.(*group))
		return true
	})
}

// CloseIdle closes all connections that carry no request.
func (p *Pool) CloseIdle() {
	p.each(func(g *group) {
		g.mu.Lock()
		removed := g.idle.keep(func(*Link) bool { return false })
		g.mu.Unlock()
		closeAll(removed)
	})
}

// Close closes the idle connections and ends the checks. Connections in use are
// closed when their request ends; waiting for one goes on until its context
// ends.
func (p *Pool) Close() {
	if p.closed.Swap(true) {
		return
	}
	p.cancel()
	// After CloseIdle has held each group's lock, none starts another task.
	p.CloseIdle()
	p.tasks.Wait()
	p.CloseIdle()
}

// run sweeps all connections. One ticker for all of them costs less than a
// timer for each request.
func (p *Pool) run() {
	ticker := time.NewTicker(sweep)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.each((*group).sweep)
		}
	}
}
