package watcher_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/watcher"
)

// Guards against settings that stay out of force because the file changed without
// a signal, and against a reload for each read of an unchanged file.
func TestRunReportsSignalsAndChanges(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *testing.T, path string, signals chan<- os.Signal)
		want   int
	}{
		"nothing":        {func(*testing.T, string, chan<- os.Signal) {}, 0},
		"content":        {func(t *testing.T, path string, _ chan<- os.Signal) { write(t, path, "b") }, 1},
		"signal":         {func(_ *testing.T, _ string, s chan<- os.Signal) { s <- os.Interrupt }, 1},
		"signal, change": {func(t *testing.T, path string, s chan<- os.Signal) { write(t, path, "b"); s <- os.Interrupt }, 1},
		"gone":           {func(t *testing.T, path string, _ chan<- os.Signal) { assert.NilError(t, os.Remove(path)) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			write(t, path, "a")
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				signals := make(chan os.Signal, 1)
				calls := 0
				w := watcher.New(path)
				go w.Run(ctx, signals, func() { calls++ })
				time.Sleep(1500 * time.Millisecond)
				c.change(t, path, signals)
				time.Sleep(5 * time.Second)
				cancel()
				synctest.Wait()
				assert.Equal(t, calls, c.want)
			})
		})
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}
