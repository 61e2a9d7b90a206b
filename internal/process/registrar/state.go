package registrar

import "time"

// State is what a host knows of an upstream at one moment.
type State struct {
	Load         float64 // estimated number of requests of all hosts there
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

// State returns the state for a request for an object, 0 for none. expectedLoad is the number of
// requests of all hosts that the upstream is likely to have if it has not reported its load for a
// while, 0 if that is unknown.
func (u *Upstream) State(object uint64, expectedLoad float64, now time.Time) State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{
		Load: u.estimatedLoad(expectedLoad, now), Slowness: u.speed.slownessAt(now), Cold: u.isCold(now), CanAdmitCold: !now.Before(u.nextColdRequest),
		RecentlyShed: now.Before(u.shedUntil), Warm: object != 0 && u.isWarmFor(object, now),
	}
	s.Slowdown, s.FailureRate = u.quality(now)
	return s
}
