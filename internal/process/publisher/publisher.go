// Package publisher accepts release notes. A note is accepted by one conditional
// write of the row config/head; all steps before and after it are idempotent.
//
// A publication writes three things in this order:
//
//	note/<version>/<chain>                   the previous chain and the note
//	publication/<hash of id>/<version>/<chain>  the claim that this version uses the id
//	config/head                              version, chain, digest and id
//
// A host that stops before the last write leaves objects to which no head refers.
package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	headKey = "config/head"
	// maxHeadWriteAttempts bounds the attempts to write the head and determine the
	// outcome.
	maxHeadWriteAttempts = 5
	retryBaseDelay       = 100 * time.Millisecond
)

// Store is the part of the platform that a Publisher uses: rows and objects.
type Store interface {
	Get(ctx context.Context, key string) (adapter.Row, error)
	Put(ctx context.Context, key, revision string, value []byte) (string, error)
	Load(ctx context.Context, key string) ([]byte, error)
	Save(ctx context.Context, key string, value []byte) error
	Objects(ctx context.Context, prefix string) ([]string, error)
}

// Snapshots returns snapshots, so that a host that is many versions behind needs
// to read few notes.
type Snapshots interface {
	Newest(ctx context.Context, version uint64) (*planner.Plan, error)
}

// Peers fetches a note from other hosts when the copy in the store is missing or
// damaged.
type Peers interface {
	Entry(ctx context.Context, version uint64, chain planner.Chain) (holder.Entry, error)
}

// Publisher publishes notes and installs accepted versions. It is safe for
// concurrent use.
type Publisher struct {
	store     Store
	holder    *holder.Holder
	snapshots Snapshots
	peers     Peers
	semaphore chan struct{} // held during a publication or a refresh
}

// Publication is an accepted note.
type Publication struct {
	id      string
	version uint64
	chain   planner.Chain
}

// ID returns the id of the note.
func (p *Publication) ID() string { return p.id }

// Version returns the version that the note produced.
func (p *Publication) Version() uint64 { return p.version }

// Chain returns the hash chain of that version.
func (p *Publication) Chain() planner.Chain { return p.chain }

// head is the row config/head. The zero head is that of version 0.
type head struct {
	Version uint64 `json:"version"`
	Chain   string `json:"chain"`
	Digest  string `json:"digest"`
	ID      string `json:"id"`

	chain    planner.Chain
	revision string
}

// New returns a Publisher that installs accepted versions in the holder.
func New(store Store, h *holder.Holder) *Publisher {
	return &Publisher{store: store, holder: h, semaphore: make(chan struct{}, 1)}
}

// UseSnapshots sets the source of snapshots. It must be called before the
// Publisher is used.
func (p *Publisher) UseSnapshots(s Snapshots) { p.snapshots = s }

// UsePeers sets the source of undamaged copies of notes. It must be called
// before the Publisher is used.
func (p *Publisher) UsePeers(s Peers) { p.peers = s }

func (p *Publisher) acquire(ctx context.Context) error {
	select {
	case p.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return classifier.StoreDown.Wrap(ctx.Err(), "wait for another publication on this host")
	}
}

// Publish publishes the note and installs the version that it produces.
// Publishing the same note again, on any host and at any time, returns the first
// publication.
//
// The error is of kind KeyReused if the id was accepted with other content,
// Conflict if another note was accepted on the same base, TooLarge or Invalid if
// the note is, StoreDown if nothing was accepted, and
// Unconfirmed if the outcome is unknown: publishing the same note again then
// completes or reports the publication.
func (p *Publisher) Publish(ctx context.Context, n *noter.Note) (*Publication, error) {
	raw, err := n.Encode()
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "encode release note")
	}
	if len(raw) > framer.MaxNoteBytes {
		return nil, classifier.TooLarge.New("release note %q has %d bytes in canonical form, the limit is %d: split it", n.ID, len(raw), framer.MaxNoteBytes)
	}
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	defer func() { <-p.semaphore }()
	h, err := p.refresh(ctx)
	if err != nil {
		return nil, err
	}
	if pub, err := p.findPublication(ctx, h, n.ID, raw); pub != nil || err != nil {
		return pub, err
	}
	if n.Base < h.Version {
		return nil, p.conflictError(n)
	}
	plan := p.holder.Plan()
	if plan.Version() != h.Version {
		return nil, classifier.StoreDown.New("version %d is in force although the store has version %d: publish again", plan.Version(), h.Version)
	}
	next, err := plan.Apply(n)
	if err != nil {
		return nil, err
	}
	e := holder.Entry{Version: next.Version(), Previous: plan.Chain(), Chain: next.Chain(), Note: raw}
	if err := p.save(ctx, n.ID, e); err != nil {
		return nil, err
	}
	if err := p.accept(ctx, h.revision, n, e); err != nil {
		return nil, err
	}
	// A newer version from another host may already be in force here. That is
	// not an error of this publication.
	if err := p.holder.Install(next, e); err != nil && classifier.Of(err) != classifier.Conflict {
		return nil, err
	}
	return &Publication{n.ID, e.Version, e.Chain}, nil
}

