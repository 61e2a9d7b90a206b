package averager_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/request/averager"
)

func ExampleAverager() {
	now, a := time.Unix(1000, 0), averager.New()
	for range 5 {
		a.Observe(now, "shop", "north", 1.5)
	}
	fmt.Println(a.Mean(now, "shop", "north"))
	fmt.Println(a.Mean(now, "shop", "south"))
	// Output:
	// 1.5 true
	// 0 false
}

// Guards against a mean of a few reports, one that doesn't follow the load within some seconds,
// and one that stays without reports.
func TestMeanFollowsReports(t *testing.T) {
	now, a := time.Unix(1000, 0), averager.New()
	for range 3 {
		a.Observe(now, "s", "r", 2)
	}
	_, ok := a.Mean(now, "s", "r")
	assert.Equal(t, ok, false)
	for _, load := range []float64{2, 0.5} {
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			a.Observe(now, "s", "r", load)
		}
		mean, ok := a.Mean(now, "s", "r")
		assert.Assert(t, ok && mean > 0.95*load && mean < 1.1*load, "%v", mean)
	}
	_, ok = a.Mean(now.Add(3*time.Second), "s", "r")
	assert.Equal(t, ok, false)
}
