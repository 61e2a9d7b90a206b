package drainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/drainer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a host that takes work before it can keep the promises, that
// refuses callers with a cached look-up while it leaves, or that takes work
// after their lifetime.
func TestLifeCycle(t *testing.T) {
	now := time.Unix(100, 0)
	d := drainer.New()
	assert.Equal(t, classifier.Of(d.Begin(now)), classifier.NotReady)
	assert.Assert(t, !d.Meet(drainer.Plan))
	assert.Assert(t, !d.Meet(drainer.Shares))
	assert.DeepEqual(t, d.Waiting(), []string{string(drainer.Shift)})
	assert.Assert(t, d.Meet(drainer.Shift))
	assert.NilError(t, d.Begin(now))
	d.Leave(now, 10*time.Second)
	assert.NilError(t, d.Begin(now.Add(9*time.Second)))
	assert.Equal(t, classifier.Of(d.Begin(now.Add(11*time.Second))), classifier.Stopping)
	d.Leave(now.Add(time.Hour), time.Hour)
	assert.Equal(t, classifier.Of(d.Begin(now.Add(time.Hour))), classifier.Stopping, "a second call must not extend the stop")
	assert.Equal(t, d.Flight(), 2)
	d.End()
	d.End()
	assert.Equal(t, d.Flight(), 0)
	assert.Equal(t, d.Stop(now.Add(12*time.Second)), 12*time.Second)
	assert.Equal(t, classifier.Of(d.Begin(now)), classifier.Stopping)
}