func (p *Publisher) save(ctx context.Context, id string, e holder.Entry) error {
	if err := p.store.Save(ctx, noteKey(e.Version, e.Chain), encodeNoteObject(e)); err != nil {
		return classifier.StoreDown.Wrap(err, "nothing was accepted; write the note")
	}
	if err := p.store.Save(ctx, claimPrefix(id)+versionPath(e.Version, e.Chain), digest(e.Note)); err != nil {
		return classifier.StoreDown.Wrap(err, "nothing was accepted; write the claim of the id")
	}
	return nil
}

// accept writes the head. A write whose response is lost is repeated with the
// same revision, so at most one of the writes can take effect, even if the first
// is still in flight.
func (p *Publisher) accept(ctx context.Context, revision string, n *noter.Note, e holder.Entry) error {
	value, err := json.Marshal(head{Version: e.Version, Chain: hexOf(e.Chain), Digest: string(digest(e.Note)), ID: n.ID})
	if err != nil {
		return classifier.Internal.Wrap(err, "encode head")
	}
	var cause error
	for i := range maxHeadWriteAttempts {
		if i > 0 && sleepBackoff(ctx, i) != nil {
			break
		}
		_, err := p.store.Put(ctx, headKey, revision, value)
		if err == nil {
			return nil
		}
		cause = err
		h, err := p.readHead(ctx)
		if err != nil {
			cause = err
			continue
		}
		if h.revision == revision {
			continue
		}
		won, err := p.isAccepted(ctx, h, e.Version, e.Chain)
		if err != nil {
			cause = err
			continue
		}
		if won {
			return nil
		}
		if err := p.catchUp(ctx, h); err != nil {
			return classifier.Conflict.New("release note %q conflicts with publication %q, accepted as version %d, whose content can't be read: %v", n.ID, h.ID, h.Version, err)
		}
		return p.conflictError(n)
	}
	return classifier.Unconfirmed.New("release note %q may be accepted as version %d: publish it again to determine the outcome: %v", n.ID, e.Version, cause)
}

// sleepBackoff waits before the attempt, with exponential backoff and full jitter.
func sleepBackoff(ctx context.Context, attempt int) error {
	sleeper.Sleep(ctx, rand.N(retryBaseDelay<<attempt))
	return ctx.Err()
}

// readHead returns the head in the store, or the zero head if there is none.
func (p *Publisher) readHead(ctx context.Context) (head, error) {
	row, err := p.store.Get(ctx, headKey)
	if err != nil && classifier.Of(err) == classifier.NotFound {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	h := head{revision: row.Revision}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, classifier.StoreDown.Wrap(err, headKey)
	}
	raw, err := hex.DecodeString(h.Chain)
	if err != nil || len(raw) != len(h.chain) {
		return head{}, classifier.StoreDown.New("%s: %q is not a chain", headKey, h.Chain)
	}
	h.chain = planner.Chain(raw)
	return h, nil
}

func digest(raw []byte) []byte {
	sum := sha256.Sum256(raw)
	return hex.AppendEncode(nil, sum[:])
}

func hexOf(c planner.Chain) string { return hex.EncodeToString(c[:]) }
