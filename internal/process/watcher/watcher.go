// Package watcher tells when a file may have changed: when its content differs,
// or when somebody says so.
//
//	w := watcher.New(path)
//	w.Run(ctx, hup, reload)
package watcher

import (
	"bytes"
	"context"
	"os"
	"time"
)

// period is the time between two reads of the file. Changed settings shall be in
// force within the 2 s that the platform allows a configuration.
const period = time.Second

// Watcher watches one file. It is used by one goroutine.
type Watcher struct {
	path string
	last []byte
}

// New returns a Watcher that takes the present content for known.
func New(path string) *Watcher {
	w := &Watcher{path: path}
	w.last, _ = os.ReadFile(path) // a file that appears later is a change
	return w
}

// Run calls changed for each signal and each change of the content until ctx
// ends. A file that can't be read counts as unchanged, since it may be in the
// middle of being replaced.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.differs()
			changed()
		case <-ticker.C:
			if w.differs() {
				changed()
			}
		}
	}
}

// differs reports whether the content is another one than before, and remembers it.
func (w *Watcher) differs() bool {
	raw, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(raw, w.last) {
		return false
	}
	w.last = raw
	return true
}
