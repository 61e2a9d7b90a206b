package linker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// peer is one host that this host calls.
type peer struct {
	address string
	calls   chan struct{}
	dial    chan struct{} // held while a session is dialled

	mu       sync.Mutex
	link     *link
	failures int
	retryAt  time.Time
	used     time.Time
}

// link is an open session with the connection below it.
type link struct {
	session *yamux.Session
	conn    *countedConn
}

// open returns the open session, or dials one. Only one call dials; the others
// wait for it.
func (p *peer) open(ctx context.Context, l *Linker) (*link, error) {
	if s := p.current(); s != nil {
		return s, nil
	}
	select {
	case p.dial <- struct{}{}:
		defer func() { <-p.dial }()
	case <-ctx.Done():
		return nil, classifier.Unreachable.Wrap(ctx.Err(), "dial host "+p.address)
	}
	if s := p.current(); s != nil {
		return s, nil
	}
	p.mu.Lock()
	wait := time.Until(p.retryAt)
	p.mu.Unlock()
	if wait > 0 {
		return nil, classifier.Unreachable.New("host %s: last dial failed, next one in %v", p.address, wait.Round(time.Millisecond))
	}
	s, err := p.connect(ctx, l)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		// Full jitter keeps hosts that lost the same peer at the same moment
		// from dialling it at the same moment.
		span := min(maxBackoff, minBackoff<<min(p.failures, 10))
		p.failures++
		p.retryAt = time.Now().Add(rand.N(span))
		return nil, classifier.Unreachable.Wrap(err, "dial host "+p.address)
	}
	if l.ctx.Err() != nil {
		_ = s.session.Close()
		return nil, classifier.Stopping.New("link is closed")
	}
	p.link, p.failures = s, 0
	return s, nil
}

func (p *peer) connect(ctx context.Context, l *Linker) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := l.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: raw, counters: []*counter{&l.meter.all, l.meter.of(p.address)}}
	conn, err := l.security.client(ctx, counted, p.address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, config())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &link{session, counted}, nil
}

func (p *peer) current() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = time.Now()
	if p.link == nil || p.link.session.IsClosed() {
		return nil
	}
	return p.link
}

func (p *peer) closeIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.used) < idleTimeout {
		return false
	}
	if p.link != nil {
		_ = p.link.session.Close()
	}
	return true
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		_ = p.link.session.Close()
	}
}

func exchange(ctx context.Context, s *link, e *framer.Envelope, memory *reserver.Reserver) (*framer.Envelope, error) {
	before := s.conn.arrived.Load()
	stream, err := s.session.OpenStream()
	if err != nil {
		return nil, classifier.Failed.Wrap(err, "open stream")
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	f := framer.New(stream, memory)
	err = f.Write(e)
	if classifier.Of(err) == classifier.TooLarge {
		return nil, err
	}
	var reply *framer.Envelope
	if err == nil {
		reply, err = f.Read()
	}
	if err == nil {
		for _, c := range s.conn.counters {
			c.sent.Add(1)
			c.received.Add(1)
		}
		return reply, nil
	}
	if ctx.Err() == nil {
		return nil, classifier.Failed.Wrap(err, "exchange")
	}
	// A connection that brought no byte during a whole exchange may be silent
	// for good while new ones work, so the next call dials.
	if ctx.Err() == context.DeadlineExceeded && s.conn.arrived.Load() == before {
		_ = s.session.Close()
	}
	return nil, classifier.TimedOut.Wrap(ctx.Err(), "exchange")
}
