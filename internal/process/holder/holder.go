// Package holder keeps the configuration version that is in force on a host.
package holder

import (
	"sync"
	"sync/atomic"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Holder holds the installed plan. The zero Holder holds version 0. Readers
// take no lock; a request keeps the plan it began with.
type Holder struct {
	plan  atomic.Pointer[planner.Plan]
	mu    sync.Mutex
	after []func(*planner.Plan)
}

var empty planner.Plan

// Plan returns the version in force.
func (h *Holder) Plan() *planner.Plan {
	if p := h.plan.Load(); p != nil {
		return p
	}
	return &empty
}

// OnInstall registers f to run after each installation, in the order of the
// versions. f must not call Install.
func (h *Holder) OnInstall(f func(*planner.Plan)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.after = append(h.after, f)
}

// Install puts the plan in force. A version that is not above the one in force
// is an error of kind Conflict and changes nothing.
func (h *Holder) Install(p *planner.Plan) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.Plan().Version(); p.Version() <= now {
		return classifier.Conflict.New("version %d is in force, version %d is not newer", now, p.Version())
	}
	h.plan.Store(p)
	for _, f := range h.after {
		f(p)
	}
	return nil
}
