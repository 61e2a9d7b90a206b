package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

const (
	// minAverage and maxAverage bound the time constant of the average that is compared with
	// the quota. It is otherwise the time in which Burst requests arrive at PerSecond.
	minAverage = 400 * time.Millisecond
	maxAverage = 2 * time.Second
	// demandAverage is the time constant of the average of the demand.
	demandAverage = time.Second
	// burstFraction and burstSlack are the fractions of (PerSecond x Window + Burst) x (1 + Excess)
	// and of Slack up to which bursts are admitted, and maxFraction and maxSlack those up to which
	// any request is. The rest is for the time that messages take.
	burstFraction, burstSlack = 0.78, 0.35
	maxFraction, maxSlack     = 0.84, 0.4
	// minWindowPart is the fraction of its part of the limit of the window that a host may always
	// use, whatever the others report.
	minWindowPart = 0.5
	// newWindowPart is the same for a host that has just started.
	newWindowPart = 0.25
	// limitedTime is how long an account is reported as limited after a refusal.
	limitedTime = 5 * time.Second
	// assumedCarriers is the number of hosts with many callers that is assumed while no demand is
	// known.
	assumedCarriers = 24
	// baselineAverage is the time constant of the average with which the demand is compared.
	baselineAverage = 4 * time.Second
	// slots is the number of parts of the window in which requests are counted.
	slots = 20
	// refreshInterval is how often the sums over the other hosts are computed.
	refreshInterval = 25 * time.Millisecond
	// quietRefreshInterval is the same for an account that is not near its quota.
	quietRefreshInterval = 100 * time.Millisecond
	// remainingFactor delays the time from which unknown requests leave the window.
	remainingFactor = 1.6
	// forgottenFraction is the fraction of the limit of the window that is assumed to be used
	// when all hosts have just started.
	forgottenFraction = 1
	// reportDelay is the usual age of reports about an account near its quota.
	reportDelay = 400 * time.Millisecond
	// grace is the time that the other hosts have to report after an account came near its
	// quota. A host that hasn't reported by then may be cut off.
	grace = 600 * time.Millisecond
	// maxReportAge is the age from which the last report of a host is out of date while the
	// account is near its quota.
	maxReportAge = 1500 * time.Millisecond
	// reservedTime is how long the part of a silent host stays reserved. Hosts that are cut off
	// for a longer time have lost their callers.
	reservedTime = 16 * time.Second
	// maxReserved bounds the part that is reserved for silent hosts.
	maxReserved = 0.9
	// nearTime is how long an account counts as near its quota.
	nearTime = 800 * time.Millisecond
	// nearDistance is how far below its quota an account is near it, as a fraction. It is smaller
	// for accounts with less than distanceRate requests per second: their use varies more, and the
	// slack is larger than what they can admit while messages are under way.
	nearDistance, distanceRate = 0.2, 20
	// riseFactor, riseDeviations and riseMargin state how far the demand at a host rises above its
	// usual value before other hosts are told. Random bursts at hosts with few callers must not
	// count: the least rise is minRiseFraction of PerSecond, between minRise and maxMinRise.
	riseFactor, riseDeviations, riseMargin = 1.4, 3, 0.5
	minRiseFraction, minRise, maxMinRise   = 0.1, 1.3, 2.1
	// usualFraction is the fraction of PerSecond that is assumed as the demand of all hosts if less
	// is known.
	usualFraction = 0.45
	// maxSmallAge is the age up to which reports count that are too small to be repeated while the
	// account is not near its quota.
	maxSmallAge = 3 * time.Second
	// smallDemand is the demand of a host in requests per second that is averaged over a longer
	// time, because few requests say little about it.
	smallDemand = 3
	// allowanceFraction is the fraction of its part that a host may admit at once, in addition
	// to one request and to its part of the slack.
	allowanceFraction = 0.3
	// overPart is the factor by which a host may exceed its part while the others use less.
	// overGap is the same for a host whose part is not known to the others yet, as a factor of
	// an equal part of what they leave.
	overPart, overGap = 1.1, 1.5
)

