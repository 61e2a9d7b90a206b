package limiter

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
)

const (
	// backgroundInterval is how often a host reports its use of an account that is not near its
	// quota. The parts of hosts that are cut off follow from these reports.
	backgroundInterval = 10 * time.Second
	// maxBackgroundAge is the age from which such a report is dropped.
	maxBackgroundAge = 40 * time.Second
	// minBackgroundFraction is the fraction of a quota from which its use is reported.
	minBackgroundFraction = 0.02
	// minBackgroundDemand is the demand in requests per second from which it is reported, and
	// minReportedDemand that for an account near its quota.
	minBackgroundDemand, minReportedDemand = 0.1, 0.01
	// backgroundBytes and backgroundBurst bound the bytes of these reports per second.
	backgroundBytes = 400
	backgroundBurst = 400
	// entryBytes and accountBytes are the approximate sizes of a report in a message, and of its
	// account.
	entryBytes, accountBytes = 26, 18
	// scanned bounds the accounts that are checked for one message.
	scanned = 128
	// maxNearAccounts and maxNearEntries bound the reports about accounts near their quota in
	// one message.
	maxNearAccounts, maxNearEntries = 8, 48
	// ownSends and relaySends are the numbers of messages that carry a report.
	ownSends, relaySends = 3, 2
	// busySends is the same for an account that uses most of its quota.
	busySends = 4
	// busyFraction is the fraction of a quota from which its use is reported more often.
	busyFraction = 0.7
	// largeQuota is the number of requests per second from which a quota is large.
	largeQuota = 40
	// minReportInterval and maxReportInterval bound the interval between reports about an account
	// near its quota, with and without new requests.
	minReportInterval, maxReportInterval = 80 * time.Millisecond, 500 * time.Millisecond
	// minQuietInterval is the least interval between messages about an account of which most of
	// the quota is unused.
	minQuietInterval = 200 * time.Millisecond
	maxRate          = 1e9
	maxMessageAge    = uint32(maxBackgroundAge / time.Millisecond)
)

// outbox is the state of the messages of a Limiter.
type outbox struct {
	mu      sync.Mutex
	rand    *rand.Rand
	next    int       // account at which the next scan starts
	bytes   float64   // that background reports may take now
	bytesAt time.Time // of bytes
}

// nearSet holds the accounts that are near their quota.
type nearSet struct {
	mu       sync.Mutex
	accounts []*account
}

func (s *nearSet) add(a *account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.accounts, a) {
		s.accounts = append(s.accounts, a)
	}
}

// take removes and returns all accounts.
func (s *nearSet) take() []*account {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.accounts
	s.accounts = nil
	return out
}

// Usage returns the reports to send to another host.
func (l *Limiter) Usage(now time.Time) []*framer.Usage {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	return append(l.nearUsage(now), l.backgroundUsage(now)...)
}

// nearUsage returns the reports about accounts near their quota. The caller holds outbox.mu.
func (l *Limiter) nearUsage(now time.Time) (out []*framer.Usage) {
	near := l.near.take()
	l.outbox.rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	entries, solitude := maxNearEntries, l.solitude(now)
	for _, a := range near {
		if len(out) < maxNearAccounts && entries > 0 {
			if u := a.nearUsage(now, solitude, l, &entries); u != nil {
				out = append(out, u)
			}
		}
		a.keepNear(now)
	}
	return out
}

// keepNear returns the account to the set while it is near its quota.
func (a *account) keepNear(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isNear(now) {
		a.near.add(a)
	}
}

