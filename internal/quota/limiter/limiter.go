// Package limiter enforces the quotas of client accounts over all hosts together, without a
// central host.
//
// Each host publishes how many requests of an account it admits and receives, and learns the
// same of the other hosts by gossip. It admits a request while the sum of all hosts is below
// the quota, or while it is itself below its part of the quota, which follows its part of the
// demand. The published values are moving averages, so that lost, repeated and outdated
// messages have no lasting effect.
//
// A host without contact to the others uses its last part only, and the others leave that part
// unused. A host that starts or was paused uses a small part until another host responds.
package limiter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

// Settings bound the requests of an account that all hosts together admit within any Window:
// (PerSecond x Window + Burst) x (1 + Excess) + Slack.
type Settings struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// valid returns the settings with a window of at least minWindow, by default defaultWindow.
func (s Settings) valid() Settings {
	s.Window = max(cmp.Or(s.Window, defaultWindow), minWindow)
	return s
}

const (
	defaultWindow = 5 * time.Second
	minWindow     = 100 * time.Millisecond
	// maxPerSecond exceeds what any fleet serves. Larger quotas count as this.
	maxPerSecond = 1e9
	// maxContactAge is the time without a message from another host after which this host counts
	// as isolated. About ten messages arrive per second.
	maxContactAge = 1200 * time.Millisecond
	// learningTime is the time from the first message of another host until a host knows what
	// the others know about accounts near their quota.
	learningTime = time.Second
	// newHostFraction is the fraction of an equal part that a host uses that knows no part of
	// its own.
	newHostFraction = 0.5
	// assumedHosts is the number of hosts that is assumed before SetFleet is called.
	assumedHosts = 100
)

// Limiter decides about the requests of one host. It is safe for concurrent use.
type Limiter struct {
	id    uint32 // of this host in messages
	start uint64 // of the process, in Unix milliseconds
	epoch time.Time

	accounts atomic.Pointer[map[string]*account]
	ordered  atomic.Pointer[[]*account]
	contact  atomic.Int64 // time of the last message of another host, in nanoseconds since epoch
	learning atomic.Bool  // no message has arrived since the start or the last pause
	learned  atomic.Int64 // time of the first message since then, in nanoseconds since epoch
	live     atomic.Int64
	known    atomic.Int64

	mu       sync.Mutex // guards settings and changes of accounts
	settings Settings
	outbox   outbox
	near     nearSet
}

// New returns a Limiter for the host with this name, whose process started at now.
func New(host string, s Settings, now time.Time) *Limiter {
	l := &Limiter{id: hostID(host), start: uint64(now.UnixMilli()), epoch: now, settings: s.valid()}
	l.learning.Store(true)
	l.live.Store(1)
	l.known.Store(assumedHosts)
	l.accounts.Store(new(map[string]*account))
	l.ordered.Store(new([]*account))
	l.outbox.bytes, l.outbox.rand = backgroundBurst, rand.New(rand.NewPCG(uint64(l.id), l.start))
	return l
}

func hostID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetQuotas replaces the quotas by those of the accounts of a configuration. Accounts without
// a limit are ignored. What is known about the use of an account stays.
func (l *Limiter) SetQuotas(accounts []*authenticator.Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.accounts.Load()
	byName := make(map[string]*account)
	var ordered []*account
	for _, in := range accounts {
		if !in.Quota.Limited() {
			continue
		}
		a := old[in.Name]
		if a == nil {
			a = newAccount(in.Name, l.epoch, &l.near)
		}
		quota := authenticator.Quota{PerSecond: min(in.Quota.PerSecond, maxPerSecond), Burst: min(in.Quota.Burst, maxPerSecond)}
		a.setQuota(quota, l.settings, now)
		byName[in.Name] = a
		ordered = append(ordered, a)
	}
	l.accounts.Store(&byName)
	l.ordered.Store(&ordered)
}

// SetSettings changes the settings.
func (l *Limiter) SetSettings(s Settings, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s.valid()
	for _, a := range *l.ordered.Load() {
		a.setQuota(a.currentQuota(), l.settings, now)
	}
}

// SetFleet sets the number of hosts that respond and of those that may still send requests.
// Both include this host.
func (l *Limiter) SetFleet(live, known int, _ time.Time) {
	l.live.Store(int64(live))
	l.known.Store(int64(max(known, 1)))
}

// Resume records that the process was paused until now: what it knows is out of date.
func (l *Limiter) Resume(now time.Time) {
	l.learning.Store(true)
	for _, a := range *l.ordered.Load() {
		a.resume(now)
	}
}

// Allow reports whether a request of the account may run now, and counts it.
func (l *Limiter) Allow(name string, now time.Time) bool {
	a := (*l.accounts.Load())[name]
	return a == nil || a.allow(now, l.solitude(now))
}

// Return undoes the count of a request that was allowed at a time, has not run and will not. Its
// caller may send it again, and must not use up the quota by that.
func (l *Limiter) Return(name string, allowed, now time.Time) {
	if a := (*l.accounts.Load())[name]; a != nil {
		a.undo(allowed, now)
	}
}

// UntilAllowed returns the time until a request of the account is expected to be allowed.
func (l *Limiter) UntilAllowed(name string, now time.Time) time.Duration {
	a := (*l.accounts.Load())[name]
	if a == nil {
		return 0
	}
	return a.untilAllowed(now)
}

// solitude describes how far a host is cut off from the others.
type solitude struct {
	isolated bool    // no other host was heard of recently
	partial  bool    // some hosts don't respond
	learning bool    // this host may not know yet what the others know
	floor    float64 // part of a quota that this host may use without a part of its own
	equal    float64 // part of each host in a division by number
}

func (l *Limiter) solitude(now time.Time) solitude {
	known := float64(l.known.Load())
	if known <= 1 {
		return solitude{floor: 1, equal: 1}
	}
	at := now.Sub(l.epoch)
	return solitude{
		isolated: l.learning.Load() || at-time.Duration(l.contact.Load()) > maxContactAge,
		partial:  l.live.Load() < l.known.Load(),
		learning: at-time.Duration(l.learned.Load()) < learningTime, floor: newHostFraction / known, equal: 1 / known,
	}
}

// Use is the use of the quota of one account.
type Use struct {
	Account string
	Own     float64 // fraction of the quota that this host uses
	Fleet   float64 // fraction that all known hosts use
	Part    float64 // fraction that this host may use while the quota is used up
	Limited bool    // a request was refused a short time ago
}

// Report returns the accounts of which this host uses the largest fractions, at most limit.
func (l *Limiter) Report(limit int, now time.Time) []Use {
	var out []Use
	for _, a := range *l.ordered.Load() {
		if u := a.use(now); u.Own > 0 {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Own, a.Own), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), limit)]
}

// decay returns the factor by which a moving average decreases.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}
