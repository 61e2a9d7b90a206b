package holder_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func next(t *testing.T, p *planner.Plan) (*planner.Plan, holder.Entry) {
	t.Helper()
	name := fmt.Sprint("c", p.Version())
	n := &noter.Note{ID: name, Base: p.Version(), Added: noter.Items{ClientAccounts: []noter.ClientAccount{{Name: name, Hold: "stay"}}}}
	q, err := p.Apply(n)
	assert.NilError(t, err)
	raw, err := n.Encode()
	assert.NilError(t, err)
	return q, holder.Entry{Version: q.Version(), Previous: p.Chain(), Chain: q.Chain(), Note: raw}
}

// Guards against a version that goes down, against one that is older than what
// a peer has, and against a false claim that blocks installations for good.
func TestInstallRefusesOldVersions(t *testing.T) {
	h := new(holder.Holder)
	var installed []uint64
	h.OnInstall(func(p *planner.Plan) { installed = append(installed, p.Version()) })
	v1, e1 := next(t, h.Plan())
	v2, e2 := next(t, v1)
	v3, e3 := next(t, v2)
	assert.NilError(t, h.Install(v1, e1))
	h.Observe(3)
	assert.Equal(t, classifier.Of(h.Install(v2, e2)), classifier.Conflict)
	h.Settle(3, 2)
	assert.NilError(t, h.Install(v2, e2))
	assert.NilError(t, h.Install(v3, e3))
	assert.Equal(t, classifier.Of(h.Install(v2, e2)), classifier.Conflict)
	assert.Equal(t, classifier.Of(h.Install(v3, e3)), classifier.Conflict)
	assert.DeepEqual(t, installed, []uint64{1, 2, 3})
	list, ok := h.After(1, v1.Chain(), 1)
	assert.Assert(t, ok)
	assert.Equal(t, list[0].Version, uint64(2))
	_, ok = h.After(1, v2.Chain(), 1)
	assert.Assert(t, !ok, "a fork must not be continued")
}

// Guards against a history that grows without bound, and against notes that
// are kept over a gap.
func TestHistoryIsBounded(t *testing.T) {
	h := new(holder.Holder)
	p, e := h.Plan(), holder.Entry{}
	for range 1100 {
		p, e = next(t, p)
		assert.NilError(t, h.Install(p, e))
	}
	assert.Equal(t, h.Count(), 1000)
	p, _ = next(t, p)
	p, e = next(t, p)
	assert.NilError(t, h.Install(p, e))
	assert.Equal(t, h.Count(), 1)
	_, ok := h.Entry(p.Version() - 1)
	assert.Assert(t, !ok)
}

// Guards against a damaged copy of a note that is applied.
func TestApplyRefusesDamagedEntry(t *testing.T) {
	v1, e := next(t, new(planner.Plan))
	e.Note = append([]byte(" "), e.Note...)
	_, err := e.Apply(new(planner.Plan))
	assert.Equal(t, classifier.Of(err), classifier.Invalid)
	_, err = e.Apply(v1)
	assert.Equal(t, classifier.Of(err), classifier.Invalid)
}
