// Package forwarder carries one request from a caller to an upstream and its
// answer back.
//
// A Forwarder asks small interfaces for decisions: which upstream, whether a
// unit is free, whether a retry is allowed, whether a key was used before. It
// owns the rules that no decision may break. A request of class once is sent at
// most one time, a refusal says "not run" only if that is certain, and an answer
// reaches the caller whole or visibly broken.
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

// PathPrefix starts the path of every forwarded request; the service name follows.
const PathPrefix = "/s/"

const (
	defaultName = "dandeliontrack"
	defaultBody = 8 << 20
)

// Options configure a Forwarder. Chooser is needed; what is left out of the
// rest has no effect, except that without Claims requests with an idempotency
// key are refused.
type Options struct {
	HostName     string // of the host, in Via
	Region       string // of the host, to find the links that answers use
	MaxBodyBytes int64  // bound on request bodies and on stored answers, in bytes
	Chooser      Chooser
	Admitter     Admitter
	Budget       Budget
	Observer     Observer
	Pacer        Pacer
	Claims       ClaimStore
	Recorder     Recorder // may be nil
}

// Forwarder is an http.Handler for requests below Prefix.
type Forwarder struct {
	holder     *holder.Holder
	pool       *pool.Pool
	options    Options
	via1, via2 string
}

// New returns a Forwarder that reads the plan in force from the holder.
func New(h *holder.Holder, p *pool.Pool, o Options) *Forwarder {
	o.HostName = cmp.Or(o.HostName, defaultName)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultBody)
	fallback(&o.Admitter, Admitter(open{}))
	fallback(&o.Budget, Budget(open{}))
	fallback(&o.Observer, Observer(open{}))
	fallback(&o.Pacer, Pacer(open{}))
	fallback(&o.Claims, ClaimStore(open{}))
	return &Forwarder{holder: h, pool: p, options: o, via1: "1.1 " + o.HostName, via2: "2.0 " + o.HostName}
}

func fallback[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithFallback returns a handler that forwards requests below Prefix and leaves others
// to next. An http.ServeMux would redirect paths such as "/s/docs/a//b".
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
	x.end(err)
}

// prepare reads what the request says about itself.
func (x *exchange) prepare() error {
	f, r := x.f, x.r
	id, err := token(r.Header, "Request-Id")
	x.ids[0] = cmp.Or(id, newID())
	if err != nil {
		x.ids[0] = newID()
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
	if !x.split() {
		return classifier.NotFound.New("service %q is not defined", x.name)
	}
	most, err := timeout(r.Header, x.service.Timeout())
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

// split finds the service and the path for the upstream, which keeps its
// percent-encoding.
func (x *exchange) split() bool {
	u := x.r.URL
	rest := strings.TrimPrefix(u.Path, PathPrefix)
	name, path, _ := strings.Cut(rest, "/")
	x.name = name
	x.service = x.plan.Service(name)
	// The names of services need no encoding, so the prefix has the same length
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
