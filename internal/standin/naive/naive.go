// Package naive holds the baseline that the Router is compared with: regions by
// the operator's shares and health at once, upstreams in turn, limits divided
// by the number of live hosts, three retries and total timeouts. It keeps no
// cap, trusts its host count, and knows only the health endpoint.
package naive

import (
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Retries is the number of retries after every failed attempt, whatever failed.
const Retries = 3

// Chooser is what the Router and the baseline have in common.
type Chooser interface {
	Choose(now time.Time, q *router.Query) (router.Choice, error)
}

// Flights counts this host's requests at an upstream.
type Flights interface {
	InFlight(u *planner.Upstream) int
}

// Naive chooses. All methods are safe for concurrent use.
type Naive struct {
	flights Flights
	gauge   router.Gauge
	live    func() int
	turn    atomic.Uint64
}

// New returns a Naive that reads the number of live hosts from live.
func New(f Flights, g router.Gauge, live func() int) *Naive {
	return &Naive{flights: f, gauge: g, live: live}
}

// Choose returns the next upstream in turn of a region drawn by weight. An
// error is of kind Overloaded.
func (n *Naive) Choose(now time.Time, q *router.Query) (router.Choice, error) {
	weights := make([]float64, len(q.Service.Shares()))
	sum := 0.0
	for i, w := range q.Service.Shares() {
		if n.gauge.Region(q.Service, i) != gauger.Failed {
			weights[i] = w
			sum += w
		}
	}
	point := float64(q.Hash>>11) / (1 << 53) * sum
	for i, w := range weights {
		if point -= w; point >= 0 || w == 0 {
			continue
		}
		if u := n.next(now, q.Service.UpstreamsIn(i)); u != nil {
			return router.NewChoice(u), nil
		}
		break
	}
	return router.Choice{}, classifier.Overloaded.New("service %q: no upstream below its limit", q.Service.Name())
}

func (n *Naive) next(now time.Time, ups []*planner.Upstream) *planner.Upstream {
	for range ups {
		u := ups[n.turn.Add(1)%uint64(len(ups))]
		if n.healthy(n.gauge.Read(u, now)) && n.flights.InFlight(u) < Limit(u, n.live()) {
			return u
		}
	}
	return nil
}

// healthy uses only what the health endpoint says.
func (*Naive) healthy(r gauger.Reading) bool {
	return r.State() != gauger.Failed && (r.Left() == 0 || r.Sign() != gauger.HealthSign)
}

// Limit returns a host's part of the upstream's slots, at least 1.
func Limit(u *planner.Upstream, live int) int { return max(u.Slots()/max(live, 1), 1) }

// Timeout returns the time for the whole request, however it progresses.
func (*Naive) Timeout(s *planner.Service) time.Duration { return s.Timeout() }

// Retry reports whether attempt number n, from 1, is followed by another.
func (*Naive) Retry(n int) bool { return n <= Retries }
