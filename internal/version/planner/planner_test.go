package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func basePlan(t *testing.T) *planner.Plan {
	up := func(name, region string) noter.Upstream {
		return noter.Upstream{
			Name: name, Service: "s", Region: region, Zone: region + "-a",
			Address: "127.0.0.1:1" + name[len(name)-1:], Slots: 5, Connections: 9,
		}
	}
	plan, err := new(planner.Plan).Apply(&noter.Note{ID: "first", Added: noter.Items{
		Regions: []noter.Region{{Name: "a", Zones: []string{"a-a"}, Slots: 9}, {Name: "b", Zones: []string{"b-a"}, Slots: 9}},
		Links:   []noter.Link{{From: "a", To: "b", Rate: 1}, {From: "b", To: "a", Rate: 1}},
		Services: []noter.Service{{
			Name: "s", Class: "lookup", Shares: map[string]int{"a": 1, "b": 3},
			Cap: noter.Cap{Fraction: 1, Every: 1}, Timeout: 1,
		}},
		Upstreams: []noter.Upstream{up("u1", "a"), up("u2", "a"), up("u3", "b")},
	}})
	assert.NilError(t, err)
	return plan
}

// Guards against slots that move to another share when an upstream is added or
// withdrawn: two hosts on consecutive versions would then both use them.
func TestSlotOffsetsStayStable(t *testing.T) {
	plan := basePlan(t)
	assert.Equal(t, plan.Upstream("u1").SlotOffset(), 0)
	assert.Equal(t, plan.Upstream("u2").SlotOffset(), 5)
	assert.Equal(t, plan.Upstream("u3").SlotOffset(), 0, "offsets are assigned per region")
	next, err := plan.Apply(&noter.Note{ID: "second", Base: 1, Withdrawn: noter.Names{Upstreams: []string{"u1"}}})
	assert.NilError(t, err)
	assert.Equal(t, next.Upstream("u2").SlotOffset(), 5)
	raw, err := next.Encode()
	assert.NilError(t, err)
	read, err := planner.Decode(raw)
	assert.NilError(t, err)
	assert.Equal(t, read.Upstream("u2").SlotOffset(), 5)
	assert.Equal(t, read.Chain(), next.Chain())
}

// Guards against accepting notes that leave a service without an upstream in one
// of its regions, or that refer to, or drain, an undefined item.
func TestInvalidNotesAreRejected(t *testing.T) {
	tests := map[string]struct {
		note noter.Note
		want string
	}{
		"service without an upstream": {noter.Note{Withdrawn: noter.Names{Upstreams: []string{"u3"}}}, `region "b" has a weight but no upstream`},
		"region in use":               {noter.Note{Withdrawn: noter.Names{Regions: []string{"b"}}}, `region "b" is not defined`},
		"link missing":                {noter.Note{Withdrawn: noter.Names{Links: []string{"a/b"}}}, `link "a/b" is not defined`},
		"drain of nothing":            {noter.Note{Added: noter.Items{Drains: []noter.Drain{{Kind: "upstream", Item: "u9"}}}}, `upstream "u9" is not defined`},
		"gone upstream":               {noter.Note{Added: noter.Items{Drains: []noter.Drain{{Kind: "upstream", Item: "u1", Gone: true}}}}, `"gone" is for hosts only`},
		"added twice":                 {noter.Note{Added: noter.Items{Regions: []noter.Region{{Name: "a", Zones: []string{"x"}, Slots: 1}}}}, `already defined`},
		"withdrawn and changed":       {noter.Note{Changed: noter.Items{Links: []noter.Link{{From: "a", To: "b", Rate: 2}}}, Withdrawn: noter.Names{Links: []string{"a/b"}}}, "listed twice"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.note.ID, test.note.Base = name, 1
			_, err := basePlan(t).Apply(&test.note)
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, classifier.Of(err), classifier.Invalid)
		})
	}
}

// Guards against a drain that is missing after encoding and decoding a version,
// or that cannot be withdrawn.
func TestDrainSurvivesSnapshotAndNextVersion(t *testing.T) {
	plan, err := basePlan(t).Apply(&noter.Note{ID: "d", Base: 1, Added: noter.Items{Drains: []noter.Drain{{Kind: "upstream", Item: "u1"}}}})
	assert.NilError(t, err)
	raw, err := plan.Encode()
	assert.NilError(t, err)
	read, err := planner.Decode(raw)
	assert.NilError(t, err)
	assert.Assert(t, read.Upstream("u1").Drained() && !read.Upstream("u2").Drained())
	next, err := read.Apply(&noter.Note{ID: "e", Base: 2, Withdrawn: noter.Names{Drains: []string{"upstream/u1"}}})
	assert.NilError(t, err)
	assert.Assert(t, !next.Upstream("u1").Drained())
}