// report is what is known about the use of an account by another host.
type report struct {
	id      uint32  // of the host
	start   uint64  // of its process, in Unix milliseconds
	number  uint32  // of the report of that process
	rate    float64 // admitted requests per second
	demand  float64 // received requests per second
	count   float64 // admitted within the window
	sampled time.Time
	part    float64 // of the quota, computed while the report was up to date
	lost    float64 // count of an earlier process of the host at lostAt
	lostAt  time.Time
	sends   int // remaining messages that pass the report on
}

// account is the state of one account on one host.
type account struct {
	name string
	near *nearSet

	mu      sync.Mutex
	quota   authenticator.Quota
	window  time.Duration
	average time.Duration
	base    float64 // least limit of the average count of admitted requests
	soft    float64 // limit within the window up to which bursts are admitted
	most    float64 // limit within the window
	slack   float64
	changed time.Time // when the quota was last lowered

	epoch    time.Time // start of the process
	last     time.Time // of the averages
	admitted float64   // average count of admitted requests
	demand   float64   // average of received requests per second
	baseline float64   // the same over baselineAverage
	ring     [slots]uint32
	ringAt   int64 // number of the newest slot
	ringSum  float64

	reports   []report
	pending   int     // reports to pass on
	published float64 // demand in the last report of this host
	followed  float64 // weight with the delay that reports have on average
	publishAt time.Time
	number    uint32    // of the last report of this host
	reported  time.Time // time of that report
	received  bool      // a request has arrived since
	sentAt    time.Time // time of the last message while the account was near its quota
	nearSends int       // remaining messages that say that the account is near its quota
	ownSends  int       // remaining messages that carry that report

	nearUntil, nearSince time.Time
	refreshAt, refusedAt time.Time
	refreshedAt          time.Time
	others, othersCount  float64 // estimates of the sums over other hosts, with reserved parts
	heard, heardCount    float64 // the same without silent hosts
	slackPart            float64 // part of the slack that this host may use at once
	leastPart            float64 // fraction of its part of the window that this host may always use
	limit                float64 // of the average count of admitted requests of all hosts now
	part                 float64 // of this host
	held                 float64 // part before the account came near its quota
	carriers             float64 // number of hosts among which the demand is spread
	allowance            float64 // requests that this host may admit from its part
	solitude             solitude
}

func newAccount(name string, epoch time.Time, near *nearSet) *account {
	return &account{name: name, near: near, epoch: epoch, last: epoch, carriers: 1}
}

func (a *account) currentQuota() authenticator.Quota {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quota
}

// setQuota computes the limits from the quota. An average that decays with the time constant T
// and stays at a limit admits limit/T requests per second.
func (a *account) setQuota(q authenticator.Quota, s Settings, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.window > 0 {
		a.advance(now)
	}
	if q.PerSecond*s.Window.Seconds()+q.Burst < a.quota.PerSecond*a.window.Seconds()+a.quota.Burst {
		a.changed = now
	}
	average := time.Duration(min(max(q.Burst/q.PerSecond, minAverage.Seconds()), maxAverage.Seconds()) * float64(time.Second))
	if a.average > 0 {
		a.admitted *= float64(average) / float64(a.average)
	}
	if a.window > 0 && a.window != s.Window {
		a.resizeWindow(s.Window, now)
	}
	a.quota, a.window, a.average, a.slack = q, s.Window, average, s.Slack
	allowed := (q.PerSecond*s.Window.Seconds() + q.Burst) * (1 + s.Excess)
	a.base = max(q.PerSecond*average.Seconds()+burstSlack*s.Slack*average.Seconds()/(average+s.Window).Seconds(), 1)
	a.soft = burstFraction*allowed + burstSlack*s.Slack
	a.most = maxFraction*allowed + maxSlack*s.Slack
	a.limit = a.base
	a.refreshAt = now
}

