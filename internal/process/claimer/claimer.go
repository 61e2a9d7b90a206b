// Package claimer makes sure that a request with an idempotency key runs at
// most once on the whole fleet, and that a repeat gets the answer of the first
// run.
//
// A request is dispatched only after a row that names its claim was created in
// the table service. The row has no expiry: a claim whose outcome is unknown
// is never taken over, so neither a pause nor the death of its holder can lead
// to a second run. Only the claim's own process, while it knows that nothing
// was dispatched, makes a claim void, after which the key can be claimed anew.
//
//	claim, answer, err := c.Begin(ctx, key, fingerprint)
//	switch {
//	case err != nil:        // not dispatched by this call
//	case answer != nil:     // known outcome, to be given again
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
	// maxInline is the largest body in bytes that is stored in the row itself.
	// Larger ones are objects, because the table service is sized for small rows.
	maxInline = 64 << 10
	// maxKey bounds the idempotency key in bytes.
	maxKey = 255
	// writesPerClaim is what one keyed request costs the store: the claim and
	// its outcome.
	writesPerClaim = 2

	firstPoll = 50 * time.Millisecond
	lastPoll  = time.Second
	// recordWait bounds how long an answer waits for its outcome to be stored.
	// After that the caller gets the answer and the store is tried again later.
	recordWait = time.Second
	// storeFailureLimit is how long a request waits for a store that fails. Most
	// outages are longer, and the caller learns early that nothing ran.
	storeFailureLimit = time.Second
	// budgetWait bounds the wait for this host's share of the store's writes.
	budgetWait = time.Second
	budgetPoll = 20 * time.Millisecond
)

// Store is what a Claimer needs of the platform.
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
	key      Key
	id       string
	print    string
	revision string // of the row that this claim made
	base     string // revision that the last write was conditional on
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

// Header returns the header fields of the answer.
func (a *Response) Header() http.Header { return a.header }

// Body returns the whole body.
func (a *Response) Body() []byte { return a.body }

// Claimer makes and settles claims. It is safe for concurrent use.
type Claimer struct {
	store  Store
	budget Budget
	host   string

	mu      sync.Mutex
	unused  map[string]*Claim   // claims that were never dispatched, by id
	pending map[string]*outcome // outcomes that the store does not have yet, by claim id
	bytes   int
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
// request, or the answer if the request ran before. The errors are:
//
//   - KeyReused: the key belongs to a request with another fingerprint;
//   - InDoubt: another claim has no known outcome at the deadline of ctx;
//   - Overloaded: this host's share of the store's writes is used up;
//   - StoreDown: no claim could be made; the request is not dispatched, and a
//     claim that was written all the same is made void in the background.
func (c *Claimer) Begin(ctx context.Context, key Key, fingerprint string) (*Claim, *Response, error) {
	if key.Key == "" || len(key.Key) > maxKey {
		return nil, nil, classifier.BadRequest.New("Idempotency-Key has %d bytes: use 1 to %d", len(key.Key), maxKey)
	}
	if !c.takeBudget(ctx) {
		return nil, nil, classifier.Overloaded.New("this host's share of the store's writes is used up")
	}
	claim := &Claim{key: key, id: uuid.NewString(), print: fingerprint}
	attempt := &attempt{claimer: c, claim: claim, poll: firstPoll}
	answer, err := attempt.run(ctx)
	if err != nil {
		if attempt.maybeWritten {
			c.abandon(claim)
		}
		return nil, nil, err
	}
	if answer != nil {
		return nil, answer, nil
	}
	return claim, nil, nil
}

// takeBudget takes the writes of one claim from the budget. Requests that come
// together wait for it a little, because a host's part is a few tens of writes a
// second and refills all the time.
func (c *Claimer) takeBudget(ctx context.Context) bool {
	if c.budget == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, budgetWait)
	defer cancel()
	for !c.budget.Allow(time.Now(), writesPerClaim) {
		if !sleeper.Sleep(ctx, budgetPoll) {
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
	failing      time.Time // first of the store's failures since it last answered
	last         error
}

// run tries until the claim is made, an outcome is known or ctx ends.
func (a *attempt) run(ctx context.Context) (*Response, error) {
	for {
		done, answer, err := a.step(ctx)
		if done || err != nil {
			return answer, err
		}
		if a.storeFailed(time.Now()) || !a.sleep(ctx) {
			return nil, a.last
		}
	}
}

// storeFailed reports whether the store has failed for so long that the request is
// better refused.
func (a *attempt) storeFailed(now time.Time) bool {
	if classifier.Of(a.last) != classifier.StoreDown {
		a.failing = time.Time{}
		return false
	}
	if a.failing.IsZero() {
		a.failing = now
	}
	return now.Sub(a.failing) >= storeFailureLimit
}

// step reads the row and writes the claim if the key is free. It sets a.last
// to what Begin reports if there is no time for another step.
func (a *attempt) step(ctx context.Context) (done bool, answer *Response, err error) {
	c := a.claimer
	current, revision, err := c.read(ctx, a.claim.key)
	if err != nil {
		a.last = err
		return false, nil, nil
	}
	switch {
	case current == nil:
	case current.ID == a.claim.id:
		// The answer to the write was lost after its effect.
		a.claim.revision = revision
		return true, nil, nil
	case current.Print != a.claim.print && current.State != stateVoid:
		return false, nil, classifier.KeyReused.New("Idempotency-Key %q belongs to another request", a.claim.key.Key)
	case current.State == stateDone:
		answer, err := c.answer(ctx, current)
		return err == nil, answer, err
	case current.State == stateHeld && !c.isUnused(current.ID):
		a.last = classifier.InDoubt.New("claim %s of host %s has no known outcome", current.ID, current.Host)
		return false, nil, nil
	}
	a.write(ctx, revision)
	return a.claim.revision != "", nil, nil
}

func (a *attempt) write(ctx context.Context, revision string) {
	c := a.claimer
	a.claim.base = revision
	next, err := c.put(ctx, a.claim.key, revision, &row{ID: a.claim.id, Print: a.claim.print, Host: c.host, State: stateHeld, Time: time.Now().Unix()})
	switch {
	case err == nil:
		a.claim.revision = next
	case classifier.Of(err) == classifier.Conflict:
		// Another claim, or an earlier write of this one: the next read tells.
		a.poll = firstPoll
		a.last = classifier.InDoubt.New("Idempotency-Key %q is being claimed by another request", a.claim.key.Key)
	default:
		a.maybeWritten = true
		a.last = err
	}
}

// sleep waits for the next step. It reports false when ctx ends first.
func (a *attempt) sleep(ctx context.Context) bool {
	wait := a.poll/2 + rand.N(a.poll)
	a.poll = min(2*a.poll, lastPoll)
	return sleeper.Sleep(ctx, wait)
}

func (c *Claimer) isUnused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.unused[id]
	return ok
}
