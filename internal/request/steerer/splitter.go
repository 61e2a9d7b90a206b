package steerer

import (
	"sync"

	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// splitter deals the requests of a route out to its services by weight, evenly
// in every short run of requests, so that the parts hold without many requests.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*shares
}

type shares struct {
	route  *matcher.Route
	credit []float64
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
		s.routes = make(map[string]*shares)
	}
	sh := s.routes[r.Name]
	if sh == nil || sh.route != r {
		sh = &shares{route: r, credit: make([]float64, len(r.Backends))}
		s.routes[r.Name] = sh
	}
	total, best := 0.0, 0
	for i, b := range r.Backends {
		total += b.Weight
		sh.credit[i] += b.Weight
		if sh.credit[i] > sh.credit[best] {
			best = i
		}
	}
	sh.credit[best] -= total
	return r.Backends[best].Service
}