// resizeWindow changes the length of the window. The requests within the old one count as new, as
// their times are not known. The caller holds mu.
func (a *account) resizeWindow(window time.Duration, now time.Time) {
	a.window = window
	a.ringAt = a.slotOf(now)
	a.ring = [slots]uint32{}
	a.ring[a.ringAt%slots] = uint32(a.ringSum)
}

func (a *account) resume(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.allowance, a.refreshAt = 0, now
}

// advance brings the averages and counts up to date. The caller holds mu.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.last)
	if elapsed <= 0 {
		return
	}
	a.last = now
	a.admitted *= decay(elapsed, a.average)
	factor := decay(elapsed, demandAverage)
	mean := a.demand * (1 - factor) * float64(demandAverage) / float64(elapsed)
	a.baseline = mean + (a.baseline-mean)*decay(elapsed, baselineAverage)
	a.demand *= factor
	share := a.part * a.limit
	a.allowance = min(a.allowance+share*float64(elapsed)/float64(a.average), a.maxAllowance())
	slot := a.slotOf(now)
	for range min(max(slot-a.ringAt, 0), slots) {
		a.ringAt++
		i := a.ringAt % slots
		a.ringSum -= float64(a.ring[i])
		a.ring[i] = 0
	}
	a.ringAt = max(a.ringAt, slot)
}

// maxAllowance returns how many requests this host may admit at once from its part. The caller
// holds mu.
func (a *account) maxAllowance() float64 {
	return 1 + min(1.5, 1.5*a.slack*a.solitude.equal) + allowanceFraction*a.part*a.limit
}

func (a *account) allow(now time.Time, s solitude) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.demand += 1 / demandAverage.Seconds()
	a.received = true
	if !now.Before(a.refreshAt) || s.isolated != a.solitude.isolated {
		a.refresh(now, s)
	}
	if !a.fits(now) {
		a.refusedAt = now
		return false
	}
	a.admitted++
	a.allowance = max(a.allowance-1, 0)
	a.ring[a.ringAt%slots]++
	a.ringSum++
	return true
}

// undo removes a request that was allowed at a time from the counts, as far as it is still in them.
// Otherwise requests that fail late would make room for others. The demand stays: the caller did
// ask.
func (a *account) undo(allowed, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	age, slot := now.Sub(allowed), a.slotOf(allowed)
	if age < 0 || slot < 0 || slot <= a.ringAt-slots || slot > a.ringAt || a.ring[slot%slots] == 0 {
		return
	}
	a.ring[slot%slots]--
	a.ringSum--
	a.admitted = max(a.admitted-decay(age, a.average), 0)
	if age < a.average {
		a.allowance = min(a.allowance+1, a.maxAllowance())
	}
}

// slotOf returns the number of the slot of a time. The caller holds mu.
func (a *account) slotOf(t time.Time) int64 { return int64(t.Sub(a.epoch) / (a.window / slots)) }

// fits reports whether one more request is within the quota. The caller holds mu.
func (a *account) fits(now time.Time) bool {
	// After a lower quota was set, the window still holds requests of the old one.
	if now.Sub(a.changed) > a.window && a.ringSum+1 > max(a.most-a.othersCount, a.leastPart*a.part*a.most) {
		return false
	}
	if a.allowance >= 1 {
		return true
	}
	gap := a.limit - a.others - a.admitted - 1
	if a.solitude.isolated || gap < 0 {
		return false
	}
	// Other hosts find the same gap before they learn of the requests that fill it.
	return !a.isNear(now) || a.admitted+1 <= max(overPart*a.part*a.limit, overGap*gap/a.carriers)+a.slackPart+1
}

// isNear reports whether a host found the account near its quota a short time ago. The caller
// holds mu.
func (a *account) isNear(now time.Time) bool { return now.Before(a.nearUntil) }

