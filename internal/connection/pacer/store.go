package pacer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/lender"
)

// writeBurst is the time whose writes may come at once. A claim takes two
// writes, so at least two may.
const writeBurst = 100 * time.Millisecond

// store is the bucket of writes to the store. One kind of traffic with one rate
// is what rate.Limiter does; only the end of the rights is added.
type store struct {
	mu      sync.Mutex
	units   allotter.Units
	own     int64
	until   time.Time
	loans   []lender.Held
	lent    int64
	rate    int64 // as set in the limiter
	limiter *rate.Limiter
}

// install puts the rights on writes in force.
func (s *store) install(rights allotter.Rights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units = allotter.Writes(rights.Writes)
	s.own, s.until = s.units.In(rights.Store.Shares), rights.Store.Until
	s.loans = nil
	for _, l := range rights.Loans {
		if l.Limit == allotter.StoreLimit {
			s.loans = append(s.loans, l)
		}
	}
}

// current returns the writes per second at the time and what of it is borrowed.
func (s *store) current(now time.Time) (all, borrowed int64) {
	if now.Before(s.until) {
		all = max(s.own-s.lent, 0)
	}
	for _, l := range s.loans {
		if now.Before(l.Until) {
			borrowed += l.Units
		}
	}
	return all + borrowed, borrowed
}

// set brings the limiter to the rate at the time.
func (s *store) set(now time.Time) {
	r, _ := s.current(now)
	if s.limiter != nil && r == s.rate {
		return
	}
	s.rate = r
	burst := max(int(float64(r)*writeBurst.Seconds()), 2)
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(r), burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(r))
	s.limiter.SetBurstAt(now, burst)
}

// AllowWrites reports whether this host may make n writes to the store now, and
// counts them if so. The caller refuses a request as overloaded otherwise,
// before any of its writes.
func (p *Pacer) AllowWrites(now time.Time, n int) bool {
	s := &p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(now)
	// A limiter without a rate would still give its burst away.
	return s.rate > 0 && s.limiter.AllowN(now, n)
}

// LendWrites lowers this host's rate of writes by what it lends, all or none. At
// least half of the own rate stays.
func (p *Pacer) LendWrites(now time.Time, perSecond int64) bool {
	s := &p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if perSecond <= 0 || !now.Before(s.until) || s.lent+perSecond > s.own/2 {
		return false
	}
	s.lent += perSecond
	return true
}

// RegainWrites sets the rate that is still lent, as lender.Lent tells. It never
// raises it.
func (p *Pacer) RegainWrites(lent int64) {
	s := &p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lent = min(s.lent, max(lent, 0))
}

// UsedWrites is Used for the ledger row of the store.
func (p *Pacer) UsedWrites(keep allotter.Set) allotter.Set {
	s := &p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lent > s.units.In(keep) {
		return allotter.All
	}
	return 0
}

// Writes describes the limit on writes to the store at this host, per second.
// Used is what the bucket lacks, as a rate.
func (p *Pacer) Writes(now time.Time) allotter.Figure {
	s := &p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(now)
	f := allotter.Figure{Name: allotter.StoreLimit, Total: s.units.Total(), Lent: s.lent}
	f.Held, f.Borrowed = s.current(now)
	if lacks := 1 - s.limiter.TokensAt(now)/float64(s.limiter.Burst()); lacks > 0 {
		f.Used = int64(lacks * float64(f.Held))
	}
	return f
}
