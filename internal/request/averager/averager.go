// Package averager keeps the mean load of the upstreams of each service and region.
//
// One of many hosts hears from an upstream so rarely that its reported load is out of date most
// of the time, but it hears from the upstreams of a region together many times a second. Their
// mean load tells what to expect of one that has not reported for a while.
//
//	a.Observe(now, "shop", "north", 1.5)
//	load, ok := a.Mean(now, "shop", "north")
package averager

import (
	"math"
	"sync"
	"time"
)

const (
	// timeConstant is the time after which the mean has followed 63% of a step, given enough
	// reports. Queues build up and drain within a second.
	timeConstant = time.Second
	// minWeight is the sum of the weights of the reports from which the mean counts, each
	// report having a weight of 1 when it arrives.
	minWeight = 4.0
	// maxMeans bounds the number of means, 100 bytes each.
	maxMeans = 4096
)

type key struct{ service, region string }

// mean is an exponentially weighted moving average.
type mean struct {
	sum, weight float64
	updated     time.Time
}

// decay reduces the weight of earlier reports.
func (m *mean) decay(now time.Time) {
	if age := now.Sub(m.updated); age > 0 {
		f := math.Exp(-age.Seconds() / timeConstant.Seconds())
		m.sum, m.weight, m.updated = m.sum*f, m.weight*f, now
	}
}

// Averager holds the means of one host. It is safe for concurrent use.
type Averager struct {
	mu    sync.Mutex
	means map[key]*mean
}

// New returns an Averager without reports.
func New() *Averager { return &Averager{means: make(map[key]*mean)} }

// Observe records the load that an upstream reported, as the number of its requests, running and
// waiting, for each slot.
func (a *Averager) Observe(now time.Time, service, region string, perSlot float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.means[key{service, region}]
	if m == nil {
		if len(a.means) >= maxMeans {
			clear(a.means)
		}
		m = &mean{updated: now}
		a.means[key{service, region}] = m
	}
	m.decay(now)
	m.sum += perSlot
	m.weight++
}

// Mean returns the mean load for each slot, and whether there are enough recent reports to tell.
func (a *Averager) Mean(now time.Time, service, region string) (perSlot float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.means[key{service, region}]
	if m == nil {
		return 0, false
	}
	m.decay(now)
	if m.weight < minWeight {
		return 0, false
	}
	return m.sum / m.weight, true
}
