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

// peer is a host that this host calls.
type peer struct {
	address   string
	callSlots chan struct{} // holds a value for each call in flight
	dialLock  chan struct{} // holds a value while a session is being dialled

	mu       sync.Mutex
	session  *session
	failures int       // dials failed since the last session
	retryAt  time.Time // no dial before
	lastUsed time.Time
}

// session is a yamux session with its TCP connection.
type session struct {
	mux  *yamux.Session
	conn *countingConn
}

// openSession returns the open session, or dials one. Only one call dials at a time; the
// others wait for it.
func (p *peer) openSession(ctx context.Context, l *Linker) (*session, error) {
	if s := p.currentSession(); s != nil {
		return s, nil
	}
	select {
	case p.dialLock <- struct{}{}:
		defer func() { <-p.dialLock }()
	case <-ctx.Done():
		return nil, classifier.Unreachable.Wrap(ctx.Err(), "dial host "+p.address)
	}
	if s := p.currentSession(); s != nil {
		return s, nil
	}
	p.mu.Lock()
	wait := time.Until(p.retryAt)
	p.mu.Unlock()
	if wait > 0 {
		return nil, classifier.Unreachable.New("host %s: last dial failed, next dial in %v", p.address, wait.Round(time.Millisecond))
	}
	s, err := p.dialSession(ctx, l)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		// Full jitter keeps hosts that lost the same peer at the same time from
		// dialling it again at the same time.
		span := min(maxBackoff, minBackoff<<min(p.failures, 10))
		p.failures++
		p.retryAt = time.Now().Add(rand.N(span))
		return nil, classifier.Unreachable.Wrap(err, "dial host "+p.address)
	}
	if l.ctx.Err() != nil {
		_ = s.mux.Close()
		return nil, classifier.Stopping.New("linker is closed")
	}
	p.session, p.failures = s, 0
	return s, nil
}

func (p *peer) dialSession(ctx context.Context, l *Linker) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := l.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: raw, counters: []*counter{&l.traffic.total, l.traffic.peer(p.address)}}
	conn, err := l.security.clientHandshake(ctx, counting, p.address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	mux, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &session{mux, counting}, nil
}

// currentSession returns the open session, or nil if there is none.
func (p *peer) currentSession() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.mux.IsClosed() {
		return nil
	}
	return p.session
}

// markUsed makes the host count as used now.
func (p *peer) markUsed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
}

// closeIdle closes the session if the host was not called for idleTimeout, and reports
// whether that is so.
func (p *peer) closeIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastUsed) < idleTimeout {
		return false
	}
	if p.session != nil {
		_ = p.session.mux.Close()
	}
	return true
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		_ = p.session.mux.Close()
	}
}

// exchange sends an envelope on a stream of its own and returns the response. The error
// is of kind TooLarge, Failed or TimedOut.
func exchange(ctx context.Context, s *session, e *framer.Envelope, memory *reserver.Reserver) (*framer.Envelope, error) {
	before := s.conn.bytesRead.Load()
	stream, err := s.mux.OpenStream()
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
			c.messagesOut.Add(1)
			c.messagesIn.Add(1)
		}
		return reply, nil
	}
	if ctx.Err() == nil {
		return nil, classifier.Failed.Wrap(err, "exchange")
	}
	// A connection on which no byte arrived until the deadline may be dead although a
	// new one would work. Closing it makes the next call dial.
	if ctx.Err() == context.DeadlineExceeded && s.conn.bytesRead.Load() == before {
		_ = s.mux.Close()
	}
	return nil, classifier.TimedOut.Wrap(ctx.Err(), "exchange")
}
