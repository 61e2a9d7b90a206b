package follower_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

// restore brings the store back from a copy, in the next era.
func (s *store) restore(version uint64, rows map[string]follower.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.version, s.rows = s.era+1, version, maps.Clone(rows)
}

func (s *store) copyRows() map[string]follower.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// Guards against rows that a restored store lost and that have no effect before they could be
// written again, against deleted ones that are back and in effect, and against exceptions that
// outlive their time or a later write.
func TestRestoredStoreIsBelievedAfterRewrites(t *testing.T) {
	type step struct {
		after time.Duration
		act   func(s *store)
		want  string
	}
	none := func(*store) {}
	for name, steps := range map[string][]step{
		"no more writes": {{0, none, "kept:1 lost:3"}, {1600 * time.Millisecond, none, "kept:1 lost:3"}, {600 * time.Millisecond, none, "kept:1"}, {4 * time.Second, none, "gone:2 kept:1"}},
		"written again": {
			{500 * time.Millisecond, func(s *store) { s.put("lost", "3"); s.put("gone", "") }, "kept:1 lost:3"},
			{10 * time.Second, none, "kept:1 lost:3"},
		},
		"back for another reason": {{500 * time.Millisecond, func(s *store) { s.put("gone", "9") }, "gone:9 kept:1 lost:3"}},
		"restored again": {
			{time.Second, func(s *store) { s.put("more", "4") }, "kept:1 lost:3 more:4"},
			{0, func(s *store) {
				rows := s.copyRows()
				delete(rows, "more")
				s.restore(3, rows)
			}, "kept:1 lost:3 more:4"},
			{1600 * time.Millisecond, none, "kept:1 lost:3 more:4"},
			{600 * time.Millisecond, none, "kept:1"},
			{4 * time.Second, none, "gone:2 kept:1"},
		},
		"deleted for good": {{time.Second, func(s *store) { s.put("kept", "") }, "lost:3"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, w := newStore(), newTable()
				s.put("kept", "1")
				s.put("gone", "2")
				copied := s.copyRows()
				f := follower.New("t", s, 100*time.Millisecond, w)
				f.SetHoldBack(holdAll)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				time.Sleep(time.Second)
				s.put("lost", "3")
				s.put("gone", "")
				time.Sleep(time.Second)
				s.restore(2, copied)
				time.Sleep(110 * time.Millisecond)
				for i, step := range steps {
					step.act(s)
					time.Sleep(step.after + 110*time.Millisecond)
					assert.Equal(t, w.String(), "map["+step.want+"]", "step %d", i)
				}
			})
		})
	}
}

func holdAll(follower.Row) bool { return true }

// history is a store with the copies from which it can be restored, and the key of one row.
type history struct {
	*store
	copies map[string]*store
}

// play applies a step. put and later write the row, the latter as another process; other
// writes another row; copy=NAME makes a copy; back=NAME restores it; read lets the copy under
// test read the store.
func (h *history) play(step string) {
	action, name, _ := strings.Cut(step, "=")
	switch action {
	case "put", "later":
		h.put("row", action)
	case "delete":
		h.put("row", "")
	case "other":
		h.put("other", "x")
	case "copy":
		h.copies[name] = &store{version: h.version, rows: h.copyRows()}
	case "back":
		h.restore(h.copies[name].version, h.copies[name].rows)
	case "read":
		time.Sleep(110 * time.Millisecond)
	default:
		panic(step)
	}
}

// Guards against a row that was written before the first read of a restored store and has no
// effect, because the copy knows an earlier row with its key as deleted; and against the row of
// an upstream that has left and is in effect again. The results are those at once, after 2 s and
// after 6 s. A row of the operator is in effect if it is there; one of an upstream is held back
// if it may be older than its deletion.
func TestRowsThatAreBackAfterRestoration(t *testing.T) {
	for name, c := range map[string]struct{ steps, operator, upstream string }{
		"written before the copy":                       {"put read copy=a other read back=a read", "on on on", "on on on"},
		"written in the lost span":                      {"copy=a put read back=a read", "on off off", "on off off"},
		"and again after the first read":                {"copy=a put read back=a read put read", "on on on", "on on on"},
		"and again before the first read":               {"copy=a put read back=a put read", "on on on", "on on on"},
		"deleted after the restoration":                 {"put read copy=a back=a delete read", "on off off", "on off off"},
		"deleted before the copy":                       {"put read delete read copy=a other read back=a read", "off off off", "off off off"},
		"and written before the first read":             {"put read delete read copy=a other read back=a put read", "on on on", "on on on"},
		"and written after the first read":              {"put read delete read copy=a other read back=a read put read", "on on on", "on on on"},
		"deleted in the lost span":                      {"put read copy=a delete read back=a read", "on on on", "off off on"},
		"and deleted again":                             {"put read copy=a delete read back=a read delete read", "off off off", "off off off"},
		"and written again, same number":                {"put read copy=a delete read back=a put read", "on on on", "off off on"},
		"and written by a later process":                {"put read copy=a delete read back=a later read", "on on on", "on on on"},
		"and written again after the read":              {"put read copy=a delete read back=a read put read", "on on on", "on on on"},
		"all in the lost span, same number":             {"copy=a put read delete read back=a put read", "on on on", "off off on"},
		"all in the lost span, higher number":           {"copy=a put read delete read back=a other other put read", "on on on", "on on on"},
		"held back, restored again":                     {"put read copy=a delete read back=a read back=a read", "on on on", "off off on"},
		"written between two restorations":              {"put read delete read copy=a back=a read put copy=b other back=b read", "on on on", "on on on"},
		"written again, two restorations":               {"put read delete read copy=a back=a put copy=b read back=b read", "on on on", "on on on"},
		"missing, restored again":                       {"copy=a put read back=a read back=a read", "on off off", "on off off"},
		"back with the second restoration":              {"put read copy=a delete read copy=b back=b read back=a read", "on on on", "off off on"},
		"second copy from the first era":                {"put read copy=a put put read copy=b delete read back=a read delete read back=b read", "on on on", "off off on"},
		"second copy from the first era, written since": {"put read copy=a put put read copy=b delete read back=a read delete read back=b other put read", "on on on", "on on on"},
	} {
		for kind, want := range map[string]string{"operator": c.operator, "upstream": c.upstream} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { assert.Equal(t, playHistory(t, c.steps, kind == "upstream"), want) })
			})
		}
	}
}

