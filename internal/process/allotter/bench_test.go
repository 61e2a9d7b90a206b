package allotter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Bytes of a ledger row, and the time to read it. At most S holders have a
// share.
func BenchmarkRow(b *testing.B) {
	for _, hosts := range []int{12, 24, 96, 1000, 4096} {
		r := Row{Counter: 1_000_000}
		for i := range hosts {
			h := Holder{
				Address: fmt.Sprintf("10.%d.%d.%d:7443", i%58, i>>8, i&255), Host: fmt.Sprintf("region-%02d-zone-%d-host-%04d", i%58, i%4, i),
				Incarnation: 1_700_000_000_000_000_000, Renewal: 1_000_000, Seen: 1_000_000,
			}
			if i < S {
				h.Shares = Of(i)
			}
			r.Holders = append(r.Holders, h)
		}
		raw, err := r.Encode()
		assert.NilError(b, err)
		b.Run(fmt.Sprint("holders=", hosts), func(b *testing.B) {
			for b.Loop() {
				_, err := Decode(raw)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(raw)), "row-B")
		})
	}
}
