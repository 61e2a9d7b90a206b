// Package follower keeps a copy of one table of the platform's store.
//
// The copy is brought forward by the store's feed, or by the copy of another
// host while the store does not answer. The store numbers its transactions, so a
// copy is described by one version, and what another host lacks is the rows with
// a higher one.
//
//	f := follower.New("upstreams", source, period, onChange)
//	go f.Run(ctx)
package follower

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// pauseFirst and pauseLast bound the time between two failed calls.
	pauseFirst = 150 * time.Millisecond
	pauseLast  = time.Second
	// staleAfter is the age of what the store confirmed last from which a host that
	// leaves reading to others reads itself. A feed without changes confirms once a
	// second, and the exchange between hosts takes up to 0.6 s; reading then still
	// ends within the bounds of the platform (2 s).
	staleAfter = 1700 * time.Millisecond
	idlePause  = 100 * time.Millisecond
	// compareTime is how long a host without a copy compares the tables that other
	// hosts offer before it takes an old one. It meets another host every 0.2 s.
	compareTime = time.Second
	// unknownAge is added to the age of an answer that arrived while the process was
	// paused, for how long its clock may not have counted.
	unknownAge = time.Hour
	// tombstones bounds the remembered deletions. A host that lacks older ones
	// gets the whole table.
	tombstones = 4096
)

// Row is one row of a table. A deleted row has no value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Page is a part of a table, or the whole, as of a version of the store that the
// store confirmed some time ago. A whole page lists all deletions after Floor, and
// none if Floor is 0.
type Page struct {
	Rows           []Row
	Version        uint64
	Age            time.Duration
	TombstoneFloor uint64
}

// Source reads the store. Changes waits for the first change for a bounded time
// and fails with kind NotFound if the store has dropped the history after the
// version.
type Source interface {
	Read(ctx context.Context, table string) (Page, error)
	Changes(ctx context.Context, table string, after uint64) (Page, error)
}

// Watcher is told what changed. The calls do not overlap.
type Watcher interface {
	// Rows brings changed rows. With whole, rows that are not among them do not
	// exist; first marks the first read of the table.
	RowsChanged(table string, rows []Row, whole, first bool)
	// Store reports that the store failed, or answers again if err is nil.
	StoreStatus(table string, err error)
}

// Follower keeps the copy. It is safe for concurrent use.
type Follower struct {
	table   string
	source  Source
	period  time.Duration
	watcher Watcher
	same    func(old, changed []byte) bool
	reads   func() bool

	mu      sync.Mutex
	rows    map[string]Row
	deleted int    // rows that are deletions
	newest  uint64 // highest version of a row
	version uint64
	floor   uint64 // all deletions after this version are among the rows,
	gap     gap    // but for those in the gap
	heard   time.Time
	doubts  int // how often the process was paused
	failing bool
	offer   offer
}

// offer is the newest whole table that other hosts offered to a host without a copy.
type offer struct {
	page  Page
	since time.Time // of the first offer, zero without one
}

// gap is a span of versions, without its ends. A copy of a version inside may hold
// rows whose deletion this copy has not seen.
type gap struct{ low, high uint64 }

func (g gap) holds(version uint64) bool { return g.low < version && version < g.high }

// New returns an empty copy of a table. Period is the least time between two
// calls to the store.
func New(table string, s Source, period time.Duration, w Watcher) *Follower {
	return &Follower{table: table, source: s, period: period, watcher: w, rows: make(map[string]Row)}
}

// SetEquivalent makes the copy pass on only rows that differ in more than what same
// ignores. It must be called before Run.
func (f *Follower) SetEquivalent(same func(old, changed []byte) bool) { f.same = same }

// SetReadCondition makes Run call the store only while reads reports true, or while no
// other host brought the copy forward for some time. It must be called before
// Run.
func (f *Follower) SetReadCondition(reads func() bool) { f.reads = reads }

// Table returns the name of the table.
func (f *Follower) Table() string { return f.table }

// Version returns the version of the store up to which the copy is complete, 0
// before the first read.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ResetConfirmation says that the process was paused: the copy counts as confirmed at no time
// until the store or another host confirms it again.
func (f *Follower) ResetConfirmation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Time{}
	f.doubts++
}

// age returns the age of an answer to a call that began at a time, when the process
// had been paused doubts times. An answer that was under way when the process was
// paused is as old as the call.
func (f *Follower) age(begun time.Time, doubts int) time.Duration {
	if f.doubted() == doubts {
		return 0
	}
	return unknownAge + time.Since(begun)
}

func (f *Follower) doubted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doubts
}

