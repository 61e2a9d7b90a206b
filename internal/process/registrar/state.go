package registrar

import "time"

// State is what a host knows of an upstream at one moment.
type State struct {
	Load float64 // as EstimatedLoad returns it
	// ExpectedLoad is Load, but as high as that of other upstreams of the service and region
	// in place of an old report, if these report their speed.
	ExpectedLoad float64
	Slowdown     float64 // as Quality returns it, apart from Slowness
	FailureRate  float64
	Slowness     float64 // expected time of work as a multiple of the usual, by what the upstream reports
	// LeastSlowness is Slowness, but 1 in place of an old report, if that is less.
	LeastSlowness float64
	Cold          bool
	CanAdmitCold  bool // AdmitCold with a positive rate would succeed
	// RecentlyShed means that it shed a request because of overload within recentShedWindow,
	// and has not reported its load since.
	RecentlyShed bool
	Warm         bool // the object is probably in its cache
}

// State returns the state for a request for an object, 0 for none.
func (u *Upstream) State(object uint64, now time.Time) State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{
		Load: u.estimatedLoad(now), ExpectedLoad: u.expectedLoad(now, u.usualLoad(now)), Slowness: u.speed.slownessAt(now, u.usual(u.peers.slowness, 1, now)), Cold: u.isCold(now), CanAdmitCold: !now.Before(u.nextColdRequest),
		RecentlyShed: now.Before(u.shedUntil), Warm: object != 0 && u.isWarmFor(object, now),
	}
	s.LeastSlowness = min(s.Slowness, u.speed.slownessAt(now, 1))
	s.Slowdown, s.FailureRate = u.quality(now)
	return s
}
