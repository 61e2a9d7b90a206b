// Package steerer proxies requests: it sends a request of a caller to an upstream of its
// route, retries and hedges it, and returns the response.
//
// It enforces the rules that hold for any choice of upstreams. A request that must not be
// repeated is sent again only if the earlier attempt certainly did not run. A refusal says
// "not run" only if that is certain. A response reaches the caller either complete or
// recognizably truncated.
package steerer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/admission/recognizer"
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

// ResponseMetadata is what an upstream reports in the header of a response.
type ResponseMetadata struct {
	Signed  bool // the upstream itself produced the response
	NotRun  bool // the upstream has not run the request and will not
	Load    registrar.Load
	HasLoad bool // Load was reported
	// ConflictingIDs means that the response has the IDs of more than one request.
	ConflictingIDs bool
	// RateLimit is the rate limit that the upstream states, if HasRateLimit is set.
	RateLimit    registrar.RateLimit
	HasRateLimit bool
	// InvalidRateLimit is the text of a rate limit that cannot be read.
	InvalidRateLimit string
	// Leaving means that the upstream is leaving and must get no new requests.
	Leaving bool
	// InvalidLeaving is the text of such a statement that cannot be read.
	InvalidLeaving string
}

// Dialect reads and writes the header fields that callers and upstreams use.
type Dialect interface {
	// RequestID returns the ID of a request or response, or "" without one.
	RequestID(h http.Header) string
	// CallerTimeout returns how long the caller waits for a response, and whether the
	// request says so.
	CallerTimeout(h http.Header) (time.Duration, bool)
	// ObjectKey returns the key of the object that the request refers to, or "" without
	// one.
	ObjectKey(r *http.Request) string
	// SetUpstreamFields sets the fields of a request to the upstream instance that has the
	// remaining time to respond.
	SetUpstreamFields(h http.Header, instance string, remaining time.Duration)
	// ResponseMetadata returns what an upstream reports in a response.
	ResponseMetadata(status int, h http.Header) ResponseMetadata
	// AccountKey returns the key of the caller's client account, or "" without one.
	AccountKey(h http.Header) string
	// AuthenticationScheme returns the name of the scheme by which callers send that key.
	AuthenticationScheme() string
	// SetAccount removes the key of the caller's client account, and a name that the caller
	// sent, from a request to an upstream, and sets the name of the account unless it is "".
	SetAccount(h http.Header, account string)
	// SetRequestID sets the ID of a request in a response that the host itself produces.
	SetRequestID(h http.Header, id string)
}

// Planner counts the requests of the host's callers and plans which regions serve them.
type Planner interface {
	// CountRequest counts a request for a service. It is called once per request.
	CountRequest(service string)
	// RegionWeights returns the planned fraction of the requests for each region, in the
	// order of Options.Regions.
	RegionWeights(service string, class matcher.Class) []float64
	// AllowCrossRegion reports whether a request may leave its planned region now, and
	// counts it if so. Failing means that upstreams of that region fail.
	AllowCrossRegion(failing bool) bool
}

// Quotas limits the requests of client accounts.
type Quotas interface {
	// Allow reports whether a request of the account is within its quota, and counts it if so.
	Allow(account string, now time.Time) bool
	// Return undoes the count of a request that was allowed at a time, has not run and will not.
	Return(account string, allowed, now time.Time)
	// UntilAllowed returns the time until this host is expected to allow a request of the account.
	UntilAllowed(account string, now time.Time) time.Duration
}

// Watchdog detects pauses of the process.
type Watchdog interface {
	// Pauses returns how often the process was paused so far.
	Pauses() uint64
	// AwaitConfirmed waits until the state of the host was confirmed after the last pause,
	// or ctx ends.
	AwaitConfirmed(ctx context.Context)
}

// Options configure a Steerer. ConfigurationCurrent, Quotas, Admission, Memory, Streams, Guard, Watchdog, Log and Meter are optional.
type Options struct {
	Dialect Dialect
	Table   func() *matcher.Table // nil without a configuration
	// ConfigurationCurrent reports whether Table was confirmed to be the newest a short time ago.
	// Otherwise a key that Table doesn't hold may be new. Nil means that it always is.
	ConfigurationCurrent func() bool
	Quotas               Quotas    // nil means that accounts have no quota
	Admission            Admission // nil means that all requests have the usual queue limit
	Regions              []string  // in the order of the plan's weights
	Plan                 Planner
	// ColdRate returns how many requests per second this host may send to a cold upstream
	// with a capacity of perSecond requests per second.
	ColdRate func(u *registrar.Upstream, perSecond float64) float64
	// RateShare returns the part of the rate limit of an upstream that this host may use.
	// The default is the whole limit.
	RateShare func(u *registrar.Upstream) registrar.RateShare
	Upstreams *registrar.Registrar
	Ranker    *ranker.Ranker
	Budget    *budgeter.Budgeter
	Sender    *sender.Sender
	Memory    *reserver.Reserver // for buffered bodies; the default has no bound
	// Streams bounds the memory for responses that are passed on as they arrive; the default
	// has no bound. Each takes StreamBytes, the most that the connection to its upstream may
	// hold while the caller doesn't read, and a buffer to copy from.
	Streams     *reserver.Reserver
	StreamBytes int64
	// Guard runs f, recovers a panic of it and reports whether there was one; place names
	// f in logs. Nil means that panics are not recovered.
	Guard    func(place string, f func()) bool
	Watchdog Watchdog // nil means that the process is never paused
	Log      logger.Logger
	Meter    *meter.Meter
}

