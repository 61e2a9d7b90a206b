package admitter

import (
	"slices"
	"strings"

	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

func (l *level) figure() allotter.Figure {
	f := allotter.Figure{Name: l.name, Total: l.units.Total(), Lent: l.gate.lent.Load()}
	if n := len(l.loans); n > 0 {
		f.Borrowed = l.loans[n-1].units
	}
	f.Held = max(l.own-f.Lent, 0) + f.Borrowed
	f.Used = max(l.gate.own.Load()-f.Lent, 0) + l.gate.loan.Load()
	return f
}

// Figures returns all limits that count requests in flight, by name.
func (a *Admitter) Figures() []allotter.Figure {
	t := a.table.Load()
	out := make([]allotter.Figure, 0, len(t.levels))
	for _, l := range t.levels {
		out = append(out, l.figure())
	}
	slices.SortFunc(out, func(x, y allotter.Figure) int { return strings.Compare(x.Name, y.Name) })
	return out
}

// Tightest returns the limit on the path to the upstream with the least part
// left. The caller compares it with the link's figure.
func (a *Admitter) Tightest(u *planner.Upstream) allotter.Figure {
	p := a.table.Load().find(u)
	if p == nil {
		return allotter.Figure{}
	}
	f, r := p.level.figure(), p.region.figure()
	if r.Left() < f.Left() {
		return r
	}
	return f
}

// Used returns the shares of the region's ledger row that requests in flight
// and loans need beyond the shares in keep: none if they fit into keep, else
// all. It is what allotter.Step takes; it must be asked after the rights
// without the shares to give up were installed.
func (a *Admitter) Used(region string, keep allotter.Set) allotter.Set {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.table.Load()
	over := func(l *level) bool { return l.gate.own.Load() > l.units.In(keep) }
	for i, r := range t.plan.Regions() {
		if r.Name() == region && over(t.regions[i]) {
			return allotter.All
		}
	}
	for i := range t.places {
		p := &t.places[i]
		if p.upstream.Region().Name() == region && over(p.level) {
			return allotter.All
		}
	}
	return 0
}

// Idle returns the own units of a limit that nothing uses and that may be lent.
// The last units that only look-ups take are not lent.
func (a *Admitter) Idle(limit string) int64 {
	l, ok := a.table.Load().levels[limit]
	if !ok {
		return 0
	}
	return max(l.bound(planner.Download)-l.gate.own.Load(), 0)
}

// Lend takes units of a limit out of this host's use, all or none. It comes
// before lender.Lend; Regain follows when that fails, and when a loan is
// returned or has ended.
func (a *Admitter) Lend(limit string, units int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.table.Load().levels[limit]
	if !ok || units <= 0 {
		return false
	}
	for {
		n := l.gate.own.Load()
		if n+units > l.bound(planner.Download) {
			return false
		}
		if l.gate.own.CompareAndSwap(n, n+units) {
			l.gate.lent.Add(units)
			return true
		}
	}
}

// Regain sets the units of the limit that are still lent, as lender.Lent tells.
// It never raises them.
func (a *Admitter) Regain(limit string, lent int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.gates[limit]
	if !ok {
		return
	}
	if d := g.lent.Load() - max(lent, 0); d > 0 {
		g.lent.Add(-d)
		g.own.Add(-d)
	}
}
