package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

var start = time.Unix(100, 0)

// Guards against failures of the night that successes of the morning displace,
// and against traces that show steps of another request after reuse.
func TestFailuresOutliveSuccesses(t *testing.T) {
	r := recorder.New()
	failed := r.Start("bad", start)
	failed.AddStep(start.Add(time.Second), recorder.Refused, nil, nil, "no free slot")
	r.Finish(failed, start.Add(2*time.Second), 503, classifier.NotRun, classifier.Overloaded.New("full"))
	for i := range 100_000 {
		tr := r.Start(fmt.Sprint("ok", i), start)
		tr.AddStep(start, recorder.Attempt, nil, nil, "first")
		r.Finish(tr, start, 200, classifier.Ran, nil)
	}
	v, ok := r.Find("bad")
	assert.Assert(t, ok)
	assert.Equal(t, v.ErrorKind, classifier.Overloaded)
	assert.Equal(t, v.Elapsed, 2*time.Second)
	assert.Equal(t, v.Steps[0].Reason(), "no free slot")
	_, ok = r.Find("ok0")
	assert.Assert(t, !ok, "old successes are displaced")
	v, ok = r.Find("ok99999")
	assert.Assert(t, ok)
	assert.Equal(t, len(v.Steps), 1)
	assert.Assert(t, !v.Failed)
}

// Guards against traces that grow without bound, against two requests that
// share a trace, and against requests in flight that a stop can't name.
func TestActive(t *testing.T) {
	r := recorder.New()
	tr := r.Start("a", start)
	assert.Assert(t, r.Start("a", start) == nil)
	for range 100 {
		tr.AddStep(start, recorder.Retry, nil, nil, "again")
	}
	active := r.Active()
	assert.Equal(t, len(active), 1)
	assert.Equal(t, active[0].ID, "a")
	assert.Assert(t, active[0].DroppedSteps > 0 && len(active[0].Steps) < 100)
	r.Finish(tr, start, 200, classifier.Ran, nil)
	assert.Equal(t, len(r.Active()), 0)
	r.Finish(nil, start, 200, classifier.Ran, nil)
}

func BenchmarkTrace(b *testing.B) {
	r := recorder.New()
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		tr := r.Start(ids[i%len(ids)], start)
		tr.AddStep(start, recorder.Admitted, nil, nil, "")
		tr.AddStep(start, recorder.Attempt, nil, nil, "")
		tr.AddStep(start, recorder.Response, nil, nil, "")
		r.Finish(tr, start, 200, classifier.Ran, nil)
		i++
	}
}
