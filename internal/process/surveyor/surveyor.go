// Package surveyor measures what callers ask of each service, on this host and,
// by what hosts tell each other, in each region.
package surveyor

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
)

const (
	// memory is the time in which a measured rate follows a change to 63%.
	memory = 2 * time.Second
	// lifetime is how long the demand of another host counts without news. It is
	// a few times the period of the exchanges between hosts.
	lifetime = 4 * time.Second
)

// Surveyor keeps the demand. It is safe for concurrent use.
type Surveyor struct {
	host, region string

	mu      sync.Mutex
	counts  map[string]float64 // requests since the last tick, by service
	rates   map[string]float64 // per second
	busy    map[string]float64 // slots kept busy by the own callers
	ticked  time.Time
	counter uint64
	others  map[string]entry // by host
}

type entry struct {
	demand *framer.Demand
	heard  time.Time
}

// New returns a Surveyor of a host.
func New(host, region string, now time.Time) *Surveyor {
	return &Surveyor{
		host: host, region: region, ticked: now, counter: uint64(now.UnixMilli()),
		counts: make(map[string]float64), rates: make(map[string]float64),
		busy: make(map[string]float64), others: make(map[string]entry),
	}
}

// Count adds a request for a service.
func (s *Surveyor) Count(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[service]++
}

// Tick brings the rates up to now. Work returns how long an upstream is busy
// with one request for a service.
func (s *Surveyor) Tick(now time.Time, work func(service string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dt := now.Sub(s.ticked).Seconds()
	if dt <= 0 {
		return
	}
	s.ticked = now
	s.counter++
	part := 1 - math.Exp(-dt/memory.Seconds())
	for name := range s.counts {
		s.rates[name] += 0 // a service that is new gets an entry
	}
	for name, rate := range s.rates {
		rate += part * (s.counts[name]/dt - rate)
		s.rates[name] = rate
		s.busy[name] = rate * work(name).Seconds()
	}
	clear(s.counts)
	for host, e := range s.others {
		if now.Sub(e.heard) > lifetime {
			delete(s.others, host)
		}
	}
}

// Demands returns what is known of all hosts, to be passed on.
func (s *Surveyor) Demands() []*framer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := &framer.Demand{Host: s.host, Region: s.region, Counter: s.counter}
	for name, busy := range s.busy {
		own.Services = append(own.Services, name)
		own.Busy = append(own.Busy, float32(busy))
	}
	out := []*framer.Demand{own}
	for _, e := range s.others {
		out = append(out, e.demand)
	}
	slices.SortFunc(out, func(a, b *framer.Demand) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Merge takes over what another host passed on, as far as it is newer.
func (s *Surveyor) Merge(demands []*framer.Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		if d.Host == s.host || len(d.Services) != len(d.Busy) {
			continue
		}
		if old, ok := s.others[d.Host]; ok && old.demand.Counter >= d.Counter {
			continue
		}
		s.others[d.Host] = entry{demand: d, heard: now}
	}
}

// Busy returns the slots of a service that the callers of each region keep busy.
func (s *Surveyor) Busy(service string, regions []string) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]float64, len(regions))
	add := func(region string, busy float64) {
		if i := slices.Index(regions, region); i >= 0 {
			out[i] += busy
		}
	}
	add(s.region, s.busy[service])
	for _, e := range s.others {
		if i := slices.Index(e.demand.Services, service); i >= 0 {
			add(e.demand.Region, float64(e.demand.Busy[i]))
		}
	}
	return out
}
