package snapshotter

import (
	"bytes"
	"crypto/sha256"
	"sync"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// maxPart leaves other exchanges on the same session room: at 1 Gbit/s a
	// part takes 8 ms.
	maxPart = 1 << 20
	maxSize = 64 << 20
)

// Splitter cuts a version into parts. The zero Splitter can be used; it keeps the
// content that it cut last, so that many hosts can fetch it at once.
type Splitter struct {
	mu      sync.Mutex
	version uint64
	chain   planner.Chain
	content []byte
	digest  [sha256.Size]byte
}

// Part returns the part at the offset of the snapshot of a version that the
// asker began to fetch, if the Splitter still has it, or else the first part of
// the plan.
func (c *Splitter) Part(p *planner.Plan, version, offset uint64) (*framer.Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == 0 || version != c.version || offset >= uint64(len(c.content)) {
		offset = 0
		if c.version != p.Version() || c.chain != p.Chain() {
			content, err := Encode(p)
			if err != nil {
				return nil, err
			}
			if len(content) > maxSize {
				return nil, classifier.TooLarge.New("snapshot of %d bytes is above the limit of %d bytes", len(content), maxSize)
			}
			c.version, c.chain, c.content, c.digest = p.Version(), p.Chain(), content, sha256.Sum256(content)
		}
	}
	end := min(offset+maxPart, uint64(len(c.content)))
	// Copies: the answer is encoded while another host may change the Splitter.
	chain, digest := c.chain, c.digest
	return &framer.Snapshot{
		Version: c.version, Chain: chain[:], Offset: offset, Size: uint64(len(c.content)),
		Part: c.content[offset:end], Digest: digest[:],
	}, nil
}

// Assembler puts the parts of one snapshot together. The zero Assembler waits
// for a first part. It is not safe for concurrent use.
type Assembler struct {
	version uint64
	digest  []byte
	size    uint64
	content []byte
}

// Version returns the version under transfer, 0 for none.
func (a *Assembler) Version() uint64 { return a.version }

// Offset returns where the next part starts.
func (a *Assembler) Offset() uint64 { return uint64(len(a.content)) }

// Add adds a part. It returns the plan after the last one and nil before. A
// part that doesn't fit, or content that is damaged, is an error of kind
// Invalid after which the transfer starts again.
func (a *Assembler) Add(s *framer.Snapshot) (*planner.Plan, error) {
	if s.GetOffset() == 0 {
		*a = Assembler{version: s.GetVersion(), digest: s.GetDigest(), size: s.GetSize()}
	}
	end := a.Offset() + uint64(len(s.GetPart()))
	if s.GetVersion() != a.version || s.GetOffset() != a.Offset() || s.GetSize() != a.size || !bytes.Equal(s.GetDigest(), a.digest) ||
		len(s.GetPart()) == 0 || a.size > maxSize || end > a.size {
		err := classifier.Invalid.New("part at byte %d of the snapshot of version %d doesn't continue the transfer of version %d at byte %d", s.GetOffset(), s.GetVersion(), a.version, a.Offset())
		*a = Assembler{}
		return nil, err
	}
	a.content = append(a.content, s.GetPart()...)
	if a.Offset() < a.size {
		return nil, nil
	}
	content, digest := a.content, a.digest
	*a = Assembler{}
	if sum := sha256.Sum256(content); !bytes.Equal(sum[:], digest) {
		return nil, classifier.Invalid.New("snapshot of version %d doesn't match its digest", s.GetVersion())
	}
	p, err := Decode(content)
	if err != nil {
		return nil, err
	}
	if chain := p.Chain(); p.Version() != s.GetVersion() || !bytes.Equal(chain[:], s.GetChain()) {
		return nil, classifier.Invalid.New("snapshot holds version %d instead of %d, or another chain", p.Version(), s.GetVersion())
	}
	return p, nil
}
