package registrar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

const (
	// reportedLoadHalfLife is the age at which a reported load from other hosts has half
	// its weight. It is a few times the service time of a request.
	reportedLoadHalfLife = 500 * time.Millisecond
	// resultHalfLife is the time in which the slowdown and the failure rate decay by
	// half, so that an avoided upstream is tried again.
	resultHalfLife = 3 * time.Second
	// resultWeight is the weight of a new result in the moving averages, which so depend
	// on about the last eight results.
	resultWeight = 0.125
	// maxLossInterval bounds the time between two lost connections, without a response in
	// between, that make an upstream suspect.
	maxLossInterval = 1500 * time.Millisecond
	// rowsToClearSuspicion is the number of registrations to read before an upstream is no
	// longer suspect. The first one may have been written before the suspicion.
	rowsToClearSuspicion = 2
	// recentShedWindow is how long an upstream that shed a request counts as overloaded,
	// unless it responds with its load before.
	recentShedWindow = 150 * time.Millisecond
	// warmObjectTTL is how long an upstream is assumed to have an object in its cache.
	warmObjectTTL = 30 * time.Second
	// maxWarmObjects bounds the number of warm objects that are recorded for an upstream.
	maxWarmObjects = 512
	// maxSlowdown bounds the ratio of actual to expected response time that one result
	// contributes to the average.
	maxSlowdown = 20.0
)

// Load is the load that an upstream reports with a response: the numbers of requests that
// run and wait there, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// SlownessPercent is the time that work takes there at this moment, in percent of the
	// usual. It is 0 if the upstream doesn't report it; invalid values are ignored.
	SlownessPercent int
}

// Upstream is one process that serves requests. It is safe for concurrent use.
type Upstream struct {
	id, address, service, zone, region string
	slots                              int
	hash                               uint64
	peers                              peers

	inFlight    atomic.Int64
	rateLimited atomic.Bool // whether limit holds a rate limit

	// rowVersion, count, draining and leaving are guarded by Registrar.mu.
	rowVersion sequencer.Version
	count      uint64 // of the registrations of its process
	draining   bool
	leaving    bool // the process said in a response that it is leaving

	mu               sync.Mutex
	startUnixMilli   int64
	coldUntil        time.Time
	suspectSince     time.Time // when it became suspect, zero if it is not
	rowsSinceSuspect int       // registrations that were read since suspectSince
	nextColdRequest  time.Time // time of the next request that is allowed while it is cold
	lastLoss         time.Time // last lost connection, zero after a response
	shedUntil        time.Time
	peerLoad         float64 // requests from other hosts, as last reported
	loadReported     time.Time
	withoutSpeed     bool // its last report had no speed
	speed            speed
	slowdown         float64 // moving average of actual over expected response time, beyond the reported speed
	failureRate      float64 // moving average of the fraction of requests that failed
	lastResult       time.Time
	warmObjects      map[uint64]time.Time // time of the last successful response, by hash of the object
	limit            rateLimit
}

func newUpstream(reg Registration, region string, p peers) *Upstream {
	return &Upstream{
		id: reg.ID, address: reg.Address, service: reg.Service, zone: reg.Zone, region: region, peers: p,
		slots: max(reg.Slots, 1), hash: xxhash.Sum64String(reg.ID), startUnixMilli: reg.StartUnixMilli, slowdown: 1,
	}
}

// inheritState copies the state of the same upstream under an earlier registration with
// another address, service, zone or number of slots.
func (u *Upstream) inheritState(old *Upstream) {
	old.mu.Lock()
	defer old.mu.Unlock()
	u.rowVersion, u.count, u.draining = old.rowVersion, old.count, old.draining
	u.leaving = old.leaving && u.startUnixMilli == old.startUnixMilli
	u.coldUntil, u.suspectSince, u.nextColdRequest = old.coldUntil, old.suspectSince, old.nextColdRequest
	if u.startUnixMilli == old.startUnixMilli {
		u.setRateLimit(old.limit)
		u.withoutSpeed, u.speed = old.withoutSpeed, old.speed
	}
}

// departure returns what is kept when the registration is removed. Registrar.mu must be held.
func (u *Upstream) departure() departure {
	u.mu.Lock()
	defer u.mu.Unlock()
	return departure{startUnixMilli: u.startUnixMilli, leaving: u.leaving, limit: u.limit}
}

// restore sets the state of the same process before its registration was removed.
// Registrar.mu must be held.
func (u *Upstream) restore(d departure) {
	if u.startUnixMilli != d.startUnixMilli {
		return
	}
	u.leaving = d.leaving
	u.setRateLimit(d.limit)
}