func (a *account) nearUsage(now time.Time, s solitude, l *Limiter, entries *int) *framer.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if !now.Before(a.refreshAt) {
		a.refresh(now, s)
	}
	if !a.isNear(now) {
		return nil
	}
	if a.nearSends == 0 && !a.isBusy() && now.Sub(a.sentAt) < minQuietInterval {
		return nil
	}
	a.sentAt = now
	u := &framer.Usage{Account: a.name, NearMilliseconds: uint32(max(now.Sub(a.nearUntil.Add(-nearTime)), 0).Milliseconds()) + 1}
	since, interval := now.Sub(a.reported), maxReportInterval
	if a.isBusy() {
		interval = minReportInterval
	}
	if a.weight() > minReportedDemand && (since >= maxReportInterval || (a.received && since >= interval)) {
		a.published, a.reported, a.received = a.weight(), now, false
		a.number++
		a.appendOwn(u, l, a.admitted/a.average.Seconds(), a.ringSum)
		*entries--
	}
	*entries -= a.passOn(u, *entries, l.outbox.rand, now)
	if len(u.Hosts) == 0 && a.nearSends == 0 {
		return nil
	}
	a.nearSends = max(a.nearSends-1, 0)
	return u
}

// passOn adds up to n reports of other hosts to a message and returns their number. The caller
// holds mu.
func (a *account) passOn(u *framer.Usage, n int, random *rand.Rand, now time.Time) (passed int) {
	if a.pending == 0 {
		return 0
	}
	start := 0
	if len(a.reports) > 0 {
		start = random.IntN(len(a.reports))
	}
	a.pending = 0
	for i := range a.reports {
		r := &a.reports[(start+i)%len(a.reports)]
		if now.Sub(r.sampled) > maxBackgroundAge {
			r.sends = 0 // the receiver would not accept the message
		}
		if r.sends > 0 && passed < n {
			r.sends--
			passed++
			appendEntry(u, r, now)
		}
		a.pending += r.sends
	}
	return passed
}

// leastBackground returns the demand from which it is reported while the account is not near its
// quota. The caller holds mu.
func (a *account) leastBackground() float64 {
	return max(minBackgroundFraction*a.quota.PerSecond, minBackgroundDemand)
}

// backgroundUsage returns reports about accounts that are not near their quota, a few per
// message. The caller holds outbox.mu.
func (l *Limiter) backgroundUsage(now time.Time) (out []*framer.Usage) {
	o := &l.outbox
	if !o.bytesAt.IsZero() {
		o.bytes = min(o.bytes+backgroundBytes*now.Sub(o.bytesAt).Seconds(), backgroundBurst)
	}
	o.bytesAt = now
	accounts := *l.ordered.Load()
	for range min(len(accounts), scanned) {
		if o.bytes < accountBytes+entryBytes {
			break
		}
		a := accounts[o.next%len(accounts)]
		o.next = (o.next + 1) % len(accounts)
		if u := a.backgroundUsage(now, l, int((o.bytes-accountBytes)/entryBytes)); u != nil {
			out = append(out, u)
			o.bytes -= accountBytes + float64(len(u.Hosts))*entryBytes
		}
	}
	return out
}

func (a *account) backgroundUsage(now time.Time, l *Limiter, entries int) *framer.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isNear(now) {
		return nil
	}
	a.advance(now)
	if !now.Before(a.publishAt) && max(a.baseline, a.published) >= a.leastBackground() {
		a.published, a.publishAt, a.ownSends = a.baseline, now.Add(backgroundInterval), ownSends
		a.number++
	}
	if a.ownSends == 0 && a.pending == 0 {
		return nil
	}
	u := &framer.Usage{Account: a.name}
	if a.ownSends > 0 {
		a.ownSends--
		entries--
		a.appendOwn(u, l, a.baseline, a.baseline*a.window.Seconds())
	}
	a.passOn(u, entries, l.outbox.rand, now)
	return u
}

// appendOwn adds the report of this host with its published demand. The caller holds mu.
func (a *account) appendOwn(u *framer.Usage, l *Limiter, rate, count float64) {
	appendEntry(u, &report{id: l.id, start: l.start, number: a.number, rate: rate, demand: a.published, count: count, sampled: a.last}, a.last)
}

