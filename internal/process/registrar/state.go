package registrar

import "time"

// State is what a host knows of an upstream at one moment.
type State struct {
	Load         float64 // as EstimatedLoad returns it
	Slowdown     float64 // as Quality returns it, apart from Slowness
	FailureRate  float64
	Slowness     float64 // expected time of work as a multiple of the usual, by what the upstream reports
	Cold         bool
	CanAdmitCold bool // AdmitCold with a positive rate would succeed
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
		Load: u.estimatedLoad(now), Slowness: u.speed.slownessAt(now), Cold: u.isCold(now), CanAdmitCold: !now.Before(u.nextColdRequest),
		RecentlyShed: now.Before(u.shedUntil), Warm: object != 0 && u.isWarmFor(object, now),
	}
	s.Slowdown, s.FailureRate = u.quality(now)
	return s
}
