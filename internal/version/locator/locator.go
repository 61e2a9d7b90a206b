// Package locator finds the site of a client by longest-prefix match on its IP
// address.
//
// A Locator is immutable. Apply returns a modified copy that shares all unmodified
// buckets with the original, so lookups do not wait while a new version is
// installed.
//
// An IPv4 bucket holds the 65,536 addresses with the same upper half, an IPv6
// bucket the /64 networks with the same upper 32 bits. Within a bucket,
// nested prefixes are flattened into disjoint spans, so a lookup is one binary
// search whatever the depth of nesting.
package locator

import (
	"encoding/binary"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// MaxIPv6PrefixBits is the length of the longest IPv6 prefix. All clients within
// a /64 network have the same site.
const MaxIPv6PrefixBits = 64

// maxSites bounds the number of sites that blocks refer to. Spans store a site as
// 16 bits, with 0 for none.
const maxSites = 1<<16 - 1

// Locator maps client addresses to sites. The zero Locator and a nil one are
// empty.
type Locator struct {
	pages4    [256]*page
	keys6     []uint32 // upper 32 bits of the IPv6 buckets, sorted
	buckets6  []*bucket[uint32]
	short6    []Block // IPv6 prefixes shorter than ipv6BucketBits, longest first
	siteNames []string
	siteIDs   map[string]uint16
	blocks    int
}

type page [256]packed

// Block assigns a site to the client addresses in a prefix.
type Block struct {
	Prefix netip.Prefix
	Site   string
}

// Change lists the differences between two Locators.
type Change struct {
	Added     []Block
	Changed   []Block
	Withdrawn []netip.Prefix
}

// BlockCount returns the number of blocks.
func (l *Locator) BlockCount() int {
	if l == nil {
		return 0
	}
	return l.blocks
}

// Find returns the site of the client address, or "" if no prefix contains it.
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
	page := l.pages4[a[0]]
	if page == nil {
		return ""
	}
	if id := page[a[1]].find(binary.BigEndian.Uint16(a[2:])); id != 0 {
		return l.siteNames[id-1]
	}
	return ""
}

func (l *Locator) find6(client netip.Addr) string {
	if len(l.keys6) == 0 && len(l.short6) == 0 {
		return ""
	}
	a := client.As16()
	if i, ok := slices.BinarySearch(l.keys6, binary.BigEndian.Uint32(a[:])); ok {
		if id := l.buckets6[i].find(binary.BigEndian.Uint32(a[4:])); id != 0 {
			return l.siteNames[id-1]
		}
	}
	for _, b := range l.short6 {
		if b.Prefix.Contains(client) {
			return b.Site
		}
	}
	return ""
}

// All returns an iterator over every prefix and its site, grouped by bucket.
func (l *Locator) All() iter.Seq2[netip.Prefix, string] {
	return func(yield func(netip.Prefix, string) bool) {
		if l == nil {
			return
		}
		for _, b := range l.short6 {
			if !yield(b.Prefix, b.Site) {
				return
			}
		}
		if !l.all4(yield) {
			return
		}
		for i, b := range l.buckets6 {
			for _, s := range b.prefixes(ipv6BucketBits) {
				if !yield(prefix6(l.keys6[i], s), l.siteNames[s.site-1]) {
					return
				}
			}
		}
	}
}

func (l *Locator) all4(yield func(netip.Prefix, string) bool) bool {
	for hi, page := range l.pages4 {
		if page == nil {
			continue
		}
		for lo := range page {
			upper := uint16(hi<<8 | lo)
			for _, s := range page[lo].unpack().prefixes(ipv4BucketBits) {
				p := prefix4(upper, s)
				// A prefix shorter than ipv4BucketBits is in several buckets.
				// Only the first of them yields it.
				if p.Bits() < ipv4BucketBits && p.Addr().As4() != [4]byte{byte(hi), byte(lo)} {
					continue
				}
				if !yield(p, l.siteNames[s.site-1]) {
					return false
				}
			}
		}
	}
	return true
}

// Apply returns a Locator with the change applied. It returns an error of kind
// Invalid if a prefix is added but present, changed or withdrawn but absent,
// listed twice, has bits set after its length, or is of an unsupported kind or
// length, or if there are too many sites.
func (l *Locator) Apply(c Change) (*Locator, error) {
	if l == nil {
		l = new(Locator)
	}
	next := &Locator{
		pages4: l.pages4, keys6: l.keys6, buckets6: l.buckets6, short6: l.short6,
		siteNames: slices.Clone(l.siteNames), siteIDs: maps.Clone(l.siteIDs), blocks: l.blocks,
	}
	if next.siteIDs == nil {
		next.siteIDs = make(map[string]uint16)
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

// siteID returns the number of the site, and assigns one to a new site.
func (l *Locator) siteID(site string) (uint16, error) {
	if id, ok := l.siteIDs[site]; ok {
		return id, nil
	}
	if len(l.siteNames) == maxSites {
		return 0, classifier.Invalid.New("block: more than %d sites", maxSites)
	}
	l.siteNames = append(l.siteNames, site)
	l.siteIDs[site] = uint16(len(l.siteNames))
	return l.siteIDs[site], nil
}
