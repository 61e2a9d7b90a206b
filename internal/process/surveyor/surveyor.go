// Package surveyor measures the demand for each service, on this host and, by messages
// between hosts, in each region. One host of a region sums up the demand of the others, so
// that the messages to other regions stay short in a large fleet.
package surveyor

import (
	"math"
	"slices"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
)

const (
	// rateTimeConstant is the time constant of the moving average of request rates: the
	// time after which it has followed 63% of a step.
	rateTimeConstant = 2 * time.Second
	// maxDemandAge is how long the demand of another host or region counts without an
	// update. It is a few times the time that a change takes to spread by syncs between
	// hosts.
	maxDemandAge = 4 * time.Second
	// maxBusySlots exceeds the number of slots of all upstreams of a service. A larger
	// demand is invalid.
	maxBusySlots = 1e6
)

// Surveyor measures and keeps the demand. It is safe for concurrent use.
type Surveyor struct {
	host, region string

	mu       sync.Mutex
	counts   map[string]float64 // requests since the last tick, by service
	rates    map[string]float64 // requests per second, by service
	busy     map[string]float64 // slots that requests of this host keep busy, by service
	lastTick time.Time
	counter  uint64
	hosts    map[string]entry // demand of other hosts of the own region, by host
	regions  map[string]entry // total demand, by region
}

type entry struct {
	demand   *framer.Demand
	received time.Time
}

// New returns a Surveyor for a host without demand.
func New(host, region string, now time.Time) *Surveyor {
	return &Surveyor{
		host: host, region: region, lastTick: now, counter: uint64(now.UnixMilli()),
		counts: make(map[string]float64), rates: make(map[string]float64),
		busy: make(map[string]float64), hosts: make(map[string]entry), regions: make(map[string]entry),
	}
}

// CountRequest counts a request for a service.
func (s *Surveyor) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[service]++
}

// Tick updates the rates with the requests that were counted since the last call, and
// removes expired demand of others. serviceTime returns how long an upstream runs one
// request for a service.
func (s *Surveyor) Tick(now time.Time, serviceTime func(service string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dt := now.Sub(s.lastTick).Seconds()
	if dt <= 0 {
		return
	}
	s.lastTick = now
	s.counter++
	weight := 1 - math.Exp(-dt/rateTimeConstant.Seconds())
	for name := range s.counts {
		s.rates[name] += 0 // adds an entry for a new service
	}
	for name, rate := range s.rates {
		rate += weight * (s.counts[name]/dt - rate)
		s.rates[name] = rate
		s.busy[name] = rate * serviceTime(name).Seconds()
	}
	clear(s.counts)
	for _, entries := range []map[string]entry{s.hosts, s.regions} {
		for key, e := range entries {
			if now.Sub(e.received) > maxDemandAge {
				delete(entries, key)
			}
		}
	}
}

// Demands returns the demand to send to another host: that of this host, or with sumRegion
// that of its whole region and the known total demand of other regions.
func (s *Surveyor) Demands(sumRegion bool, now time.Time) []*framer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sumRegion {
		return []*framer.Demand{newDemand(s.host, s.region, s.counter, s.busy)}
	}
	out := []*framer.Demand{newDemand("", s.region, uint64(now.UnixMilli()), s.regionDemand())}
	for region, e := range s.regions {
		if region != s.region {
			out = append(out, e.demand)
		}
	}
	return out
}

func newDemand(host, region string, counter uint64, busy map[string]float64) *framer.Demand {
	d := &framer.Demand{Host: host, Region: region, Counter: counter}
	for name, b := range busy {
		d.Services = append(d.Services, name)
		d.Busy = append(d.Busy, float32(b))
	}
	return d
}

// regionDemand returns the demand of this host and the known other hosts of its region, by
// service. The caller must hold mu.
func (s *Surveyor) regionDemand() map[string]float64 {
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

// valid reports whether the values of a demand are in range. A NaN would otherwise spread
// to the traffic plans of all services.
func valid(d *framer.Demand) bool {
	for _, b := range d.Busy {
		if !(b >= 0 && b <= maxBusySlots) {
			return false
		}
	}
	return len(d.Services) == len(d.Busy)
}

// Merge stores demands received from another host. Invalid ones, those of this host, those
// of hosts in other regions and those that are not newer than the stored one are ignored.
func (s *Surveyor) Merge(demands []*framer.Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		if d.Host == s.host || !valid(d) {
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
		entries[key] = entry{demand: d, received: now}
	}
}

// OwnBusySlots returns the number of slots of a service that the callers of this host keep
// busy.
func (s *Surveyor) OwnBusySlots(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[service]
}

// BusySlots returns the number of slots of a service that the callers of each region keep
// busy. sumRegion says whether this host sums up the demand of its region itself.
func (s *Surveyor) BusySlots(service string, regions []string, sumRegion bool) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]float64, len(regions))
	for i, region := range regions {
		e, ok := s.regions[region]
		switch {
		case region == s.region && (sumRegion || !ok):
			out[i] = s.regionDemand()[service]
		case ok:
			if at := slices.Index(e.demand.Services, service); at >= 0 {
				out[i] = float64(e.demand.Busy[at])
			}
		}
	}
	return out
}
