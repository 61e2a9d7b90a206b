package conductor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
)

// Guards against callers spread evenly over hosts of which most have a fifth of
// the others' processor: each host then uses each upstream so rarely that every
// request opens a connection.
func TestStrongest(t *testing.T) {
	for name, c := range map[string]struct {
		powers []uint32
		want   int
	}{
		"equal":              {[]uint32{320, 320, 320}, 3},
		"alone":              {[]uint32{160}, 1},
		"none":               {nil, 0},
		"few strong":         {[]uint32{160, 800, 160, 800, 160, 800, 160, 800, 160}, 4},
		"one strong":         {[]uint32{160, 800, 160, 160, 160}, 3},
		"half as strong":     {[]uint32{800, 400, 400, 400}, 4},
		"only weak are left": {[]uint32{160, 160, 160, 160}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var members []*framer.Member
			for i, p := range c.powers {
				members = append(members, &framer.Member{Name: fmt.Sprint(i), Power: p})
			}
			got := strongest(members)
			assert.Equal(t, len(got), c.want)
			for i := 1; i < len(got); i++ {
				assert.Assert(t, got[i].Power <= got[i-1].Power)
			}
		})
	}
}
