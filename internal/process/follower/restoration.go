package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rewriteTime is how long rows that a restored store lacks stay in effect. Their writers
	// write them again within it, if they still run.
	rewriteTime = 2 * time.Second
	// expiryTime is how long a row that is held back has no effect. It exceeds the time after
	// which the platform deletes the registration of an upstream that has left: three
	// registrations, 1.5 s each, and 0.8 s.
	expiryTime = 6 * time.Second
)

// restoration is what a copy knows better than the store that came back from an older copy,
// until the writers of the rows had time to repair the store. missing and returned hold
// deadlines.
type restoration struct {
	missing  map[string]time.Time // rows that the store lacks, which the watcher keeps
	returned map[string]time.Time // rows that are back, which the watcher doesn't get yet
	// highest holds the highest number that a key had in earlier eras, unless its row in this
	// era has as high a one. At most maxTombstones keys are kept.
	highest map[string]uint64
}

func newRestoration() restoration {
	return restoration{missing: make(map[string]time.Time), returned: make(map[string]time.Time), highest: make(map[string]uint64)}
}

// settle ends the exception for a row that was written after the restoration.
func (r *restoration) settle(key string) {
	delete(r.missing, key)
	delete(r.returned, key)
}

// due removes and returns the keys whose deadline has passed.
func due(deadlines map[string]time.Time, now time.Time) (keys []string) {
	for key, deadline := range deadlines {
		if !now.Before(deadline) {
			keys = append(keys, key)
			delete(deadlines, key)
		}
	}
	return keys
}

// replace replaces the copy by a full table of a later era, and returns the rows for the
// watcher. The caller must hold mu and set the version.
func (f *Follower) replace(p Page) (changed []Row) {
	now, before, old := time.Now(), f.rows, f.restoration
	f.rows, f.tombstones, f.newestRow = make(map[string]Row, len(p.Rows)), 0, p.Version
	f.tombstoneFloor, f.gap = cmp.Or(p.TombstoneFloor, p.Version), gap{}
	f.restoration = newRestoration()
	for _, r := range p.Rows {
		f.setRow(r)
		if f.mayBeOutdated(r, before, &old) {
			f.restoration.returned[r.Key] = now.Add(expiryTime)
			continue
		}
		changed = append(changed, r)
	}
	for key, r := range before {
		f.keepHighest(key, r.Version.Number())
		_, listed := f.rows[key]
		if _, held := old.returned[key]; !r.Deleted && !listed && !held {
			f.restoration.missing[key] = now.Add(rewriteTime)
		}
	}
	for key := range old.missing {
		if _, listed := f.rows[key]; !listed {
			f.restoration.missing[key] = now.Add(rewriteTime)
		}
	}
	for key, number := range old.highest {
		f.keepHighest(key, number)
	}
	f.watcher.StoreRestored(f.table, f.version, p.Version, slices.Collect(maps.Keys(f.restoration.missing)), slices.Collect(maps.Keys(f.restoration.returned)))
	for _, after := range []time.Duration{rewriteTime, expiryTime} {
		time.AfterFunc(after, f.endExceptions)
	}
	return changed
}

// mayBeOutdated reports whether a row of a restored table is to be held back: the copy knows a
// row with its key as deleted, and nothing shows that this one was written since. A number above
// all that the key had in earlier eras was given out after the deletion. A lower one tells
// nothing, because numbers are given out again. The caller must hold mu.
func (f *Follower) mayBeOutdated(r Row, before map[string]Row, old *restoration) bool {
	known, copied := before[r.Key]
	_, missing := old.missing[r.Key]
	_, held := old.returned[r.Key]
	highest, seen := old.highest[r.Key]
	deleted := known.Deleted || held || (seen && !copied && !missing)
	return !r.Deleted && deleted && r.Version.Number() <= max(highest, known.Version.Number()) &&
		f.holdBack != nil && f.holdBack(r)
}

// keepHighest keeps a number that a row had in an earlier era. The caller must hold mu.
func (f *Follower) keepHighest(key string, number uint64) {
	number = max(number, f.restoration.highest[key])
	if _, kept := f.restoration.highest[key]; number > f.rows[key].Version.Number() && (kept || len(f.restoration.highest) < maxTombstones) {
		f.restoration.highest[key] = number
	}
}

// endExceptions applies what the store says of rows whose deadline has passed.
func (f *Follower) endExceptions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var changed []Row
	for _, key := range due(f.restoration.missing, now) {
		changed = append(changed, Row{Key: key, Version: f.version, Deleted: true})
	}
	for _, key := range due(f.restoration.returned, now) {
		if r, ok := f.rows[key]; ok {
			changed = append(changed, r)
		}
	}
	if len(changed) > 0 {
		f.watcher.RowsChanged(f.table, changed, now.Sub(f.confirmedAt), false)
	}
}