// ID returns the key of its registration.
func (u *Upstream) ID() string { return u.id }

// Address returns its address as host:port.
func (u *Upstream) Address() string { return u.address }

// Service returns the name of the service that it serves.
func (u *Upstream) Service() string { return u.service }

// Zone returns its availability zone.
func (u *Upstream) Zone() string { return u.zone }

// Region returns its region.
func (u *Upstream) Region() string { return u.region }

// Slots returns the number of requests that it runs at once, at least 1.
func (u *Upstream) Slots() int { return u.slots }

// StartUnixMilli returns the start time of its process, 0 if unknown.
func (u *Upstream) StartUnixMilli() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.startUnixMilli
}

// Hash returns the hash of its ID.
func (u *Upstream) Hash() uint64 { return u.hash }

// isOutdated reports whether a registration from another era of the store is not later than
// the one that was applied: it is from an earlier process, or the same process had written as
// many by then. Registrar.mu must be held.
func (u *Upstream) isOutdated(reg *Registration) bool {
	if reg.RowVersion.Era() == u.rowVersion.Era() || reg.StartUnixMilli == 0 || u.startUnixMilli == 0 {
		return false
	}
	return reg.StartUnixMilli < u.startUnixMilli || (reg.StartUnixMilli == u.startUnixMilli && reg.Count <= u.count)
}

// applyRegistration updates the state from a registration. A new start time resets what
// was observed of the earlier process.
func (u *Upstream) applyRegistration(reg Registration, now time.Time, firstRead bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reg.StartUnixMilli != u.startUnixMilli {
		u.startUnixMilli = reg.StartUnixMilli
		u.suspectSince = time.Time{}
		u.resetProcessState()
		firstRead = false
	}
	if !u.suspectSince.IsZero() {
		if u.rowsSinceSuspect++; u.rowsSinceSuspect >= rowsToClearSuspicion {
			u.suspectSince = time.Time{}
		}
	}
	if reg.ColdRemaining > 0 {
		u.coldUntil = now.Add(reg.ColdRemaining)
	}
	if firstRead && reg.ColdRemaining <= 0 {
		u.coldUntil = time.Time{}
	}
}

// resetProcessState resets what belongs to an earlier process. The caller must hold mu.
func (u *Upstream) resetProcessState() {
	u.warmObjects, u.peerLoad, u.slowdown, u.failureRate = nil, 0, 1, 0
	u.shedUntil, u.lastLoss = time.Time{}, time.Time{}
	u.withoutSpeed, u.speed = false, speed{}
	u.resetRateLimit(time.Time{})
}

// MarkSuspect records that the upstream may have restarted. It counts as cold until it
// has registered again rowsToClearSuspicion times, or maxSuspectTime has passed.
func (u *Upstream) MarkSuspect(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.markSuspect(now)
}

// markSuspect is MarkSuspect for callers that hold mu.
func (u *Upstream) markSuspect(now time.Time) {
	u.suspectSince, u.rowsSinceSuspect = now, 0
	u.warmObjects = nil
}

// Cold reports whether the upstream is cold or suspect.
func (u *Upstream) Cold(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isCold(now)
}

func (u *Upstream) isCold(now time.Time) bool {
	return now.Before(u.coldUntil) || (!u.suspectSince.IsZero() && now.Sub(u.suspectSince) < maxSuspectTime)
}

