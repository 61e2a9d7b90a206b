package locator

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// edit is the addition, change or withdrawal of one prefix in a bucket.
type edit[K bucketKey] struct {
	span[K]
	op     op
	prefix netip.Prefix
}

// editor collects edits by bucket, so that each bucket is rebuilt only once.
type editor struct {
	l      *Locator
	edits4 map[uint16][]edit[uint16]
	edits6 map[uint32][]edit[uint32]
	seen   map[netip.Prefix]bool
}

func newEditor(l *Locator) *editor {
	return &editor{l: l, edits4: make(map[uint16][]edit[uint16]), edits6: make(map[uint32][]edit[uint32]), seen: make(map[netip.Prefix]bool)}
}

func (e *editor) add(b Block, o op) error {
	p := b.Prefix
	if !p.IsValid() || p != p.Masked() {
		return classifier.Invalid.New("block %v: prefix has bits set after its length: write %v", p, p.Masked())
	}
	if p.Addr().Is4In6() || (!p.Addr().Is4() && p.Bits() > MaxIPv6PrefixBits) {
		return classifier.Invalid.New("block %v: use an IPv4 prefix, or an IPv6 prefix of at most %d bits", p, MaxIPv6PrefixBits)
	}
	if e.seen[p] {
		return classifier.Invalid.New("block %v: listed twice in one release note: keep one entry", p)
	}
	e.seen[p] = true
	var site uint16
	if o != opWithdraw {
		var err error
		if site, err = e.l.siteID(b.Site); err != nil {
			return err
		}
	}
	switch {
	case p.Addr().Is4():
		e.add4(p, site, o)
	case p.Bits() < ipv6BucketBits:
		return e.addShort(b, o)
	default:
		a := p.Addr().As16()
		key := binary.BigEndian.Uint32(a[:])
		s := span[uint32]{start: binary.BigEndian.Uint32(a[4:]), site: site, bits: uint8(p.Bits())}
		e.edits6[key] = append(e.edits6[key], edit[uint32]{s, o, p})
	}
	return nil
}

func (e *editor) add4(p netip.Prefix, site uint16, o op) {
	a := p.Addr().As4()
	first := binary.BigEndian.Uint16(a[:])
	s := span[uint16]{start: binary.BigEndian.Uint16(a[2:]), site: site, bits: uint8(p.Bits())}
	buckets := 1 << max(0, ipv4BucketBits-p.Bits())
	for i := range buckets {
		key := first + uint16(i)
		e.edits4[key] = append(e.edits4[key], edit[uint16]{s, o, p})
	}
}

func (e *editor) addShort(b Block, o op) error {
	l := e.l
	i := slices.IndexFunc(l.short6, func(s Block) bool { return s.Prefix == b.Prefix })
	if err := o.check(b.Prefix, i >= 0); err != nil {
		return err
	}
	l.short6 = slices.Clone(l.short6)
	switch o {
	case opWithdraw:
		l.short6 = slices.Delete(l.short6, i, i+1)
	case opChange:
		l.short6[i] = b
	default:
		l.short6 = append(l.short6, b)
		slices.SortStableFunc(l.short6, func(x, y Block) int { return y.Prefix.Bits() - x.Prefix.Bits() })
	}
	return nil
}

func (e *editor) finish() error {
	copied := make(map[uint8]bool)
	for key, edits := range e.edits4 {
		hi, lo := uint8(key>>8), uint8(key)
		if !copied[hi] {
			fresh := new(page)
			if old := e.l.pages4[hi]; old != nil {
				*fresh = *old
			}
			e.l.pages4[hi] = fresh
			copied[hi] = true
		}
		b, err := rebuild(e.l.pages4[hi][lo].unpack(), edits, ipv4BucketBits)
		if err != nil {
			return err
		}
		e.l.pages4[hi][lo] = pack(b)
	}
	return e.finish6()
}

func (e *editor) finish6() error {
	if len(e.edits6) == 0 {
		return nil
	}
	buckets := make(map[uint32]*bucket[uint32], len(e.l.keys6)+len(e.edits6))
	for i, key := range e.l.keys6 {
		buckets[key] = e.l.buckets6[i]
	}
	for key, edits := range e.edits6 {
		b, err := rebuild(buckets[key], edits, ipv6BucketBits)
		if err != nil {
			return err
		}
		buckets[key] = b
		if b == nil {
			delete(buckets, key)
		}
	}
	e.l.keys6 = make([]uint32, 0, len(buckets))
	for key := range buckets {
		e.l.keys6 = append(e.l.keys6, key)
	}
	slices.Sort(e.l.keys6)
	e.l.buckets6 = make([]*bucket[uint32], len(e.l.keys6))
	for i, key := range e.l.keys6 {
		e.l.buckets6[i] = buckets[key]
	}
	return nil
}

// rebuild returns a new bucket with the edits applied. The edits must be for
// distinct prefixes.
func rebuild[K bucketKey](b *bucket[K], edits []edit[K], base int) (*bucket[K], error) {
	set := b.prefixes(base)
	var added []span[K]
	for _, e := range edits {
		i, ok := slices.BinarySearchFunc(set, e.span, comparePrefixes)
		if err := e.op.check(e.prefix, ok); err != nil {
			return nil, err
		}
		switch {
		case !ok:
			added = append(added, e.span)
		case e.op == opChange:
			set[i].site = e.site
		default:
			// Deleted after the loop, so that the set stays sorted for the
			// next edit.
			set[i].site = 0
		}
	}
	set = slices.DeleteFunc(set, func(s span[K]) bool { return s.site == 0 })
	set = append(set, added...)
	slices.SortFunc(set, comparePrefixes)
	return newBucket(set, base), nil
}
