// Package claimer runs a request with an idempotency key at most once on the
// whole fleet, and gives a repeated request the response of the first run.
//
// A request is dispatched only after a row that names its claim was created in
// the table service. The row has no expiry: a claim whose outcome is unknown
// is never taken over, so neither a pause nor the death of its holder can lead
// to a second run. Only the process that made the claim, if it has not
// dispatched the request, makes the claim void, after which the key can be claimed anew.
//
//	claim, response, err := c.Begin(ctx, key, fingerprint)
//	switch {
//	case err != nil:        // not dispatched by this call
//	case response != nil:   // known outcome, to be replayed
//	default:                // dispatch once, then c.Finish or c.Void
//	}
package claimer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// maxInlineBodyBytes is the largest body in bytes that is stored in the row itself.
	// Larger ones are objects, because the table service is sized for small rows.
	maxInlineBodyBytes = 64 << 10
	// maxKeyBytes bounds the idempotency key in bytes.
	maxKeyBytes = 255
	// writesPerClaim is what one keyed request costs the store: the claim and
	// its outcome.
	writesPerClaim = 2

	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// recordTimeout bounds how long a response waits for its outcome to be stored.
	// After that the caller gets the response and the write is retried later.
	recordTimeout = time.Second
	// storeFailureTimeout is how long a request waits for a store that fails. Most
	// outages are longer, so an early error tells the caller that nothing ran.
	storeFailureTimeout = time.Second
	// budgetTimeout bounds the wait for this host's share of the store's writes.
	budgetTimeout      = time.Second
	budgetPollInterval = 20 * time.Millisecond
)

// Store is the table and object store of the platform.
type Store interface {
	Get(ctx context.Context, key string) (adapter.Row, error)
	Put(ctx context.Context, key, revision string, value []byte) (string, error)
	Load(ctx context.Context, key string) ([]byte, error)
	Save(ctx context.Context, key string, value []byte) error
}

// Budget grants writes to the store within this host's share of its limit.
type Budget interface {
	Allow(now time.Time, writes int) bool
}

// Key names one logical request.
type Key struct {
	Service       string
	ClientAccount string
	Key           string
}

// Claim is the right to dispatch one request once.
type Claim struct {
	key          Key
	id           string
	fingerprint  string
	revision     string // of the row that this claim made
	baseRevision string // revision that the last write was conditional on
}

// ID returns the unique id of the claim.
func (c *Claim) ID() string { return c.id }

// Response is a stored outcome.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns an outcome to be stored.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (a *Response) Status() int { return a.status }

// Header returns the header fields of the response.
func (a *Response) Header() http.Header { return a.header }

// Body returns the whole body.
func (a *Response) Body() []byte { return a.body }

// Claimer makes and settles claims. It is safe for concurrent use.
type Claimer struct {
	store  Store
	budget Budget
	host   string

	mu           sync.Mutex
	unused       map[string]*Claim   // claims that were never dispatched, by id
	pending      map[string]*outcome // outcomes that the store does not have yet, by claim id
	pendingBytes int
}

// New returns a Claimer for the named host. A nil budget grants every write.
func New(store Store, budget Budget, host string) *Claimer {
	return &Claimer{
		store: store, budget: budget, host: host,
		unused:  make(map[string]*Claim),
		pending: make(map[string]*outcome),
	}
}

// Begin claims the key. It returns the claim if the caller is to dispatch the
// request, or the response if the request ran before. The errors are:
//
//   - KeyReused: the key belongs to a request with another fingerprint;
//   - InDoubt: another claim has no known outcome at the deadline of ctx;
//   - Overloaded: this host's share of the store's writes is used up;
//   - StoreDown: no claim could be made; the request is not dispatched, and a
//     claim that was written all the same is made void in the background.
func (c *Claimer) Begin(ctx context.Context, key Key, fingerprint string) (*Claim, *Response, error) {
	if key.Key == "" || len(key.Key) > maxKeyBytes {
		return nil, nil, classifier.BadRequest.New("Idempotency-Key has %d bytes: use 1 to %d", len(key.Key), maxKeyBytes)
	}
	if !c.takeBudget(ctx) {
		return nil, nil, classifier.Overloaded.New("this host's share of the store's writes is used up")
	}
	claim := &Claim{key: key, id: uuid.NewString(), fingerprint: fingerprint}
	attempt := &attempt{claimer: c, claim: claim, poll: minPollInterval}
	response, err := attempt.run(ctx)
	if err != nil {
		if attempt.maybeWritten {
			c.addUnused(claim)
		}
		return nil, nil, err
	}
	if response != nil {
		return nil, response, nil
	}
	return claim, nil, nil
}