func appendEntry(u *framer.Usage, r *report, now time.Time) {
	u.Hosts = append(u.Hosts, r.id)
	u.Starts = append(u.Starts, r.start)
	u.Rates = append(u.Rates, float32(r.rate))
	u.Demands = append(u.Demands, float32(r.demand))
	u.Counts = append(u.Counts, uint32(r.count))
	u.Numbers = append(u.Numbers, r.number)
	u.Ages = append(u.Ages, uint32(max(now.Sub(r.sampled), 0).Milliseconds()))
}

// Merge applies the reports that another host sent. It must be called for each message, also
// for those without reports: it shows that this host is not cut off. Reports with values out
// of range are ignored.
func (l *Limiter) Merge(usage []*framer.Usage, now time.Time) {
	l.contact.Store(int64(now.Sub(l.epoch)))
	if l.learning.Load() {
		l.learned.Store(int64(now.Sub(l.epoch)))
		l.learning.Store(false)
	}
	accounts := *l.accounts.Load()
	for _, u := range usage {
		if a := accounts[u.GetAccount()]; a != nil && valid(u) {
			a.merge(u, l, now)
		}
	}
}

func valid(u *framer.Usage) bool {
	n := len(u.Hosts)
	if n > 4096 || len(u.Starts) != n || len(u.Rates) != n || len(u.Demands) != n || len(u.Counts) != n || len(u.Ages) != n || len(u.Numbers) != n {
		return false
	}
	for i := range n {
		if !isRate(u.Rates[i]) || !isRate(u.Demands[i]) || u.Ages[i] > maxMessageAge {
			return false
		}
	}
	return true
}

func isRate(v float32) bool { return v >= 0 && v <= maxRate && !math.IsNaN(float64(v)) }

func (a *account) merge(u *framer.Usage, l *Limiter, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if u.NearMilliseconds > 0 {
		a.markNear(now.Add(-time.Duration(u.NearMilliseconds-1)*time.Millisecond), now)
	}
	sends := relaySends
	if a.isNear(now) && a.isBusy() {
		sends = busySends
	}
	for i, id := range u.Hosts {
		if id == l.id {
			continue
		}
		a.mergeReport(report{
			id: id, start: u.Starts[i], number: u.Numbers[i], rate: float64(u.Rates[i]), demand: float64(u.Demands[i]), count: float64(u.Counts[i]),
			sampled: now.Add(-time.Duration(u.Ages[i]) * time.Millisecond), sends: sends,
		})
	}
	a.refreshAt = now
}

// isBusy reports whether the account is to be reported often while it is near its quota: most of
// the quota is in use, or it is so large that its demand rarely rises at random. The caller holds
// mu.
func (a *account) isBusy() bool {
	return a.quota.PerSecond >= largeQuota || a.admitted+a.heard >= busyFraction*a.base
}

// mergeReport stores a report that is newer than the known one of its host. The caller holds mu.
func (a *account) mergeReport(r report) {
	i := slices.IndexFunc(a.reports, func(old report) bool { return old.id == r.id })
	if i < 0 && len(a.reports) > 0 {
		// Accounts without requests here are not refreshed, so expired reports are dropped here.
		a.reports = slices.DeleteFunc(a.reports, func(old report) bool { return r.sampled.Sub(old.sampled) > maxBackgroundAge })
	}
	switch {
	case i < 0 && len(a.reports) >= maxReports:
		return
	case i < 0:
		a.reports = append(a.reports, r)
	default:
		old := &a.reports[i]
		if r.start < old.start || (r.start == old.start && r.number <= old.number) {
			return
		}
		r.part, r.lost, r.lostAt = old.part, old.lost, old.lostAt
		if r.start > old.start {
			r.lost, r.lostAt = old.count, old.sampled
		}
		*old = r
	}
	a.pending += r.sends
}

// maxReports bounds the hosts that are kept for an account.
const maxReports = 1024
