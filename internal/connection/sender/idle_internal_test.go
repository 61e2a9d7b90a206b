package sender

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against losing one request after the other on connections that upstreams drop
// after some idle time, and against a limit that stays when the drops have ended.
func TestIdleLimitFallsAndRecovers(t *testing.T) {
	now := time.Unix(1000, 0)
	var l idleLimit
	assert.Assert(t, l.current(now) > time.Hour)
	l.reduce(time.Second, now)
	assert.Equal(t, l.current(now), 500*time.Millisecond)
	l.reduce(400*time.Millisecond, now)
	assert.Equal(t, l.current(now), 200*time.Millisecond)
	assert.Equal(t, l.current(now.Add(idleLimitDoublingTime)), 400*time.Millisecond)
	assert.Assert(t, l.current(now.Add(time.Minute)) > time.Hour)
}

// Guards against the crash of one upstream making the host open new connections to all
// upstreams.
func TestQuorumNeedsSeveralUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		addresses int
		gap       time.Duration
		want      bool
	}{
		"one upstream":           {1, 0, false},
		"several":                {quorumUpstreams, 100 * time.Millisecond, true},
		"several, too far apart": {quorumUpstreams, quorumWindow, false},
	} {
		t.Run(name, func(t *testing.T) {
			var q quorum
			reached := false
			for i := range 2 * quorumUpstreams {
				reached = q.reached(fmt.Sprint(i%c.addresses), now.Add(time.Duration(i)*c.gap))
			}
			assert.Equal(t, reached, c.want)
		})
	}
}
