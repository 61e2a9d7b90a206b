// Package linker exchanges framer Envelopes with other hosts. It uses yamux sessions over
// TCP with mutual TLS, and one stream for each request and its response.
package linker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/connection/listener"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	callTimeout       = 5 * time.Second  // one Call, including a dial
	dialTimeout       = 3 * time.Second  // connect and TLS handshake
	serveTimeout      = 10 * time.Second // one request on the serving side
	keepAliveInterval = 5 * time.Second
	connWriteTimeout  = 5 * time.Second
	idleTimeout       = time.Minute
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 10 * time.Second
	// maxStreamsPerHost bounds the concurrent calls to one host, maxServedStreams the
	// requests of all hosts served concurrently, and maxAcceptedSessions the sessions
	// opened by other hosts.
	maxStreamsPerHost   = 32
	maxServedStreams    = 256
	maxAcceptedSessions = 1024
	// maxStreamWindowBytes allows the largest frame to be sent in few round trips. With
	// the initial window of 256 KiB it would take 16 round trips of up to 110 ms.
	maxStreamWindowBytes = framer.MaxEnvelopeBytes
	// maxFrameMemoryBytes bounds the memory for frames being read from all hosts: four
	// frames of the largest size, or the first 64 KiB of 256 frames.
	maxFrameMemoryBytes = 4 * framer.MaxEnvelopeBytes
)

// Handler returns the response to one envelope. The kind and message of an error are sent
// to the calling host.
type Handler func(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error)

// guard runs f, recovers a panic and reports whether there was one. Place names f in logs.
type guard func(place string, f func()) bool

// Linker holds the sessions of this host with other hosts. It is safe for concurrent use.
type Linker struct {
	security     security
	handler      Handler
	guard        guard
	acceptFailed func(error)
	frameMemory  *reserver.Reserver // for frames being read
	streamSlots  chan struct{}
	sessionSlots chan struct{}
	traffic      trafficMeter
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu            sync.Mutex
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	peers         map[string]*peer
	acceptedConns map[io.Closer]struct{}
	closed        bool
}

// New returns a Linker. It opens no socket. It reads the certificate, key and authority
// files of the settings. An unusable file is an error of kind Invalid.
func New(p loader.Peer, handler Handler) (*Linker, error) {
	sec, err := newSecurity(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		security: sec, handler: handler, ctx: ctx, cancel: cancel,
		frameMemory:   reserver.New(maxFrameMemoryBytes),
		guard:         func(_ string, f func()) bool { f(); return false },
		acceptFailed:  func(error) {},
		streamSlots:   make(chan struct{}, maxServedStreams),
		sessionSlots:  make(chan struct{}, maxAcceptedSessions),
		dial:          new(net.Dialer).DialContext,
		peers:         make(map[string]*peer),
		acceptedConns: make(map[io.Closer]struct{}),
	}
	l.wg.Go(l.closeIdleSessions)
	return l, nil
}

// UseDial makes the Linker open connections with dial. It must be called before
// the first Call.
func (l *Linker) UseDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.dial = dial
}

// UseGuard makes the Linker run handlers with g, which recovers panics and reports
// whether there was one. It must be called before Serve.
func (l *Linker) UseGuard(g func(place string, f func()) bool) { l.guard = g }

// OnAcceptError makes the Linker call report with errors of Accept that are retried, at most
// once per second. It must be called before Serve.
func (l *Linker) OnAcceptError(report func(error)) { l.acceptFailed = report }

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = connWriteTimeout
	c.StreamOpenTimeout = callTimeout
	c.StreamCloseTimeout = callTimeout
	c.MaxStreamWindowSize = maxStreamWindowBytes
	// Session errors are returned by the calls that they affect.
	c.LogOutput = io.Discard
	return c
}

// Serve accepts and serves sessions of other hosts. It returns nil after Close, and an
// error of kind Internal if the listener was closed otherwise. Other errors of Accept are
// retried.
func (l *Linker) Serve(hosts net.Listener) error {
	stop := context.AfterFunc(l.ctx, func() { _ = hosts.Close() })
	defer stop()
	retrying := listener.New(hosts, l.acceptFailed)
	for {
		conn, err := retrying.Accept()
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
		case l.sessionSlots <- struct{}{}:
			l.wg.Go(func() {
				defer func() { <-l.sessionSlots }()
				_ = l.guard("host session", func() { l.serveConn(conn) })
			})
		default:
			_ = conn.Close()
		}
	}
}

