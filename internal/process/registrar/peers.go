package registrar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// peersLoadHalfLife and peersSpeedHalfLife are the times in which an average forgets half
	// of what it was. The load of a service changes within seconds.
	peersLoadHalfLife  = time.Second
	peersSpeedHalfLife = 5 * time.Second
	// maxPeersLoad and maxPeersSlowness bound what one report contributes to the averages, so
	// that they alone keep no upstream from getting requests.
	maxPeersLoad     = 2.0
	maxPeersSlowness = 3.0
	// maxSampleWeight bounds the weight of one sample in an average.
	maxSampleWeight = 0.25
	// averageGrace is the time without samples for which an average stays as it is. After
	// that, it is forgotten with its half-life.
	averageGrace = time.Second
)

// peers holds averages over the upstreams of a service that report their speed. They are what
// is expected of such an upstream without a recent report. Otherwise one that didn't respond
// for a while, perhaps because it is slow, would look idle and fast.
type peers struct {
	load     *average // requests of other hosts for each slot, in the region of the upstream
	slowness *average
	speed    *average // 1/slowness
}

// serviceAverages holds the averages of a service.
type serviceAverages struct {
	slowness, speed average
	loads           map[string]*average // by region
}

// peersOf returns the averages for an upstream. The caller must hold mu.
func (r *Registrar) peersOf(service, region string) peers {
	s := r.averages[service]
	if s == nil {
		s = &serviceAverages{
			slowness: average{halfLife: peersSpeedHalfLife, base: 1}, speed: average{halfLife: peersSpeedHalfLife, base: 1},
			loads: make(map[string]*average),
		}
		r.averages[service] = s
	}
	if s.loads[region] == nil {
		s.loads[region] = &average{halfLife: peersLoadHalfLife}
	}
	return peers{load: s.loads[region], slowness: &s.slowness, speed: &s.speed}
}

// average is a moving average. It is safe for concurrent use.
type average struct {
	halfLife time.Duration
	base     float64 // its value without samples

	mu      sync.Mutex    // held to add a sample
	bits    atomic.Uint64 // of the value
	sampled atomic.Int64  // time of the last sample in Unix nanoseconds, 0 without samples
}

func (a *average) value(now time.Time) float64 {
	sampled := a.sampled.Load()
	if sampled == 0 {
		return a.base
	}
	value := math.Float64frombits(a.bits.Load())
	if age := time.Duration(now.UnixNano()-sampled) - averageGrace; age > 0 {
		value = a.base + (value-a.base)*decay(age, a.halfLife)
	}
	return value
}

func (a *average) add(sample float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	value, weight := a.value(now), maxSampleWeight
	if sampled := a.sampled.Load(); sampled != 0 {
		weight = min(weight, 1-decay(time.Duration(now.UnixNano()-sampled), a.halfLife))
	}
	a.bits.Store(math.Float64bits(value + weight*(sample-value)))
	a.sampled.Store(now.UnixNano())
}

// usual returns an average over the peers of the upstream, or without for an upstream that
// reports its load without its speed. The caller must hold mu.
func (u *Upstream) usual(a *average, without float64, now time.Time) float64 {
	if u.withoutSpeed {
		return without
	}
	return a.value(now)
}

// ResemblesPeers reports whether the upstream is expected to be like its peers without a recent
// report, because these report their speed.
func (u *Upstream) ResemblesPeers(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.usual(u.peers.load, 0, now) > 0
}

// usualLoad returns the requests of other hosts that are expected without a report. The caller
// must hold mu.
func (u *Upstream) usualLoad(now time.Time) float64 {
	return u.usual(u.peers.load, 0, now) * float64(u.slots)
}

// reportSpeed records a reported slowness together with peerLoad. The caller must hold mu.
func (u *Upstream) reportSpeed(slowness float64, now time.Time) {
	u.speed.report(slowness, now, u.usual(u.peers.speed, 1, now))
	u.peers.load.add(min(u.peerLoad/float64(u.slots), maxPeersLoad), now)
	u.peers.slowness.add(min(slowness, maxPeersSlowness), now)
	u.peers.speed.add(1/min(slowness, maxPeersSlowness), now)
}
