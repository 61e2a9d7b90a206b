// Package holder keeps the configuration version that is in force on a host
// and the release notes that led to it.
package holder

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	maxEntries = 1000
	// maxBytes bounds the notes in memory to a quarter of the 32 MB that the
	// control of a host may use.
	maxBytes = 8 << 20
)

// Entry is an accepted release note in its canonical form, with the version
// that it makes and the chains before and after it.
type Entry struct {
	Version  uint64
	Previous planner.Chain
	Chain    planner.Chain
	Note     []byte
}

// Verify reports whether the note and the chain before it give the chain.
func (e Entry) Verify() bool {
	h := sha256.New()
	h.Write(e.Previous[:])
	h.Write(e.Note)
	return planner.Chain(h.Sum(nil)) == e.Chain
}

// Apply returns the version that follows plan by the entry. An entry that
// doesn't follow it, or that is damaged, is an error of kind Invalid.
func (e Entry) Apply(plan *planner.Plan) (*planner.Plan, error) {
	if e.Version != plan.Version()+1 || e.Previous != plan.Chain() {
		return nil, classifier.Invalid.New("the note of version %d doesn't follow version %d", e.Version, plan.Version())
	}
	if !e.Verify() {
		return nil, classifier.Invalid.New("the note of version %d doesn't match its chain", e.Version)
	}
	n, err := noter.Decode(e.Note)
	if err != nil {
		return nil, err
	}
	next, err := plan.Apply(n)
	if err != nil {
		return nil, err
	}
	if next.Chain() != e.Chain {
		return nil, classifier.Invalid.New("the note of version %d is not in canonical form", e.Version)
	}
	return next, nil
}

// Holder holds the installed plan. The zero Holder holds version 0. Readers
// take no lock; a request keeps the plan it began with.
type Holder struct {
	plan    atomic.Pointer[planner.Plan]
	highest atomic.Uint64

	installing sync.Mutex // also orders the hooks
	before     []func(*planner.Plan)
	after      []func(*planner.Plan)

	mu      sync.RWMutex
	entries []Entry // contiguous, the last one made the version in force
	bytes   int
}

var empty planner.Plan

// Plan returns the version in force.
func (h *Holder) Plan() *planner.Plan {
	if p := h.plan.Load(); p != nil {
		return p
	}
	return &empty
}

// OnInstall registers f to run after each installation, in the order of the
// versions. f must not call Install.
func (h *Holder) OnInstall(f func(*planner.Plan)) {
	h.installing.Lock()
	defer h.installing.Unlock()
	h.after = append(h.after, f)
}

// Observe records that a peer or the store has the version.
func (h *Holder) Observe(version uint64) {
	for {
		now := h.highest.Load()
		if version <= now || h.highest.CompareAndSwap(now, version) {
			return
		}
	}
}

// Highest returns the highest version that was observed or installed.
func (h *Holder) Highest() uint64 { return h.highest.Load() }

// Settle corrects a claim that no accepted version supports: the store's head
// was read after Highest returned before, and shows the version head.
func (h *Holder) Settle(before, head uint64) {
	if head < before {
		h.highest.CompareAndSwap(before, max(head, h.Plan().Version()))
	}
}

// OnPrepare registers f to run before each installation, so that a part knows a
// plan before requests see it. f must not call Install.
func (h *Holder) OnPrepare(f func(*planner.Plan)) {
	h.installing.Lock()
	defer h.installing.Unlock()
	h.before = append(h.before, f)
}

// Install puts the plan in force, with the notes that lead to it from an
// earlier version, if they are known. A version that is not above the one in
// force, or below one that a peer has, is an error of kind Conflict and changes
// nothing.
func (h *Holder) Install(p *planner.Plan, entries ...Entry) error {
	h.installing.Lock()
	defer h.installing.Unlock()
	if now := h.Plan().Version(); p.Version() <= now {
		return classifier.Conflict.New("version %d is in force, version %d is not newer", now, p.Version())
	}
	if seen := h.Highest(); p.Version() < seen {
		return classifier.Conflict.New("version %d exists, version %d is not installed any more", seen, p.Version())
	}
	h.keep(p, entries)
	h.Observe(p.Version())
	for _, f := range h.before {
		f(p)
	}
	h.plan.Store(p)
	for _, f := range h.after {
		f(p)
	}
	return nil
}

// keep appends the entries if they continue the kept ones without a gap.
func (h *Holder) keep(p *planner.Plan, entries []Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.Plan().Chain()
	if len(entries) == 0 || entries[len(entries)-1].Chain != p.Chain() {
		h.entries, h.bytes = nil, 0
		return
	}
	if entries[0].Previous != last {
		h.entries, h.bytes = nil, 0
	}
	for _, e := range entries {
		h.entries = append(h.entries, e)
		h.bytes += len(e.Note)
	}
	drop := 0
	for len(h.entries)-drop > maxEntries || (h.bytes > maxBytes && len(h.entries)-drop > 1) {
		h.bytes -= len(h.entries[drop].Note)
		drop++
	}
	if drop > 0 {
		// Clearing lets the notes go while the array is still in use.
		clear(h.entries[:drop])
		h.entries = h.entries[drop:]
	}
}

// After returns the notes that follow the version with the chain, at least one
// and at most size bytes of them. It reports false if the version isn't in the
// kept history, in which case the asker needs a snapshot.
func (h *Holder) After(version uint64, chain planner.Chain, size int) ([]Entry, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if len(h.entries) == 0 || version+1 < h.entries[0].Version {
		return nil, false
	}
	i := version + 1 - h.entries[0].Version
	if i >= uint64(len(h.entries)) || h.entries[i].Previous != chain {
		return nil, false
	}
	var out []Entry
	for _, e := range h.entries[i:] {
		size -= len(e.Note)
		if size < 0 && len(out) > 0 {
			break
		}
		out = append(out, e)
	}
	return out, true
}

// Entry returns the kept note that made the version.
func (h *Holder) Entry(version uint64) (Entry, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if len(h.entries) == 0 || version < h.entries[0].Version || version-h.entries[0].Version >= uint64(len(h.entries)) {
		return Entry{}, false
	}
	return h.entries[version-h.entries[0].Version], true
}

// Count returns how many notes are kept.
func (h *Holder) Count() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return len(h.entries)
}
