package deployer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
)

// Guards against tour steps that report a promise as kept whatever happens: the
// same steps have to be kept in a calm deployment and broken with every answer
// cut short.
func TestStepsCanFail(t *testing.T) {
	d, err := New(Options{Deployment: "campos", Hosts: 2, Immediate: true, Lifetime: 100 * time.Millisecond})
	assert.NilError(t, err)
	defer func() { assert.Check(t, d.Stop(context.Background())) }()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	assert.NilError(t, d.Start(ctx))
	steps := map[string]func(context.Context) (string, bool){"look-ups": d.tourLookups, "download": d.tourDownload}
	for _, calm := range []bool{true, false} {
		for name, step := range steps {
			seen, kept := step(ctx)
			assert.Equal(t, kept, calm, "%s: %s", name, seen)
		}
		for _, w := range d.workers {
			w.SetFaults(worker.Faults{Short: 100})
		}
	}
}
