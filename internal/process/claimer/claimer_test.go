package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/claimer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// store is a table and object store with faults that a seed chooses.
type store struct {
	mu      sync.Mutex
	rows    map[string]adapter.Row
	objects map[string][]byte
	next    int
	down    bool
	rng     *rand.Rand
	lose    float64 // part of the writes whose answer is lost after the effect
	late    float64 // part of the writes that take effect 3 s after they failed
}

func newStore() *store {
	return &store{rows: make(map[string]adapter.Row), objects: make(map[string][]byte), rng: rand.New(rand.NewPCG(1, 2))}
}

var errDown = classifier.StoreDown.New("no answer")

func (s *store) Get(_ context.Context, key string) (adapter.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if s.down {
		return row, errDown
	}
	if !ok {
		return row, classifier.NotFound.New("no row")
	}
	return row, nil
}

func (s *store) Put(_ context.Context, key, revision string, value []byte) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return "", errDown
	}
	if s.rng.Float64() < s.late {
		time.AfterFunc(3*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.write(key, revision, value)
		})
		return "", errDown
	}
	next, err := s.write(key, revision, value)
	if err == nil && s.rng.Float64() < s.lose {
		return "", errDown
	}
	return next, err
}

func (s *store) write(key, revision string, value []byte) (string, error) {
	if s.rows[key].Revision != revision {
		return "", classifier.Conflict.New("revision")
	}
	s.next++
	next := fmt.Sprint(s.next)
	s.rows[key] = adapter.Row{Key: key, Revision: next, Value: value}
	return next, nil
}

func (s *store) Load(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return s.objects[key], nil
}

func (s *store) Save(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.objects[key] = value
	return nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

var key = claimer.Key{Service: "orderbook", ClientAccount: "sakdiphong", Key: "k/1"}

func begin(c *claimer.Claimer, timeout time.Duration, fingerprint string) (*claimer.Claim, *claimer.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Begin(ctx, key, fingerprint)
}

// tally counts what the calls of a run came to.
type tally struct{ ran, replayed, refused, doubt, double int }

// contend lets four hosts claim one key while the store loses answers, applies
// writes late and goes down, and hosts die or fail at any step. With expiring
// set, the store drops claims after a second, as a lease would.
func contend(t *testing.T, seed uint64, expiring bool, sum *tally) {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := newStore()
	s.rng, s.lose, s.late = rand.New(rand.NewPCG(seed, 8)), 0.3, 0.2
	ctx, cancel := context.WithCancel(t.Context())
	if expiring {
		go s.expire(ctx)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	runs := 0
	for host := range 4 {
		c := claimer.New(s, nil, fmt.Sprint("h", host))
		life, die := context.WithCancel(ctx)
		go c.Run(life)
		offset := time.Duration(rng.Int64N(int64(2 * time.Second)))
		timeout := time.Duration(rng.Int64N(int64(5*time.Second))) + 100*time.Millisecond
		fate, down := rng.IntN(6), rng.IntN(3) == 0
		wg.Go(func() {
			time.Sleep(offset)
			if down {
				s.setDown(true)
				time.AfterFunc(2*time.Second, func() { s.setDown(false) })
			}
			claim, answer, err := begin(c, timeout, "f")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil && classifier.Of(err).Outcome() == classifier.NotRun:
				sum.refused++
			case err != nil:
				sum.doubt++
			case answer != nil:
				sum.replayed++
				assert.Equal(t, string(answer.Body()), "receipt")
			case fate == 0: // the host dies between the claim and the dispatch
				die()
			case fate == 1: // the connection could not be opened
				c.Void(life, claim)
			default:
				runs++
				sum.ran++
				if fate == 2 { // the host dies after the dispatch
					die()
					return
				}
				_ = c.Finish(life, claim, claimer.NewResponse(201, nil, []byte("receipt")))
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	if runs > 1 {
		sum.double++
	}
	cancel()
	time.Sleep(time.Second)
}

// expire removes claims without an outcome once a second.
func (s *store) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		s.mu.Lock()
		for key, row := range s.rows {
			if strings.Contains(string(row.Value), `"held"`) {
				delete(s.rows, key)
			}
		}
		s.mu.Unlock()
	}
}

// Guards against a second run of a request, whatever the store and the hosts
// do. With claims that expire, as a lease does, the same schedules run some
// requests twice, so the check can fail.
func TestAtMostOnceUnderFaults(t *testing.T) {
	var kept, expiring tally
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) { contend(t, seed, false, &kept) })
		synctest.Test(t, func(t *testing.T) { contend(t, seed, true, &expiring) })
	}
	t.Logf("claims kept: %+v, claims expiring: %+v", kept, expiring)
	assert.Equal(t, kept.double, 0)
	assert.Assert(t, expiring.double > 0)
	assert.Assert(t, kept.ran > 0 && kept.replayed > 0 && kept.refused > 0 && kept.doubt > 0, "%+v", kept)
}

