package follower_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// store is a table whose calls can fail and whose history can be truncated.
type store struct {
	mu      sync.Mutex
	era     uint64
	version uint64
	rows    map[string]follower.Row
	floor   uint64 // Changes fails for versions below it
	down    error
	reads   int
}

func newStore() *store { return &store{rows: make(map[string]follower.Row)} }

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = follower.Row{Key: key, Value: []byte(value), Version: sequencer.New(s.era, s.version), Deleted: value == ""}
}

func (s *store) Read(context.Context, string) (follower.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	p := follower.Page{Version: sequencer.New(s.era, s.version)}
	for _, r := range s.rows {
		if !r.Deleted {
			r.Version = sequencer.New(s.era, r.Version.Number())
			p.Rows = append(p.Rows, r)
		}
	}
	return p, s.down
}

func (s *store) Changes(_ context.Context, _ string, after sequencer.Version) (follower.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		return follower.Page{}, s.down
	}
	if after.Number() < s.floor || after.Number() > s.version {
		return follower.Page{}, classifier.NotFound.New("history after the version was dropped")
	}
	p := follower.Page{Version: sequencer.New(s.era, s.version)}
	for _, r := range s.rows {
		if r.Version.Number() > after.Number() {
			r.Version = sequencer.New(s.era, r.Version.Number())
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// table is a follower.Watcher that keeps the rows it receives.
type table struct {
	mu     sync.Mutex
	rows   map[string]string
	events []string
}

func newTable() *table { return &table{rows: make(map[string]string)} }

func (w *table) RowsChanged(_ string, rows []follower.Row, _ time.Duration, _ bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(w.rows, r.Key)
		} else {
			w.rows[r.Key] = string(r.Value)
		}
	}
}

func (w *table) StoreRestored(_ string, _, _ sequencer.Version, missing, returned []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%d missing, %d returned", len(missing), len(returned)))
}

func (w *table) StoreStatus(_ string, _ int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprint(err != nil))
}

func (w *table) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint(w.rows)
}

// Guards against a copy that misses changes or deletions, also those after the version up
// to which the store dropped its history.
func TestCopyFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newStore(), newTable()
		s.put("a", "1")
		f := follower.New("t", s, 100*time.Millisecond, w)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.put("b", "2")
		s.put("a", "")
		time.Sleep(time.Second)
		assert.Equal(t, w.String(), "map[b:2]")
		s.mu.Lock()
		s.rows = map[string]follower.Row{"c": {Key: "c", Value: []byte("3"), Version: sequencer.New(0, 9)}}
		s.version, s.floor = 9, 9
		s.mu.Unlock()
		time.Sleep(time.Second)
		assert.Equal(t, w.String(), "map[c:3]")
		cancel()
		synctest.Wait()
	})
}

// Guards against calls without back-off to a failing store, and against an outage that is
// reported for each call.
func TestFailedCallsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newStore(), newTable()
		s.down = errors.New("down")
		f := follower.New("t", s, 0, w)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		assert.Assert(t, s.reads >= 10 && s.reads <= 50, "%d", s.reads)
		assert.Equal(t, fmt.Sprint(w.events), "[true]")
	})
}

// Guards against a host whose calls to the store fail and that then continues with old rows
// although other hosts have newer ones.
func TestCopiesUpdateEachOther(t *testing.T) {
	s := newStore()
	copyOf := func(w *table) *follower.Follower { return follower.New("t", s, 0, w) }
	first, second := newTable(), newTable()
	a, b := copyOf(first), copyOf(second)
	read := func(f *follower.Follower) {
		p, err := s.Read(t.Context(), "t")
		assert.NilError(t, err)
		f.Merge(p, true)
	}
	sync := func(from, to *follower.Follower) {
		if p, full, ok := from.SyncResponse(to.Version(), true); ok {
			to.Merge(p, full)
		}
	}
	s.put("a", "1")
	s.put("b", "2")
	read(a)
	sync(a, b)
	assert.Equal(t, second.String(), "map[a:1 b:2]")

	s.put("a", "")
	s.put("c", "3")
	p, err := s.Changes(t.Context(), "t", a.Version())
	assert.NilError(t, err)
	a.Merge(p, false)
	sync(b, a) // the older copy changes nothing
	sync(a, b)
	assert.Equal(t, second.String(), "map[b:2 c:3]")
	assert.Equal(t, first.String(), second.String())

	// After a full read, earlier deletions are no longer among the rows.
	s.put("b", "")
	read(a)
	sync(a, b)
	assert.Equal(t, second.String(), "map[c:3]")
}