// AdmitCold reports whether this host may send a request to the cold upstream at now, and
// counts the request if so. rate is in requests per second. Requests are evenly spaced,
// so over any span all hosts together send at most the sum of their rates and one request
// each.
func (u *Upstream) AdmitCold(now time.Time, rate float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if rate <= 0 || now.Before(u.nextColdRequest) {
		return false
	}
	u.nextColdRequest = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// BeginRequest counts a request that is about to be sent. Each call must be followed by
// one of EndRequest.
func (u *Upstream) BeginRequest() { u.inFlight.Add(1) }

// EndRequest counts a request that has ended.
func (u *Upstream) EndRequest() { u.inFlight.Add(-1) }

// ReportLoad records the load that came with a response.
func (u *Upstream) ReportLoad(l Load, now time.Time) {
	own := u.inFlight.Load()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peerLoad = max(0, float64(l.Running+l.Waiting)-float64(own))
	u.loadReported = now
	u.shedUntil = time.Time{}
	u.withoutSpeed = l.SlownessPercent == 0
	if slowness := l.Slowness(); slowness > 0 {
		u.reportSpeed(slowness, now)
	}
}

// EstimatedLoad returns the estimated number of requests of all hosts at the upstream:
// those of this host in flight, and those of other hosts as last reported, with a weight
// that decays with the age of the report.
func (u *Upstream) EstimatedLoad(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.estimatedLoad(now)
}

func (u *Upstream) estimatedLoad(now time.Time) float64 {
	load := float64(u.inFlight.Load())
	if u.peerLoad > 0 {
		load += u.peerLoad * decay(now.Sub(u.loadReported), reportedLoadHalfLife)
	}
	return load
}

// RecordShed records that the upstream shed a request. If it has free slots, it sheds for
// another reason than overload, so the request only counts as failed.
func (u *Upstream) RecordShed(now time.Time, freeSlots bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !freeSlots {
		u.shedUntil = now.Add(recentShedWindow)
	}
	u.updateFailureRate(1, now)
}

// RecordUnreachable records that a connection could not be opened. The upstream becomes
// suspect.
func (u *Upstream) RecordUnreachable(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.markSuspect(now)
	u.failureRate, u.lastResult = 1, now
}

// RecordConnectionLoss records that a connection broke before a response. After two in a
// row within maxLossInterval the upstream may have restarted and becomes suspect.
func (u *Upstream) RecordConnectionLoss(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lastLoss.IsZero() && now.Sub(u.lastLoss) < maxLossInterval {
		u.markSuspect(now)
	}
	u.lastLoss = now
	u.updateFailureRate(1, now)
}

// RecordFailure records a response by which the upstream failed the request.
func (u *Upstream) RecordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateFailureRate(1, now)
}

// RecordSuccess records a successful response. ratio is its actual over its expected
// response time.
func (u *Upstream) RecordSuccess(now time.Time, ratio float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastLoss = time.Time{}
	u.updateSlowdown(ratio, now)
	u.updateFailureRate(0, now)
}

// RecordOverdue records that no response arrived within ratio times the expected response
// time. A ratio of at most 1, as when a caller disconnects early, is ignored.
func (u *Upstream) RecordOverdue(now time.Time, ratio float64) {
	if ratio <= 1 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateSlowdown(ratio, now)
}

// updateSlowdown adds a result to the average slowdown. The caller must hold mu.
func (u *Upstream) updateSlowdown(ratio float64, now time.Time) {
	u.decayResults(now)
	u.slowdown += resultWeight * (min(max(ratio, 0.2), maxSlowdown) - u.slowdown)
}

// updateFailureRate adds a result, 1 for a failure and 0 for a success, to the average
// failure rate. The caller must hold mu.
func (u *Upstream) updateFailureRate(failed float64, now time.Time) {
	u.decayResults(now)
	u.failureRate += resultWeight * (failed - u.failureRate)
}

// decayResults decays the averages to now. The caller must hold mu.
func (u *Upstream) decayResults(now time.Time) {
	d := decay(now.Sub(u.lastResult), resultHalfLife)
	u.failureRate *= d
	u.slowdown = 1 + (u.slowdown-1)*d
	u.lastResult = now
}

// Quality returns the ratio of actual to expected response time, and the fraction of
// requests that fail, as averages that decay to 1 and 0 without new results.
func (u *Upstream) Quality(now time.Time) (slowdown, failureRate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.quality(now)
}

func (u *Upstream) quality(now time.Time) (slowdown, failureRate float64) {
	if u.slowdown == 1 && u.failureRate == 0 {
		return 1, 0
	}
	d := decay(now.Sub(u.lastResult), resultHalfLife)
	return 1 + (u.slowdown-1)*d, u.failureRate * d
}

// MarkWarm records that the upstream served a request for an object, given by its hash.
func (u *Upstream) MarkWarm(object uint64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.warmObjects == nil {
		u.warmObjects = make(map[uint64]time.Time)
	}
	if len(u.warmObjects) >= maxWarmObjects {
		for k, t := range u.warmObjects {
			if now.Sub(t) > warmObjectTTL || len(u.warmObjects) >= maxWarmObjects {
				delete(u.warmObjects, k)
			}
		}
	}
	u.warmObjects[object] = now
}

// WarmFor reports whether the upstream served a request for the object within
// warmObjectTTL.
func (u *Upstream) WarmFor(object uint64, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isWarmFor(object, now)
}

func (u *Upstream) isWarmFor(object uint64, now time.Time) bool {
	t, ok := u.warmObjects[object]
	return ok && now.Sub(t) < warmObjectTTL
}

// decay returns the weight of a value of the given age: 1 at age 0, 0.5 at halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
