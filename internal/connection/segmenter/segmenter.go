// Package segmenter holds the bodies of requests in segments of memory. A segment is counted
// by a reserver before it is allocated, and until the last user of the body has released it.
// Segments are not copied while a body grows.
//
//	b := segmenter.New(memory, length)
//	defer b.Release()
//	complete, err := b.Fill(r, limit)
package segmenter

import (
	"errors"
	"io"
	"sync/atomic"

	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

const (
	// firstSegmentBytes bounds the first segment, and so the memory that a caller occupies who
	// sends only the header of a request with a body.
	firstSegmentBytes = 16 << 10
	maxSegmentBytes   = 256 << 10
)

// ErrNoMemory means that no memory was free for the next segment.
var ErrNoMemory = errors.New("no memory is free for the body")

// Body is a body in segments. A nil Body is empty. Only one goroutine may fill it, and only
// before others use it; Retain and Release are safe for concurrent use.
type Body struct {
	memory   *reserver.Reserver
	segments [][]byte
	length   int64
	expected int64 // length of the complete body, 0 or less if it is not known
	reserved int64
	capacity int64 // of all segments
	refs     atomic.Int32
}

// New returns an empty body with one reference. A length of 0 or less means that the length of
// the complete body is not known.
func New(memory *reserver.Reserver, length int64) *Body {
	b := &Body{memory: memory, expected: length}
	b.refs.Store(1)
	return b
}

// Reserve reserves the memory for the complete body if its length is known, and otherwise that
// for the next segment. It reports false if that leaves less than a fraction of the memory free
// for others.
func (b *Body) Reserve(leave float64) bool {
	need := b.nextBytes()
	if b.expected > 0 {
		need = b.expected + 1 - b.capacity
	}
	need -= b.reserved - b.capacity
	if need > 0 {
		if !b.memory.TryAcquireLeaving(need, leave) {
			return false
		}
		b.reserved += need
	}
	return true
}

// Fill appends what it reads from r until the end of r, until b holds more than limit bytes, or
// until no more than a fraction of the memory is free. It reports whether b holds the complete
// body. The error is ErrNoMemory or that of r.
func (b *Body) Fill(r io.Reader, limit int64, leave float64) (complete bool, err error) {
	for b.length <= limit {
		if b.length == b.capacity && !b.grow(leave) {
			return false, ErrNoMemory
		}
		last := &b.segments[len(b.segments)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.length += int64(n)
		if err == io.EOF {
			return true, nil
		} else if err != nil {
			return false, err
		}
	}
	return false, nil
}

// grow appends an empty segment.
func (b *Body) grow(leave float64) bool {
	n := b.nextBytes()
	if need := n - (b.reserved - b.capacity); need > 0 {
		if !b.memory.TryAcquireLeaving(need, leave) {
			return false
		}
		b.reserved += need
	}
	b.segments = append(b.segments, make([]byte, 0, n))
	b.capacity += n
	return true
}

// nextBytes returns the size of the next segment. A body of known length gets space for one
// byte more, to read its end without another segment.
func (b *Body) nextBytes() int64 {
	n := min(max(b.capacity, firstSegmentBytes), maxSegmentBytes)
	if rest := b.expected + 1 - b.capacity; b.expected > 0 && rest > 0 {
		n = min(n, rest)
	}
	return n
}

// Segments returns the segments, which must not be modified.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// Len returns the number of bytes that b holds.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Retain adds a reference.
func (b *Body) Retain() {
	if b != nil {
		b.refs.Add(1)
	}
}

// Release drops a reference. The memory is released with the last one.
func (b *Body) Release() {
	if b != nil && b.refs.Add(-1) == 0 {
		b.memory.Release(b.reserved)
		b.segments = nil
	}
}
