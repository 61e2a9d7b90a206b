// Package authenticator finds the client account that a request's key belongs to.
//
//	a, err := authenticator.New(accounts)
//	account := a.Find(key)
//
// An Authenticator is part of one version of the configuration and immutable. It keeps digests
// of the keys and not the keys themselves, so that none can get into a log, and so that the time
// of a look-up tells nothing about the keys that exist.
package authenticator

import (
	"crypto/sha256"
	"math"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Quota bounds the requests of an account, of all hosts together. The zero value is no limit.
type Quota struct {
	PerSecond float64
	Burst     float64 // requests on top of that at any moment
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Account is a client account as configured. It must not be modified after it was passed to New.
type Account struct {
	Name       string
	Keys       []string // cleared by New
	Urgency    int      // 0 is the most urgent; takes precedence over that of the route
	HasUrgency bool     // Urgency is set
	Quota      Quota
	Regions    []string // regions whose upstreams may serve the account; empty for all
}

// Authenticator holds the keys of all accounts of one version. It is safe for concurrent use.
type Authenticator struct {
	accounts []*Account
	byKey    map[[sha256.Size]byte]*Account
}

// New returns an Authenticator for the accounts. Errors are of kind Invalid and name the account
// and the field; they don't quote keys.
func New(accounts []Account) (*Authenticator, error) {
	a := &Authenticator{byKey: make(map[[sha256.Size]byte]*Account)}
	names := make(map[string]bool, len(accounts))
	for i := range accounts {
		account := &accounts[i]
		switch {
		case account.Name == "":
			return nil, classifier.Invalid.New("account %d: name is empty", i)
		case names[account.Name]:
			return nil, classifier.Invalid.New("account %q: name is used twice", account.Name)
		case !isAmount(account.Quota.PerSecond):
			return nil, classifier.Invalid.New("account %q: rate: %v is not a number from 0", account.Name, account.Quota.PerSecond)
		case !isAmount(account.Quota.Burst):
			return nil, classifier.Invalid.New("account %q: burst: %v is not a number from 0", account.Name, account.Quota.Burst)
		}
		names[account.Name] = true
		if err := a.addKeys(account); err != nil {
			return nil, err
		}
		account.Keys = nil
		a.accounts = append(a.accounts, account)
	}
	return a, nil
}

func (a *Authenticator) addKeys(account *Account) error {
	for i, key := range account.Keys {
		if key == "" {
			return classifier.Invalid.New("account %q: key %d is empty", account.Name, i)
		}
		digest := sha256.Sum256([]byte(key))
		if other := a.byKey[digest]; other != nil && other != account {
			return classifier.Invalid.New("account %q: key %d is also a key of account %q", account.Name, i, other.Name)
		}
		a.byKey[digest] = account
	}
	return nil
}

func isAmount(v float64) bool { return v >= 0 && v <= math.MaxFloat64 }

// maxKeyBytes bounds the keys that are looked up without an allocation.
const maxKeyBytes = 256

// Find returns the account that holds the key, or nil.
func (a *Authenticator) Find(key string) *Account {
	if len(key) > maxKeyBytes {
		return a.byKey[sha256.Sum256([]byte(key))]
	}
	var buf [maxKeyBytes]byte
	return a.byKey[sha256.Sum256(buf[:copy(buf[:], key)])]
}

// Accounts returns all accounts in the order of the configuration. They must not be modified.
func (a *Authenticator) Accounts() []*Account { return a.accounts }
