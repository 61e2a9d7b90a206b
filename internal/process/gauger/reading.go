package gauger

import (
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// Reading is what is known about one upstream at one time.
type Reading struct {
	state    State
	sign     Sign
	shedding bool
	left     time.Duration
	errors   float64
	load     int
	weight   float64
	warm     float64
}

// State returns the upstream's state. Draining means that a sign was seen.
func (r Reading) State() State { return r.state }

// Left returns how long ago the first sign of leaving was seen, 0 without one.
func (r Reading) Left() time.Duration { return r.left }

// Sign returns the first sign of leaving; it means nothing without one.
func (r Reading) Sign() Sign { return r.sign }

// Errors returns the recent part of answers that were errors, from 0 to 1.
func (r Reading) Errors() float64 { return r.errors }

// Load returns the reported number of requests in flight from all hosts.
func (r Reading) Load() int { return r.load }

// LoadWeight returns how much the reported load counts: 1 up to an age of 5 s,
// then less, and 0 from 15 s.
func (r Reading) LoadWeight() float64 { return r.weight }

// Warm returns the part of its slots that the upstream may use, from 1/8 to 1.
func (r Reading) Warm() float64 { return r.warm }

// Shedding reports whether the upstream asked for no requests now.
func (r Reading) Shedding() bool { return r.shedding }

// Usable reports whether new work may go to the upstream.
func (r Reading) Usable() bool { return r.state.Usable() && !r.shedding }

// Read returns what is known about an upstream. It takes no lock and allocates
// nothing. An upstream of a plan that was not installed is Unknown.
func (g *Gauger) Read(u *planner.Upstream, now time.Time) Reading {
	e := g.find(u)
	if e == nil {
		return Reading{state: Unknown, warm: rampStart}
	}
	t := g.at(now)
	r := Reading{state: e.current(t), warm: 1, load: int(e.load.Load()), errors: e.ratio(t), shedding: e.shed.Load() > t}
	if left := e.leaving.Load(); left != 0 {
		r.left, r.sign = time.Duration(max(t-left, 1)), Sign(e.sign.Load())
	}
	if loaded := e.loaded.Load(); loaded != 0 {
		r.weight = weight(time.Duration(t - loaded))
	}
	if warm := e.warm.Load(); warm != 0 {
		r.warm = min(rampStart+(1-rampStart)*max(float64(t-warm), 0)/float64(ramp), 1)
	}
	return r
}

func weight(age time.Duration) float64 {
	switch {
	case age <= fullAge:
		return 1
	case age >= noAge:
		return 0
	default:
		return float64(noAge-age) / float64(noAge-fullAge)
	}
}

// measured reports whether the upstream was probed recently.
func (e *entry) measured(t int64) bool {
	at := e.health.Load()
	return at != 0 && t-at < int64(noAge)
}

// current returns the state at a time. Without measurements, every state but
// Draining ends; a sign of leaving does not become untrue with age.
func (e *entry) current(t int64) State {
	if e.leaving.Load() != 0 {
		return Draining
	}
	if s := State(e.state.Load()); s == Draining || e.measured(t) {
		return s
	}
	return Unknown
}
