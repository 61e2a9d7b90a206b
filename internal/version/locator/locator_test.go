package locator_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/locator"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func randomPrefix(rng *rand.Rand) netip.Prefix {
	if rng.IntN(3) == 0 {
		var a [16]byte
		a[0], a[1], a[2], a[5], a[7] = 0x20, 0x01, byte(rng.IntN(2)), byte(rng.IntN(4)), byte(rng.IntN(4))
		return netip.PrefixFrom(netip.AddrFrom16(a), 8+rng.IntN(57)).Masked()
	}
	var a [4]byte
	a[0], a[1], a[2], a[3] = 10, byte(rng.IntN(3)), byte(rng.IntN(4)<<6), byte(rng.IntN(4)<<6)
	return netip.PrefixFrom(netip.AddrFrom4(a), 8+rng.IntN(25)).Masked()
}

func randomAddr(rng *rand.Rand) netip.Addr {
	if rng.IntN(3) == 0 {
		var a [16]byte
		a[0], a[1], a[2], a[5], a[7], a[15] = 0x20, 0x01, byte(rng.IntN(2)), byte(rng.IntN(5)), byte(rng.IntN(5)), 1
		return netip.AddrFrom16(a)
	}
	return netip.AddrFrom4([4]byte{10, byte(rng.IntN(4)), byte(rng.IntN(256)), byte(rng.IntN(256))})
}

func longestMatch(model map[netip.Prefix]string, a netip.Addr) string {
	best, site := -1, ""
	for p, s := range model {
		if p.Contains(a) && p.Bits() > best {
			best, site = p.Bits(), s
		}
	}
	return site
}

// Guards against wrong sites after nested prefixes are added, changed and
// withdrawn in any order, and against prefixes that All does not return. The
// expected sites come from a linear scan of a map.
func TestFindMatchesLinearScan(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	model := make(map[netip.Prefix]string)
	l := new(locator.Locator)
	for round := range 300 {
		var c locator.Change
		seen := make(map[netip.Prefix]bool)
		for range 1 + rng.IntN(6) {
			p := randomPrefix(rng)
			if seen[p] {
				continue
			}
			seen[p] = true
			site := fmt.Sprint("site-", rng.IntN(50))
			_, present := model[p]
			switch {
			case !present:
				c.Added = append(c.Added, locator.Block{Prefix: p, Site: site})
				model[p] = site
			case rng.IntN(2) == 0:
				c.Changed = append(c.Changed, locator.Block{Prefix: p, Site: site})
				model[p] = site
			default:
				c.Withdrawn = append(c.Withdrawn, p)
				delete(model, p)
			}
		}
		next, err := l.Apply(c)
		assert.NilError(t, err)
		l = next
		for range 100 {
			a := randomAddr(rng)
			assert.Equal(t, l.Find(a), longestMatch(model, a), "round %d, %v", round, a)
		}
		assert.Equal(t, l.BlockCount(), len(model))
		n := 0
		for p, site := range l.All() {
			assert.Equal(t, model[p], site, "%v", p)
			n++
		}
		assert.Equal(t, n, len(model))
	}
}

// Guards against accepting an invalid change, and against a rejected change that
// modifies the original Locator.
func TestInvalidChangesAreRejected(t *testing.T) {
	p := netip.MustParsePrefix("10.0.0.0/24")
	q := netip.MustParsePrefix("2001:db8::/40")
	short := netip.MustParsePrefix("2001::/16")
	at := func(p netip.Prefix) []locator.Block { return []locator.Block{{Prefix: p, Site: "s"}} }
	l, err := new(locator.Locator).Apply(locator.Change{Added: append(at(p), append(at(q), at(short)...)...)})
	assert.NilError(t, err)
	tests := map[string]locator.Change{
		"added twice":       {Added: at(p)},
		"added twice v6":    {Added: at(q)},
		"added twice short": {Added: at(short)},
		"changed absent":    {Changed: at(netip.MustParsePrefix("10.0.0.0/25"))},
		"withdrawn absent":  {Withdrawn: []netip.Prefix{netip.MustParsePrefix("2001:db8::/48")}},
		"same twice":        {Changed: at(p), Withdrawn: []netip.Prefix{p}},
		"host bits":         {Added: at(netip.MustParsePrefix("10.0.1.1/24"))},
		"too long":          {Added: at(netip.MustParsePrefix("2001:db8::/65"))},
		"mapped":            {Added: at(netip.MustParsePrefix("::ffff:10.0.0.0/104"))},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := l.Apply(c)
			assert.Equal(t, classifier.Of(err), classifier.Invalid)
			assert.Equal(t, l.Find(p.Addr()), "s")
		})
	}
}

// targetLocator builds a Locator of the size that the product must support: 1.7
// million blocks, most of them /24, in 2,400 sites.
func targetLocator() *locator.Locator {
	rng := rand.New(rand.NewPCG(5, 6))
	var c locator.Change
	seen := make(map[netip.Prefix]bool)
	for len(c.Added) < 1_700_000 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], rng.Uint32())
		bits := 24
		if rng.IntN(10) == 0 {
			bits = 16 + rng.IntN(12)
		}
		p := netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
		if !seen[p] {
			seen[p] = true
			c.Added = append(c.Added, locator.Block{Prefix: p, Site: fmt.Sprint("site-", rng.IntN(2400))})
		}
	}
	l, err := new(locator.Locator).Apply(c)
	if err != nil {
		panic(err)
	}
	return l
}

// The number of distinct clients determines how much of the table stays in the
// CPU caches.
func BenchmarkFind(b *testing.B) {
	l := targetLocator()
	for _, clients := range []int{1 << 10, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			addrs := make([]netip.Addr, clients)
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range addrs {
				var a [4]byte
				binary.BigEndian.PutUint32(a[:], rng.Uint32())
				addrs[i] = netip.AddrFrom4(a)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				l.Find(addrs[i&(clients-1)])
				i++
			}
		})
	}
}

func BenchmarkApplyOneBlock(b *testing.B) {
	l := targetLocator()
	p := netip.MustParsePrefix("10.1.2.0/26")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Apply(locator.Change{Added: []locator.Block{{Prefix: p, Site: "site-1"}}}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := targetLocator()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.BlockCount()), "B/block")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	runtime.KeepAlive(l)
}
