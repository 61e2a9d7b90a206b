package snapshotter

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// fleetPlan returns a version with the given number of upstreams, spread over
// three regions.
func fleetPlan(b *testing.B, upstreams int) *planner.Plan {
	b.Helper()
	n := &noter.Note{ID: "first"}
	regions := []string{"r0", "r1", "r2"}
	for _, r := range regions {
		n.Added.Regions = append(n.Added.Regions, noter.Region{Name: r, Zones: []string{r + "-a"}, Slots: 1000})
		for _, to := range regions {
			if to != r {
				n.Added.Links = append(n.Added.Links, noter.Link{From: r, To: to, Rate: 5e8})
			}
		}
	}
	n.Added.Services = []noter.Service{{
		Name: "s", Class: "lookup", Shares: map[string]int{"r0": 1, "r1": 1, "r2": 1},
		Cap: noter.Cap{Fraction: 0.1, Every: 1e9}, Timeout: 1e9,
	}}
	for i := range upstreams {
		r := regions[i%3]
		n.Added.Upstreams = append(n.Added.Upstreams, noter.Upstream{
			Name: fmt.Sprint("u", i), Service: "s", Region: r, Zone: r + "-a",
			Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), Slots: 6, Connections: 330,
		})
	}
	p, err := new(planner.Plan).Apply(n)
	assert.NilError(b, err)
	return p
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000} {
		p := fleetPlan(b, size)
		change := &noter.Note{ID: "next", Base: 1, Added: noter.Items{ClientAccounts: []noter.ClientAccount{{Name: "c", Hold: "stay"}}}}
		content, err := Encode(p)
		assert.NilError(b, err)
		for name, f := range map[string]func() error{
			"apply":  func() error { _, err := p.Apply(change); return err },
			"encode": func() error { _, err := Encode(p); return err },
			"decode": func() error { _, err := Decode(content); return err },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				for b.Loop() {
					assert.NilError(b, f())
				}
				b.ReportMetric(float64(len(content)), "snapshot-bytes")
			})
		}
	}
}

// Reports the heap size of a plan, the size of its snapshot and the memory
// allocated by decoding it. The differences between sizes give the cost per item.
func BenchmarkItem(b *testing.B) {
	for _, size := range []int{3, 2400, 24_000, 96_000, 1_700_000} {
		for _, kind := range []string{"upstream", "site", "block"} {
			if size > 100_000 && kind != "block" {
				continue
			}
			b.Run(fmt.Sprintf("%s/%d", kind, size), func(b *testing.B) {
				b.ReportAllocs()
				var p *planner.Plan
				var before, after runtime.MemStats
				// The pooled buffers of encoding/json survive one collection.
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&before)
				p = itemPlan(b, kind, size)
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				content, err := Encode(p)
				assert.NilError(b, err)
				for b.Loop() {
					_, err := Decode(content)
					assert.NilError(b, err)
				}
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "plan-heap-B")
				b.ReportMetric(float64(len(content)), "snapshot-B")
				runtime.KeepAlive(p)
			})
		}
	}
}

func itemPlan(b *testing.B, kind string, size int) *planner.Plan {
	b.Helper()
	if kind == "upstream" {
		return fleetPlan(b, size)
	}
	n := &noter.Note{ID: "second", Base: 1}
	for i := range size {
		if kind == "site" || i == 0 {
			n.Added.Sites = append(n.Added.Sites, noter.Site{Name: fmt.Sprint("site-", i), Zone: "r0-a"})
		}
		if kind == "block" {
			a := netip.AddrFrom4([4]byte{byte(16 + i>>16), byte(i >> 8), byte(i), 0})
			n.Added.Blocks = append(n.Added.Blocks, noter.Block{Prefix: netip.PrefixFrom(a, 24), Site: "site-0"})
		}
	}
	p, err := fleetPlan(b, 3).Apply(n)
	assert.NilError(b, err)
	return p
}
