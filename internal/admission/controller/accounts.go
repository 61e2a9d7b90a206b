package controller

import (
	"math/rand/v2"
	"time"
)

const (
	// maxAccounts bounds the accounts of a service that have a state. The requests of further
	// ones are decided by their level alone.
	maxAccounts = 1 << 14
	// accountExpiry is the time without requests after which the state of an account may be
	// discarded.
	accountExpiry = time.Minute
	// usualRateStep is the fraction by which the rate of one second moves the usual rate.
	usualRateStep = 1.0 / 40
	// excessFactor is the multiple of its usual rate up to which an account has no excess.
	excessFactor = 1.5
	// minExcessCount is the number of requests in a second below which the rate of an
	// account is too uncertain for an excess.
	minExcessCount = 8
)

// account is the state of one client account at a service.
type account struct {
	credit float64   // requests that the minimum share still owes
	begin  time.Time // of the current second
	count  float64   // requests in it
	last   float64   // requests in the last complete second
	usual  float64   // requests per second
}

// countRequest counts a request for the rates of the account.
func (a *account) countRequest(now time.Time) {
	if age := now.Sub(a.begin); age >= time.Second {
		if age >= 2*time.Second {
			a.last = 0
		} else {
			a.last = a.count
		}
		if a.usual == 0 {
			a.usual = a.last
		}
		a.usual += (a.last - a.usual) * usualRateStep
		a.count, a.begin = 0, now
	}
	a.count++
}

// excess returns the fraction of the requests of the account that exceeds its usual rate.
func (a *account) excess() float64 {
	if a.last < minExcessCount {
		return 0
	}
	return max(0, 1-excessFactor*a.usual/a.last)
}

// accounts holds the state of the accounts of a service.
type accounts struct {
	byName map[string]*account
	swept  time.Time
}

// get returns the state of an account, or nil if it has no name or there are too many.
func (a *accounts) get(name string, random *rand.Rand, now time.Time) *account {
	if name == "" {
		return nil
	}
	if found := a.byName[name]; found != nil {
		return found
	}
	if len(a.byName) >= maxAccounts && !a.sweep(now) {
		return nil
	}
	if a.byName == nil {
		a.byName = make(map[string]*account)
	}
	// The random credit gives accounts their share also where each host gets few of their
	// requests.
	added := &account{credit: random.Float64(), begin: now}
	a.byName[name] = added
	return added
}

// sweep discards the state of idle accounts, at most once in accountExpiry. It reports whether
// there is room.
func (a *accounts) sweep(now time.Time) bool {
	if now.Sub(a.swept) < accountExpiry {
		return false
	}
	a.swept = now
	for name, account := range a.byName {
		if now.Sub(account.begin) > accountExpiry {
			delete(a.byName, name)
		}
	}
	return len(a.byName) < maxAccounts
}
