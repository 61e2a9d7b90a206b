// Package publisher accepts release notes. One conditional write of the row
// config/head is the acceptance; everything before and after it can be
// repeated.
//
// A publication writes three things in this order:
//
//	note/<version>/<chain>                   the previous chain and the note
//	publication/<hash of id>/<version>/<chain>  the claim that the id is used there
//	config/head                              version, chain, digest and id
//
// A host that stops in between leaves objects that no head refers to.
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
	// attempts bounds the tries to learn the outcome of the write of the head.
	attempts = 5
	minPause = 100 * time.Millisecond
)

// Store is what a Publisher needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (adapter.Row, error)
	Put(ctx context.Context, key, revision string, value []byte) (string, error)
	Load(ctx context.Context, key string) ([]byte, error)
	Save(ctx context.Context, key string, value []byte) error
	Objects(ctx context.Context, prefix string) ([]string, error)
}

// Snapshots finds whole versions, so that a host far behind needs few notes.
type Snapshots interface {
	Newest(ctx context.Context, version uint64) (*planner.Plan, error)
}

// Peers finds a note at other hosts when the copy in the store is damaged.
type Peers interface {
	Entry(ctx context.Context, version uint64, chain planner.Chain) (holder.Entry, error)
}

// Publisher accepts notes and reads accepted ones back. It is safe for
// concurrent use.
type Publisher struct {
	store     Store
	holder    *holder.Holder
	snapshots Snapshots
	peers     Peers
	turn      chan struct{} // held during a publication or a refresh
}

// Publication is an accepted note.
type Publication struct {
	id      string
	version uint64
	chain   planner.Chain
}

// ID returns the id of the note.
func (p *Publication) ID() string { return p.id }

// Version returns the version that the note made.
func (p *Publication) Version() uint64 { return p.version }

// Chain returns the hash chain up to that version.
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
	return &Publisher{store: store, holder: h, turn: make(chan struct{}, 1)}
}

// UseSnapshots sets where whole versions are found. It must be called before
// the first use.
func (p *Publisher) UseSnapshots(s Snapshots) { p.snapshots = s }

// UsePeers sets where undamaged copies of notes are found. It must be called
// before the first use.
func (p *Publisher) UsePeers(s Peers) { p.peers = s }

func (p *Publisher) begin(ctx context.Context) error {
	select {
	case p.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return classifier.StoreDown.Wrap(ctx.Err(), "wait for another publication on this host")
	}
}

// Publish accepts the note and installs the version that it makes. Publishing
// a note again returns the first publication, on any host and at any time.
//
// The error is of kind KeyReused if the id was accepted with other content,
// Conflict if another note was accepted on the same base, StoreDown if nothing
// was accepted, and Unconfirmed if that can't be told yet: publishing the same
// note again then completes or reports the publication.
func (p *Publisher) Publish(ctx context.Context, n *noter.Note) (*Publication, error) {
	raw, err := n.Encode()
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "encode release note")
	}
	if len(raw) > framer.MaxNoteBytes {
		return nil, classifier.TooLarge.New("release note %q has %d bytes in canonical form, the limit is %d: split it", n.ID, len(raw), framer.MaxNoteBytes)
	}
	if err := p.begin(ctx); err != nil {
		return nil, err
	}
	defer func() { <-p.turn }()
	h, err := p.refresh(ctx)
	if err != nil {
		return nil, err
	}
	if pub, err := p.find(ctx, h, n.ID, raw); pub != nil || err != nil {
		return pub, err
	}
	if n.Base < h.Version {
		return nil, p.lost(n)
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
	// Another host's newer version may be in force here already, which is no
	// fault of this publication.
	if err := p.holder.Install(next, e); err != nil && classifier.Of(err) != classifier.Conflict {
		return nil, err
	}
	return &Publication{n.ID, e.Version, e.Chain}, nil
}

func (p *Publisher) save(ctx context.Context, id string, e holder.Entry) error {
	if err := p.store.Save(ctx, noteKey(e.Version, e.Chain), record(e)); err != nil {
		return classifier.StoreDown.Wrap(err, "nothing was accepted; write the note")
	}
	if err := p.store.Save(ctx, claimPrefix(id)+place(e.Version, e.Chain), digest(e.Note)); err != nil {
		return classifier.StoreDown.Wrap(err, "nothing was accepted; write the claim of the id")
	}
	return nil
}

// accept writes the head. A write whose answer is lost is repeated from the
// same revision: at most one of the two can take effect, also if the first one
// is still on its way.
func (p *Publisher) accept(ctx context.Context, revision string, n *noter.Note, e holder.Entry) error {
	value, err := json.Marshal(head{Version: e.Version, Chain: hexOf(e.Chain), Digest: string(digest(e.Note)), ID: n.ID})
	if err != nil {
		return classifier.Internal.Wrap(err, "encode head")
	}
	var cause error
	for i := range attempts {
		if i > 0 && pause(ctx, i) != nil {
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
		won, err := p.accepted(ctx, h, e.Version, e.Chain)
		if err != nil {
			cause = err
			continue
		}
		if won {
			return nil
		}
		if err := p.catchUp(ctx, h); err != nil {
			return classifier.Conflict.New("release note %q lost to publication %q, now at version %d; its content can't be read: %v", n.ID, h.ID, h.Version, err)
		}
		return p.lost(n)
	}
	return classifier.Unconfirmed.New("release note %q may be accepted as version %d: publish it again to learn the outcome: %v", n.ID, e.Version, cause)
}

// pause waits with full jitter before the attempt.
func pause(ctx context.Context, attempt int) error {
	sleeper.Sleep(ctx, rand.N(minPause<<attempt))
	return ctx.Err()
}

// readHead returns the accepted version in the store.
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
