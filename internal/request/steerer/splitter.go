package steerer

import (
	"sync"

	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// splitter distributes the requests of a route over its services by weight. The fractions
// hold in every short sequence of requests, not only on average.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*routeState
}

// routeState is the state of smooth weighted round robin for one route.
type routeState struct {
	route          *matcher.Route
	currentWeights []float64
}

// pick returns the service for the next request of the route: the one that is furthest
// below its fraction of the requests (smooth weighted round robin).
func (s *splitter) pick(r *matcher.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[string]*routeState)
	}
	state := s.routes[r.Name]
	if state == nil || state.route != r {
		state = &routeState{route: r, currentWeights: make([]float64, len(r.Backends))}
		s.routes[r.Name] = state
	}
	total, best := 0.0, 0
	for i, b := range r.Backends {
		total += b.Weight
		state.currentWeights[i] += b.Weight
		if state.currentWeights[i] > state.currentWeights[best] {
			best = i
		}
	}
	state.currentWeights[best] -= total
	return r.Backends[best].Service
}
