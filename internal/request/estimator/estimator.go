// Package estimator estimates the service times of upstreams, for each service and for
// each of its routes.
//
// The service times of the routes of one service may differ by a factor of a thousand.
// The estimate for a service tells how fast its queues drain; only responses to
// requests of the same route tell whether another request of that route can be served
// in time.
package estimator

import (
	"sync"
	"time"
)

const (
	// quantileStep is the fraction of an estimate by which one response moves it.
	quantileStep = 0.1
	// coldQuantile and warmQuantile are the quantiles of the service times that the
	// estimates follow. The samples of objects that this host takes for cold contain warm
	// ones too, because requests of other hosts may have warmed up the objects, so the
	// quantile of the cold ones is higher.
	coldQuantile = 0.8
	warmQuantile = 0.5
	// defaultColdServiceTime is the estimate for a service without a response so far. It
	// only affects the order of candidates and excludes none.
	defaultColdServiceTime = 300 * time.Millisecond
	// defaultWarmRatio is the warm service time as a fraction of the cold one, before
	// responses have shown it.
	defaultWarmRatio = 0.5
	// maxSampleAge is the age from which the last sample of a route is no longer used.
	// Without this limit, a route whose requests were once too slow would be refused for
	// ever.
	maxSampleAge = 5 * time.Second
	// maxEstimates bounds the number of services, and of routes, with an estimate. An
	// estimate of a route takes 100 bytes.
	maxEstimates = 8192
)

// ServiceTime is an estimate of the time from dispatch to the response, without the RTT
// to the upstream.
type ServiceTime struct {
	Cold, Warm time.Duration // if the object is not in the upstream's cache, or is
	Recent     bool          // based on recent requests of the same route
}

// Estimator holds the estimates of one host. It is safe for concurrent use.
type Estimator struct {
	mu       sync.RWMutex
	services map[string]*estimate
	routes   map[key]*estimate
}

type key struct{ service, route string }

// estimate is the estimate for a service or a route.
type estimate struct {
	mu          sync.Mutex
	cold, warm  float64 // seconds
	sampled     bool
	respondedAt time.Time // last response
	sampledAt   time.Time // last response or timeout
}

// New returns an Estimator without samples.
func New() *Estimator {
	return &Estimator{services: make(map[string]*estimate), routes: make(map[key]*estimate)}
}

// ObserveResponse records the service time of a request that did not wait in the
// upstream's queue.
func (e *Estimator) ObserveResponse(now time.Time, service, route string, warm bool, took time.Duration) {
	e.serviceEstimate(service).addResponse(now, warm, took)
	e.routeEstimate(service, route).addResponse(now, warm, took)
}

// ObserveTimeout records that no response arrived within the time took. It counts only
// for a route without recent responses, because a single slow upstream causes timeouts
// too.
func (e *Estimator) ObserveTimeout(now time.Time, service, route string, took time.Duration) {
	e.routeEstimate(service, route).addTimeout(now, took)
}

// ForService returns the estimated service times of a service.
func (e *Estimator) ForService(service string) (cold, warm time.Duration) {
	est := e.serviceEstimate(service).serviceTime()
	return est.Cold, est.Warm
}

// ForRoute returns the estimate for a route, or that for its service if the route has no
// recent sample.
func (e *Estimator) ForRoute(now time.Time, service, route string) ServiceTime {
	e.mu.RLock()
	est := e.routes[key{service, route}]
	e.mu.RUnlock()
	if est != nil && est.isRecent(now) {
		out := est.serviceTime()
		out.Recent = true
		return out
	}
	return e.serviceEstimate(service).serviceTime()
}

func (e *Estimator) serviceEstimate(name string) *estimate {
	return findOrCreate(e, e.services, name, newServiceEstimate)
}

func (e *Estimator) routeEstimate(service, route string) *estimate {
	return findOrCreate(e, e.routes, key{service, route}, func() *estimate { return new(estimate) })
}

// findOrCreate returns the entry of one of the maps for a key, which it creates if there
// is none. A full map is cleared first.
func findOrCreate[K comparable](e *Estimator, estimates map[K]*estimate, k K, create func() *estimate) *estimate {
	e.mu.RLock()
	est := estimates[k]
	e.mu.RUnlock()
	if est != nil {
		return est
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if est = estimates[k]; est == nil {
		if len(estimates) >= maxEstimates {
			clear(estimates)
		}
		est = create()
		estimates[k] = est
	}
	return est
}

func newServiceEstimate() *estimate {
	return &estimate{cold: defaultColdServiceTime.Seconds(), warm: defaultColdServiceTime.Seconds() * defaultWarmRatio, sampled: true}
}

func (e *estimate) addResponse(now time.Time, warm bool, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := took.Seconds()
	if !e.sampled {
		e.cold, e.warm, e.sampled = sample, sample*defaultWarmRatio, true
		if warm {
			e.cold, e.warm = sample/defaultWarmRatio, sample
		}
	}
	if warm {
		e.warm = moveQuantile(e.warm, sample, warmQuantile)
	} else {
		e.cold = moveQuantile(e.cold, sample, coldQuantile)
	}
	e.respondedAt, e.sampledAt = now, now
}

func (e *estimate) addTimeout(now time.Time, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.respondedAt) < maxSampleAge {
		return
	}
	e.cold = max(e.cold, took.Seconds())
	e.warm = max(e.warm, took.Seconds())
	e.sampled, e.sampledAt = true, now
}

func (e *estimate) isRecent(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sampled && now.Sub(e.sampledAt) < maxSampleAge
}

// serviceTime returns the current estimate. The cold service time is at least the one
// that the warm one implies.
func (e *estimate) serviceTime() ServiceTime {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ServiceTime{Cold: seconds(max(e.cold, e.warm/defaultWarmRatio)), Warm: seconds(e.warm)}
}

// moveQuantile moves the estimate of the q-quantile by one sample. The steps up and down
// balance where the fraction q of the samples is below the estimate.
func moveQuantile(estimate, sample, q float64) float64 {
	if sample > estimate {
		return min(sample, estimate*(1+quantileStep*q))
	}
	return max(sample, estimate*(1-quantileStep*(1-q)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