// track registers c to be closed by Close. It reports false if the Linker is closed.
func (l *Linker) track(c io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.acceptedConns[c] = struct{}{}
	return true
}

func (l *Linker) untrack(c io.Closer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.acceptedConns, c)
}

func (l *Linker) serveConn(raw net.Conn) {
	defer raw.Close()
	if !l.track(raw) {
		return
	}
	defer l.untrack(raw)
	counting := &countingConn{Conn: raw, counters: []*counter{&l.traffic.total}}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	conn, err := l.security.serverHandshake(ctx, counting)
	cancel()
	if err != nil {
		return
	}
	// A host gets its own counter only after the handshake, which bounds the number of
	// counters.
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	counting.counters = append(counting.counters, l.traffic.peer(host))
	mux, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	defer mux.Close()
	for {
		stream, err := mux.AcceptStreamWithContext(l.ctx)
		if err != nil {
			return
		}
		select {
		case l.streamSlots <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		l.wg.Go(func() {
			defer func() { <-l.streamSlots }()
			_ = l.guard("host stream", func() { l.serveStream(stream, counting.counters) })
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
	f := framer.New(stream, l.frameMemory)
	request, err := f.Read()
	if err != nil {
		return
	}
	var reply *framer.Envelope
	if l.guard("host message", func() { reply, err = l.handler(ctx, request) }) {
		reply, err = nil, classifier.Internal.New("handler panicked")
	}
	if err != nil {
		reply = &framer.Envelope{Body: &framer.Envelope_Failure{Failure: &framer.Failure{Kind: classifier.Of(err).String(), Message: err.Error()}}}
	}
	if reply == nil {
		reply = new(framer.Envelope)
	}
	for _, c := range counters {
		c.messagesIn.Add(1)
		c.messagesOut.Add(1)
	}
	// If the write fails, the calling host gets an error for lack of a response.
	_ = f.Write(reply)
}

// Call sends the envelope to the host that listens on the address and returns its
// response. It returns after at most 5 s or when ctx is done. The error is of kind
// Overloaded if all streams to the host are in use, Unreachable if the host can't be
// reached, TooLarge if the envelope exceeds framer.MaxEnvelopeBytes, Failed if the
// session fails during the exchange, TimedOut if no response arrives in time, and
// Stopping after Close. An error that the other host reports keeps its kind.
func (l *Linker) Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := l.peer(address)
	if err != nil {
		return nil, err
	}
	select {
	case p.callSlots <- struct{}{}:
		defer func() { <-p.callSlots }()
	case <-ctx.Done():
		return nil, classifier.Overloaded.New("host %s: all %d streams are in use", address, maxStreamsPerHost)
	}
	s, err := p.openSession(ctx, l)
	if err != nil {
		return nil, err
	}
	reply, err := exchange(ctx, s, e, l.frameMemory)
	if err != nil {
		return nil, err
	}
	if f := reply.GetFailure(); f != nil {
		kind, _ := classifier.Parse(f.GetKind())
		return nil, kind.New("host %s: %s", address, f.GetMessage())
	}
	return reply, nil
}

// peer returns the host with the address. It is not idle for idleTimeout from then on.
func (l *Linker) peer(address string) (*peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, classifier.Stopping.New("linker is closed")
	}
	p, ok := l.peers[address]
	if !ok {
		p = &peer{address: address, callSlots: make(chan struct{}, maxStreamsPerHost), dialLock: make(chan struct{}, 1)}
		l.peers[address] = p
	}
	// Set while l.mu is held, so that closeIdleSessions does not delete the host before the
	// call counts as in flight.
	p.markUsed()
	return p, nil
}

// closeIdleSessions closes the sessions of hosts that were not called for idleTimeout, and
// deletes these hosts. It runs until Close.
func (l *Linker) closeIdleSessions() {
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.mu.Lock()
			for address, p := range l.peers {
				if len(p.callSlots) == 0 && p.closeIdle(now) {
					delete(l.peers, address)
				}
			}
			l.mu.Unlock()
		}
	}
}

// Close closes all sessions and waits for running handlers. It returns nil.
func (l *Linker) Close() error {
	l.mu.Lock()
	l.closed = true
	l.cancel()
	for _, p := range l.peers {
		p.close()
	}
	for c := range l.acceptedConns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	return nil
}
