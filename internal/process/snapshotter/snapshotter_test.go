package snapshotter

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// objects is an in-memory object store. If cut is set, it stores only the first
// half of each object.
type objects struct {
	m   map[string][]byte
	cut bool
}

func (o *objects) Load(_ context.Context, k string) ([]byte, error) {
	if v, ok := o.m[k]; ok {
		return v, nil
	}
	return nil, classifier.NotFound.New("%s", k)
}

func (o *objects) Save(_ context.Context, k string, v []byte) error {
	if o.cut {
		v = v[:len(v)/2]
	}
	o.m[k] = slices.Clone(v)
	return nil
}

func (o *objects) Remove(_ context.Context, k string) error {
	delete(o.m, k)
	return nil
}

func (o *objects) Objects(_ context.Context, prefix string) ([]string, error) {
	var keys []string
	for k := range o.m {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	return keys, nil
}

// versions returns plans 1 to n, each with one more client account than the last.
func versions(tb testing.TB, n int) []*planner.Plan {
	tb.Helper()
	p, list := new(planner.Plan), []*planner.Plan(nil)
	for i := range n {
		c := noter.ClientAccount{Name: fmt.Sprint("c", i), Hold: "stay"}
		next, err := p.Apply(&noter.Note{ID: c.Name, Base: p.Version(), Added: noter.Items{ClientAccounts: []noter.ClientAccount{c}}})
		assert.NilError(tb, err)
		p, list = next, append(list, next)
	}
	return list
}

// Guards against using a damaged snapshot, and against removing undamaged ones
// when the new one is damaged.
func TestDamagedSnapshotIsSkipped(t *testing.T) {
	store := &objects{m: make(map[string][]byte)}
	s := New(store)
	plans := versions(t, 6)
	for _, p := range plans[:5] {
		assert.NilError(t, s.Save(t.Context(), p))
	}
	assert.Equal(t, len(store.m), retainedSnapshots)
	store.cut = true
	assert.Equal(t, classifier.Of(s.Save(t.Context(), plans[5])), classifier.StoreDown)
	assert.Equal(t, len(store.m), retainedSnapshots)
	last := store.m[key(5, plans[4].Chain())]
	last[len(last)-3] ^= 1
	p, err := s.Newest(t.Context(), 9)
	assert.NilError(t, err)
	assert.Equal(t, p.Chain(), plans[3].Chain())
	_, err = s.Newest(t.Context(), 2)
	assert.Equal(t, classifier.Of(err), classifier.NotFound)
}

// Guards against a snapshot that several hosts or no host writes.
func TestExactlyOneHostWritesSnapshot(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	for version := uint64(VersionsPerSnapshot); version < 20*VersionsPerSnapshot; version += VersionsPerSnapshot {
		chosen := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return !IsWriter(version, m, members) })
		assert.Equal(t, len(chosen), 1)
	}
}

// Guards against a host that never installs the multiple of 64 while it catches up
// and therefore writes no snapshot.
func TestRunWritesSnapshotAfterSkippedMultiple(t *testing.T) {
	store := &objects{m: make(map[string][]byte)}
	plans := versions(t, 130)
	installed := make(chan *planner.Plan)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		New(store).Run(ctx, installed, "a", func() []string { return []string{"a"} }, func(err error) { t.Error(err) })
	}()
	for _, i := range []int{0, 62, 65, 66, 129} {
		installed <- plans[i]
	}
	installed <- plans[129]
	cancel()
	<-done
	assert.Equal(t, len(store.m), 2)
	assert.Assert(t, store.m[key(66, plans[65].Chain())] != nil)
}

// planWithBlocks returns a version with the given number of client blocks.
func planWithBlocks(tb testing.TB, blocks int) *planner.Plan {
	tb.Helper()
	n := &noter.Note{ID: "large", Added: noter.Items{
		Regions: []noter.Region{{Name: "r", Zones: []string{"z"}, Slots: 1}},
		Sites:   []noter.Site{{Name: "s", Zone: "z"}},
	}}
	for i := range blocks {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 32)
		n.Added.Blocks = append(n.Added.Blocks, noter.Block{Prefix: prefix, Site: "s"})
	}
	p, err := new(planner.Plan).Apply(n)
	assert.NilError(tb, err)
	return p
}

// Guards against a transfer that mixes two versions, accepts a modified part or
// never completes.
func TestTransferRejectsDamagedOrMixedParts(t *testing.T) {
	p := planWithBlocks(t, 120_000)
	var c Splitter
	var a Assembler
	fetch := func(change bool) (*planner.Plan, error) {
		for range 100 {
			part, err := c.Part(p, a.Version(), a.Offset())
			assert.NilError(t, err)
			if change && part.Offset > 0 {
				part.Part = slices.Clone(part.Part)
				part.Part[7] ^= 1
			}
			if got, err := a.Add(part); got != nil || err != nil {
				return got, err
			}
		}
		return nil, nil
	}
	got, err := fetch(false)
	assert.NilError(t, err)
	assert.Equal(t, got.Chain(), p.Chain())
	assert.Assert(t, len(c.content) > maxPartBytes, "%d bytes", len(c.content))
	_, err = fetch(true)
	assert.Equal(t, classifier.Of(err), classifier.Invalid)
	first, err := c.Part(p, 0, 0)
	assert.NilError(t, err)
	_, err = a.Add(first)
	assert.NilError(t, err)
	other, err := c.Part(planWithBlocks(t, 10), 99, a.Offset())
	assert.NilError(t, err)
	assert.Equal(t, other.Offset, uint64(0), "another version starts from its first part")
	got, err = a.Add(other)
	assert.NilError(t, err)
	assert.Equal(t, got.Version(), uint64(1))
}
