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
	// maxPartBytes bounds the delay of other messages on the same session: at
	// 1 Gbit/s a part takes 8 ms.
	maxPartBytes     = 1 << 20
	maxSnapshotBytes = 64 << 20
)

// Splitter splits the snapshot of a version into parts. It keeps the last encoded
// snapshot, so that many hosts can fetch it at the same time. The zero Splitter is
// ready to use. It is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	version uint64
	chain   planner.Chain
	content []byte
	digest  [sha256.Size]byte
}

// Part returns the part at the byte offset of the snapshot of the version, which
// a peer has begun to fetch. If the Splitter no longer has that version, or the
// version is 0, it returns the first part of the snapshot of p. A snapshot that is
// too large is an error of kind TooLarge.
func (s *Splitter) Part(p *planner.Plan, version, offset uint64) (*framer.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 || version != s.version || offset >= uint64(len(s.content)) {
		offset = 0
		if s.version != p.Version() || s.chain != p.Chain() {
			content, err := Encode(p)
			if err != nil {
				return nil, err
			}
			if len(content) > maxSnapshotBytes {
				return nil, classifier.TooLarge.New("snapshot of %d bytes is above the limit of %d bytes", len(content), maxSnapshotBytes)
			}
			s.version, s.chain, s.content, s.digest = p.Version(), p.Chain(), content, sha256.Sum256(content)
		}
	}
	end := min(offset+maxPartBytes, uint64(len(s.content)))
	// Copied, because the response is encoded after mu is released, when a
	// request from another host may change the Splitter.
	chain, digest := s.chain, s.digest
	return &framer.Snapshot{
		Version: s.version, Chain: chain[:], Offset: offset, Size: uint64(len(s.content)),
		Part: s.content[offset:end], Digest: digest[:],
	}, nil
}

// Assembler joins the parts of one snapshot. The zero Assembler is ready for a
// first part. It is not safe for concurrent use.
type Assembler struct {
	version uint64
	digest  []byte
	size    uint64
	content []byte
}

// Version returns the version being transferred, or 0 if there is none.
func (a *Assembler) Version() uint64 { return a.version }

// Offset returns the byte offset at which the next part starts.
func (a *Assembler) Offset() uint64 { return uint64(len(a.content)) }

// Add adds a part. It returns the plan once the last part has been added, and nil
// before. It returns an error of kind Invalid, and resets the Assembler, if the
// part does not continue the transfer or the content is damaged.
func (a *Assembler) Add(s *framer.Snapshot) (*planner.Plan, error) {
	if s.GetOffset() == 0 {
		*a = Assembler{version: s.GetVersion(), digest: s.GetDigest(), size: s.GetSize()}
	}
	end := a.Offset() + uint64(len(s.GetPart()))
	if s.GetVersion() != a.version || s.GetOffset() != a.Offset() || s.GetSize() != a.size || !bytes.Equal(s.GetDigest(), a.digest) ||
		len(s.GetPart()) == 0 || a.size > maxSnapshotBytes || end > a.size {
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
