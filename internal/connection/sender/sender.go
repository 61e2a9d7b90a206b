// Package sender sends HTTP/1.1 requests to upstreams over pooled connections. It never
// retries: a request is written at most once.
//
//	conn, err := s.Get(ctx, address)
//	response, err := conn.Do(ctx, request, deadline)
//	... read response.Body to its end ...
//	conn.Release()
//
// A response with the ID of another request is skipped, because an upstream may send a
// late duplicate of an earlier response.
package sender

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = 5 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 32
	// sweepInterval is how often the pools are checked for connections to close.
	sweepInterval = time.Second
)

// Options configure a Sender. All fields may be left zero.
type Options struct {
	// Dial opens a connection. The default is net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the time to open a connection. The default is 1 s.
	DialTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays idle in the pool, unless the
	// Keep-Alive header of the upstream names a shorter time. The default is 5 s.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a response. The default is 64 KiB.
	MaxHeaderBytes int
	// Match compares the ID in a response with that in its request. The default returns
	// MatchSame.
	Match func(request, response Header) Match
}

// Match is the result of comparing the IDs of a request and a response.
type Match int

// The results of a comparison. A response without an ID may be a late duplicate for an
// earlier request on the same connection.
const (
	MatchSame  Match = iota // the response belongs to the request
	MatchOther              // the response has the ID of another request
	MatchNoID               // the response has no ID
)

// Header returns the values of header fields by name, as http.Header does.
type Header interface{ Get(name string) string }

// Sender pools the connections of a host to its upstreams. It is safe for concurrent use.
type Sender struct {
	options   Options
	pools     sync.Map  // *idlePool by address
	idleLimit idleLimit // for the connections to all upstreams
	quorum    quorum
	dials     atomic.Int64
	stop      chan struct{}
	once      sync.Once
}

// idlePool holds the idle connections to one address.
type idlePool struct {
	idleLimit idleLimit // for the connections to this address

	mu     sync.Mutex
	conns  []*Conn // in the order of their last use, the most recent last
	closed bool
}

// New returns a Sender. Its goroutine runs until Close.
func New(o Options) *Sender {
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Match == nil {
		o.Match = func(Header, Header) Match { return MatchSame }
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	s := &Sender{options: o, stop: make(chan struct{})}
	go s.sweep()
	return s
}

// DialCount returns the number of dials so far, including failed ones.
func (s *Sender) DialCount() int64 { return s.dials.Load() }

func (s *Sender) pool(address string) *idlePool {
	if p, ok := s.pools.Load(address); ok {
		return p.(*idlePool)
	}
	p, _ := s.pools.LoadOrStore(address, new(idlePool))
	return p.(*idlePool)
}

// Get returns the most recently used idle connection to the address, or opens one. The
// error is of kind Expired if ctx is done, and of kind Unreachable otherwise.
func (s *Sender) Get(ctx context.Context, address string) (*Conn, error) {
	p := s.pool(address)
	now := time.Now()
	maxIdle := min(p.idleLimit.current(now), s.idleLimit.current(now))
	for c := p.take(maxIdle); c != nil; c = p.take(maxIdle) {
		if c.reusable() {
			c.idleTime = now.Sub(c.idleSince)
			return c, nil
		}
		_ = c.conn.Close()
	}
	return s.open(ctx, p, address)
}

// GetNew opens a connection to the address. It returns errors as Get does.
func (s *Sender) GetNew(ctx context.Context, address string) (*Conn, error) {
	return s.open(ctx, s.pool(address), address)
}

func (s *Sender) open(ctx context.Context, p *idlePool, address string) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, s.options.DialTimeout)
	defer cancel()
	s.dials.Add(1)
	start := time.Now()
	raw, err := s.options.Dial(dialCtx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, classifier.Expired.Wrap(context.Cause(ctx), "no connection to upstream "+address)
		}
		return nil, classifier.Unreachable.Wrap(err, "upstream "+address)
	}
	c := newConn(s, p, raw)
	c.dialTime = time.Since(start)
	return c, nil
}

// recordDrop lowers the idle limit after an upstream dropped an idle connection: that of
// its address, and that of all upstreams if several drop connections at the same time.
func (s *Sender) recordDrop(c *Conn) {
	now := time.Now()
	c.pool.idleLimit.reduce(c.idleTime, now)
	if s.quorum.reached(c.address(), now) {
		s.idleLimit.reduce(c.idleTime, now)
	}
}

// take removes and returns the most recently used connection. It returns nil if there is
// none, or if the connection has been idle for longer than maxIdle.
func (p *idlePool) take(maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	if n == 0 {
		return nil
	}
	c := p.conns[n-1]
	if time.Since(c.idleSince) > maxIdle {
		return nil
	}
	p.conns[n-1] = nil
	p.conns = p.conns[:n-1]
	return c
}

// put adds a connection to the pool. It reports false if the pool is full or closed.
func (p *idlePool) put(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns) >= maxIdlePerUpstream {
		return false
	}
	c.idleSince = time.Now()
	p.conns = append(p.conns, c)
	return true
}

// Remove closes the idle connections to an address that no upstream has any more.
// Connections in use are closed on Release.
func (s *Sender) Remove(address string) {
	p, ok := s.pools.LoadAndDelete(address)
	if !ok {
		return
	}
	p.(*idlePool).close()
}

func (p *idlePool) close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.conn.Close()
	}
}

// Close closes the idle connections. Connections in use are closed on Release.
func (s *Sender) Close() {
	s.once.Do(func() { close(s.stop) })
	s.pools.Range(func(_, p any) bool {
		p.(*idlePool).close()
		return true
	})
}

func (s *Sender) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.pools.Range(func(_, p any) bool {
			p.(*idlePool).expire()
			return true
		})
	}
}

// expire closes the connections that have been idle for too long, were closed by the
// upstream, or received bytes without a request.
func (p *idlePool) expire() {
	p.mu.Lock()
	var expired []*Conn
	remaining := p.conns[:0]
	for _, c := range p.conns {
		if time.Since(c.idleSince) >= c.idleTimeout || !peeker.Idle(c.conn) {
			expired = append(expired, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	clear(p.conns[len(remaining):])
	p.conns = remaining
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.conn.Close()
	}
}