// takeBudget takes the writes of one claim from the budget. A burst of
// requests waits for it up to budgetTimeout, because a host's share is a few tens of writes a
// second and refills all the time.
func (c *Claimer) takeBudget(ctx context.Context) bool {
	if c.budget == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	for !c.budget.Allow(time.Now(), writesPerClaim) {
		if !sleeper.Sleep(ctx, budgetPollInterval) {
			return false
		}
	}
	return true
}

// attempt is the state of one Begin.
type attempt struct {
	claimer      *Claimer
	claim        *Claim
	poll         time.Duration
	maybeWritten bool      // a write of the claim may take effect
	failingSince time.Time // first store failure since its last response
	lastErr      error
}

// run tries until the claim is made, an outcome is known or ctx ends.
func (a *attempt) run(ctx context.Context) (*Response, error) {
	for {
		done, response, err := a.step(ctx)
		if done || err != nil {
			return response, err
		}
		if a.storeFailed(time.Now()) || !a.sleep(ctx) {
			return nil, a.lastErr
		}
	}
}

// storeFailed reports whether the store has failed for storeFailureTimeout, after
// which the request is rejected.
func (a *attempt) storeFailed(now time.Time) bool {
	if classifier.Of(a.lastErr) != classifier.StoreDown {
		a.failingSince = time.Time{}
		return false
	}
	if a.failingSince.IsZero() {
		a.failingSince = now
	}
	return now.Sub(a.failingSince) >= storeFailureTimeout
}

// step reads the row and writes the claim if the key is free. It sets a.last
// to what Begin reports if there is no time for another step.
func (a *attempt) step(ctx context.Context) (done bool, response *Response, err error) {
	c := a.claimer
	current, revision, err := c.read(ctx, a.claim.key)
	if err != nil {
		a.lastErr = err
		return false, nil, nil
	}
	switch {
	case current == nil:
	case current.ID == a.claim.id:
		// The write took effect, but its response was lost.
		a.claim.revision = revision
		return true, nil, nil
	case current.Fingerprint != a.claim.fingerprint && current.State != stateVoid:
		return false, nil, classifier.KeyReused.New("Idempotency-Key %q belongs to another request", a.claim.key.Key)
	case current.State == stateDone:
		response, err := c.response(ctx, current)
		return err == nil, response, err
	case current.State == stateHeld && !c.isUnused(current.ID):
		a.lastErr = classifier.InDoubt.New("claim %s of host %s has no known outcome", current.ID, current.Host)
		return false, nil, nil
	}
	a.write(ctx, revision)
	return a.claim.revision != "", nil, nil
}

func (a *attempt) write(ctx context.Context, revision string) {
	c := a.claimer
	a.claim.baseRevision = revision
	next, err := c.put(ctx, a.claim.key, revision, &row{ID: a.claim.id, Fingerprint: a.claim.fingerprint, Host: c.host, State: stateHeld, Time: time.Now().Unix()})
	switch {
	case err == nil:
		a.claim.revision = next
	case classifier.Of(err) == classifier.Conflict:
		// Another claim, or an earlier write of this one: the next read distinguishes them.
		a.poll = minPollInterval
		a.lastErr = classifier.InDoubt.New("Idempotency-Key %q is being claimed by another request", a.claim.key.Key)
	default:
		a.maybeWritten = true
		a.lastErr = err
	}
}

// sleep waits for the next step. It reports false when ctx ends first.
func (a *attempt) sleep(ctx context.Context) bool {
	wait := a.poll/2 + rand.N(a.poll)
	a.poll = min(2*a.poll, maxPollInterval)
	return sleeper.Sleep(ctx, wait)
}

func (c *Claimer) isUnused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.unused[id]
	return ok
}