// Guards against syncs of full tables where changes suffice: with 298 hosts and 3,002
// upstreams each host sent 583 KB per second. Hosts start at slightly different versions,
// and a host that reads the full table again, because the store dropped its history, must
// not send it to all hosts with an older copy.
func TestFullTablesAreRarelySent(t *testing.T) {
	const hosts, rounds = 40, 300
	s, rng := newStore(), rand.New(rand.NewPCG(1, 2))
	s.put("a", "1")
	s.put("b", "2")
	var copies []*follower.Follower
	var tables []*table
	for i := range hosts {
		s.put("heartbeat", fmt.Sprint(i))
		w := newTable()
		f := follower.New("t", s, 0, w)
		p, err := s.Read(t.Context(), "t")
		assert.NilError(t, err)
		f.Merge(p, true)
		copies, tables = append(copies, f), append(tables, w)
	}
	fullTables := 0
	for round := range rounds {
		s.put("heartbeat", fmt.Sprint(round))
		switch round {
		case 100:
			s.put("a", "") // the deletion is among the changes
		case 200:
			s.put("b", "") // the full table does not list the row
		}
		p, err := s.Changes(t.Context(), "t", copies[0].Version())
		full := round == 200
		if full {
			p, err = s.Read(t.Context(), "t")
		}
		assert.NilError(t, err)
		copies[0].Merge(p, full)
		for i := range copies {
			from, to := copies[rng.IntN(hosts)], copies[i]
			version, wanted, _ := to.SyncRequest()
			if p, full, ok := from.SyncResponse(version, wanted); ok {
				to.Merge(p, full)
				if full {
					fullTables++
				}
			}
		}
	}
	assert.Equal(t, fullTables, 0)
	for i, w := range tables {
		w.mu.Lock()
		delete(w.rows, "heartbeat")
		left := len(w.rows)
		w.mu.Unlock()
		assert.Equal(t, left, 0, "host %d: %v", i, w)
	}
}

// Guards against deletions that a copy has not seen and therefore does not send. A copy at
// a version within such a gap gets the full table, others get the changes.
func TestFullTableFillsGap(t *testing.T) {
	s := newStore()
	s.put("a", "1")
	first, second := newTable(), newTable()
	reader, other := follower.New("t", s, 0, first), follower.New("t", s, 0, second)
	read := func(f *follower.Follower) {
		p, err := s.Read(t.Context(), "t")
		assert.NilError(t, err)
		f.Merge(p, true)
	}
	read(reader)
	s.put("b", "2")
	read(other) // has b, which the reader never gets
	s.put("b", "")
	s.put("c", "3")
	read(reader)
	_, _, ok := reader.SyncResponse(other.Version(), false)
	assert.Assert(t, !ok)
	p, full, ok := reader.SyncResponse(other.Version(), true)
	assert.Assert(t, ok && full)
	other.Merge(p, full)
	assert.Equal(t, second.String(), "map[a:1 c:3]")
	p, full, ok = reader.SyncResponse(sequencer.New(0, 1), false)
	assert.Assert(t, ok && !full && len(p.Rows) == 1, "%+v", p)
}

// Guards against responses that arrive out of order and revert rows to older values.
func TestOlderPagesAreIgnored(t *testing.T) {
	w := newTable()
	f := follower.New("t", newStore(), 0, w)
	f.Merge(follower.Page{Version: sequencer.New(0, 5), Rows: []follower.Row{{Key: "a", Value: []byte("new"), Version: sequencer.New(0, 5)}}}, true)
	f.Merge(follower.Page{Version: sequencer.New(0, 4), Rows: []follower.Row{{Key: "a", Value: []byte("old"), Version: sequencer.New(0, 4)}}}, true)
	assert.Equal(t, w.String(), "map[a:new]")
	assert.Equal(t, f.Version(), sequencer.New(0, 5))
}

// Guards against a fleet in which every host reads the store while nothing changes, because
// only changes counted as confirmation: 84 hosts made 4,524 calls in 40 s.
func TestCopyWithoutChangesStaysConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		reader := follower.New("t", s, time.Second, newTable())
		other := follower.New("t", s, time.Second, newTable())
		other.SetReadCondition(func() bool { return false })
		ctx, cancel := context.WithCancel(t.Context())
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		p, full, _ := reader.SyncResponse(sequencer.New(0, 0), true)
		other.Merge(p, full)
		go other.Run(ctx)
		for range 50 {
			time.Sleep(400 * time.Millisecond)
			if p, full, ok := reader.SyncResponse(other.Version(), false); ok {
				other.Merge(p, full)
			}
		}
		assert.Equal(t, s.reads, 1)
		// Without syncs it reads the store itself.
		time.Sleep(3 * time.Second)
		s.put("b", "2")
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, other.Version(), sequencer.New(0, 2))
	})
}

