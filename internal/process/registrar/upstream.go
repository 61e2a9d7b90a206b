package registrar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadHalfLife is the age at which a reported load of other hosts counts
	// half. It is a few times the work of one request.
	loadHalfLife = 500 * time.Millisecond
	// doubtHalfLife is the time in which bad results are half forgotten, so that
	// an upstream that is avoided is tried again.
	doubtHalfLife = 3 * time.Second
	// resultWeight is the part of one result in the averages: about the last
	// eight results decide.
	resultWeight = 0.125
	// lossGap is the longest time between two lost connections, without an
	// answer in between, that make an upstream suspect.
	lossGap = 1500 * time.Millisecond
	// rowsToTrust is how many registrations a suspect upstream has to write. The
	// first that is read may be older than the suspicion.
	rowsToTrust = 2
	// fullTime is how long an upstream that shed a request is taken for full,
	// unless it answers before.
	fullTime = 150 * time.Millisecond
	// warmTime is how long an upstream is taken to remember an object.
	warmTime = 30 * time.Second
	// warmMost bounds the remembered objects of one upstream.
	warmMost = 512
	// maxSlow bounds the factor by which an upstream is taken to be slower than
	// its peers.
	maxSlow = 20.0
)

// Load is what an upstream says of its work with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Upstream is one process that serves requests. It is safe for concurrent use.
type Upstream struct {
	id, address, service, zone, region string
	slots                              int
	hash                               uint64

	flight atomic.Int64

	// seen and leaving are guarded by the registrar.
	seen    uint64
	leaving bool

	mu        sync.Mutex
	born      int64
	coldUntil time.Time
	suspect   time.Time // zero if it is not suspect
	rows      int       // registrations read since it became suspect
	coldNext  time.Time // no request before this time while it is cold
	lost      time.Time // last lost connection without an answer since
	fullUntil time.Time
	others    float64 // requests of other hosts there, as last reported
	loadAt    time.Time
	slow      float64 // time of answers over what was expected
	bad       float64 // part of the requests that it failed
	resultAt  time.Time
	warm      map[uint64]time.Time // when an object was last answered
}

func newUpstream(reg Registration, region string) *Upstream {
	return &Upstream{
		id: reg.ID, address: reg.Address, service: reg.Service, zone: reg.Zone, region: region,
		slots: max(reg.Slots, 1), hash: xxhash.Sum64String(reg.ID), born: reg.StartUnixMilli, slow: 1,
	}
}

// inherit takes over what is known of the same process under an entry that
// differs.
func (u *Upstream) inherit(old *Upstream) {
	old.mu.Lock()
	defer old.mu.Unlock()
	u.seen, u.leaving = old.seen, old.leaving
	u.coldUntil, u.suspect, u.coldNext = old.coldUntil, old.suspect, old.coldNext
}

// ID returns the name under which it registered.
func (u *Upstream) ID() string { return u.id }

// Address returns host and port.
func (u *Upstream) Address() string { return u.address }

// Service returns the service that it serves.
func (u *Upstream) Service() string { return u.service }

// Zone returns its availability zone.
func (u *Upstream) Zone() string { return u.zone }

// Region returns its region.
func (u *Upstream) Region() string { return u.region }

// Slots returns how many requests it runs at once, at least 1.
func (u *Upstream) Slots() int { return u.slots }

// Hash returns the hash of its ID.
func (u *Upstream) Hash() uint64 { return u.hash }

// report takes over what the upstream registered.
func (u *Upstream) report(reg Registration, now time.Time, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reg.StartUnixMilli != u.born {
		u.born = reg.StartUnixMilli
		u.suspect = time.Time{}
		u.forget()
		first = false
	}
	if !u.suspect.IsZero() {
		if u.rows++; u.rows >= rowsToTrust {
			u.suspect = time.Time{}
		}
	}
	if reg.ColdRemaining > 0 {
		u.coldUntil = now.Add(reg.ColdRemaining)
	}
	if first && reg.ColdRemaining <= 0 {
		u.coldUntil = time.Time{}
	}
}

// forget drops what a new process does not have. Called with mu held.
func (u *Upstream) forget() {
	u.warm, u.others, u.slow, u.bad = nil, 0, 1, 0
	u.fullUntil, u.lost = time.Time{}, time.Time{}
}

// MarkSuspect takes the upstream for one that may have started anew, until it
// registers again.
func (u *Upstream) MarkSuspect(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.doubt(now)
}

func (u *Upstream) doubt(now time.Time) {
	u.suspect, u.rows = now, 0
	u.warm = nil
}

