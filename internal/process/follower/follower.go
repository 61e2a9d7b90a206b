// Package follower keeps a copy of one table of the platform's store.
//
// The copy is updated from the store's change feed, or from the copy of another host while
// the store does not respond. The store numbers its transactions, so one version describes
// a copy, and the changes that another host lacks are the rows with a higher version. A store
// that comes back from an older copy begins a new era of versions: the table is then read in
// full and replaces the copy (see restoration).
//
//	f := follower.New("upstreams", source, period, watcher)
//	go f.Run(ctx)
package follower

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// minRetryDelay and maxRetryDelay bound the mean delay after a failed call.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// maxConfirmationAge is the time since the last confirmation by the store after which
	// a host that is not a reader calls the store itself. A feed without changes confirms
	// the copy once per second and a sync between hosts takes up to 0.6 s. A read that
	// starts then still ends within the bound that the platform sets (2 s).
	maxConfirmationAge = 1700 * time.Millisecond
	// idlePollInterval is the interval at which a host that is not a reader checks whether
	// it has to call the store.
	idlePollInterval = 100 * time.Millisecond
	// maxOfferWait is how long a host without a copy collects the tables of other hosts
	// before it uses an outdated one. It syncs with another host every 0.2 s.
	maxOfferWait = time.Second
	// pausedResponseAge is added to the age of a response that was in flight while the
	// process was paused, because its clock may not have advanced during the pause.
	pausedResponseAge = time.Hour
	// maxTombstones bounds the number of deletions that a copy keeps. A host that lacks
	// older ones gets the full table.
	maxTombstones = 4096
)

// Row is one row of a table. A deleted row has no value.
type Row struct {
	Key     string
	Value   []byte
	Version sequencer.Version
	Deleted bool
}

// Page holds changed rows, or the full table, as of a version of the store that the store
// confirmed Age ago. A full table lists all deletions after version TombstoneFloor, and
// none if TombstoneFloor is zero.
type Page struct {
	Rows           []Row
	Version        sequencer.Version
	Age            time.Duration
	TombstoneFloor sequencer.Version
}

// Source reads the store. Read returns a full table. Changes returns the rows that changed
// after a version and waits for the first change for a bounded time. Its error is of kind
// NotFound if the store no longer has the history after that version. If the page is of
// another era, its rows are undefined.
type Source interface {
	Read(ctx context.Context, table string) (Page, error)
	Changes(ctx context.Context, table string, after sequencer.Version) (Page, error)
}

// Watcher receives the changes of a table. RowsChanged calls do not overlap.
type Watcher interface {
	// RowsChanged delivers changed rows. unconfirmed is the time since the store last
	// confirmed the copy without them; initial is set for the first full table, without an
	// earlier confirmation.
	RowsChanged(table string, rows []Row, unconfirmed time.Duration, initial bool)
	// StoreStatus reports that calls to the store began to fail, or, if err is nil, that they
	// succeed again after a number of failures.
	StoreStatus(table string, failures int, err error)
	// StoreRestored reports that the store came back from an older copy: the versions of the
	// copy before and after, and the keys of the rows that stay in effect though the store
	// lacks them, and of those that are held back.
	StoreRestored(table string, before, after sequencer.Version, missing, returned []string)
}

// Follower keeps the copy of a table. It is safe for concurrent use.
type Follower struct {
	table         string
	source        Source
	period        time.Duration
	watcher       Watcher
	equivalent    func(old, changed []byte) bool
	holdBack      func(r Row) bool
	readCondition func() bool

	mu             sync.Mutex
	rows           map[string]Row
	tombstones     int               // number of rows that are deletions
	newestRow      sequencer.Version // highest row version
	version        sequencer.Version
	tombstoneFloor sequencer.Version // rows include all deletions after this version,
	gap            gap               // apart from those in the gap
	restoration    restoration
	confirmedAt    time.Time // last confirmation by the store, zero after a pause of the process
	pauses         int       // number of pauses of the process
	failures       int       // calls to the store that failed since the last one that succeeded
	offer          offer
}

// offer is the newest full table that a host without a copy received from other hosts.
type offer struct {
	page  Page
	since time.Time // time of the first offer, zero without one
}

// gap is an open interval of versions. A copy of a version in it may hold rows whose
// deletion this copy has not seen.
type gap struct{ low, high sequencer.Version }

func (g gap) contains(version sequencer.Version) bool {
	return g.low.Before(version) && version.Before(g.high)
}

// New returns an empty copy of a table. period is the minimum time from the start of a
// successful call to the store to the next call.
func New(table string, s Source, period time.Duration, w Watcher) *Follower {
	return &Follower{table: table, source: s, period: period, watcher: w, rows: make(map[string]Row), restoration: newRestoration()}
}

// SetEquivalent sets the function that compares two values of a row. A row whose value is
// equivalent to the stored one is delivered to the Watcher, but not sent to other hosts.
// SetEquivalent must be called before Run.
func (f *Follower) SetEquivalent(equivalent func(old, changed []byte) bool) {
	f.equivalent = equivalent
}

