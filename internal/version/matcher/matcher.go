// Package matcher holds one immutable version of an operator's routes, for platforms whose
// operators replace the whole configuration at once, and finds the route of a request.
//
//	table, err := matcher.New(version, routes, services, limits)
//	route := table.Match("shop.example", "/prices/7")
package matcher

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/internal/version/normalizer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Class says whether an upstream may run a request of a route more than once.
type Class uint8

// The classes of a route.
const (
	Idempotent Class = iota // may run more than once
	AtMostOnce              // runs at most once for each attempt of the caller
	Download                // may run more than once, has large responses
	Upload                  // runs at most once as AtMostOnce, has large requests
)

// String returns the name used in logs.
func (c Class) String() string {
	return [...]string{"lookup", "once", "download", "upload"}[min(c, Upload)]
}

// Repeatable reports whether a request of the class may run more than once.
func (c Class) Repeatable() bool { return c == Idempotent || c == Download }

// Large reports whether requests or responses of the class are large, so that sending them to
// another region costs bandwidth.
func (c Class) Large() bool { return c == Download || c == Upload }

// Backend is a service with its weight in the split of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route describes the requests to a host whose paths begin with a prefix. It must not be
// modified after it was passed to New.
type Route struct {
	Name           string
	Host           string // in any spelling, see package normalizer
	Prefix         string // begins and ends with a slash
	Class          Class
	UnknownClass   string        // the class as configured, if it is unknown; Class is AtMostOnce then
	Timeout        time.Duration // maximum time that a request waits for its response
	LatencyTarget  time.Duration // response time to aim at; 0 for none
	AttemptLimit   int           // maximum number of upstreams that a request is sent to
	Priority       int           // 0 is the highest
	Public         bool          // requests need no key of a client account
	Backends       []Backend     // at least one; the sum of the weights must be above 0
	Regions        []string      // regions whose upstreams may serve it; empty for all
	ObjectAffinity bool          // prefer one upstream for all requests for an object
}

// Service describes the upstreams of a service.
type Service struct {
	Name     string
	ColdRate float64 // capacity of a cold upstream in requests per second
}

// Limits bounds what a caller may send. Zero fields stand for the defaults of package
// acceptor.
type Limits struct {
	MaxHeaderBytes int   // bytes
	MaxBodyBytes   int64 // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routes. It is immutable and safe for concurrent
// use.
type Table struct {
	version  uint64
	hosts    map[normalizer.Name][]*Route // longest prefix first
	services map[string]*Service
	routes   int
	limits   Limits
	accounts *authenticator.Authenticator
}

// New validates its arguments and returns a Table of them. Its errors are of kind Invalid
// and name the service, or the route and the field.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version: version, limits: limits, routes: len(routes),
		hosts: make(map[normalizer.Name][]*Route), services: make(map[string]*Service, len(services)),
	}
	for i := range services {
		if services[i].Name == "" {
			return nil, classifier.Invalid.New("service %d: name is empty", i)
		}
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		host, err := normalizer.New(r.Host)
		if err != nil {
			return nil, classifier.Invalid.Wrap(err, "route "+strconv.Quote(r.Name))
		}
		for _, other := range t.hosts[host] {
			if other.Prefix == r.Prefix {
				return nil, classifier.Invalid.New("route %q: prefix %q of host %q is already used by route %q, host %q", r.Name, r.Prefix, r.Host, other.Name, other.Host)
			}
		}
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return classifier.Invalid.New("route %q: host is empty", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return classifier.Invalid.New("route %q: prefix: %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.AttemptLimit < 1:
		return classifier.Invalid.New("route %q: attempts: %d is below 1", r.Name, r.AttemptLimit)
	case r.Timeout <= 0:
		return classifier.Invalid.New("route %q: timeout: %v is not above 0", r.Name, r.Timeout)
	}
	total := 0.0
	for _, b := range r.Backends {
		if t.services[b.Service] == nil {
			return classifier.Invalid.New("route %q: service: %q is not defined", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return classifier.Invalid.New("route %q: weight: %v is below 0", r.Name, b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		return classifier.Invalid.New("route %q: weight: the sum of the weights must be above 0", r.Name)
	}
	return nil
}

// WithAccounts returns a copy of the table whose routes require a key of one of the accounts,
// unless they are public.
func (t *Table) WithAccounts(a *authenticator.Authenticator) *Table {
	out := *t
	out.accounts = a
	return &out
}

// Accounts returns the client accounts, or nil if requests need no key.
func (t *Table) Accounts() *authenticator.Authenticator { return t.accounts }

// Version returns the version number.
func (t *Table) Version() uint64 { return t.version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routes }

// UnknownClasses returns the routes whose class is unknown.
func (t *Table) UnknownClasses() []*Route {
	var out []*Route
	for _, list := range t.hosts {
		for _, r := range list {
			if r.UnknownClass != "" {
				out = append(out, r)
			}
		}
	}
	return out
}

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// LatencyTarget returns the shortest latency target of the routes to a service, apart from those
// with large requests or responses, and 0 if there is none.
func (t *Table) LatencyTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for _, list := range t.hosts {
		for _, r := range list {
			uses := slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
			if uses && !r.Class.Large() && r.LatencyTarget > 0 && (shortest == 0 || r.LatencyTarget < shortest) {
				shortest = r.LatencyTarget
			}
		}
	}
	return shortest
}

// Urgencies returns the urgencies of the requests that each service may get, in ascending order.
func (t *Table) Urgencies() map[string][]int {
	out := make(map[string][]int)
	for _, list := range t.hosts {
		for _, r := range list {
			for _, b := range r.Backends {
				out[b.Service] = append(out[b.Service], r.Priority)
			}
		}
	}
	for service, urgencies := range out {
		if t.accounts != nil {
			for _, a := range t.accounts.Accounts() {
				if a.HasUrgency {
					urgencies = append(urgencies, a.Urgency)
				}
			}
		}
		slices.Sort(urgencies)
		out[service] = slices.Compact(urgencies)
	}
	return out
}

// Match returns the route of the host with the longest prefix of the path, or nil if there
// is none. The host may be spelled as in a request, with or without a port. One that is
// malformed has no route.
func (t *Table) Match(host, path string) *Route {
	name, err := normalizer.New(host)
	if err != nil {
		return nil
	}
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