// Cold reports whether it is cold or may be.
func (u *Upstream) Cold(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cold(now)
}

func (u *Upstream) cold(now time.Time) bool {
	return now.Before(u.coldUntil) || (!u.suspect.IsZero() && now.Sub(u.suspect) < suspectTime)
}

// CanAdmitCold reports whether TakeCold would succeed now.
func (u *Upstream) CanAdmitCold(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !now.Before(u.coldNext)
}

// AdmitCold reports whether this host may send a request to the cold upstream
// now, at most rate a second, and counts it. The requests are evenly spaced, so
// that the parts of all hosts add up to their sum and one request of each.
func (u *Upstream) AdmitCold(now time.Time, rate float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if rate <= 0 || now.Before(u.coldNext) {
		return false
	}
	u.coldNext = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// BeginRequest counts a request that is about to be sent. Every BeginRequest is followed by
// one End.
func (u *Upstream) BeginRequest() { u.flight.Add(1) }

// EndRequest counts a request that is over.
func (u *Upstream) EndRequest() { u.flight.Add(-1) }

// ReportLoad records the load that came with an answer.
func (u *Upstream) ReportLoad(l Load, now time.Time) {
	own := u.flight.Load()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others = max(0, float64(l.Running+l.Waiting)-float64(own))
	u.loadAt = now
	u.fullUntil = time.Time{}
}

// EstimatedLoad returns the number of requests of all hosts that are probably there.
func (u *Upstream) EstimatedLoad(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.flight.Load()) + u.others*decay(now.Sub(u.loadAt), loadHalfLife)
}

// RecordShed records that it refused a request. With free slots it fails a part of its
// requests for another reason than want of room.
func (u *Upstream) RecordShed(now time.Time, free bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !free {
		u.fullUntil = now.Add(fullTime)
	}
	u.result(1, now)
}

// RecentlyShed reports whether it shed a request just now.
func (u *Upstream) RecentlyShed(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.fullUntil)
}

// RecordUnreachable records a connection that could not be opened.
func (u *Upstream) RecordUnreachable(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.doubt(now)
	u.bad, u.resultAt = 1, now
}

// RecordConnectionLoss records a connection that broke without an answer. Two in a row look
// like a restart.
func (u *Upstream) RecordConnectionLoss(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lost.IsZero() && now.Sub(u.lost) < lossGap {
		u.doubt(now)
	}
	u.lost = now
	u.result(1, now)
}

// RecordFailure records an answer that says the upstream failed the request.
func (u *Upstream) RecordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.result(1, now)
}

// RecordSuccess records a good answer, and the time it took over the expected one.
func (u *Upstream) RecordSuccess(now time.Time, ratio float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lost = time.Time{}
	u.time(ratio, now)
	u.result(0, now)
}

// RecordOverdue records that no answer came within ratio times the expected time. Before
// the expected time that says nothing, as when a caller left.
func (u *Upstream) RecordOverdue(now time.Time, ratio float64) {
	if ratio <= 1 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.time(ratio, now)
}

func (u *Upstream) time(ratio float64, now time.Time) {
	u.fade(now)
	u.slow += resultWeight * (min(max(ratio, 0.2), maxSlow) - u.slow)
}

func (u *Upstream) result(bad float64, now time.Time) {
	u.fade(now)
	u.bad += resultWeight * (bad - u.bad)
}

// fade forgets old results. Called with mu held.
func (u *Upstream) fade(now time.Time) {
	d := decay(now.Sub(u.resultAt), doubtHalfLife)
	u.bad *= d
	u.slow = 1 + (u.slow-1)*d
	u.resultAt = now
}

// Quality returns how many times slower than expected it answers, and the part
// of the requests that it fails.
func (u *Upstream) Quality(now time.Time) (slow, bad float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := decay(now.Sub(u.resultAt), doubtHalfLife)
	return 1 + (u.slow-1)*d, u.bad * d
}

// MarkWarm records that it answered a request for an object.
func (u *Upstream) MarkWarm(object uint64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.warm == nil {
		u.warm = make(map[uint64]time.Time)
	}
	if len(u.warm) >= warmMost {
		for k, t := range u.warm {
			if now.Sub(t) > warmTime || len(u.warm) >= warmMost {
				delete(u.warm, k)
			}
		}
	}
	u.warm[object] = now
}

// WarmFor reports whether it answered a request for the object lately.
func (u *Upstream) WarmFor(object uint64, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	t, ok := u.warm[object]
	return ok && now.Sub(t) < warmTime
}

func decay(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}