// SetHoldBack sets the function that decides about a row of a restored store that the copy knows
// as deleted, and that may be older than the deletion. If it returns true, the row has no effect
// for expiryTime, unless it changes. By default all rows that the store has take effect at once.
// SetHoldBack must be called before Run. hold must not call the Follower.
func (f *Follower) SetHoldBack(hold func(r Row) bool) { f.holdBack = hold }

// SetReadCondition makes Run call the store only while condition returns true, or after the
// copy was not confirmed for maxConfirmationAge. It must be called before Run.
func (f *Follower) SetReadCondition(condition func() bool) { f.readCondition = condition }

// Table returns the name of the table.
func (f *Follower) Table() string { return f.table }

// Version returns the version of the store that the copy reflects, zero before the first
// read.
func (f *Follower) Version() sequencer.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ResetConfirmation discards the last confirmation after a pause of the process. The copy
// counts as unconfirmed until the store or another host confirms it again.
func (f *Follower) ResetConfirmation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Time{}
	f.pauses++
}

// responseAge returns the age of the response to a call that began at begun, when the
// process had been paused pauses times. It is 0 unless the process was paused since: the
// response may then be as old as the call.
func (f *Follower) responseAge(begun time.Time, pauses int) time.Duration {
	if f.pauseCount() == pauses {
		return 0
	}
	return pausedResponseAge + time.Since(begun)
}

func (f *Follower) pauseCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pauses
}

// ConfirmedSince reports whether the store confirmed the copy at or after a time, and
// whether calls to the store fail.
func (f *Follower) ConfirmedSince(since time.Time) (confirmed, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmedAt.Before(since), f.failures > 0
}

// Run keeps the copy up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		begun := time.Now()
		if f.updatedByPeers(begun) {
			sleeper.Sleep(ctx, idlePollInterval)
			continue
		}
		err := f.update(ctx)
		if ctx.Err() != nil {
			return
		}
		f.reportStatus(err)
		rest := time.Until(begun.Add(f.period))
		if err != nil {
			// The jitter prevents hosts that failed at the same time from retrying at the same time.
			rest = delay/2 + rand.N(delay)
			delay = min(2*delay, maxRetryDelay)
		} else {
			delay = minRetryDelay
		}
		sleeper.Sleep(ctx, rest)
	}
}

// updatedByPeers reports whether syncs with other hosts keep the copy confirmed, so that
// this host need not call the store.
func (f *Follower) updatedByPeers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readCondition != nil && !f.version.IsZero() && !f.readCondition() && now.Sub(f.confirmedAt) < maxConfirmationAge
}

// reportStatus records the result of a call to the store and notifies the watcher if the
// status changed.
func (f *Follower) reportStatus(err error) {
	f.mu.Lock()
	before := f.failures
	f.failures++
	if err == nil {
		f.failures = 0
	}
	f.mu.Unlock()
	if (err != nil) != (before > 0) {
		f.watcher.StoreStatus(f.table, before, err)
	}
}

// update updates the copy from the store. It reads the changes, or the full table if there
// is no copy yet, the store no longer has the history after its version, or the store is in a
// later era. Eras only rise, so a response of an earlier one to a call that begins now is not
// from the store that the copy is from; it is an error, and the copy stays.
func (f *Follower) update(ctx context.Context) error {
	version, begun, pauses := f.Version(), time.Now(), f.pauseCount()
	if !version.IsZero() {
		page, err := f.source.Changes(ctx, f.table, version)
		switch {
		case err == nil && page.Version.Era() == version.Era():
			page.Age = f.responseAge(begun, pauses)
			f.Merge(page, false)
			return nil
		case err == nil && page.Version.Era() < version.Era():
			return eraError(f.table, page.Version, version)
		case err != nil && classifier.Of(err) != classifier.NotFound:
			return err
		}
	}
	page, err := f.source.Read(ctx, f.table)
	if err != nil {
		return err
	}
	if page.Version.Era() < version.Era() {
		return eraError(f.table, page.Version, version)
	}
	page.Age = f.responseAge(begun, pauses)
	f.Merge(page, true)
	return nil
}

func eraError(table string, stored, copied sequencer.Version) error {
	return classifier.StoreDown.New("table %s: store is in era %d, the copy in era %d", table, stored.Era(), copied.Era())
}

// Merge applies a page of the store or of another host and notifies the watcher. full says
// whether the page holds the full table.
func (f *Follower) Merge(p Page, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Version.Before(f.version) {
		return // a later response was merged before
	}
	initial := f.version.IsZero()
	newEra := !initial && p.Version.Era() != f.version.Era()
	if newEra && !full {
		return
	}
	if initial {
		if !full {
			return
		}
		var ok bool
		if p, ok = f.selectInitial(p, time.Now()); !ok {
			return
		}
	}
	before := f.confirmedAt
	if confirmedAt := time.Now().Add(-p.Age); confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
	var changed []Row
	if newEra {
		changed = f.replace(p)
	} else {
		changed = f.apply(p, full)
	}
	f.version = p.Version
	if len(changed) > 0 || initial {
		f.watcher.RowsChanged(f.table, changed, time.Since(before), initial)
	}
}

