// Package steerer carries one request of a caller to an upstream of its route
// and brings the answer back.
//
// It owns the rules that no choice of an upstream may break. A request that must
// not be repeated is sent again only if the earlier attempt certainly did not
// run. A refusal says "not run" only if that is certain. An answer reaches the
// caller whole or visibly broken.
package steerer

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/internal/process/budgeter"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// ResponseMetadata is what an upstream says with its answer, besides the answer.
type ResponseMetadata struct {
	Signed  bool // the answer is the upstream's own
	NotRun  bool // the upstream did not run the request and will not
	Load    registrar.Load
	HasLoad bool // Load was given
}

// Dialect knows the names of the header fields that callers and upstreams use.
type Dialect interface {
	// RequestID returns the ID of a request or answer, "" without one.
	RequestID(h http.Header) string
	// CallerTimeout returns how long the caller will wait, and whether it said so.
	CallerTimeout(h http.Header) (time.Duration, bool)
	// ObjectKey returns what the request is about, "" if it does not say.
	ObjectKey(r *http.Request) string
	// SetUpstreamFields completes the header of a request to an upstream.
	SetUpstreamFields(h http.Header, instance string, left time.Duration)
	// ResponseMetadata reads what an upstream says with an answer.
	ResponseMetadata(status int, h http.Header) ResponseMetadata
	// SetRequestID puts the ID of a request on an answer of the host's own.
	SetRequestID(h http.Header, id string)
}

// Planner counts the requests of the host's callers and gives the parts that
// regions serve.
type Planner interface {
	CountRequest(service string)
	RegionWeights(service string, class matcher.Class) []float64
	// AllowCrossRegion reports whether a request may leave its planned region now.
	AllowCrossRegion(failing bool) bool
}

// Watchdog knows when the process was paused.
type Watchdog interface {
	// Pauses returns how often the process was paused so far.
	Pauses() uint64
	// AwaitConfirmed waits until what the host believes was confirmed after that, or ctx
	// ends.
	AwaitConfirmed(ctx context.Context)
}

// Options configure a Steerer. All are needed, except Memory, Guard, Watchdog, Log and Meter.
type Options struct {
	Dialect Dialect
	Table   func() *matcher.Table // nil without a configuration
	Regions []string              // in the order of the plan's weights
	Plan    Planner
	// ColdRate returns how many requests per second this host may send to a cold
	// upstream.
	ColdRate  func(u *registrar.Upstream, perSecond float64) float64
	Upstreams *registrar.Registrar
	Ranker    *ranker.Ranker
	Budget    *budgeter.Budgeter
	Sender    *sender.Sender
	Memory    *reserver.Reserver // for answers that are held; the default has no bound
	// Guard runs f and reports whether it panicked; nil means that panics are not
	// recovered.
	Guard    func(place string, f func()) bool
	Watchdog Watchdog // nil if pauses need no care
	Log      logger.Logger
	Meter    *meter.Meter
}

// neverPaused is the Watchdog of a process that is never paused.
type neverPaused struct{}

// Pauses implements Watchdog.
func (neverPaused) Pauses() uint64 { return 0 }

// AwaitConfirmed implements Watchdog.
func (neverPaused) AwaitConfirmed(context.Context) {}

// Steerer serves calls. It is safe for concurrent use.
type Steerer struct {
	o        Options
	splitter splitter
}

// New returns a Steerer.
func New(o Options) *Steerer {
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	if o.Guard == nil {
		o.Guard = func(_ string, f func()) bool { f(); return false }
	}
	if o.Watchdog == nil {
		o.Watchdog = neverPaused{}
	}
	if o.Memory == nil {
		o.Memory = new(reserver.Reserver)
	}
	return &Steerer{o: o}
}

// Repeatable reports whether the request may run while earlier ones of its
// connection are under way.
func (s *Steerer) Repeatable(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	t := s.o.Table()
	if t == nil {
		return false
	}
	route := t.Match(hostname(r.Host), r.URL.EscapedPath())
	return route != nil && route.Class.Repeatable()
}

const (
	// defaultTimeout bounds a request whose caller and route say nothing.
	defaultTimeout = 30 * time.Second
	// maxStreamDuration bounds an answer that is passed on as it arrives if the caller does
	// not say how long it waits. 1 GB takes that long at 27 Mbit/s.
	maxStreamDuration = 5 * time.Minute
)

// Serve implements acceptor.Handler.
func (s *Steerer) Serve(ctx context.Context, c *acceptor.Call, a *acceptor.ResponseWriter) {
	x := &exchange{s: s, ctx: ctx, call: c, response: a, id: s.o.Dialect.RequestID(c.Request.Header)}
	var err error
	if s.o.Guard("request "+x.id, func() { err = x.run() }) {
		err = errPanic
	}
	x.conclude(err)
}

func (x *exchange) run() error {
	if err := x.prepare(); err != nil {
		return err
	}
	return x.serve()
}

// prepare finds the route and the time that is left.
func (x *exchange) prepare() error {
	r := x.call.Request
	x.table = x.s.o.Table()
	if x.table == nil {
		return errNoConfiguration
	}
	x.route = x.table.Match(hostname(r.Host), r.URL.EscapedPath())
	if x.route == nil {
		return errNoRoute
	}
	routeTimeout := cmp.Or(x.route.Timeout, defaultTimeout)
	callerTimeout, ok := x.s.o.Dialect.CallerTimeout(r.Header)
	x.streamDeadline = x.call.Arrived.Add(callerTimeout)
	if !ok {
		callerTimeout = routeTimeout
		x.streamDeadline = x.call.Arrived.Add(maxStreamDuration)
	}
	x.callerDeadline = x.call.Arrived.Add(callerTimeout)
	x.deadline = x.call.Arrived.Add(min(callerTimeout, routeTimeout))
	if object := x.s.o.Dialect.ObjectKey(r); object != "" && x.route.ObjectAffinity {
		x.object = xxhash.Sum64String(object) ^ xxhash.Sum64String(x.route.Name)
	}
	x.randomKey = xxhash.Sum64String(x.id)
	x.service = x.s.splitter.pick(x.route)
	x.s.o.Budget.CountRequest(x.service, time.Now())
	x.s.o.Plan.CountRequest(x.service)
	return nil
}

// hostname returns the host without a port.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
