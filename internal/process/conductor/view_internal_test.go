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

// Guards against lookups and limits that use an outdated view of the membership, and
// against a copy of the membership for each request.
func TestViewFollowsTheMembership(t *testing.T) {
	c := &Conductor{throttler: throttler.New("self", throttler.Limit{}, time.Now().Add(-time.Hour))}
	c.throttler.SetRecorded([]string{"self"})
	c.gossiper = gossiper.New(&framer.Member{Name: "self", Address: "self"}, nil, nil)
	c.gossiper.OnChange(c.memberChanged)
	merge := func(name string, incarnation uint64, state detector.State) {
		c.gossiper.MergeUpdates(&framer.Envelope{Members: []*framer.Member{
			{Name: name, Address: name, Incarnation: incarnation, State: uint32(state)},
		}})
	}
	assert.Equal(t, c.fleetSize(), 1)
	merge("a", 1, detector.Alive)
	merge("b", 1, detector.Alive)
	assert.Equal(t, len(c.liveMembers()), 2)
	assert.Equal(t, c.currentView(), c.currentView())
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
			merge("b", incarnation, detector.Alive)
			assert.Equal(t, len(c.liveMembers()), 2)
			merge("b", incarnation, state.state)
			assert.Equal(t, len(c.liveMembers()), state.live)
			assert.Equal(t, c.fleetSize(), state.fleet)
		})
	}
}
