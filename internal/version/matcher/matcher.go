// Package matcher holds one immutable version of the routes of an operator who
// writes whole configurations, and finds the route of a request.
//
//	table, err := matcher.New(version, routes, services, limits)
//	route := table.Match("shop.example", "/prices/7")
package matcher

import (
	"slices"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Class says how often the requests of a route may run.
type Class uint8

// The classes of a route.
const (
	Idempotent Class = iota // repeatable
	AtMostOnce              // runs at most once for each attempt of the caller
	Download                // repeatable, with long answers
)

// String returns the name used in logs.
func (c Class) String() string { return [...]string{"lookup", "once", "download"}[min(c, Download)] }

// Repeatable reports whether a request of the class may run more than once.
func (c Class) Repeatable() bool { return c != AtMostOnce }

// Backend is a service with its part of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route describes the requests below a prefix of a host. It is not changed
// after it was given to New.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Class          Class
	Timeout        time.Duration // the longest time a request is kept waiting
	LatencyTarget  time.Duration // answers within this time are worth most
	AttemptLimit   int           // most upstreams that one request is sent to
	Priority       int           // rank of the route, 0 is the most urgent
	Backends       []Backend     // at least one; the weights sum up to more than 0
	Regions        []string      // regions that may serve it; empty for all
	ObjectAffinity bool          // requests for one object gain from one upstream
}

// Service describes what the upstreams of a service allow.
type Service struct {
	Name     string
	ColdRate float64 // requests per second that a cold upstream bears
}

// Limits bounds what one caller may send. Zero fields mean the acceptor's
// defaults.
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
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	routes   int
	limits   Limits
}

// New checks the parts and returns the Table. Errors are of kind Invalid and
// name the route and the field.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version: version, limits: limits, routes: len(routes),
		hosts: make(map[string][]*Route), services: make(map[string]*Service, len(services)),
	}
	for i := range services {
		if services[i].Name == "" {
			return nil, classifier.Invalid.New("service %d: the name is empty", i)
		}
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
		for i := 1; i < len(list); i++ {
			if slices.ContainsFunc(list[:i], func(r *Route) bool { return r.Prefix == list[i].Prefix }) {
				return nil, classifier.Invalid.New("route %q: prefix: %q is taken by another route", list[i].Name, list[i].Prefix)
			}
		}
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return classifier.Invalid.New("route %q: host: it is empty", r.Name)
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
		return classifier.Invalid.New("route %q: weight: the sum is not above 0", r.Name)
	}
	return nil
}

// Version returns the number of the version.
func (t *Table) Version() uint64 { return t.version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routes }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// LatencyTarget returns the shortest target of the service's routes other than
// downloads, 0 if there is none.
func (t *Table) LatencyTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for _, list := range t.hosts {
		for _, r := range list {
			uses := slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
			if uses && r.Class != Download && r.LatencyTarget > 0 && (shortest == 0 || r.LatencyTarget < shortest) {
				shortest = r.LatencyTarget
			}
		}
	}
	return shortest
}

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
