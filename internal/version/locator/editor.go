package locator

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// edit is one difference inside a bucket.
type edit[K half] struct {
	span[K]
	op     op
	prefix netip.Prefix
}

// editor collects the differences by bucket and rebuilds each bucket once.
type editor struct {
	l     *Locator
	edit4 map[uint16][]edit[uint16]
	edit6 map[uint32][]edit[uint32]
	seen  map[netip.Prefix]bool
}

func newEditor(l *Locator) *editor {
	return &editor{l: l, edit4: make(map[uint16][]edit[uint16]), edit6: make(map[uint32][]edit[uint32]), seen: make(map[netip.Prefix]bool)}
}

func (e *editor) add(b Block, o op) error {
	p := b.Prefix
	if !p.IsValid() || p != p.Masked() {
		return classifier.Invalid.New("block %v: prefix has bits below its length: write %v", p, p.Masked())
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
		if site, err = e.l.id(b.Site); err != nil {
			return err
		}
	}
	switch {
	case p.Addr().Is4():
		e.add4(p, site, o)
	case p.Bits() < base6:
		return e.addShort(b, o)
	default:
		a := p.Addr().As16()
		key := binary.BigEndian.Uint32(a[:])
		s := span[uint32]{start: binary.BigEndian.Uint32(a[4:]), site: site, bits: uint8(p.Bits())}
		e.edit6[key] = append(e.edit6[key], edit[uint32]{s, o, p})
	}
	return nil
}

func (e *editor) add4(p netip.Prefix, site uint16, o op) {
	a := p.Addr().As4()
	first := binary.BigEndian.Uint16(a[:])
	s := span[uint16]{start: binary.BigEndian.Uint16(a[2:]), site: site, bits: uint8(p.Bits())}
	buckets := 1 << max(0, base4-p.Bits())
	for i := range buckets {
		key := first + uint16(i)
		e.edit4[key] = append(e.edit4[key], edit[uint16]{s, o, p})
	}
}

func (e *editor) addShort(b Block, o op) error {
	l := e.l
	i := slices.IndexFunc(l.short, func(s Block) bool { return s.Prefix == b.Prefix })
	if err := o.check(b.Prefix, i >= 0); err != nil {
		return err
	}
	l.short = slices.Clone(l.short)
	switch o {
	case opWithdraw:
		l.short = slices.Delete(l.short, i, i+1)
	case opChange:
		l.short[i] = b
	default:
		l.short = append(l.short, b)
		slices.SortStableFunc(l.short, func(x, y Block) int { return y.Prefix.Bits() - x.Prefix.Bits() })
	}
	return nil
}

func (e *editor) finish() error {
	copied := make(map[uint8]bool)
	for key, edits := range e.edit4 {
		hi, lo := uint8(key>>8), uint8(key)
		if !copied[hi] {
			fresh := new(page)
			if old := e.l.pages[hi]; old != nil {
				*fresh = *old
			}
			e.l.pages[hi] = fresh
			copied[hi] = true
		}
		b, err := rebuild(e.l.pages[hi][lo].unpack(), edits, base4)
		if err != nil {
			return err
		}
		e.l.pages[hi][lo] = pack(b)
	}
	return e.finish6()
}

func (e *editor) finish6() error {
	if len(e.edit6) == 0 {
		return nil
	}
	buckets := make(map[uint32]*bucket[uint32], len(e.l.keys)+len(e.edit6))
	for i, key := range e.l.keys {
		buckets[key] = e.l.wide[i]
	}
	for key, edits := range e.edit6 {
		b, err := rebuild(buckets[key], edits, base6)
		if err != nil {
			return err
		}
		buckets[key] = b
		if b == nil {
			delete(buckets, key)
		}
	}
	e.l.keys = make([]uint32, 0, len(buckets))
	for key := range buckets {
		e.l.keys = append(e.l.keys, key)
	}
	slices.Sort(e.l.keys)
	e.l.wide = make([]*bucket[uint32], len(e.l.keys))
	for i, key := range e.l.keys {
		e.l.wide[i] = buckets[key]
	}
	return nil
}

// rebuild returns a new bucket with the edits, which are for distinct prefixes.
func rebuild[K half](b *bucket[K], edits []edit[K], base int) (*bucket[K], error) {
	set := b.set(base)
	var added []span[K]
	for _, e := range edits {
		i, ok := slices.BinarySearchFunc(set, e.span, compare)
		if err := e.op.check(e.prefix, ok); err != nil {
			return nil, err
		}
		switch {
		case !ok:
			added = append(added, e.span)
		case e.op == opChange:
			set[i].site = e.site
		default:
			// Removed below, so that the set stays sorted for the next edit.
			set[i].site = 0
		}
	}
	set = slices.DeleteFunc(set, func(s span[K]) bool { return s.site == 0 })
	set = append(set, added...)
	slices.SortFunc(set, compare)
	return newBucket(set, base), nil
}