// neverPaused is the Watchdog of a process that is never paused.
type neverPaused struct{}

// Pauses implements Watchdog.
func (neverPaused) Pauses() uint64 { return 0 }

// AwaitConfirmed implements Watchdog.
func (neverPaused) AwaitConfirmed(context.Context) {}

// Steerer proxies requests to upstreams. It is safe for concurrent use.
type Steerer struct {
	options  Options
	splitter splitter
	returns  recognizer.Recognizer
}

// New returns a Steerer.
func New(o Options) *Steerer {
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	if o.ConfigurationCurrent == nil {
		o.ConfigurationCurrent = func() bool { return true }
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
	if o.Streams == nil {
		o.Streams = new(reserver.Reserver)
	}
	return &Steerer{options: o}
}

// Repeatable reports whether the request may run more than once, and therefore while
// earlier requests of its connection are in flight.
func (s *Steerer) Repeatable(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	t := s.options.Table()
	if t == nil {
		return false
	}
	route := t.Match(r.Host, r.URL.EscapedPath())
	return route != nil && route.Class.Repeatable()
}

const (
	// defaultTimeout is the time limit of a request if neither its caller nor its route
	// sets one.
	defaultTimeout = 30 * time.Second
	// maxStreamDuration is the time limit of a streamed response if the caller does not
	// set one. 1 GB takes that long at 27 Mbit/s.
	maxStreamDuration = 5 * time.Minute
)

// Serve implements acceptor.Handler.
func (s *Steerer) Serve(ctx context.Context, c *acceptor.Call, w *acceptor.ResponseWriter) {
	x := &exchange{s: s, ctx: ctx, call: c, response: w, id: s.options.Dialect.RequestID(c.Request.Header)}
	var err error
	if s.options.Guard("request "+x.id, func() { err = x.run() }) {
		err = errPanic
	}
	x.conclude(err)
}

func (x *exchange) run() error {
	if err := x.prepare(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.admit()
	return x.serve()
}

// prepare finds the route and service of the request, and sets its deadlines.
func (x *exchange) prepare() error {
	r := x.call.Request
	x.table = x.s.options.Table()
	if x.table == nil {
		return errNoConfiguration
	}
	x.route = x.table.Match(r.Host, r.URL.EscapedPath())
	if x.route == nil {
		return errNoRoute
	}
	if err := x.identifyAccount(); err != nil {
		return err
	}
	routeTimeout := cmp.Or(x.route.Timeout, defaultTimeout)
	callerTimeout, ok := x.s.options.Dialect.CallerTimeout(r.Header)
	x.streamDeadline = x.call.Arrived.Add(callerTimeout)
	if !ok {
		callerTimeout = routeTimeout
		x.streamDeadline = x.call.Arrived.Add(maxStreamDuration)
	}
	x.callerDeadline = x.call.Arrived.Add(callerTimeout)
	x.deadline = x.call.Arrived.Add(min(callerTimeout, routeTimeout))
	if object := x.s.options.Dialect.ObjectKey(r); object != "" && x.route.ObjectAffinity {
		x.object = xxhash.Sum64String(object) ^ xxhash.Sum64String(x.route.Name)
	}
	x.randomKey = xxhash.Sum64String(x.id)
	x.service = x.s.splitter.pick(x.route)
	x.s.options.Budget.CountRequest(x.service, time.Now())
	x.s.options.Plan.CountRequest(x.service)
	return nil
}

// identifyAccount finds the client account of the request. A key decides about the account also
// on a public route, which needs none.
func (x *exchange) identifyAccount() error {
	accounts := x.table.Accounts()
	if accounts == nil {
		return nil
	}
	x.account = accounts.Find(x.s.options.Dialect.AccountKey(x.call.Request.Header))
	switch {
	case x.account == nil && x.route.Public:
		return nil
	case x.account == nil && !x.s.options.ConfigurationCurrent():
		return errUnconfirmedKey
	case x.account == nil:
		return errUnknownKey
	case x.s.options.Quotas != nil && x.account.Quota.Limited():
		return x.checkQuota()
	}
	return nil
}

// checkQuota counts the request in the quota of its account, or refuses it.
func (x *exchange) checkQuota() error {
	// After a pause of the process, other hosts may use this host's part of the quota.
	x.s.options.Watchdog.AwaitConfirmed(x.ctx)
	q, now := x.s.options.Quotas, time.Now()
	if q.Allow(x.account.Name, now) {
		x.allowedAt = now
		return nil
	}
	x.noUpstream.UntilCapacity = q.UntilAllowed(x.account.Name, now)
	return errOverQuota
}

// accountName returns the name of the client account of the request, or "" without one.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// urgency returns the urgency of the request, 0 for the most urgent.
func (x *exchange) urgency() int {
	if x.account != nil && x.account.HasUrgency {
		return x.account.Urgency
	}
	return x.route.Priority
}

// allowsRegion reports whether upstreams of a region may serve the request.
func (x *exchange) allowsRegion(region string) bool {
	if len(x.route.Regions) > 0 && !slices.Contains(x.route.Regions, region) {
		return false
	}
	return x.account == nil || len(x.account.Regions) == 0 || slices.Contains(x.account.Regions, region)
}

// restrictsRegions reports whether some regions may not serve the request.
func (x *exchange) restrictsRegions() bool {
	return len(x.route.Regions) > 0 || (x.account != nil && len(x.account.Regions) > 0)
}
