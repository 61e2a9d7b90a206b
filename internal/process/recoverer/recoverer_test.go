package recoverer_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recoverer"
)

// Guards against a panic that ends the process or is not logged.
func TestPanicIsRecoveredAndLogged(t *testing.T) {
	var out bytes.Buffer
	r := recoverer.New(logger.New(&out, zerolog.InfoLevel, "h"), meter.New())
	assert.Assert(t, !r.Do("quiet", func() {}))
	assert.Equal(t, out.Len(), 0)
	assert.Assert(t, r.Do("a row", func() { panic("broken") }))
	for _, part := range []string{`"place":"a row"`, `"panic":"broken"`, "recoverer_test.go"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%s", out.String())
	}
}

// Guards against a background loop that ends with its first panic.
func TestLoopRestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := recoverer.New(logger.Logger{}, meter.New())
		runs := 0
		r.RunWithRestart(t.Context(), "loop", func(context.Context) {
			if runs++; runs < 4 {
				panic(runs)
			}
		})
		assert.Equal(t, runs, 4)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r.RunWithRestart(ctx, "ended", func(context.Context) { runs++; panic(runs) })
		assert.Equal(t, runs, 5)
	})
}
