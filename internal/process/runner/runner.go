// Package runner runs one host: it builds the parts from the settings, joins
// them, opens the listeners and ends everything in order.
package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/connection/listener"
	"dandeliontrack.example/dandeliontrack/internal/process/drainer"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// network opens the sockets of a host.
type network struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	listen func(network, address string) (net.Listener, error)
}

// An Option changes how a host reaches the network.
type Option func(*network)

// WithDial makes the host open every connection with dial instead of a
// net.Dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(n *network) { n.dial = dial }
}

// WithListen makes the host open every listener with listen instead of
// net.Listen.
func WithListen(listen func(network, address string) (net.Listener, error)) Option {
	return func(n *network) { n.listen = listen }
}

// Runner is one host.
type Runner struct {
	settings *loader.Settings
	log      logger.Logger
	network  network
	parts    *parts
	caller   *http.Server
	operator *http.Server

	abort     chan struct{}
	abortOnce sync.Once
}

// New builds a host without opening a socket.
func New(s *loader.Settings, log logger.Logger, options ...Option) (*Runner, error) {
	n := network{dial: new(net.Dialer).DialContext, listen: net.Listen}
	for _, o := range options {
		o(&n)
	}
	p, err := newParts(s, log, n)
	if err != nil {
		return nil, err
	}
	callers, operators, err := p.handlers()
	if err != nil {
		return nil, err
	}
	return &Runner{
		settings: s, log: log, network: n, parts: p,
		caller:   newServer(s, callers),
		operator: newServer(s, operators),
		abort:    make(chan struct{}),
	}, nil
}

func newServer(s *loader.Settings, h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: time.Duration(s.Limits.HeaderTimeout),
		IdleTimeout:       time.Duration(s.Limits.IdleTimeout),
	}
}

// Ready reports whether the host takes new work.
func (r *Runner) Ready() bool { return r.parts.drainer.State() == drainer.Ready }

// Abort ends a stop at once. What it cuts off is logged.
func (r *Runner) Abort() { r.abortOnce.Do(func() { close(r.abort) }) }

// Run serves until ctx ends, and then stops gracefully: the host leaves the
// look-ups, serves callers with a cached look-up until its lifetime ends, lets
// every request in flight finish, and gives its shares back. The stop is cut
// short by Abort or by the hard deadline in the settings.
func (r *Runner) Run(ctx context.Context) error {
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	// The parts go on working during the stop.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, gctx := errgroup.WithContext(life)
	g.Go(func() error { return serve(r.caller, listeners[0], r.settings.Caller) })
	g.Go(func() error { return serve(r.operator, listeners[1], r.settings.Operator) })
	g.Go(func() error { return r.parts.linker.Serve(listeners[2]) })
	r.log.Event(logger.HostStarted).Str("caller", r.settings.Caller.Listen).Send()
	r.parts.start(gctx, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			r.stop(life)
		case <-gctx.Done():
		}
		end()
		_ = r.operator.Close()
		_ = r.caller.Close()
		return r.parts.linker.Close()
	})
	err = g.Wait()
	r.parts.pool.Close()
	r.log.Event(logger.HostStopped).Send()
	return err
}

func (r *Runner) listen() ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range []string{r.settings.Caller.Listen, r.settings.Operator.Listen, r.settings.Peer.Listen} {
		l, err := r.network.listen("tcp", address)
		if err != nil {
			r.log.Event(logger.ListenFailed).Err(err).Send()
			for _, open := range out {
				_ = open.Close()
			}
			return nil, classifier.Invalid.Wrap(err, "listen")
		}
		out = append(out, listener.New(l, func(err error) { r.log.Event(logger.AcceptFailed).Err(err).Send() }))
	}
	return out, nil
}

func serve(server *http.Server, listener net.Listener, l loader.Listener) error {
	var err error
	if l.Certificate != "" {
		err = server.ServeTLS(listener, l.Certificate, l.Key)
	} else {
		err = server.Serve(listener)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return classifier.Internal.Wrap(err, "serve")
}
