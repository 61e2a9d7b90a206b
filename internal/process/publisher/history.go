package publisher

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/snapshotter"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// versionPath returns the end of the key of an object that belongs to a version.
func versionPath(version uint64, chain planner.Chain) string {
	return fmt.Sprintf("%d/%s", version, hexOf(chain))
}

func noteKey(version uint64, chain planner.Chain) string {
	return "note/" + versionPath(version, chain)
}

func claimPrefix(id string) string { return "publication/" + string(digest([]byte(id))) + "/" }

// parseVersionPath parses a versionPath at the end of a key.
func parseVersionPath(key string) (version uint64, chain planner.Chain, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) < 2 {
		return 0, chain, false
	}
	version, err := strconv.ParseUint(parts[len(parts)-2], 10, 64)
	raw, hexErr := hex.DecodeString(parts[len(parts)-1])
	if err != nil || hexErr != nil || len(raw) != len(chain) {
		return 0, chain, false
	}
	return version, planner.Chain(raw), true
}

// encodeNoteObject returns the content of a note object: the previous chain in
// hex, a line break and the note. The previous chain allows the history to be
// read backwards.
func encodeNoteObject(e holder.Entry) []byte {
	return append(append(hex.AppendEncode(nil, e.Previous[:]), '\n'), e.Note...)
}

func decodeNoteObject(version uint64, chain planner.Chain, raw []byte) (holder.Entry, error) {
	e := holder.Entry{Version: version, Chain: chain}
	first, note, _ := bytes.Cut(raw, []byte{'\n'})
	previous, err := hex.DecodeString(string(first))
	if err == nil && len(previous) == len(chain) {
		e.Previous, e.Note = planner.Chain(previous), note
		if e.Verify() {
			return e, nil
		}
	}
	return e, classifier.Invalid.New("the copy of the note of version %d in the store is damaged", version)
}

// load returns the note that produced the version with the chain. A copy that is
// missing from or damaged in the store is fetched from a peer and written again.
func (p *Publisher) load(ctx context.Context, version uint64, chain planner.Chain) (holder.Entry, error) {
	if e, ok := p.holder.Entry(version); ok && e.Chain == chain {
		return e, nil
	}
	raw, err := p.store.Load(ctx, noteKey(version, chain))
	if err != nil && classifier.Of(err) != classifier.NotFound {
		return holder.Entry{}, err
	}
	if err == nil {
		var e holder.Entry
		if e, err = decodeNoteObject(version, chain, raw); err == nil {
			return e, nil
		}
	}
	if p.peers == nil {
		return holder.Entry{}, err
	}
	e, peerErr := p.peers.Entry(ctx, version, chain)
	if peerErr != nil || e.Version != version || e.Chain != chain || !e.Verify() {
		return holder.Entry{}, err
	}
	// A failed repair can be ignored: the next reader tries again.
	_ = p.store.Save(ctx, noteKey(version, chain), encodeNoteObject(e))
	return e, nil
}

// isAccepted reports whether the version with the chain is part of the history
// of the head. Every note is based on an accepted version, so any note of the
// following version has the accepted chain as its previous chain.
func (p *Publisher) isAccepted(ctx context.Context, h head, version uint64, chain planner.Chain) (bool, error) {
	if version >= h.Version {
		return version == h.Version && chain == h.chain, nil
	}
	if e, ok := p.holder.Entry(version); ok {
		return e.Chain == chain, nil
	}
	if e, ok := p.holder.Entry(version + 1); ok {
		return e.Previous == chain, nil
	}
	keys, err := p.store.Objects(ctx, fmt.Sprintf("note/%d/", version+1))
	if err != nil {
		return false, err
	}
	for _, k := range keys {
		_, following, ok := parseVersionPath(k)
		if !ok {
			continue
		}
		e, err := p.load(ctx, version+1, following)
		if classifier.Of(err) == classifier.StoreDown && err != nil {
			return false, err
		}
		if err == nil {
			return e.Previous == chain, nil
		}
	}
	return false, classifier.StoreDown.New("no undamaged note of version %d was found", version+1)
}

// findPublication returns the accepted publication with the id, or nil if there
// is none. The claims of the id are complete for all versions up to the head,
// because a claim is written before the head. The error is of kind KeyReused if
// the accepted content differs from raw.
func (p *Publisher) findPublication(ctx context.Context, h head, id string, raw []byte) (*Publication, error) {
	keys, err := p.store.Objects(ctx, claimPrefix(id))
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		version, chain, ok := parseVersionPath(k)
		if !ok {
			continue
		}
		yes, err := p.isAccepted(ctx, h, version, chain)
		if err != nil {
			return nil, err
		}
		if !yes {
			continue
		}
		e, err := p.load(ctx, version, chain)
		if err != nil {
			return nil, classifier.StoreDown.Wrap(err, fmt.Sprintf("release note %q is accepted as version %d", id, version))
		}
		if !bytes.Equal(e.Note, raw) {
			return nil, classifier.KeyReused.New("id %q belongs to version %d, which has other content: give the release note a new id", id, version)
		}
		return &Publication{id, version, chain}, nil
	}
	return nil, nil
}

