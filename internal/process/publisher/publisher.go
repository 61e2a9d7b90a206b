// Package publisher accepts release notes. One conditional write of the row
// config/head is the acceptance; everything else can be repeated.
package publisher

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const headKey = "config/head"

// Store is what a Publisher needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (adapter.Row, error)
	Put(ctx context.Context, key, revision string, value []byte) (string, error)
	Load(ctx context.Context, key string) ([]byte, error)
	Save(ctx context.Context, key string, value []byte) error
}

// Publisher accepts notes and reads accepted ones back.
type Publisher struct {
	store  Store
	holder *holder.Holder
}

type head struct {
	Version uint64 `json:"version"`
	Chain   string `json:"chain"`
	ID      string `json:"id"`
}

// New returns a Publisher that installs accepted versions in the holder.
func New(store Store, h *holder.Holder) *Publisher {
	return &Publisher{store: store, holder: h}
}

func noteKey(version uint64, chain string) string {
	return fmt.Sprintf("note/%d/%s", version, chain)
}

// Publish accepts the note and installs the version that it makes.
func (p *Publisher) Publish(ctx context.Context, n *noter.Note) (*planner.Plan, error) {
	if err := p.Refresh(ctx); err != nil {
		return nil, err
	}
	next, err := p.holder.Plan().Apply(n)
	if err != nil {
		return nil, err
	}
	raw, err := n.Encode()
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "encode release note")
	}
	h := head{Version: next.Version(), Chain: hexOf(next.Chain()), ID: n.ID}
	if err := p.store.Save(ctx, noteKey(h.Version, h.Chain), raw); err != nil {
		return nil, err
	}
	revision := ""
	row, err := p.store.Get(ctx, headKey)
	switch {
	case err == nil:
		revision = row.Revision
	case classifier.Of(err) != classifier.Unknown:
		return nil, err
	}
	value, err := json.Marshal(h)
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "encode head")
	}
	if _, err := p.store.Put(ctx, headKey, revision, value); err != nil {
		return nil, err
	}
	return next, p.holder.Install(next)
}

// Refresh installs what the store has accepted since the version in force.
func (p *Publisher) Refresh(ctx context.Context) error {
	row, err := p.store.Get(ctx, headKey)
	if classifier.Of(err) == classifier.Unknown && err != nil {
		return nil
	}
	if err != nil {
		return err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return classifier.StoreDown.Wrap(err, headKey)
	}
	plan := p.holder.Plan()
	if h.Version <= plan.Version() {
		return nil
	}
	if h.Version != plan.Version()+1 {
		return classifier.StoreDown.New("version %d is accepted, version %d is in force: notes between are missing", h.Version, plan.Version())
	}
	raw, err := p.store.Load(ctx, noteKey(h.Version, h.Chain))
	if err != nil {
		return err
	}
	n := new(noter.Note)
	if err := json.Unmarshal(raw, n); err != nil {
		return classifier.Invalid.Wrap(err, "stored release note")
	}
	next, err := plan.Apply(n)
	if err != nil {
		return err
	}
	return p.holder.Install(next)
}

func hexOf(c planner.Chain) string { return hex.EncodeToString(c[:]) }
