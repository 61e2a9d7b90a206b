package sender

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are lost one after the other on connections that
// upstreams forget after some idle time, and against a bound that outlasts that.
func TestIdleBound(t *testing.T) {
	now := time.Unix(1000, 0)
	var b idleBound
	assert.Assert(t, b.most(now) > time.Hour)
	b.reduce(time.Second, now)
	assert.Equal(t, b.most(now), 500*time.Millisecond)
	b.reduce(400*time.Millisecond, now)
	assert.Equal(t, b.most(now), 200*time.Millisecond)
	assert.Equal(t, b.most(now.Add(idleDoubling)), 400*time.Millisecond)
	assert.Assert(t, b.most(now.Add(time.Minute)) > time.Hour)
}

// Guards against one upstream that crashes and makes the host open connections to
// all of them.
func TestQuorum(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		addresses int
		gap       time.Duration
		want      bool
	}{
		"one upstream":     {1, 0, false},
		"several":          {quorumSize, 100 * time.Millisecond, true},
		"several, far off": {quorumSize, quorumSpan, false},
	} {
		t.Run(name, func(t *testing.T) {
			var q quorum
			reached := false
			for i := range 2 * quorumSize {
				reached = q.reached(fmt.Sprint(i%c.addresses), now.Add(time.Duration(i)*c.gap))
			}
			assert.Equal(t, reached, c.want)
		})
	}
}
