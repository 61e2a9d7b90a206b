// Package forwarder forwards requests from callers to upstreams and returns the
// responses.
//
// A Forwarder delegates decisions to small interfaces: which upstream to use,
// whether a slot is free, whether a retry is allowed, whether an idempotency key
// was used before. It guarantees that an at-most-once request is sent at most one
// time, that an error reports "not run" only if that is certain, and that a
// truncated response is never delivered as complete.
package forwarder

import (
	"cmp"
	"net/http"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// PathPrefix starts the path of every forwarded request. The service name follows.
const PathPrefix = "/s/"

const (
	defaultHostName     = "dandeliontrack"
	defaultMaxBodyBytes = 8 << 20
)

// Options configures a Forwarder. Chooser is required. Without Admitter nothing
// is limited, without Budget there are no retries and hedges, and without Claims
// requests with an idempotency key are rejected.
type Options struct {
	HostName     string // used in Via
	Region       string // of the host, to find the links to and from upstreams
	MaxBodyBytes int64  // limit for request bodies and stored responses
	Chooser      Chooser
	Admitter     Admitter
	Budget       Budget
	Observer     Observer
	Pacer        Pacer
	Claims       ClaimStore
	Recorder     Recorder // may be nil
}

// Forwarder is an http.Handler for requests below PathPrefix.
type Forwarder struct {
	holder     *holder.Holder
	pool       *pool.Pool
	options    Options
	via1, via2 string
}

// New returns a Forwarder that reads the current plan from the holder.
func New(h *holder.Holder, p *pool.Pool, o Options) *Forwarder {
	o.HostName = cmp.Or(o.HostName, defaultHostName)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&o.Admitter, Admitter(open{}))
	setDefault(&o.Budget, Budget(open{}))
	setDefault(&o.Observer, Observer(open{}))
	setDefault(&o.Pacer, Pacer(open{}))
	setDefault(&o.Claims, ClaimStore(open{}))
	return &Forwarder{holder: h, pool: p, options: o, via1: "1.1 " + o.HostName, via2: "2.0 " + o.HostName}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithFallback returns a handler that forwards requests below PathPrefix and passes
// others to next. An http.ServeMux would redirect paths such as "/s/docs/a//b".
func (f *Forwarder) WithFallback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, PathPrefix) {
			f.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, start: time.Now()}
	err := x.prepare()
	if err == nil {
		err = x.serve()
	}
	x.finish(err)
}

// prepare validates the request and sets the fields of x that come from it.
func (x *exchange) prepare() error {
	f, r := x.f, x.r
	id, err := token(r.Header, "Request-Id")
	x.ids[0] = cmp.Or(id, newRequestID())
	if err != nil {
		x.ids[0] = newRequestID()
	}
	if f.options.Recorder != nil {
		x.steps = f.options.Recorder.Start(x.ids[0], x.start)
	}
	if err != nil {
		return err
	}
	if err := f.checkCaller(r); err != nil {
		return err
	}
	x.plan = f.holder.Plan()
	if !x.splitPath() {
		return classifier.NotFound.New("service %q is not defined", x.name)
	}
	most, err := requestTimeout(r.Header, x.service.Timeout())
	if err != nil {
		return err
	}
	x.deadline = x.start.Add(most)
	account, err := token(r.Header, "Customer")
	if err != nil {
		return err
	}
	if x.key, err = token(r.Header, "Idempotency-Key"); err != nil {
		return err
	}
	x.account = x.plan.ClientAccount(account)
	x.class = x.service.ClassOf(r.Method, x.path)
	x.steps.SetRequest(x.service, x.class, x.account.Name(), x.plan.Version())
	if r.Body != nil && r.Body != http.NoBody {
		x.upload = newUpload(x.w, r, f.options.MaxBodyBytes)
	}
	f.options.Budget.CountRequest(x.start, x.service)
	return nil
}

// splitPath sets the service and the path for the upstream, which keeps its
// percent-encoding. It reports whether the service exists.
func (x *exchange) splitPath() bool {
	u := x.r.URL
	rest := strings.TrimPrefix(u.Path, PathPrefix)
	name, path, _ := strings.Cut(rest, "/")
	x.name = name
	x.service = x.plan.Service(name)
	// Service names need no percent-encoding, so the prefix has the same length
	// in the encoded path.
	head := len(u.Path) - len(path)
	x.path = path
	if path == "" || u.Path[head-1] != '/' {
		x.path = "/"
	} else {
		x.path = u.Path[head-1:]
	}
	if raw := u.RawPath; raw != "" {
		if len(raw) < head || raw[:head] != u.Path[:head] {
			return false
		}
		x.raw = raw[head-1:]
	}
	return x.service != nil
}