// ConfirmedSince reports whether the store confirmed the copy at or after a time, and
// whether calls to the store fail.
func (f *Follower) ConfirmedSince(since time.Time) (confirmed, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.heard.Before(since), f.failing
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := pauseFirst
	for ctx.Err() == nil {
		begun := time.Now()
		if f.idle(begun) {
			sleeper.Sleep(ctx, idlePause)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		rest := time.Until(begun.Add(f.period))
		if err != nil {
			// The jitter keeps hosts that failed together from coming back together.
			rest = pause/2 + rand.N(pause)
			pause = min(2*pause, pauseLast)
		} else {
			pause = pauseFirst
		}
		sleeper.Sleep(ctx, rest)
	}
}

// idle reports whether other hosts bring the copy forward.
func (f *Follower) idle(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads != nil && f.version > 0 && !f.reads() && now.Sub(f.heard) < staleAfter
}

func (f *Follower) report(err error) {
	f.mu.Lock()
	changed := (err != nil) != f.failing
	f.failing = err != nil
	f.mu.Unlock()
	if changed {
		f.watcher.StoreStatus(f.table, err)
	}
}

// step brings the copy forward by one call to the store.
func (f *Follower) step(ctx context.Context) error {
	version, begun, doubts := f.Version(), time.Now(), f.doubted()
	if version > 0 {
		page, err := f.source.Changes(ctx, f.table, version)
		if err == nil {
			page.Age = f.age(begun, doubts)
			f.Merge(page, false)
			return nil
		}
		if classifier.Of(err) != classifier.NotFound {
			return err
		}
		// The history after the version is gone.
	}
	page, err := f.source.Read(ctx, f.table)
	if err != nil {
		return err
	}
	page.Age = f.age(begun, doubts)
	f.Merge(page, true)
	return nil
}

// Merge brings the copy forward by a page of the store or of another host, and
// tells the watcher.
func (f *Follower) Merge(p Page, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Version < f.version {
		return // an answer that was overtaken
	}
	first := f.version == 0
	if first {
		if !whole {
			return
		}
		var ok bool
		if p, ok = f.compare(p, time.Now()); !ok {
			return
		}
	}
	if heard := time.Now().Add(-p.Age); heard.After(f.heard) {
		f.heard = heard
	}
	changed := f.apply(p, whole)
	f.version = p.Version
	if len(changed) > 0 || first {
		f.watcher.RowsChanged(f.table, changed, whole, first)
	}
}

// compare returns the whole table to begin with, if there is one yet. A host that
// starts while the store fails gets its first table from others, of which one may have
// been cut off or paused: what it names may have left long since. One that the store
// confirmed lately is taken at once, otherwise the newest of those offered for some
// time. Called with mu held.
func (f *Follower) compare(p Page, now time.Time) (Page, bool) {
	if f.offer.since.IsZero() {
		f.offer = offer{p, now}
	}
	if p.Version >= f.offer.page.Version {
		f.offer.page = p
	}
	if p.Age > staleAfter && now.Sub(f.offer.since) < compareTime {
		return Page{}, false
	}
	p, f.offer = f.offer.page, offer{}
	return p, true
}

// apply changes the copy and returns the rows that are new. Called with mu held.
func (f *Follower) apply(p Page, whole bool) (changed []Row) {
	for _, r := range p.Rows {
		old, ok := f.rows[r.Key]
		if ok && old.Version >= r.Version {
			continue
		}
		changed = append(changed, r)
		if ok && f.same != nil && !old.Deleted && !r.Deleted && f.same(old.Value, r.Value) {
			continue // nothing that another host lacks
		}
		f.store(r)
	}
	if whole {
		changed = append(changed, f.drop(p)...)
	}
	if f.deleted > tombstones {
		f.forget(p.Version)
	}
	return changed
}

// store takes over a row. Called with mu held.
func (f *Follower) store(r Row) {
	if old, ok := f.rows[r.Key]; ok && old.Deleted {
		f.deleted--
	}
	if r.Deleted {
		f.deleted++
	}
	f.rows[r.Key] = r
	f.newest = max(f.newest, r.Version)
}

// drop deletes the rows that a whole page does not list and returns them. Rows
// that came and went since the copy's version may be unknown to it. Called with
// mu held.
func (f *Follower) drop(p Page) (gone []Row) {
	listed := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		listed[r.Key] = true
	}
	for key, r := range f.rows {
		if r.Deleted || listed[key] || r.Version > p.Version {
			continue
		}
		gone = append(gone, Row{Key: key, Version: p.Version, Deleted: true})
	}
	for _, r := range gone {
		f.store(r)
	}
	known := cmp.Or(p.TombstoneFloor, p.Version)
	switch {
	case f.version == 0:
		f.floor = known
	case known > f.version:
		f.gap = gap{min(cmp.Or(f.gap.low, f.version), f.version), p.Version}
	}
	return gone
}

// forget drops the deletions. Called with mu held.
func (f *Follower) forget(version uint64) {
	for key, r := range f.rows {
		if r.Deleted {
			delete(f.rows, key)
		}
	}
	f.deleted, f.floor, f.gap = 0, version, gap{}
}

// SyncRequest returns the version for which another host is asked, and whether the whole
// table is wanted if that host does not know all changes since. Only a copy that
// the store does not bring forward wants a whole table, since that is long. ok is
// false while a first read of the store is under way.
func (f *Follower) SyncRequest() (version uint64, whole, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.failing, f.version > 0 || f.failing
}

// SyncResponse returns what a copy of the version lacks: the changes, or the whole table
// if that is wanted and the changes are not known. If this copy does not help, ok
// is false.
func (f *Follower) SyncResponse(version uint64, wanted bool) (page Page, whole, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	whole = version < f.floor || version == 0 || f.gap.holds(version)
	if f.version < version || f.version == 0 || (whole && !wanted) {
		return Page{}, false, false
	}
	page.Version, page.Age = f.version, time.Since(f.heard)
	if whole {
		page.TombstoneFloor = max(f.floor, f.gap.high)
	} else if f.newest <= version {
		return page, false, true
	}
	for _, r := range f.rows {
		if whole || r.Version > version {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, whole, true
}
