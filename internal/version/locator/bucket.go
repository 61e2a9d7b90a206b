package locator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// ipv4BucketBits and ipv6BucketBits are the numbers of leading address bits that
// select the bucket.
const (
	ipv4BucketBits = 16
	ipv6BucketBits = 32
)

// bucketKey is the part of an address that is looked up within a bucket.
type bucketKey interface{ uint16 | uint32 }

// span is a range of keys from start up to the start of the next span. Field bits
// is the length of the prefix that contains it; site 0 means that none does.
type span[K bucketKey] struct {
	start K
	site  uint16
	bits  uint8
}

// bucket holds the prefixes with the same leading address bits. Field hidden
// lists the prefixes that more specific ones cover completely.
type bucket[K bucketKey] struct {
	spans  []span[K]
	hidden []span[K]
}

func width[K bucketKey]() int {
	var k K
	return binary.Size(k) * 8
}

// find returns the site of the span that contains the key, or 0.
func (b *bucket[K]) find(key K) uint16 {
	lo, hi := 0, len(b.spans)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if b.spans[mid].start <= key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 {
		return 0
	}
	return b.spans[lo-1].site
}

// lastKey returns the last key of the prefix to which s belongs.
func (s span[K]) lastKey(base int) K {
	below := base + width[K]() - max(int(s.bits), base)
	return s.start | K(uint64(1)<<below-1)
}

// prefixStart returns s with the start of the prefix to which it belongs.
func (s span[K]) prefixStart(base int) span[K] {
	below := base + width[K]() - max(int(s.bits), base)
	s.start &^= K(uint64(1)<<below - 1)
	return s
}

func comparePrefixes[K bucketKey](a, b span[K]) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.bits, b.bits))
}

func samePrefix[K bucketKey](a, b span[K]) bool { return a.start == b.start && a.bits == b.bits }

// prefixes returns the prefixes in the bucket, sorted by start, then length.
func (b *bucket[K]) prefixes(base int) []span[K] {
	if b == nil {
		return nil
	}
	set := slices.Clone(b.hidden)
	for _, s := range b.spans {
		if s.site != 0 {
			set = append(set, s.prefixStart(base))
		}
	}
	slices.SortFunc(set, comparePrefixes)
	return slices.CompactFunc(set, samePrefix)
}

// newBucket returns a bucket with the prefixes of the sorted set, or nil for an
// empty set.
func newBucket[K bucketKey](set []span[K], base int) *bucket[K] {
	if len(set) == 0 {
		return nil
	}
	f := flattener[K]{base: base, spans: make([]span[K], 0, 2*len(set)+1)}
	for _, s := range set {
		f.push(s)
	}
	for len(f.open) > 0 {
		f.pop()
	}
	b := &bucket[K]{spans: slices.Clip(slices.Clone(f.spans))}
	if visible := b.prefixes(base); len(visible) < len(set) {
		for _, s := range set {
			if _, ok := slices.BinarySearchFunc(visible, s, comparePrefixes); !ok {
				b.hidden = append(b.hidden, s)
			}
		}
	}
	return b
}

// flattener converts nested prefixes to spans. Field open holds the prefixes that
// contain the current position, outermost first.
type flattener[K bucketKey] struct {
	base  int
	spans []span[K]
	open  []span[K]
}

func (f *flattener[K]) push(s span[K]) {
	for len(f.open) > 0 && f.open[len(f.open)-1].lastKey(f.base) < s.start {
		f.pop()
	}
	f.open = append(f.open, s)
	f.emit(s)
}

// pop ends the innermost open prefix. The keys after it belong to the enclosing
// prefix, if any.
func (f *flattener[K]) pop() {
	ended := f.open[len(f.open)-1]
	f.open = f.open[:len(f.open)-1]
	after := ended.lastKey(f.base) + 1
	if after == 0 {
		return
	}
	follow := span[K]{start: after}
	if len(f.open) > 0 {
		around := f.open[len(f.open)-1]
		follow.site, follow.bits = around.site, around.bits
	}
	f.emit(follow)
}

func (f *flattener[K]) emit(s span[K]) {
	if n := len(f.spans); n > 0 && f.spans[n-1].start == s.start {
		f.spans[n-1] = s
		return
	}
	f.spans = append(f.spans, s)
}

func prefix4(upper uint16, s span[uint16]) netip.Prefix {
	var a [4]byte
	binary.BigEndian.PutUint16(a[:], upper)
	binary.BigEndian.PutUint16(a[2:], s.start)
	return netip.PrefixFrom(netip.AddrFrom4(a), int(s.bits)).Masked()
}

func prefix6(upper uint32, s span[uint32]) netip.Prefix {
	var a [16]byte
	binary.BigEndian.PutUint32(a[:], upper)
	binary.BigEndian.PutUint32(a[4:], s.start)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(s.bits))
}

type op uint8

const (
	opAdd op = iota
	opChange
	opWithdraw
)

func (o op) check(p netip.Prefix, present bool) error {
	switch {
	case o == opAdd && present:
		return classifier.Invalid.New("block %v: added but already defined: move it to \"changed\"", p)
	case o == opChange && !present:
		return classifier.Invalid.New("block %v: changed but not defined: move it to \"added\"", p)
	case o == opWithdraw && !present:
		return classifier.Invalid.New("block %v: withdrawn but not defined: remove it from \"withdrawn\"", p)
	}
	return nil
}