// Guards against a host that requests a full table from other hosts while its own first
// read is in flight. On a link of 10 Mbit/s both then take longer than one alone, and with
// 298 hosts aborted transfers took 5.5 MB per host. A host whose reads fail does request it.
func TestFullTableIsRequestedOnlyWhenStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := follower.New("t", slow{s, 2 * time.Second}, time.Minute, newTable())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		_, _, ok := f.SyncRequest()
		assert.Assert(t, !ok)
		s.mu.Lock()
		s.down = errors.New("down")
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		_, full, ok := f.SyncRequest()
		assert.Assert(t, ok && full)
		f.Merge(follower.Page{Version: sequencer.New(0, 7), TombstoneFloor: sequencer.New(0, 3)}, true)
		s.mu.Lock()
		s.down, s.version = nil, 7
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		version, full, ok := f.SyncRequest()
		assert.Assert(t, ok && !full && version == sequencer.New(0, 7))
		cancel()
		synctest.Wait()
	})
}

// slow is a store whose reads of the full table are delayed.
type slow struct {
	*store
	delay time.Duration
}

func (s slow) Read(ctx context.Context, table string) (follower.Page, error) {
	time.Sleep(s.delay)
	return s.store.Read(ctx, table)
}

// pausing is a store that calls the next function from pauses before Changes returns.
type pausing struct {
	*store
	pauses chan func()
}

func (s *pausing) Changes(ctx context.Context, table string, after sequencer.Version) (follower.Page, error) {
	p, err := s.store.Changes(ctx, table, after)
	select {
	case pause := <-s.pauses:
		pause()
	default:
	}
	return p, err
}

// Guards against a response that was sent before a pause of the process and, received after
// it, counts as a confirmation of the current state.
func TestResponseFromBeforePauseConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausing{store: newStore(), pauses: make(chan func(), 1)}
		s.put("a", "1")
		f := follower.New("t", s, 100*time.Millisecond, newTable())
		go f.Run(t.Context())
		time.Sleep(time.Second)
		confirmed, failing := f.ConfirmedSince(time.Now().Add(-100 * time.Millisecond))
		assert.Assert(t, confirmed && !failing)

		resumed := make(chan time.Time)
		fail := func(err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.down = err
		}
		s.pauses <- func() {
			time.Sleep(5 * time.Second)
			f.ResetConfirmation()
			fail(errors.New("down"))
			resumed <- time.Now()
		}
		at := <-resumed
		synctest.Wait() // until the response is merged
		confirmed, failing = f.ConfirmedSince(at)
		assert.Assert(t, !confirmed && failing)
		fail(nil)
		time.Sleep(time.Second)
		confirmed, _ = f.ConfirmedSince(at)
		assert.Assert(t, confirmed)
	})
}

// Guards against a host that starts while the store fails and uses the table of a host that
// was paused or partitioned: an upstream that had left was in use again.
func TestInitialTableIsNewestOffered(t *testing.T) {
	page := func(version uint64, age time.Duration, keys ...string) follower.Page {
		p := follower.Page{Version: sequencer.New(0, version), Age: age}
		for _, k := range keys {
			p.Rows = append(p.Rows, follower.Row{Key: k, Value: []byte("1"), Version: sequencer.New(0, 1)})
		}
		return p
	}
	stale, newer, fresh := page(5, time.Minute, "gone", "kept"), page(9, 20*time.Second, "kept"), page(9, time.Second, "kept")
	for name, c := range map[string]struct {
		offers []follower.Page // one every 0.2 s
		want   string
		at     time.Duration // when the first table is used
	}{
		"stale, then newer":       {[]follower.Page{stale, newer, stale, stale, stale, stale}, "kept", time.Second},
		"newer, then stale":       {[]follower.Page{newer, stale, stale, stale, stale, stale}, "kept", time.Second},
		"stale, then confirmed":   {[]follower.Page{stale, fresh}, "kept", 200 * time.Millisecond},
		"confirmed":               {[]follower.Page{fresh}, "kept", 0},
		"nothing but a stale one": {[]follower.Page{stale, stale, stale, stale, stale, stale}, "gone kept", time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTable()
				f := follower.New("t", newStore(), time.Second, w)
				begun := time.Now()
				for _, p := range c.offers {
					f.Merge(p, true)
					if !f.Version().IsZero() {
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
				assert.Equal(t, time.Since(begun), c.at)
				assert.Equal(t, strings.Join(slices.Sorted(maps.Keys(w.rows)), " "), c.want)
			})
		})
	}
}
