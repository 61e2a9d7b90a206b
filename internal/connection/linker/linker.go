// Package linker exchanges envelopes with other hosts: yamux sessions over TCP
// with mutual TLS, and one stream for each exchange.
package linker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	callTimeout   = 5 * time.Second
	dialTimeout   = 3 * time.Second
	serveTimeout  = 10 * time.Second
	keepAlive     = 5 * time.Second
	keepAliveWait = 5 * time.Second
	idleTimeout   = time.Minute
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 10 * time.Second
	// maxCalls bounds the streams to one host, maxServed those of all hosts
	// that are answered at once, maxSessions the accepted sessions.
	maxCalls    = 32
	maxServed   = 256
	maxSessions = 1024
	// maxWindow lets the largest frame cross in few round trips: at 110 ms
	// the initial window of 256 KiB would need 16 of them.
	maxWindow = framer.MaxEnvelopeBytes
	// framesMost bounds the frames that are being read, of all hosts together: four of
	// the largest, or 256 of the first 64 KiB.
	framesMost = 4 * framer.MaxEnvelopeBytes
)

// Handler answers one envelope. An error is sent to the caller by its kind.
type Handler func(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error)

// guard runs f and reports whether it panicked.
type guard func(place string, f func()) bool

// Linker holds the sessions of one host. It is safe for concurrent use.
type Linker struct {
	security security
	handler  Handler
	guard    guard
	memory   *reserver.Reserver // of frames that are being read
	served   chan struct{}
	sessions chan struct{}
	meter    meter
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	peers    map[string]*peer
	accepted map[io.Closer]struct{}
	closed   bool
}

// New returns a Linker without opening a socket. It reads the files that the
// settings name; what is wrong with them is an error of kind Invalid.
func New(p loader.Peer, handler Handler) (*Linker, error) {
	sec, err := newSecurity(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		security: sec, handler: handler, ctx: ctx, cancel: cancel,
		memory:   reserver.New(framesMost),
		guard:    func(_ string, f func()) bool { f(); return false },
		served:   make(chan struct{}, maxServed),
		sessions: make(chan struct{}, maxSessions),
		dial:     new(net.Dialer).DialContext,
		peers:    make(map[string]*peer),
		accepted: make(map[io.Closer]struct{}),
	}
	l.wg.Go(l.closeIdle)
	return l, nil
}

// UseDial makes the Linker open connections with dial. It must be called before
// the first Call.
func (l *Linker) UseDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.dial = dial
}

// UseGuard makes the Linker run handlers with g, which recovers panics. It must be
// called before Serve.
func (l *Linker) UseGuard(g func(place string, f func()) bool) { l.guard = g }

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = keepAliveWait
	c.StreamOpenTimeout = callTimeout
	c.StreamCloseTimeout = callTimeout
	c.MaxStreamWindowSize = maxWindow
	// Failures are reported by the calls that meet them.
	c.LogOutput = io.Discard
	return c
}

// Serve answers the sessions that other hosts open until the listener fails or
// Close is called, which is not an error.
func (l *Linker) Serve(listener net.Listener) error {
	stop := context.AfterFunc(l.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			return classifier.Internal.Wrap(err, "accept host")
		}
		select {
		case l.sessions <- struct{}{}:
			l.wg.Go(func() {
				defer func() { <-l.sessions }()
				_ = l.guard("session of a host", func() { l.serveConn(conn) })
			})
		default:
			_ = conn.Close()
		}
	}
}

// track closes c when the Linker closes, and reports whether it is open.
func (l *Linker) track(c io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.accepted[c] = struct{}{}
	return true
}

func (l *Linker) untrack(c io.Closer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, c)
}

func (l *Linker) serveConn(raw net.Conn) {
	defer raw.Close()
	if !l.track(raw) {
		return
	}
	defer l.untrack(raw)
	counted := &countedConn{Conn: raw, counters: []*counter{&l.meter.all}}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	conn, err := l.security.server(ctx, counted)
	cancel()
	if err != nil {
		return
	}
	// Only hosts that passed the handshake get a counter of their own, which
	// bounds the number of counters.
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	counted.counters = append(counted.counters, l.meter.of(host))
	session, err := yamux.Server(conn, config())
	if err != nil {
		return
	}
	defer session.Close()
	for {
		stream, err := session.AcceptStreamWithContext(l.ctx)
		if err != nil {
			return
		}
		select {
		case l.served <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		l.wg.Go(func() {
			defer func() { <-l.served }()
			_ = l.guard("exchange with a host", func() { l.serveStream(stream, counted.counters) })
		})
	}
}

func (l *Linker) serveStream(stream *yamux.Stream, counters []*counter) {
	defer stream.Close()
	deadline := time.Now().Add(serveTimeout)
	if stream.SetDeadline(deadline) != nil {
		return
	}
	ctx, cancel := context.WithDeadline(l.ctx, deadline)
	defer cancel()
	f := framer.New(stream, l.memory)
	request, err := f.Read()
	if err != nil {
		return
	}
	var reply *framer.Envelope
	if l.guard("message of a host", func() { reply, err = l.handler(ctx, request) }) {
		reply, err = nil, classifier.Internal.New("the handler panicked")
	}
	if err != nil {
		reply = &framer.Envelope{Body: &framer.Envelope_Failure{Failure: &framer.Failure{Kind: classifier.Of(err).String(), Message: err.Error()}}}
	}
	if reply == nil {
		reply = new(framer.Envelope)
	}
	for _, c := range counters {
		c.received.Add(1)
		c.sent.Add(1)
	}
	// The caller sees a failed write as an exchange without an answer.
	_ = f.Write(reply)
}

// Call sends the envelope to the host that listens on the address and returns
// its answer. It ends at the context's deadline or after 5 s. A host that can't
// be reached is an error of kind Unreachable, a session that fails during the
// exchange is of kind Failed, no answer in time of kind TimedOut; a failure
// that the other host reports keeps its kind.
func (l *Linker) Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := l.peer(address)
	if err != nil {
		return nil, err
	}
	select {
	case p.calls <- struct{}{}:
		defer func() { <-p.calls }()
	case <-ctx.Done():
		return nil, classifier.Overloaded.New("host %s: all %d streams are in use", address, maxCalls)
	}
	s, err := p.open(ctx, l)
	if err != nil {
		return nil, err
	}
	reply, err := exchange(ctx, s, e, l.memory)
	if err != nil {
		return nil, err
	}
	if f := reply.GetFailure(); f != nil {
		kind, _ := classifier.Parse(f.GetKind())
		return nil, kind.New("host %s: %s", address, f.GetMessage())
	}
	return reply, nil
}

func (l *Linker) peer(address string) (*peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, classifier.Stopping.New("link is closed")
	}
	p, ok := l.peers[address]
	if !ok {
		p = &peer{address: address, calls: make(chan struct{}, maxCalls), dial: make(chan struct{}, 1)}
		l.peers[address] = p
	}
	return p, nil
}

// closeIdle closes sessions without an exchange for a minute, and forgets hosts
// that have none.
func (l *Linker) closeIdle() {
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.mu.Lock()
			for address, p := range l.peers {
				if len(p.calls) == 0 && p.closeIdle(now) {
					delete(l.peers, address)
				}
			}
			l.mu.Unlock()
		}
	}
}

// Close ends all sessions and waits for the handlers that run.
func (l *Linker) Close() error {
	l.mu.Lock()
	l.closed = true
	l.cancel()
	for _, p := range l.peers {
		p.close()
	}
	for c := range l.accepted {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	return nil
}
