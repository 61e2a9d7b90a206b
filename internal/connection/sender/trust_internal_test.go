package sender

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are lost one after the other on connections that
// upstreams forget after some idle time, and against a bound that outlasts that.
func TestTrust(t *testing.T) {
	now := time.Unix(1000, 0)
	var tr trust
	assert.Assert(t, tr.most(now) > time.Hour)
	tr.reduce(time.Second, now)
	assert.Equal(t, tr.most(now), 500*time.Millisecond)
	tr.reduce(400*time.Millisecond, now)
	assert.Equal(t, tr.most(now), 200*time.Millisecond)
	assert.Equal(t, tr.most(now.Add(trustDoubling)), 400*time.Millisecond)
	assert.Assert(t, tr.most(now.Add(time.Minute)) > time.Hour)
}

// Guards against one upstream that crashes and makes the host open connections to
// all of them.
func TestPanel(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		addresses int
		gap       time.Duration
		want      bool
	}{
		"one upstream":     {1, 0, false},
		"several":          {witnesses, 100 * time.Millisecond, true},
		"several, far off": {witnesses, witnessSpan, false},
	} {
		t.Run(name, func(t *testing.T) {
			var p panel
			agrees := false
			for i := range 2 * witnesses {
				agrees = p.agrees(fmt.Sprint(i%c.addresses), now.Add(time.Duration(i)*c.gap))
			}
			assert.Equal(t, agrees, c.want)
		})
	}
}
