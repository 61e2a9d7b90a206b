package finder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/request/finder"
)

var now = time.Unix(10_000, 0)

func hosts(regions, zones, perZone int) []finder.Host {
	var out []finder.Host
	for r := range regions {
		for z := range zones {
			for i := range perZone {
				out = append(out, finder.Host{
					Name: fmt.Sprintf("r%d-z%d-%d", r, z, i), Region: fmt.Sprint("r", r),
					Zone: fmt.Sprintf("r%d-z%d", r, z), ReadySince: now.Add(-time.Hour),
				})
			}
		}
	}
	return out
}

func client(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// Guards against responses without hosts of other zones and regions, responses
// that name a host twice, and clients that all get the same first host.
func TestOrderAndSpread(t *testing.T) {
	var f finder.Finder
	f.Install(hosts(3, 2, 2))
	first := make(map[string]int)
	for i := range 4000 {
		got := f.Find(nil, client(i), "r1-z0", "r1", now)
		assert.Equal(t, len(got), finder.MaxHosts)
		assert.Equal(t, got[0].Zone, "r1-z0")
		assert.Equal(t, got[1].Zone, "r1-z0")
		assert.Equal(t, got[2].Zone, "r1-z1")
		assert.Assert(t, got[5].Region != "r1")
		first[got[0].Name]++
		seen := make(map[string]bool)
		for _, h := range got {
			assert.Assert(t, !seen[h.Name])
			seen[h.Name] = true
		}
	}
	assert.Equal(t, len(first), 2)
	for name, n := range first {
		assert.Assert(t, n > 1800, "%s is first for %d of 4000 clients", name, n)
	}
}

// Guards against a new host that receives its full load at once, and against
// clients without a response when all hosts are new.
func TestRamp(t *testing.T) {
	list := hosts(1, 1, 4)
	list[0].ReadySince = now
	var f finder.Finder
	f.Install(list)
	named := func(at time.Time) (n int) {
		for i := range 4000 {
			for _, h := range f.Find(nil, client(i), "r0-z0", "r0", at) {
				if h.Name == list[0].Name {
					n++
				}
			}
		}
		return n
	}
	early, half, late := named(now), named(now.Add(15*time.Second)), named(now.Add(30*time.Second))
	assert.Assert(t, early > 400 && early < 600, "%d", early)
	assert.Assert(t, half > 2000 && half < 2500, "%d", half)
	assert.Equal(t, late, 4000)
	for i := range list {
		list[i].ReadySince = now
	}
	f.Install(list)
	for i := range 4000 {
		assert.Assert(t, len(f.Find(nil, client(i), "r0-z0", "r0", now)) > 0)
	}
}

func BenchmarkFind(b *testing.B) {
	for name, list := range map[string][]finder.Host{"hosts=12": hosts(3, 2, 2), "hosts=5568": hosts(58, 4, 24)} {
		b.Run(name, func(b *testing.B) {
			var f finder.Finder
			f.Install(list)
			dst := make([]finder.Host, 0, finder.MaxHosts)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				f.Find(dst, client(i), "r1-z0", "r1", now)
				i++
			}
		})
	}
}