// markNear records that a host found the account near its quota. The caller holds mu.
func (a *account) markNear(at, now time.Time) {
	until := at.Add(nearTime)
	if !until.After(a.nearUntil) || !until.After(now) {
		return
	}
	if !a.isNear(now) {
		a.nearSince = now
		a.near.add(a)
	}
	if until.Sub(a.nearUntil) > nearTime/4 {
		a.nearSends = relaySends
	}
	a.nearUntil = until
}

// refresh computes the parts and the sums over the other hosts. The caller holds mu.
func (a *account) refresh(now time.Time, s solitude) {
	a.solitude = s
	a.followed += (a.weight() - a.followed) * (1 - decay(now.Sub(a.refreshedAt), reportDelay))
	a.refreshedAt = now
	a.updateParts(now)
	a.others, a.othersCount, a.heard, a.heardCount = 0, a.forgotten(now), 0, 0
	for i := range a.reports {
		r := &a.reports[i]
		use, count := a.estimate(r, now)
		a.others += use
		a.othersCount += count
		if !a.isSilent(r, now) {
			a.heard += use
			a.heardCount += count
		}
	}
	a.updateLimit()
	if a.seemsNear() {
		a.markNear(now, now)
	}
	a.refreshAt = now.Add(refreshInterval)
	if !a.isNear(now) {
		a.refreshAt = now.Add(quietRefreshInterval)
	}
}

// updateLimit computes the limit of the average, which includes the burst as far as the requests
// within the window leave room for it. The caller holds mu.
func (a *account) updateLimit() {
	room := a.soft - a.ringSum - a.othersCount
	if a.solitude.isolated {
		room = a.soft - a.ringSum/a.part
	}
	a.limit = a.base + min(max(room, 0), a.quota.Burst)
}

// forgotten returns how many requests earlier processes of this host, and of others that started
// at about the same time, may have admitted within the window. The caller holds mu.
func (a *account) forgotten(now time.Time) float64 {
	age := now.Sub(a.epoch)
	a.leastPart, a.slackPart = newWindowPart, a.slack/assumedCarriers/2
	if age >= a.window {
		a.leastPart, a.slackPart = minWindowPart, a.slack/a.carriers
		return 0
	}
	young, total := a.part, a.part
	for i := range a.reports {
		r := &a.reports[i]
		total += r.part
		if a.epoch.Sub(time.UnixMilli(int64(r.start))) < a.window {
			young += r.part
		}
	}
	return forgottenFraction * a.soft * young / max(total, a.solitude.floor) * a.remaining(age)
}

// seemsNear reports whether the account is near its quota, or the demand at this host rises so
// fast that it may be. The caller holds mu.
func (a *account) seemsNear() bool {
	distance := nearDistance * a.quota.PerSecond / (a.quota.PerSecond + distanceRate)
	base, soft := a.base, a.soft
	if a.solitude.partial { // the rest is reserved for hosts that may be cut off
		base = max(base-(a.others-a.heard), a.part*base)
		soft = max(soft-(a.othersCount-a.heardCount), a.part*soft)
	}
	if a.admitted+a.heard >= (1-distance)*base || a.ringSum+a.heardCount >= (1-distance)*soft {
		return true
	}
	least := min(max(minRiseFraction*a.quota.PerSecond, minRise), maxMinRise)
	rise := max(riseDeviations*math.Sqrt(a.baseline)+riseMargin*min(a.quota.PerSecond/distanceRate, 1), least)
	return a.demand > max(a.baseline+rise, riseFactor*a.baseline)
}

// weight returns the demand by which the quota is divided. The caller holds mu.
func (a *account) weight() float64 {
	most := max(a.demand, a.baseline)
	return a.baseline + (a.demand-a.baseline)*most/(most+smallDemand)
}

// isSilent reports whether the host of a report may be cut off. The caller holds mu.
func (a *account) isSilent(r *report, now time.Time) bool {
	if a.solitude.isolated {
		return true
	}
	overdue := a.solitude.partial || now.Sub(a.nearSince) > grace
	return a.isNear(now) && overdue && now.Sub(r.sampled) > maxReportAge
}