// Guards against claims that keep a key blocked although nothing was
// dispatched: the write took effect, its answer was lost and the store went
// down before the host could read it back.
func TestUnusedClaimIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.late = 1
		first, second := claimer.New(s, nil, "h1"), claimer.New(s, nil, "h2")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		_, _, err := begin(first, 100*time.Millisecond, "f")
		assert.Equal(t, classifier.Of(err), classifier.StoreDown)
		s.mu.Lock()
		s.late = 0
		s.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, first.PendingWrites(), 0)
		claim, _, err := begin(second, time.Second, "f")
		assert.NilError(t, err)
		assert.Assert(t, claim != nil)
		cancel()
		synctest.Wait()
	})
}

// Guards against callers that wait for their whole deadline while the store is
// down, and against a refusal that is not "not run".
func TestOutageIsToldEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.setDown(true)
		start := time.Now()
		_, _, err := begin(claimer.New(s, nil, "h1"), time.Minute, "f")
		assert.Equal(t, classifier.Of(err), classifier.StoreDown)
		assert.Assert(t, time.Since(start) < 3*time.Second)
	})
}

// Guards against a known outcome that is lost when the store is down at the
// end of the request, and against large answers that do not come back whole.
func TestOutcomeSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		first, second := claimer.New(s, nil, "h1"), claimer.New(s, nil, "h2")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		claim, _, err := begin(first, time.Second, "f")
		assert.NilError(t, err)
		s.setDown(true)
		body := strings.Repeat("x", 100<<10)
		header := http.Header{"Content-Type": {"text/plain"}}
		err = first.Finish(ctx, claim, claimer.NewResponse(201, header, []byte(body)))
		assert.Equal(t, classifier.Of(err), classifier.StoreDown)
		assert.Equal(t, first.PendingWrites(), 1)
		s.setDown(false)
		time.Sleep(10 * time.Second)
		_, answer, err := begin(second, time.Second, "f")
		assert.NilError(t, err)
		assert.Equal(t, answer.Status(), 201)
		assert.Equal(t, string(answer.Body()), body)
		assert.DeepEqual(t, answer.Header(), header)
		cancel()
		synctest.Wait()
	})
}

type refuseAll struct{}

func (refuseAll) Allow(time.Time, int) bool { return false }

// Guards against a key that answers another request, against unbounded keys
// and against writes beyond the host's share of the store.
func TestRefusals(t *testing.T) {
	s := newStore()
	c := claimer.New(s, nil, "h1")
	_, _, err := begin(c, time.Second, "f")
	assert.NilError(t, err)
	tests := map[string]struct {
		claimer     *claimer.Claimer
		key         string
		fingerprint string
		want        classifier.Kind
	}{
		"other request":  {c, key.Key, "g", classifier.KeyReused},
		"empty key":      {c, "", "f", classifier.BadRequest},
		"long key":       {c, strings.Repeat("k", 256), "f", classifier.BadRequest},
		"no write share": {claimer.New(s, refuseAll{}, "h1"), "k2", "f", classifier.Overloaded},
		"running":        {c, key.Key, "f", classifier.InDoubt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			k := key
			k.Key = test.key
			_, _, err := test.claimer.Begin(ctx, k, test.fingerprint)
			assert.Equal(t, classifier.Of(err), test.want, "%v", err)
		})
	}
}
