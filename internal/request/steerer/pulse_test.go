package steerer_test

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// pulse is a process that stands still at chosen moments.
type pulse struct {
	asked atomic.Int64
	stand func(asked int64) bool // before the n-th time that the epoch is asked for
	epoch atomic.Uint64
	await func()
}

func (p *pulse) Epoch() uint64 {
	if p.stand != nil && p.stand(p.asked.Add(1)) {
		p.epoch.Add(1)
	}
	return p.epoch.Load()
}

func (p *pulse) Await(context.Context) {
	if p.await != nil {
		p.await()
	}
}

// Guards against a request that is sent by a choice from before a pause: to an
// upstream that left meanwhile, or twice because the first choice counted as sent.
func TestProcessThatStoodStill(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		stand        func(asked int64) bool
		leaves       bool // the first upstream leaves before the host was confirmed
		status       int
		first        int64
		second       int64
	}{
		"no pause":                      {"POST", "/pay/1", nil, false, 200, 1, 0},
		"left meanwhile":                {"POST", "/pay/1", nil, true, 200, 0, 1},
		"between choice and request":    {"POST", "/pay/1", func(n int64) bool { return n == 2 }, false, 200, 1, 0},
		"twice between them, look-up":   {"GET", "/look/1", func(n int64) bool { return n == 2 || n == 4 }, false, 200, 1, 0},
		"at each choice of an upstream": {"POST", "/pay/1", func(n int64) bool { return n%2 == 0 }, false, 503, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, func(_, _ *upstream) {})
			if c.leaves {
				g.pulse.await = g.removeFirst
			}
			g.pulse.stand = c.stand
			r, _, err := g.ask(c.method, c.path)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.status)
			assert.Equal(t, g.first.ran.Load(), c.first)
			assert.Equal(t, g.second.ran.Load(), c.second)
		})
	}
}