// updateParts divides the quota: silent hosts keep their last part, and the others divide the
// rest in proportion to their demand. The caller holds mu.
func (a *account) updateParts(now time.Time) {
	near := a.isNear(now)
	switch {
	case a.solitude.isolated:
		a.part = max(min(a.part, maxReserved), a.solitude.floor)
		return
	case a.solitude.learning && len(a.reports) == 0:
		a.divide(0, 0, 1, now)
		return
	case a.solitude.learning, near && now.Sub(a.nearSince) <= grace:
		return // the reports are from before the demand rose
	}
	a.reports = slices.DeleteFunc(a.reports, func(r report) bool {
		age := now.Sub(r.sampled)
		return age > maxBackgroundAge || (!near && age > maxSmallAge && r.demand < a.leastBackground()) || (near && age > reservedTime && now.Sub(a.nearSince) > reservedTime)
	})
	own := a.published // of the same time as the reports
	if near {
		own = a.followed
	}
	reserved, total := 0.0, own
	for i := range a.reports {
		if r := &a.reports[i]; a.isSilent(r, now) {
			reserved += r.part
		} else {
			total += r.demand
		}
	}
	if !near && a.solitude.partial && a.held > 0 {
		return // reports of hosts that may be cut off can't be compared with newer ones
	}
	a.divide(own, total, 1-min(reserved, maxReserved), now)
}

// divide divides the rest of the quota among hosts with a total demand. The caller holds mu.
func (a *account) divide(own, total, rest float64, now time.Time) {
	a.part = a.solitude.floor
	assumed := max(total, usualFraction*a.quota.PerSecond)
	if total > 0 {
		a.part = max(rest*own/assumed, min(a.held, 1-rest))
	}
	if !a.isNear(now) {
		a.held = a.part
	}
	squares := a.part * a.part
	for i := range a.reports {
		r := &a.reports[i]
		if total > 0 && !a.isSilent(r, now) {
			r.part = rest * r.demand / assumed
		}
		squares += r.part * r.part
	}
	a.carriers = max(1/squares, 1)
	if total <= 0 {
		a.carriers = min(1/a.solitude.equal, assumedCarriers)
	}
}

// estimate returns the average count and the count within the window of another host now. The
// caller holds mu.
func (a *account) estimate(r *report, now time.Time) (use, count float64) {
	age := now.Sub(r.sampled)
	average := a.average.Seconds()
	lost := r.lost * a.remaining(now.Sub(r.lostAt))
	if a.isSilent(r, now) {
		remaining := a.remaining(age)
		return max(r.rate*average*remaining, r.part*a.base), max(r.count*remaining, r.part*a.most) + lost
	}
	if !a.isNear(now) {
		return r.demand * average, r.demand*a.window.Seconds() + lost // less random than the rate
	}
	use = r.rate * average
	next := min(r.demand*average, max(use, r.part*a.limit))
	use += (next - use) * float64(age) / float64(age+a.average)
	return use, r.count + max(use/average-r.count/a.window.Seconds(), 0)*age.Seconds() + lost
}

// remaining returns the fraction of the requests within a window that may still be within it after
// a time without further ones. Most of them may have been at its end.
func (a *account) remaining(elapsed time.Duration) float64 {
	return min(max(0, remainingFactor*(1-float64(elapsed)/float64(a.window))), 1)
}

// untilAllowed returns the time until the part of this host allows a request.
func (a *account) untilAllowed(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	perSecond := a.part * a.limit / a.average.Seconds()
	if a.allowance >= 1 || perSecond <= 0 {
		return 0
	}
	return time.Duration(min((1-a.allowance)/perSecond, a.window.Seconds()) * float64(time.Second))
}

func (a *account) use(now time.Time) Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	return Use{Account: a.name, Own: a.admitted / a.base, Fleet: (a.admitted + a.others) / a.base, Part: a.part, Limited: !a.refusedAt.IsZero() && now.Sub(a.refusedAt) < limitedTime}
}
