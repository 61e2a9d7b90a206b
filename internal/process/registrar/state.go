package registrar

import "time"

// State is what a host knows of an upstream at one moment.
type State struct {
	Load float64 // as EstimatedLoad returns it
	// ExpectedLoad is Load, but as high as that of other upstreams of the service and region
	// in place of an old report, if these report their speed.
	ExpectedLoad float64
	// CautiousLoad is ExpectedLoad with at most one request for each slot in place of an old
	// report. Requests are refused by it.
	CautiousLoad float64
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
		Load: float64(u.inFlight.Load()), Cold: u.isCold(now), CanAdmitCold: !now.Before(u.nextColdRequest),
		RecentlyShed: now.Before(u.shedUntil), Warm: object != 0 && u.isWarmFor(object, now),
	}
	s.Slowdown, s.FailureRate = u.quality(now)
	s.ExpectedLoad, s.CautiousLoad = s.Load, s.Load
	if usual := u.usualLoad(now); usual != 0 || u.peerLoad != 0 {
		weight := decay(now.Sub(u.loadReported), reportedLoadHalfLife)
		s.Load += u.peerLoad * weight
		full := min(usual, float64(u.slots))
		s.CautiousLoad += full + (u.peerLoad-full)*weight
		s.ExpectedLoad += usual + (u.peerLoad-usual)*weight
	}
	s.Slowness = u.usual(u.peers.slowness, 1, now)
	s.LeastSlowness = min(s.Slowness, 1)
	if !u.withoutSpeed && !u.speed.reportedAt.IsZero() {
		weight := decay(now.Sub(u.speed.reportedAt), slownessHalfLife)
		s.LeastSlowness = min(s.Slowness+(u.speed.slowness-s.Slowness)*weight, 1+(u.speed.slowness-1)*weight)
		s.Slowness += (u.speed.slowness - s.Slowness) * weight
	}
	return s
}
