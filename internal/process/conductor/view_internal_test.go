package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
)

// Guards against look-ups that name hosts by an old view of the membership, and
// against a copy of the whole membership for each request.
func TestViewFollowsTheMembership(t *testing.T) {
	c := &Conductor{throttler: throttler.New("self", throttler.Limit{}, time.Now().Add(-time.Hour))}
	c.gossiper = gossiper.New(&framer.Member{Name: "self", Address: "self"}, nil, nil)
	c.gossiper.OnChange(c.changed)
	tell := func(name string, incarnation uint64, state detector.State) {
		c.gossiper.MergeUpdates(&framer.Envelope{Members: []*framer.Member{
			{Name: name, Address: name, Incarnation: incarnation, State: uint32(state)},
		}})
	}
	assert.Equal(t, c.fleet(), 1)
	tell("a", 1, detector.Alive)
	tell("b", 1, detector.Alive)
	assert.Equal(t, len(c.live()), 2)
	assert.Equal(t, c.members(), c.members())
	for name, state := range map[string]struct {
		state       detector.State
		live, fleet int
	}{
		"suspect may still send": {detector.Suspect, 1, 3},
		"dead may still send":    {detector.Dead, 1, 3},
		"left sends nothing":     {detector.Left, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			incarnation := uint64(time.Now().UnixNano())
			tell("b", incarnation, detector.Alive)
			assert.Equal(t, len(c.live()), 2)
			tell("b", incarnation, state.state)
			assert.Equal(t, len(c.live()), state.live)
			assert.Equal(t, c.fleet(), state.fleet)
		})
	}
}
