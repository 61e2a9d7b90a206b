package registrar

import "time"

const (
	// maxSlownessPercent is the largest slowness that counts. Higher ones are ignored.
	maxSlownessPercent = 10_000
	// minSlowness bounds the slowness from below, so that an upstream that reports too small
	// figures doesn't attract all requests.
	minSlowness = 0.5
	// slownessHalfLife is the age at which a reported slowness has half its weight. It is
	// current when it arrives and out of date half a second later.
	slownessHalfLife = 250 * time.Millisecond
	// meanSpeedHalfLife is the time in which the mean speed forgets half of what it was. It
	// is long, because traffic plans depend on it and may only move slowly.
	meanSpeedHalfLife = 5 * time.Second
	// meanSpeedGrace is the time without reports for which the mean speed stays as it is. After
	// that, its difference from the usual one decays by half in staleSpeedHalfLife.
	meanSpeedGrace     = 5 * time.Second
	staleSpeedHalfLife = 15 * time.Second
)

// Slowness returns the reported time that work takes, as a multiple of the usual, or 0 if it
// is not reported or not valid.
func (l Load) Slowness() float64 {
	if l.SlownessPercent <= 0 || l.SlownessPercent > maxSlownessPercent {
		return 0
	}
	return max(float64(l.SlownessPercent)/100, minSlowness)
}

// speed is the speed that an upstream reports. The zero value is that of one that doesn't.
type speed struct {
	slowness   float64   // last reported, 1 is usual
	reportedAt time.Time // zero for never
	mean       float64   // moving average of 1/slowness, the fraction of the usual speed
}

// report records a reported slowness. usual is the mean speed without reports.
func (s *speed) report(slowness float64, now time.Time, usual float64) {
	weight := maxSampleWeight
	if !s.reportedAt.IsZero() {
		weight = min(weight, 1-decay(now.Sub(s.reportedAt), meanSpeedHalfLife))
	}
	s.mean = s.meanAt(now, usual)
	s.mean += weight * (1/slowness - s.mean)
	s.slowness, s.reportedAt = slowness, now
}

// meanAt returns the mean speed as a fraction of the usual one.
func (s *speed) meanAt(now time.Time, usual float64) float64 {
	if s.reportedAt.IsZero() {
		return usual
	}
	return usual + (s.mean-usual)*decay(now.Sub(s.reportedAt)-meanSpeedGrace, staleSpeedHalfLife)
}

// MeanSpeed returns the speed of the upstream as a fraction of the usual one, averaged over
// seconds. It is 1 for an upstream that doesn't report it.
func (u *Upstream) MeanSpeed(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.withoutSpeed {
		return 1
	}
	return u.speed.meanAt(now, u.usual(u.peers.speed, 1, now))
}
