package surveyor_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/surveyor"
)

func serviceTime(string) time.Duration { return 100 * time.Millisecond }

// generate counts requests for 20 s and calls Tick every 250 ms.
func generate(s *surveyor.Surveyor, now time.Time, perTick int) {
	for i := 1; i <= 80; i++ {
		for range perTick {
			s.CountRequest("s")
		}
		s.Tick(now.Add(time.Duration(i)*250*time.Millisecond), serviceTime)
	}
}

// Guards against traffic plans that follow the demand of a single host. The demand of the
// hosts of a region is counted once each and sent to other regions as a sum.
func TestDemandIsSummedByRegion(t *testing.T) {
	now := time.Now()
	end := now.Add(20 * time.Second)
	var hosts []*surveyor.Surveyor
	for i, region := range []string{"a", "a", "a", "b"} {
		s := surveyor.New(fmt.Sprint(i), region, now)
		generate(s, now, 25) // 100 a second, 10 slots
		hosts = append(hosts, s)
	}
	sum, remote := hosts[0], hosts[3]
	for _, h := range hosts[1:3] {
		sum.Merge(h.Demands(false, end), end)
	}
	for range 2 { // a repeated message adds nothing
		remote.Merge(sum.Demands(true, end), end)
	}
	hosts[1].Merge(sum.Demands(true, end), end)
	regions := []string{"a", "b"}
	for name, got := range map[string][]float64{
		"sums the region": sum.BusySlots("s", regions, true), "other region": remote.BusySlots("s", regions, true), "gets the sum": hosts[1].BusySlots("s", regions, false),
	} {
		assert.Assert(t, math.Abs(got[0]-30) < 1, "%s: %v", name, got)
	}
	assert.Assert(t, math.Abs(remote.BusySlots("s", regions, true)[1]-10) < 1)

	// The demand of a region without updates expires.
	remote.Tick(end.Add(5*time.Second), serviceTime)
	assert.Equal(t, remote.BusySlots("s", regions, true)[0], 0.0)
}

// Guards against an invalid demand of one host, such as NaN, that spreads to the traffic
// plans of all.
func TestInvalidDemandIsIgnored(t *testing.T) {
	now := time.Now()
	for name, busy := range map[string]float32{
		"no number": float32(math.NaN()), "infinite": float32(math.Inf(1)), "negative": -1, "too large": 1e9,
	} {
		t.Run(name, func(t *testing.T) {
			s := surveyor.New("0", "a", now)
			s.Merge([]*framer.Demand{
				{Host: "1", Region: "a", Counter: 1, Services: []string{"s"}, Busy: []float32{busy}},
				{Host: "2", Region: "a", Counter: 1, Services: []string{"s"}, Busy: []float32{3}},
				{Host: "3", Region: "a", Counter: 1, Services: []string{"s", "t"}, Busy: []float32{3}},
			}, now)
			assert.Equal(t, s.BusySlots("s", []string{"a"}, true)[0], 3.0)
		})
	}
}
