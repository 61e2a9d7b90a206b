// Package locator finds the site of a client by the longest prefix that holds
// its address.
//
// A Locator is immutable. Apply returns a changed one that shares all but the
// buckets that the change touches, so look-ups go on without a pause while
// versions follow each other.
//
// An IPv4 bucket holds the 65,536 addresses with the same upper half, an IPv6
// bucket the /64 networks with the same upper 32 bits. Within a bucket nested
// prefixes are flattened into spans, so that a look-up is one binary search
// however deep the nesting is.
package locator

import (
	"encoding/binary"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// MaxIPv6PrefixBits is the longest IPv6 prefix: clients within a /64 are not told apart.
const MaxIPv6PrefixBits = 64

// maxSites bounds the sites that blocks refer to; spans hold them in 16 bits.
const maxSites = 1<<16 - 1

// Locator maps client addresses to sites. The zero Locator and a nil one are
// empty.
type Locator struct {
	pages  [256]*page
	keys   []uint32 // upper 32 bits of the IPv6 buckets, sorted
	wide   []*bucket[uint32]
	short  []Block // IPv6 prefixes above the buckets, longest first
	names  []string
	ids    map[string]uint16
	blocks int
}

type page [256]packed

// Block is a prefix with its site.
type Block struct {
	Prefix netip.Prefix
	Site   string
}

// Change lists differences between two Locators.
type Change struct {
	Added     []Block
	Changed   []Block
	Withdrawn []netip.Prefix
}

// BlockCount returns the number of prefixes.
func (l *Locator) BlockCount() int {
	if l == nil {
		return 0
	}
	return l.blocks
}

// Find returns the site of the client, or "" if no prefix holds its address.
func (l *Locator) Find(client netip.Addr) string {
	client = client.Unmap()
	if l == nil {
		return ""
	}
	if client.Is4() {
		return l.find4(client.As4())
	}
	return l.find6(client)
}

func (l *Locator) find4(a [4]byte) string {
	page := l.pages[a[0]]
	if page == nil {
		return ""
	}
	if id := page[a[1]].find(binary.BigEndian.Uint16(a[2:])); id != 0 {
		return l.names[id-1]
	}
	return ""
}

func (l *Locator) find6(client netip.Addr) string {
	if len(l.keys) == 0 && len(l.short) == 0 {
		return ""
	}
	a := client.As16()
	if i, ok := slices.BinarySearch(l.keys, binary.BigEndian.Uint32(a[:])); ok {
		if id := l.wide[i].find(binary.BigEndian.Uint32(a[4:])); id != 0 {
			return l.names[id-1]
		}
	}
	for _, b := range l.short {
		if b.Prefix.Contains(client) {
			return b.Site
		}
	}
	return ""
}

// All returns every prefix with its site, grouped by bucket.
func (l *Locator) All() iter.Seq2[netip.Prefix, string] {
	return func(yield func(netip.Prefix, string) bool) {
		if l == nil {
			return
		}
		for _, b := range l.short {
			if !yield(b.Prefix, b.Site) {
				return
			}
		}
		if !l.all4(yield) {
			return
		}
		for i, b := range l.wide {
			for _, s := range b.set(base6) {
				if !yield(prefix6(l.keys[i], s), l.names[s.site-1]) {
					return
				}
			}
		}
	}
}

func (l *Locator) all4(yield func(netip.Prefix, string) bool) bool {
	for hi, page := range l.pages {
		if page == nil {
			continue
		}
		for lo := range page {
			upper := uint16(hi<<8 | lo)
			for _, s := range page[lo].unpack().set(base4) {
				p := prefix4(upper, s)
				// A prefix above the buckets is in many; its first one gives it.
				if p.Bits() < base4 && p.Addr().As4() != [4]byte{byte(hi), byte(lo)} {
					continue
				}
				if !yield(p, l.names[s.site-1]) {
					return false
				}
			}
		}
	}
	return true
}

// Apply returns the Locator with the differences. Prefixes that are added but
// present, or changed or withdrawn but absent, and prefixes with bits below
// their length are errors of kind Invalid.
func (l *Locator) Apply(c Change) (*Locator, error) {
	if l == nil {
		l = new(Locator)
	}
	next := &Locator{
		pages: l.pages, keys: l.keys, wide: l.wide, short: l.short,
		names: slices.Clone(l.names), ids: maps.Clone(l.ids), blocks: l.blocks,
	}
	if next.ids == nil {
		next.ids = make(map[string]uint16)
	}
	e := newEditor(next)
	for _, b := range c.Added {
		if err := e.add(b, opAdd); err != nil {
			return nil, err
		}
	}
	for _, b := range c.Changed {
		if err := e.add(b, opChange); err != nil {
			return nil, err
		}
	}
	for _, p := range c.Withdrawn {
		if err := e.add(Block{Prefix: p}, opWithdraw); err != nil {
			return nil, err
		}
	}
	if err := e.finish(); err != nil {
		return nil, err
	}
	next.blocks += len(c.Added) - len(c.Withdrawn)
	return next, nil
}

func (l *Locator) id(site string) (uint16, error) {
	if id, ok := l.ids[site]; ok {
		return id, nil
	}
	if len(l.names) == maxSites {
		return 0, classifier.Invalid.New("block: more than %d sites", maxSites)
	}
	l.names = append(l.names, site)
	l.ids[site] = uint16(len(l.names))
	return l.ids[site], nil
}
