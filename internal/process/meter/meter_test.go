package meter_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/meter"
)

// Guards against counters that docs/metrics.md lacks or describes in other words, and
// against rows of counters that don't exist.
func TestMetricsPageListsCounters(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/metrics.md")
	assert.NilError(t, err)
	for _, c := range meter.Counters() {
		row := fmt.Sprintf("| `%s` | %s |", c, c.Meaning())
		assert.Check(t, strings.Contains(string(raw), row), "docs/metrics.md lacks: %s", row)
	}
	assert.Equal(t, strings.Count(string(raw), "\n| `")-2, len(meter.Counters()))
}

// Guards against values that are lost when the histogram shards are merged, and
// against variables that /debug/vars lacks.
func TestServeHTTPShowsAllValues(t *testing.T) {
	m := meter.New()
	m.Add(meter.Requests, 3)
	m.CountRefusal("overloaded")
	for i := range 1000 {
		m.ObserveLatency(meter.Series{Service: "catalog", Class: "lookup"}, time.Duration(i)*time.Millisecond)
	}
	m.ObserveDrain(time.Second)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var got struct {
		Requests int64
		Refusals map[string]int64
		Latency  map[string]meter.Summary
		Drain    meter.Summary
		Memstats map[string]any
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, got.Requests, int64(3))
	assert.Equal(t, got.Refusals["overloaded"], int64(1))
	s := got.Latency["catalog/lookup/"]
	assert.Equal(t, s.Count, int64(1000))
	assert.Assert(t, s.P50 > 490_000 && s.P50 < 510_000, "%d", s.P50)
	assert.Equal(t, got.Drain.Count, int64(1))
	assert.Assert(t, len(got.Memstats) > 0)
}

func BenchmarkObserve(b *testing.B) {
	m := meter.New()
	s := meter.Series{Service: "catalog", Class: "lookup", ClientAccount: "c"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.ObserveLatency(s, time.Millisecond)
		}
	})
}
