// Package watcher reports changes of a file: when its content differs, or when a
// signal requests a reload.
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

// pollInterval is the time between two reads of the file. Changed settings must be in
// force within the 2 s that the platform allows a configuration.
const pollInterval = time.Second

// Watcher watches one file. It is used by one goroutine.
type Watcher struct {
	path        string
	lastContent []byte
}

// New returns a Watcher that treats the current content as unchanged.
func New(path string) *Watcher {
	w := &Watcher{path: path}
	w.lastContent, _ = os.ReadFile(path) // a file that appears later is a change
	return w
}

// Run calls changed for each signal and each change of the content until ctx
// ends. A file that can't be read counts as unchanged, since it may be in the
// middle of being replaced.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.updateContent()
			changed()
		case <-ticker.C:
			if w.updateContent() {
				changed()
			}
		}
	}
}

// updateContent reports whether the content has changed, and stores it.
func (w *Watcher) updateContent() bool {
	raw, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(raw, w.lastContent) {
		return false
	}
	w.lastContent = raw
	return true
}
