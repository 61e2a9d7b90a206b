// Package surveyor measures what callers ask of each service, on this host and,
// by what hosts tell each other, in each region. One host of a region sums up
// what the others tell it, so that messages stay short in a large fleet.
package surveyor

import (
	"math"
	"slices"
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
	// busyMost is above what all upstreams of a service could be busy with.
	busyMost = 1e6
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
	hosts   map[string]entry // other hosts of the own region that told this one
	regions map[string]entry // sums by region
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
		busy: make(map[string]float64), hosts: make(map[string]entry), regions: make(map[string]entry),
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
	for _, entries := range []map[string]entry{s.hosts, s.regions} {
		for key, e := range entries {
			if now.Sub(e.heard) > lifetime {
				delete(entries, key)
			}
		}
	}
}

// Demands returns what another host is told: the host's own demand, or, if this
// host sums up its region, the sums of all regions that are known.
func (s *Surveyor) Demands(sums bool, now time.Time) []*framer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sums {
		return []*framer.Demand{demand(s.host, s.region, s.counter, s.busy)}
	}
	out := []*framer.Demand{demand("", s.region, uint64(now.UnixMilli()), s.sum())}
	for region, e := range s.regions {
		if region != s.region {
			out = append(out, e.demand)
		}
	}
	return out
}

func demand(host, region string, counter uint64, busy map[string]float64) *framer.Demand {
	d := &framer.Demand{Host: host, Region: region, Counter: counter}
	for name, b := range busy {
		d.Services = append(d.Services, name)
		d.Busy = append(d.Busy, float32(b))
	}
	return d
}

// sum returns the demand of the hosts of the own region that told it. Called
// with mu held.
func (s *Surveyor) sum() map[string]float64 {
	out := make(map[string]float64, len(s.busy))
	for name, b := range s.busy {
		out[name] = b
	}
	for _, e := range s.hosts {
		for i, name := range e.demand.Services {
			out[name] += float64(e.demand.Busy[i])
		}
	}
	return out
}

// sound reports whether a demand can be summed up. One that is not a number would
// spread to the plans of all services.
func sound(d *framer.Demand) bool {
	for _, b := range d.Busy {
		if !(b >= 0 && b <= busyMost) {
			return false
		}
	}
	return len(d.Services) == len(d.Busy)
}

// Merge takes over what another host told, as far as it is newer.
func (s *Surveyor) Merge(demands []*framer.Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		if d.Host == s.host || !sound(d) {
			continue
		}
		entries, key := s.hosts, d.Host
		if d.Host == "" {
			entries, key = s.regions, d.Region
		} else if d.Region != s.region {
			continue
		}
		if old, ok := entries[key]; ok && old.demand.Counter >= d.Counter {
			continue
		}
		entries[key] = entry{demand: d, heard: now}
	}
}

// BusySlots returns the slots of a service that the callers of each region keep busy.
// Sums says whether this host sums up its region itself.
func (s *Surveyor) BusySlots(service string, regions []string, sums bool) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]float64, len(regions))
	for i, region := range regions {
		e, ok := s.regions[region]
		switch {
		case region == s.region && (sums || !ok):
			out[i] = s.sum()[service]
		case ok:
			if at := slices.Index(e.demand.Services, service); at >= 0 {
				out[i] = float64(e.demand.Busy[at])
			}
		}
	}
	return out
}
