// Package snapshotter writes snapshots of configuration versions to the object
// store and reads them back, so that a host does not need the entire history of
// release notes. It also splits a snapshot into parts for transfer between hosts.
package snapshotter

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// VersionsPerSnapshot is the number of versions between two snapshots.
	VersionsPerSnapshot = 64

	keyPrefix         = "snapshot/"
	retainedSnapshots = 3
)

// Store is the part of the object store that a Snapshotter uses.
type Store interface {
	Load(ctx context.Context, key string) ([]byte, error)
	Save(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, key string) error
	Objects(ctx context.Context, prefix string) ([]string, error)
}

// Snapshotter writes and reads snapshots. It is safe for concurrent use.
type Snapshotter struct {
	store Store
}

// New returns a Snapshotter that uses the store.
func New(store Store) *Snapshotter { return &Snapshotter{store: store} }

// Encode returns the content of a snapshot: the SHA-256 checksum of the encoded
// plan in hex, a line break and the encoded plan.
func Encode(p *planner.Plan) ([]byte, error) {
	raw, err := p.Encode()
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "encode snapshot")
	}
	sum := sha256.Sum256(raw)
	content := make([]byte, 0, 2*len(sum)+1+len(raw))
	content = hex.AppendEncode(content, sum[:])
	content = append(content, '\n')
	return append(content, raw...), nil
}

// Decode returns the plan in the content of a snapshot. Truncated or modified
// content is an error of kind Invalid.
func Decode(content []byte) (*planner.Plan, error) {
	head, raw, ok := bytes.Cut(content, []byte{'\n'})
	if !ok {
		return nil, classifier.Invalid.New("snapshot of %d bytes has no checksum line", len(content))
	}
	sum := sha256.Sum256(raw)
	if string(head) != hex.EncodeToString(sum[:]) {
		return nil, classifier.Invalid.New("snapshot of %d bytes doesn't match its checksum", len(content))
	}
	return planner.Decode(raw)
}

// Due reports whether a snapshot must be written after version has replaced
// before. The comparison allows for a host that catches up and never installs the
// multiple of VersionsPerSnapshot itself.
func Due(before, version uint64) bool {
	return version/VersionsPerSnapshot > before/VersionsPerSnapshot
}

// IsWriter reports whether the host self is the member that writes the snapshot
// due at the version, by rendezvous hashing. Hosts with different views of the
// members may both be selected, which costs an extra write and is harmless.
func IsWriter(version uint64, self string, members []string) bool {
	rank := func(host string) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(version/VersionsPerSnapshot, 10) + "/" + host)
	}
	mine := rank(self)
	return !slices.ContainsFunc(members, func(m string) bool { return m != self && rank(m) < mine })
}

// Run writes the snapshots for which the host self is the writer, until ctx is
// done. The caller sends each installed plan; members returns the names of all
// hosts. An error is passed to failed, and the snapshot is not retried: the next
// one is written when it is due, by the host selected then.
func (s *Snapshotter) Run(ctx context.Context, installed <-chan *planner.Plan, self string, members func() []string, failed func(error)) {
	last := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-installed:
			if Due(last, p.Version()) && IsWriter(p.Version(), self, members()) {
				if err := s.Save(ctx, p); err != nil {
					failed(err)
				}
			}
			last = p.Version()
		}
	}
}

func key(version uint64, chain planner.Chain) string {
	return fmt.Sprintf("%s%d/%s", keyPrefix, version, hex.EncodeToString(chain[:]))
}

func parseKey(key string) (version uint64, chain planner.Chain, ok bool) {
	number, text, found := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	version, err := strconv.ParseUint(number, 10, 64)
	raw, hexErr := hex.DecodeString(text)
	if !found || err != nil || hexErr != nil || len(raw) != len(chain) {
		return 0, chain, false
	}
	return version, planner.Chain(raw), true
}

// Save writes a snapshot of the plan, reads it back and verifies it. Then it
// removes all but the newest three snapshots. If the copy is damaged, Save removes
// it, keeps the older snapshots and returns an error of kind StoreDown.
func (s *Snapshotter) Save(ctx context.Context, p *planner.Plan) error {
	content, err := Encode(p)
	if err != nil {
		return err
	}
	k := key(p.Version(), p.Chain())
	if err := s.store.Save(ctx, k, content); err != nil {
		return err
	}
	back, err := s.store.Load(ctx, k)
	if err != nil {
		return err
	}
	if !bytes.Equal(back, content) {
		err := classifier.StoreDown.New("snapshot of version %d reads back as %d bytes instead of %d", p.Version(), len(back), len(content))
		if removeErr := s.store.Remove(ctx, k); removeErr != nil {
			return classifier.StoreDown.Wrap(err, removeErr.Error())
		}
		return err
	}
	return s.prune(ctx)
}

type candidate struct {
	key     string
	version uint64
	chain   planner.Chain
}

// candidates returns the stored snapshots, newest first.
func (s *Snapshotter) candidates(ctx context.Context) ([]candidate, error) {
	keys, err := s.store.Objects(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	var list []candidate
	for _, k := range keys {
		if version, chain, ok := parseKey(k); ok {
			list = append(list, candidate{k, version, chain})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.version, a.version) })
	return list, nil
}

func (s *Snapshotter) prune(ctx context.Context) error {
	list, err := s.candidates(ctx)
	if err != nil {
		return err
	}
	for _, c := range list[min(retainedSnapshots, len(list)):] {
		if err := s.store.Remove(ctx, c.key); err != nil && classifier.Of(err) != classifier.NotFound {
			return err
		}
	}
	return nil
}

// Newest returns the newest undamaged snapshot up to the version, or an error of
// kind NotFound if there is none. Damaged snapshots are skipped.
func (s *Snapshotter) Newest(ctx context.Context, version uint64) (*planner.Plan, error) {
	list, err := s.candidates(ctx)
	if err != nil {
		return nil, err
	}
	damaged := 0
	for _, c := range list {
		if c.version > version {
			continue
		}
		content, err := s.store.Load(ctx, c.key)
		if classifier.Of(err) == classifier.StoreDown && err != nil {
			return nil, err
		}
		if err == nil {
			p, err := Decode(content)
			if err == nil && p.Version() == c.version && p.Chain() == c.chain {
				return p, nil
			}
		}
		damaged++
	}
	return nil, classifier.NotFound.New("no usable snapshot up to version %d; %d are damaged", version, damaged)
}
