package detector_test

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
)

func longNamedMember(i int) *framer.Member {
	at := fmt.Sprintf("10.%d.%d.%d:7443", i%58, i>>8, i&255)
	return &framer.Member{
		Name: fmt.Sprintf("region-%02d-zone-%d-host-%04d", i%58, i%4, i), Address: at, Caller: at, Operator: at,
		Region: fmt.Sprintf("region-%02d", i%58), Zone: fmt.Sprintf("region-%02d-zone-%d", i%58, i%4),
		Incarnation: uint64(1_700_000_000_000_000_000 + i), Version: 30_000_000, Ready: true,
	}
}

// fullStateView returns a Detector with all members of the list, its heap bytes, and
// how long it took to merge them from one full state sync.
func fullStateView(list []*framer.Member, now time.Time) (d *detector.Detector, heap uint64, joined time.Duration) {
	var before, after runtime.MemStats
	d = detector.New(longNamedMember(0), now)
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	d.MergeFullState("", list, now)
	joined = time.Since(start)
	d.TakeChanges()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(list)
	return d, after.HeapAlloc - before.HeapAlloc, joined
}

// BenchmarkMembers measures heap bytes and encoded bytes per member, and the time of
// the calls whose cost grows with the fleet size.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{128, 1000, 5500} {
		now := time.Unix(1, 0)
		list, wire := make([]*framer.Member, 0, size), 0
		for i := range size {
			list = append(list, longNamedMember(i))
			wire += proto.Size(list[i])
		}
		d, heap, joined := fullStateView(list, now)
		calls := map[string]func(){
			"updates": func() { d.Updates(8) }, "members": func() { d.Members() }, "neighbours": func() { d.Neighbours() },
			"version": func() { list[1].Version++; d.MergeUpdates(list[1:2], now) },
			"restart": func() { list[1].Incarnation++; d.MergeUpdates(list[1:2], now); d.TakeChanges() },
			// A new configuration version makes the record of every member pending.
			"updates after version": func() {
				for _, m := range list {
					m.Version++
				}
				d.MergeUpdates(list, now)
				d.Updates(8)
			},
		}
		for _, name := range slices.Sorted(maps.Keys(calls)) {
			b.Run(fmt.Sprintf("%d/%s", size, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					calls[name]()
				}
				b.ReportMetric(float64(heap)/float64(size), "heap-B/member")
				b.ReportMetric(float64(wire)/float64(size), "wire-B/member")
				b.ReportMetric(float64(joined.Microseconds()), "join-us")
			})
		}
		runtime.KeepAlive(d)
	}
}
