// Package sender sends single HTTP/1.1 requests to upstreams over kept
// connections. A request is written at most once; nothing in this package sends
// it again.
//
//	conn, err := s.Get(ctx, address)
//	answer, err := conn.Do(ctx, request, deadline)
//	... read answer.Body to its end ...
//	conn.Done()
//
// An answer with another request's ID is skipped, because an upstream may send
// an answer twice and late.
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
	defaultDial   = time.Second
	defaultIdle   = 5 * time.Second
	defaultHeader = 64 << 10
	// idleMost bounds the idle connections to one upstream.
	idleMost = 32
	// sweepPeriod is how often long idle connections are closed.
	sweepPeriod = time.Second
)

// Options configure a Sender. All fields may be left zero.
type Options struct {
	// Dial opens a connection; the default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the time for a connection to be opened.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may be idle, unless the upstream's
	// Keep-Alive header names a shorter time.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of an answer in bytes.
	MaxHeaderBytes int
	// Match compares the ID of an answer with the one of its request. The default
	// finds that all belong together.
	Match func(request, answer Header) Match
}

// Match says whether an answer belongs to a request.
type Match int

// The results of a comparison. An answer without an ID may be a late second one to an
// earlier request, if the connection carried one.
const (
	MatchSame Match = iota
	MatchOther
	MatchNoID
)

// Header gives the values of a message's header.
type Header interface{ Get(name string) string }

// Sender keeps the connections of a host to its upstreams. It is safe for
// concurrent use.
type Sender struct {
	options Options
	groups  sync.Map  // address to *group
	bound   idleBound // of the connections to all upstreams
	quorum  quorum
	opened  atomic.Int64
	stop    chan struct{}
	once    sync.Once
}

type group struct {
	bound idleBound

	mu   sync.Mutex
	idle []*Conn // the last one was used last
	gone bool
}

// New returns a Sender. Close ends its goroutine.
func New(o Options) *Sender {
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Match == nil {
		o.Match = func(Header, Header) Match { return MatchSame }
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDial)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdle)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultHeader)
	s := &Sender{options: o, stop: make(chan struct{})}
	go s.sweep()
	return s
}

// DialCount returns how many connections were opened or tried so far.
func (s *Sender) DialCount() int64 { return s.opened.Load() }

func (s *Sender) group(address string) *group {
	if g, ok := s.groups.Load(address); ok {
		return g.(*group)
	}
	g, _ := s.groups.LoadOrStore(address, new(group))
	return g.(*group)
}

// Get returns a kept connection, or a new one if there is none. An error is of
// kind Unreachable or Expired, and nothing was sent.
func (s *Sender) Get(ctx context.Context, address string) (*Conn, error) {
	g := s.group(address)
	now := time.Now()
	trusted := min(g.bound.most(now), s.bound.most(now))
	for c := g.take(trusted); c != nil; c = g.take(trusted) {
		if c.usable() {
			c.rested = now.Sub(c.since)
			return c, nil
		}
		_ = c.conn.Close()
	}
	opened, cancel := context.WithTimeout(ctx, s.options.DialTimeout)
	defer cancel()
	s.opened.Add(1)
	begun := time.Now()
	raw, err := s.options.Dial(opened, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, classifier.Expired.Wrap(context.Cause(ctx), "no connection to upstream "+address)
		}
		return nil, classifier.Unreachable.Wrap(err, "upstream "+address)
	}
	c := newConn(s, g, raw)
	c.way = time.Since(begun)
	return c, nil
}

// forgot notes that an upstream reset a connection after it had been idle.
func (s *Sender) forgot(c *Conn) {
	now := time.Now()
	c.group.bound.reduce(c.rested, now)
	if s.quorum.reached(c.address(), now) {
		s.bound.reduce(c.rested, now)
	}
}

// take returns the connection that was used last, or nil if it was idle for longer
// than trusted.
func (g *group) take(trusted time.Duration) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.idle)
	if n == 0 {
		return nil
	}
	c := g.idle[n-1]
	if time.Since(c.since) > trusted {
		return nil
	}
	g.idle[n-1] = nil
	g.idle = g.idle[:n-1]
	return c
}

// put keeps a connection and returns whether it may be kept.
func (g *group) put(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gone || len(g.idle) >= idleMost {
		return false
	}
	c.since = time.Now()
	g.idle = append(g.idle, c)
	return true
}

// Remove closes the idle connections to an address that has no upstream any
// more. Connections in use are closed after their answer.
func (s *Sender) Remove(address string) {
	g, ok := s.groups.LoadAndDelete(address)
	if !ok {
		return
	}
	g.(*group).close()
}

func (g *group) close() {
	g.mu.Lock()
	idle := g.idle
	g.idle, g.gone = nil, true
	g.mu.Unlock()
	for _, c := range idle {
		_ = c.conn.Close()
	}
}

// Close closes the idle connections. Those in use are closed after their answer.
func (s *Sender) Close() {
	s.once.Do(func() { close(s.stop) })
	s.groups.Range(func(_, g any) bool {
		g.(*group).close()
		return true
	})
}

func (s *Sender) sweep() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.groups.Range(func(_, g any) bool {
			g.(*group).expire()
			return true
		})
	}
}

// expire closes the connections that are idle for too long, were closed by the
// upstream, or received what nobody asked for.
func (g *group) expire() {
	g.mu.Lock()
	var old []*Conn
	kept := g.idle[:0]
	for _, c := range g.idle {
		if time.Since(c.since) >= c.idle || !peeker.Idle(c.conn) {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(g.idle[len(kept):])
	g.idle = kept
	g.mu.Unlock()
	for _, c := range old {
		_ = c.conn.Close()
	}
}
