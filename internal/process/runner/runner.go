// Package runner runs one host: it builds the parts from the settings, opens
// the listeners and ends them in order.
package runner

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/controller"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/process/settler"
	"dandeliontrack.example/dandeliontrack/internal/request/forwarder"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// refreshPeriod is how often a host reads the accepted version from the store.
const refreshPeriod = 5 * time.Second

// Runner is one host.
type Runner struct {
	settings  *settler.Settings
	log       logger.Logger
	holder    *holder.Holder
	publisher *publisher.Publisher
	caller    *http.Server
	operator  *http.Server
	network   network
}

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

// New builds a host without opening a socket.
func New(s *settler.Settings, log logger.Logger, options ...Option) (*Runner, error) {
	n := network{dial: new(net.Dialer).DialContext, listen: net.Listen}
	for _, o := range options {
		o(&n)
	}
	p := s.Platform
	transport := &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	store := adapter.New(p.Table, p.Objects, p.Hosts, time.Duration(p.Timeout), transport)
	h := new(holder.Holder)
	h.OnInstall(func(plan *planner.Plan) {
		log.Event(logger.VersionInstalled).Uint64("version", plan.Version()).Str("id", plan.ID()).Send()
	})
	pub := publisher.New(store, h)
	server, err := api.NewServer(controller.New(s, h, pub))
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "API server")
	}
	callers := http.NewServeMux()
	callers.Handle(forwarder.Prefix, forwarder.New(h, new(router.Router), n.dial))
	callers.Handle("/v1/lookup/", server)
	operators := http.NewServeMux()
	operators.Handle("/v1/", server)
	operators.Handle("/debug/vars", expvar.Handler())
	return &Runner{
		settings: s, log: log, holder: h, publisher: pub, network: n,
		caller:   newServer(s, callers),
		operator: newServer(s, operators),
	}, nil
}

func newServer(s *settler.Settings, h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		MaxHeaderBytes:    s.Limits.Headers,
		ReadHeaderTimeout: time.Duration(s.Limits.Header),
		IdleTimeout:       time.Duration(s.Limits.Idle),
	}
}

// Run serves until ctx ends, then lets the requests in flight finish.
func (r *Runner) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	servers := map[*http.Server]settler.Listener{r.caller: r.settings.Caller, r.operator: r.settings.Operator}
	for server, l := range servers {
		listener, err := r.network.listen("tcp", l.Listen)
		if err != nil {
			r.log.Event(logger.ListenFailed).Err(err).Send()
			return classifier.Invalid.Wrap(err, "listen")
		}
		g.Go(func() error { return serve(server, listener, l) })
	}
	r.log.Event(logger.HostStarted).Str("caller", r.settings.Caller.Listen).Send()
	g.Go(func() error {
		r.refresh(gctx)
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		r.log.Event(logger.HostLeaving).Send()
		for server := range servers {
			if err := server.Shutdown(context.Background()); err != nil {
				return classifier.Internal.Wrap(err, "shutdown")
			}
		}
		return nil
	})
	err := g.Wait()
	r.log.Event(logger.HostStopped).Send()
	return err
}

func serve(server *http.Server, listener net.Listener, l settler.Listener) error {
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

func (r *Runner) refresh(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		if err := r.publisher.Refresh(ctx); err != nil && ctx.Err() == nil {
			r.log.Event(logger.StoreFailed).Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
