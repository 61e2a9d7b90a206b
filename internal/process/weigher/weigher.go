// Package weigher runs the shifter of a host: it sets the target of each region
// from the health of its upstreams and from drains, takes the steps, exchanges
// vectors with peers and keeps a checkpoint in the object store.
package weigher

import (
	"context"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	checkpointKey = "checkpoint/shift"
	// checkpointPeriod bounds how far behind the fleet a host is that starts
	// while no peer can be reached.
	checkpointPeriod = 10 * time.Second
	// restPeriod is how often vectors are exchanged while nothing moves.
	restPeriod  = time.Second
	sendTimeout = 2 * time.Second
)

// Store keeps the checkpoint.
type Store interface {
	Load(ctx context.Context, key string) ([]byte, error)
	Save(ctx context.Context, key string, value []byte) error
}

// Caller exchanges an envelope with a peer.
type Caller interface {
	Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error)
}

// Weigher drives one shifter.
type Weigher struct {
	shifter *shifter.Shifter
	gauger  *gauger.Gauger
	store   Store
	caller  Caller
	peers   func() []string

	sent  time.Time
	saved time.Time
	moved bool
}

// New returns a Weigher that sends the weights to the peers' addresses.
func New(s *shifter.Shifter, g *gauger.Gauger, store Store, caller Caller, peers func() []string) *Weigher {
	return &Weigher{shifter: s, gauger: g, store: store, caller: caller, peers: peers}
}

// Run steps until ctx ends.
func (w *Weigher) Run(ctx context.Context, plan func() *planner.Plan) {
	// Without a checkpoint the shifter starts from its peers or the plan.
	if raw, err := w.store.Load(ctx, checkpointKey); err == nil {
		_ = w.shifter.Restore(raw)
	}
	ticker := time.NewTicker(shifter.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.step(ctx, plan(), time.Now())
		}
	}
}

func (w *Weigher) step(ctx context.Context, plan *planner.Plan, now time.Time) {
	w.gauger.Evaluate(now)
	for _, s := range plan.Services() {
		for i, r := range plan.Regions() {
			factor := w.gauger.Factor(s, i)
			if plan.Drained(planner.DrainRegion, r.Name()) {
				factor = 0
			}
			w.shifter.SetHealth(s.Name(), r.Name(), factor)
		}
	}
	w.shifter.Step(now)
	moving := w.shifter.Moving()
	if moving || now.Sub(w.sent) >= restPeriod {
		w.sent = now
		w.send(ctx)
	}
	// The end of a shift is saved at once, its course from time to time.
	if w.shifter.Ready() && (moving && now.Sub(w.saved) >= checkpointPeriod || w.moved && !moving) {
		w.saved = now
		w.save(ctx)
	}
	w.moved = moving
}

func (w *Weigher) send(ctx context.Context) {
	if !w.shifter.Ready() {
		return
	}
	for _, address := range w.peers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			// A peer that misses a vector gets the next one.
			_, _ = w.caller.Call(ctx, address, w.envelope())
		}()
	}
}

func (w *Weigher) save(ctx context.Context) {
	raw, err := w.shifter.Encode()
	if err != nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		// A checkpoint that is not written is replaced by the next one.
		_ = w.store.Save(ctx, checkpointKey, raw)
	}()
}

func (w *Weigher) envelope() *framer.Envelope {
	shifts := new(framer.Shifts)
	for service, weights := range w.shifter.Vector() {
		s := &framer.Shift{Service: service}
		for region, weight := range weights {
			s.Regions = append(s.Regions, region)
			s.Weights = append(s.Weights, weight)
		}
		shifts.Shifts = append(shifts.Shifts, s)
	}
	return &framer.Envelope{Body: &framer.Envelope_Shifts{Shifts: shifts}}
}

// Handle takes the vector of a peer and answers with the host's own.
func (w *Weigher) Handle(e *framer.Envelope, now time.Time) (*framer.Envelope, error) {
	v := make(shifter.Vector)
	for _, s := range e.GetShifts().GetShifts() {
		weights := make(map[string]float64, len(s.Regions))
		for i, region := range s.Regions[:min(len(s.Regions), len(s.Weights))] {
			weights[region] = s.Weights[i]
		}
		v[s.Service] = weights
	}
	if err := w.shifter.OnPeer(e.From, v, now); err != nil {
		return nil, err
	}
	if !w.shifter.Ready() {
		return &framer.Envelope{Body: &framer.Envelope_Shifts{Shifts: new(framer.Shifts)}}, nil
	}
	return w.envelope(), nil
}