// playHistory returns whether the row is in effect after the steps, at once, after 2 s and after
// 6 s.
func playHistory(t *testing.T, steps string, ofUpstream bool) string {
	h, w := history{newStore(), make(map[string]*store)}, newTable()
	f := follower.New("t", h, 100*time.Millisecond, w)
	if ofUpstream {
		f.SetHoldBack(func(r follower.Row) bool { return string(r.Value) != "later" })
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	h.play("read")
	for step := range strings.FieldsSeq(steps) {
		h.play(step)
	}
	got := []string{w.presence("row")}
	for _, wait := range []time.Duration{2100 * time.Millisecond, 4 * time.Second} {
		time.Sleep(wait)
		got = append(got, w.presence("row"))
	}
	return strings.Join(got, " ")
}

// presence returns "on" if a row is in effect.
func (w *table) presence(key string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.rows[key]; ok {
		return "on"
	}
	return "off"
}

// Guards against copies of an earlier era that reach a copy of a later one, and against a copy
// of an earlier era that takes changes of a later one for its own.
func TestErasAreNotMixed(t *testing.T) {
	row := func(era, number uint64, value string) follower.Row {
		return follower.Row{Key: "a", Value: []byte(value), Version: sequencer.New(era, number)}
	}
	page := func(era, number uint64, value string) follower.Page {
		return follower.Page{Version: sequencer.New(era, number), Rows: []follower.Row{row(era, number, value)}}
	}
	f, w := newCopy(t, page(2, 5, "new"))
	f.Merge(page(1, 90, "late"), true)
	f.Merge(page(1, 91, "late"), false)
	f.Merge(page(3, 4, "change"), false)
	assert.Equal(t, w.String(), "map[a:new]")
	old, _ := newCopy(t, page(1, 90, "old"))
	_, _, ok := old.SyncResponse(f.Version(), true)
	assert.Assert(t, !ok, "a copy of an earlier era has changes for a later one")
	_, _, ok = f.SyncResponse(old.Version(), false)
	assert.Assert(t, !ok, "changes were sent across eras")
	p, full, ok := f.SyncResponse(old.Version(), true)
	assert.Assert(t, ok && full)
	old.Merge(p, full)
	assert.Equal(t, old.Version(), f.Version())
	f.Merge(page(3, 4, "restored"), true)
	assert.Equal(t, w.String(), "map[a:restored]")
}

func newCopy(t *testing.T, p follower.Page) (*follower.Follower, *table) {
	t.Helper()
	w := newTable()
	f := follower.New("t", nil, 0, w)
	f.Merge(p, true)
	return f, w
}

// eraStore is a store in a given era that has one row with the era as its value.
type eraStore struct{ era atomic.Uint64 }

func (s *eraStore) Read(context.Context, string) (follower.Page, error) {
	v := sequencer.New(s.era.Load(), 5)
	return follower.Page{Version: v, Rows: []follower.Row{{Key: "era", Value: fmt.Append(nil, v.Era()), Version: v}}}, nil
}

func (s *eraStore) Changes(context.Context, string, sequencer.Version) (follower.Page, error) {
	return follower.Page{Version: sequencer.New(s.era.Load(), 5)}, nil
}

// Guards against a store that states an earlier era, or none, and replaces the last good copy,
// and against a host that doesn't follow it any more once it states a later one.
func TestEarlierEraKeepsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := new(eraStore), newTable()
		s.era.Store(2)
		f := follower.New("t", s, 100*time.Millisecond, w)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(time.Second)
		for _, era := range []uint64{1, 0} {
			s.era.Store(era)
			time.Sleep(5 * time.Second)
			assert.Equal(t, w.String(), "map[era:2]")
			_, failing := f.ConfirmedSince(time.Now())
			assert.Assert(t, failing)
		}
		s.era.Store(3)
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.String(), "map[era:3]")
	})
}
