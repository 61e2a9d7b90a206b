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
	assert.Equal(t, classifier.Of(d.BeginRequest(now)), classifier.NotReady)
	assert.Assert(t, !d.SetMet(drainer.PlanInstalled))
	assert.Assert(t, !d.SetMet(drainer.SharesGranted))
	assert.DeepEqual(t, d.UnmetConditions(), []string{string(drainer.ShiftLoaded)})
	assert.Assert(t, d.SetMet(drainer.ShiftLoaded))
	assert.NilError(t, d.BeginRequest(now))
	d.BeginStop(now, 10*time.Second)
	assert.NilError(t, d.BeginRequest(now.Add(9*time.Second)))
	assert.Equal(t, classifier.Of(d.BeginRequest(now.Add(11*time.Second))), classifier.Stopping)
	d.BeginStop(now.Add(time.Hour), time.Hour)
	assert.Equal(t, classifier.Of(d.BeginRequest(now.Add(time.Hour))), classifier.Stopping, "a second call must not extend the stop")
	assert.Equal(t, d.InFlight(), 2)
	d.EndRequest()
	d.EndRequest()
	assert.Equal(t, d.InFlight(), 0)
	assert.Equal(t, d.EndStop(now.Add(12*time.Second)), 12*time.Second)
	assert.Equal(t, classifier.Of(d.BeginRequest(now)), classifier.Stopping)
}