// Refresh installs the newest accepted version in the store, any number of
// versions after the version in force.
func (p *Publisher) Refresh(ctx context.Context) error {
	if err := p.acquire(ctx); err != nil {
		return err
	}
	defer func() { <-p.semaphore }()
	_, err := p.refresh(ctx)
	return err
}

func (p *Publisher) refresh(ctx context.Context) (head, error) {
	before := p.holder.Highest()
	h, err := p.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	p.holder.Settle(before, h.Version)
	return h, classifier.StoreDown.Wrap(p.catchUp(ctx, h), "catch up with the store")
}

// catchUp installs the version of the head, unless it is already in force.
func (p *Publisher) catchUp(ctx context.Context, h head) error {
	plan := p.holder.Plan()
	switch {
	case h.Version == plan.Version() && h.chain != plan.Chain():
		return classifier.StoreDown.New("version %d in force has a different history from that in the store", h.Version)
	case h.Version < plan.Version():
		// The head may have been read before a peer delivered a newer
		// version.
		again, err := p.readHead(ctx)
		if err == nil && again.Version < plan.Version() {
			err = classifier.StoreDown.New("the store's head is version %d although version %d is in force", again.Version, plan.Version())
		}
		return err
	case h.Version == plan.Version():
		return nil
	}
	w := &historyWalk{p: p, head: h}
	next, entries, err := w.build(ctx, plan)
	if err != nil && classifier.Of(err) != classifier.StoreDown && plan.Version() > 0 {
		// The version in force is not in the history of the store's head.
		next, entries, err = w.build(ctx, new(planner.Plan))
	}
	if err != nil {
		return err
	}
	p.holder.Observe(h.Version)
	if err := p.holder.Install(next, entries...); err != nil && p.holder.Plan().Version() < h.Version {
		return err
	}
	return nil
}

// historyWalk reads the history of a head backwards from the head.
type historyWalk struct {
	p       *Publisher
	head    head
	entries []holder.Entry // newest first
}

// readBack reads notes backwards until the one that follows the version.
func (w *historyWalk) readBack(ctx context.Context, version uint64) error {
	for w.head.Version-uint64(len(w.entries)) > version {
		at, chain := w.head.Version, w.head.chain
		if n := len(w.entries); n > 0 {
			at, chain = w.entries[n-1].Version-1, w.entries[n-1].Previous
		}
		e, err := w.p.load(ctx, at, chain)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	return nil
}

// build returns the version of the head and the notes that lead to it. It starts
// from the plan or, if the plan is more than VersionsPerSnapshot versions behind
// or cannot be brought to the head because of a damaged note or a different
// history, from a snapshot.
func (w *historyWalk) build(ctx context.Context, plan *planner.Plan) (*planner.Plan, []holder.Entry, error) {
	recent := w.head.Version-plan.Version() <= snapshotter.VersionsPerSnapshot
	if recent || w.p.snapshots == nil {
		next, entries, err := w.apply(ctx, plan)
		if err == nil || w.p.snapshots == nil {
			return next, entries, err
		}
	}
	snap, err := w.p.snapshots.Newest(ctx, w.head.Version)
	if err == nil && snap.Version() > plan.Version() {
		next, entries, err := w.apply(ctx, snap)
		if err == nil {
			return next, entries, nil
		}
	}
	return w.apply(ctx, plan)
}

func (w *historyWalk) apply(ctx context.Context, plan *planner.Plan) (*planner.Plan, []holder.Entry, error) {
	if err := w.readBack(ctx, plan.Version()); err != nil {
		return nil, nil, err
	}
	entries := slices.Clone(w.entries[:w.head.Version-plan.Version()])
	slices.Reverse(entries)
	for _, e := range entries {
		next, err := e.Apply(plan)
		if err != nil {
			return nil, nil, err
		}
		plan = next
	}
	if plan.Chain() != w.head.chain {
		return nil, nil, classifier.Invalid.New("version %d has a different history from the store's head", plan.Version())
	}
	return plan, entries, nil
}

// conflictError returns the error for a note whose base is not the newest
// version. It names the publication that was accepted on the same base and the
// items that the note and later publications both change.
func (p *Publisher) conflictError(n *noter.Note) error {
	now := p.holder.Plan().Version()
	mine := touchedItems(n)
	var both []string
	winner := fmt.Sprintf("another publication was accepted as version %d", n.Base+1)
	for v := n.Base + 1; v <= now; v++ {
		e, ok := p.holder.Entry(v)
		if !ok {
			continue
		}
		var other noter.Note
		if json.Unmarshal(e.Note, &other) != nil {
			continue
		}
		if v == n.Base+1 {
			winner = fmt.Sprintf("publication %q was accepted as version %d", other.ID, v)
		}
		for item := range touchedItems(&other) {
			if mine[item] && !slices.Contains(both, item) {
				both = append(both, item)
			}
		}
	}
	slices.Sort(both)
	detail := "no item is changed by both"
	if len(both) > 0 {
		detail = "both touch " + strings.Join(both[:min(len(both), maxItemsInError)], ", ")
		if len(both) > maxItemsInError {
			detail += fmt.Sprintf(" and %d more", len(both)-maxItemsInError)
		}
	}
	return classifier.Conflict.New("release note %q is based on version %d, but %s; %s; rebase it on version %d",
		n.ID, n.Base, winner, detail, now)
}
