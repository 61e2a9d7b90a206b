// Package router chooses the region and the upstream for one request.
package router

import (
	"math/rand/v2"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Router chooses by the operator's shares. The zero Router can be used.
type Router struct{}

// Choose returns an upstream of the service.
func (*Router) Choose(s *planner.Service) (*planner.Upstream, error) {
	draw := rand.Float64()
	for i, share := range s.Shares() {
		draw -= share
		if ups := s.UpstreamsIn(i); draw < 0 && len(ups) > 0 {
			return ups[rand.IntN(len(ups))], nil
		}
	}
	return nil, classifier.Overloaded.New("service %q: no region with an upstream", s.Name())
}