// selectInitial returns the full table to start with, and false while there is none yet. A
// host that starts while the store fails gets its first table from other hosts. One of
// them may have been partitioned or paused, so that its table lists upstreams that have
// left. A table that the store confirmed within maxConfirmationAge is used at once.
// Otherwise the newest one that was offered within maxOfferWait is used. The caller must
// hold mu.
func (f *Follower) selectInitial(p Page, now time.Time) (Page, bool) {
	if f.offer.since.IsZero() {
		f.offer = offer{p, now}
	}
	if !p.Version.Before(f.offer.page.Version) {
		f.offer.page = p
	}
	if p.Age > maxConfirmationAge && now.Sub(f.offer.since) < maxOfferWait {
		return Page{}, false
	}
	p, f.offer = f.offer.page, offer{}
	return p, true
}

// apply applies a page to the copy and returns the changed rows. The caller must hold mu.
func (f *Follower) apply(p Page, full bool) (changed []Row) {
	for _, r := range p.Rows {
		old, ok := f.rows[r.Key]
		if ok && !old.Version.Before(r.Version) {
			continue
		}
		f.restoration.settle(r.Key)
		changed = append(changed, r)
		if ok && f.equivalent != nil && !old.Deleted && !r.Deleted && f.equivalent(old.Value, r.Value) {
			continue // other hosts need not get this version
		}
		f.setRow(r)
	}
	if full {
		changed = append(changed, f.deleteUnlisted(p)...)
	}
	if f.tombstones > maxTombstones {
		f.pruneTombstones(p.Version)
	}
	return changed
}

// setRow sets a row of the copy. The caller must hold mu.
func (f *Follower) setRow(r Row) {
	if old, ok := f.rows[r.Key]; ok && old.Deleted {
		f.tombstones--
	}
	if r.Deleted {
		f.tombstones++
	}
	f.rows[r.Key] = r
	f.newestRow = sequencer.Later(f.newestRow, r.Version)
}

// deleteUnlisted deletes the rows that a full table does not list, and returns the
// deletions. It also extends the gap: rows that were added and deleted after the copy's
// version may be missing from the table. The caller must hold mu.
func (f *Follower) deleteUnlisted(p Page) (deleted []Row) {
	listed := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		listed[r.Key] = true
	}
	for key, r := range f.rows {
		if r.Deleted || listed[key] || p.Version.Before(r.Version) {
			continue
		}
		deleted = append(deleted, Row{Key: key, Version: p.Version, Deleted: true})
	}
	for _, r := range deleted {
		f.setRow(r)
	}
	known := cmp.Or(p.TombstoneFloor, p.Version)
	switch {
	case f.version.IsZero():
		f.tombstoneFloor = known
	case f.version.Before(known):
		low := f.version
		if !f.gap.low.IsZero() && f.gap.low.Before(low) {
			low = f.gap.low
		}
		f.gap = gap{low, p.Version}
	}
	return deleted
}

// pruneTombstones removes all deletions. Copies before the given version, which is that of
// this copy, then get the full table. The caller must hold mu.
func (f *Follower) pruneTombstones(version sequencer.Version) {
	for key, r := range f.rows {
		if r.Deleted {
			delete(f.rows, key)
		}
	}
	f.tombstones, f.tombstoneFloor, f.gap = 0, version, gap{}
}

// SyncRequest returns the version for a sync request to another host, and whether to
// request the full table if that host does not have all changes since. Because a full table
// is large, it is requested only while calls to the store fail. ok is false before the first
// read of the store has succeeded or failed.
func (f *Follower) SyncRequest() (version sequencer.Version, full, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.failures > 0, !f.version.IsZero() || f.failures > 0
}

// SyncResponse returns what a copy at the given version lacks: the changes since, or the
// full table if this copy does not have all of them and allowFull is set. ok is false if
// this copy is older or cannot provide the changes.
func (f *Follower) SyncResponse(version sequencer.Version, allowFull bool) (page Page, full, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	full = version.Before(f.tombstoneFloor) || version.IsZero() || f.gap.contains(version)
	if f.version.Before(version) || f.version.IsZero() || (full && !allowFull) {
		return Page{}, false, false
	}
	page.Version, page.Age = f.version, time.Since(f.confirmedAt)
	if full {
		page.TombstoneFloor = sequencer.Later(f.tombstoneFloor, f.gap.high)
	} else if !version.Before(f.newestRow) {
		return page, false, true
	}
	for _, r := range f.rows {
		if full || version.Before(r.Version) {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, full, true
}
