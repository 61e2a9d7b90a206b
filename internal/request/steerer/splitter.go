package steerer

import (
	"sync"

	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// splitter deals the requests of a route out to its services by weight, evenly
// in every short run of requests, so that the parts hold without many requests.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*routeState
}

type routeState struct {
	route          *matcher.Route
	currentWeights []float64
}

// pick returns the service for the next request of the route: the one that is
// behind its part by most (smooth weighted round robin).
func (s *splitter) pick(r *matcher.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[string]*routeState)
	}
	sh := s.routes[r.Name]
	if sh == nil || sh.route != r {
		sh = &routeState{route: r, currentWeights: make([]float64, len(r.Backends))}
		s.routes[r.Name] = sh
	}
	total, best := 0.0, 0
	for i, b := range r.Backends {
		total += b.Weight
		sh.currentWeights[i] += b.Weight
		if sh.currentWeights[i] > sh.currentWeights[best] {
			best = i
		}
	}
	sh.currentWeights[best] -= total
	return r.Backends[best].Service
}
