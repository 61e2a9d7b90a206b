package follower

import (
	"cmp"
	"time"
)

const (
	// rewriteTime is how long rows that a restored store lacks stay in effect. Their writers
	// write them again within it, if they still run.
	rewriteTime = 2 * time.Second
	// expiryTime is how long a row has no effect that was deleted before the restoration and is
	// back with it. It exceeds the time after which the platform deletes the registration of an
	// upstream that has left: three registrations, 1.5 s each, and 0.8 s.
	expiryTime = 6 * time.Second
)

// restoration is what a copy knows better than the store that came back from an older copy,
// until the writers of the rows had time to repair the store. Both maps hold deadlines.
type restoration struct {
	missing  map[string]time.Time // rows that the store lacks, which the watcher keeps
	returned map[string]time.Time // rows that are back, which the watcher doesn't get yet
}

func newRestoration() restoration {
	return restoration{missing: make(map[string]time.Time), returned: make(map[string]time.Time)}
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
		_, held := old.returned[r.Key]
		if !r.Deleted && (before[r.Key].Deleted || held) {
			f.restoration.returned[r.Key] = now.Add(expiryTime)
			continue
		}
		changed = append(changed, r)
	}
	for key, r := range before {
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
	f.watcher.StoreRestored(f.table, f.version, p.Version, len(f.restoration.missing), len(f.restoration.returned))
	for _, after := range []time.Duration{rewriteTime, expiryTime} {
		time.AfterFunc(after, f.endExceptions)
	}
	return changed
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
