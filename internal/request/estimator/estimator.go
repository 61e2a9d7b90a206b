// Package estimator estimates how long upstreams work on requests, for each
// service and for each of its routes.
//
// Routes of one service may differ a thousandfold in their work. The estimate of a
// service says how fast its queues move; only answers of a request's own route say
// whether another request of that route can be answered in time.
package estimator

import (
	"sync"
	"time"
)

const (
	// step is the part of an estimate by which one answer moves it.
	step = 0.1
	// coldQuantile and warmQuantile are the parts of the answers that are quicker
	// than the estimates. Answers of objects that this host does not know mix both
	// kinds of work, because other hosts may have taught them.
	coldQuantile = 0.8
	warmQuantile = 0.5
	// defaultWork is the estimate of cold work of a service before an answer has
	// shown it. It only orders candidates and excludes none.
	defaultWork = 300 * time.Millisecond
	// defaultGain is the part of cold work that an upstream saves that
	// remembers the object, before answers have shown it.
	defaultGain = 0.5
	// evidenceAge is the age from which the last sample of a route says nothing about
	// the next request. Without an end, a route whose requests were too slow once
	// would be refused for good.
	evidenceAge = 5 * time.Second
	// routesMost bounds the routes with an estimate: 100 bytes each.
	routesMost = 8192
)

// ServiceTime is an estimate of the time from dispatch to the answer, without the way to
// the upstream.
type ServiceTime struct {
	Cold, Warm time.Duration // on an object that is new to the upstream, or known to it
	Recent     bool          // requests of the same route showed it lately
}

// Estimator keeps the estimates of one host. It is safe for concurrent use.
type Estimator struct {
	mu       sync.RWMutex
	services map[string]*work
	routes   map[key]*work
}

type key struct{ service, route string }

type work struct {
	mu         sync.Mutex
	cold, warm float64 // seconds
	sampled    bool
	answered   time.Time // last answer
	sampleAt   time.Time // last answer or expiry
}

// New returns an Estimator without samples.
func New() *Estimator {
	return &Estimator{services: make(map[string]*work), routes: make(map[key]*work)}
}

// ObserveResponse records how long an answer took that did not wait at its upstream.
func (e *Estimator) ObserveResponse(now time.Time, service, route string, warm bool, took time.Duration) {
	e.service(service).answer(now, warm, took)
	e.route(service, route).answer(now, warm, took)
}

// ObserveTimeout records that no answer came within a time. It counts only for a route
// without recent answers, because a single slow upstream exceeds the time as well.
func (e *Estimator) ObserveTimeout(now time.Time, service, route string, took time.Duration) {
	e.route(service, route).exceed(now, took)
}

// ForService returns the estimate of a service.
func (e *Estimator) ForService(service string) (cold, warm time.Duration) {
	w := e.service(service).estimate()
	return w.Cold, w.Warm
}

// ForRoute returns the estimate of a route, or that of its service if requests of the
// route showed none lately.
func (e *Estimator) ForRoute(now time.Time, service, route string) ServiceTime {
	e.mu.RLock()
	w := e.routes[key{service, route}]
	e.mu.RUnlock()
	if w != nil && w.recent(now) {
		out := w.estimate()
		out.Recent = true
		return out
	}
	return e.service(service).estimate()
}

func (e *Estimator) service(name string) *work { return find(e, e.services, name, newWork) }

func (e *Estimator) route(service, route string) *work {
	return find(e, e.routes, key{service, route}, func() *work { return new(work) })
}

// find returns an entry of one of the maps, which it makes if there is none.
func find[K comparable](e *Estimator, works map[K]*work, k K, build func() *work) *work {
	e.mu.RLock()
	w := works[k]
	e.mu.RUnlock()
	if w != nil {
		return w
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w = works[k]; w == nil {
		if len(works) >= routesMost {
			clear(works)
		}
		w = build()
		works[k] = w
	}
	return w
}

func newWork() *work {
	return &work{cold: defaultWork.Seconds(), warm: defaultWork.Seconds() * defaultGain, sampled: true}
}

func (w *work) answer(now time.Time, warm bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sample := took.Seconds()
	if !w.sampled {
		w.cold, w.warm, w.sampled = sample, sample*defaultGain, true
		if warm {
			w.cold, w.warm = sample/defaultGain, sample
		}
	}
	if warm {
		w.warm = quantile(w.warm, sample, warmQuantile)
	} else {
		w.cold = quantile(w.cold, sample, coldQuantile)
	}
	w.answered, w.sampleAt = now, now
}

func (w *work) exceed(now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.answered) < evidenceAge {
		return
	}
	w.cold = max(w.cold, took.Seconds())
	w.warm = max(w.warm, took.Seconds())
	w.sampled, w.sampleAt = true, now
}

func (w *work) recent(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sampled && now.Sub(w.sampleAt) < evidenceAge
}

func (w *work) estimate() ServiceTime {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ServiceTime{Cold: seconds(max(w.cold, w.warm/defaultGain)), Warm: seconds(w.warm)}
}

// quantile moves the estimate of a quantile by one sample, up or down so that it
// rests where the part q of the samples is below it.
func quantile(estimate, sample, q float64) float64 {
	if sample > estimate {
		return min(sample, estimate*(1+step*q))
	}
	return max(sample, estimate*(1-step*(1-q)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
