package shifter

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Vector holds effective weights by service name and region name. Names make
// it independent of the plan that a host has installed.
type Vector map[string]map[string]float64

type peer struct {
	vector Vector
	heard  time.Time
	// closer is when the peer last came closer to this host's target, and
	// distance how far it then was, by service.
	closer   map[string]time.Time
	distance map[string]float64
}

// Vector returns the host's own weights, to be sent to its peers every Tick
// while a shift is under way.
func (s *Shifter) Vector() Vector {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vector()
}

func (s *Shifter) vector() Vector {
	v := make(Vector, len(s.services))
	for name, st := range s.services {
		m := make(map[string]float64, len(st.weights))
		for i, r := range s.plan.Regions() {
			m[r.Name()] = st.weights[i]
		}
		v[name] = m
	}
	return v
}

// Moving reports whether any service is short of its target.
func (s *Shifter) Moving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.services {
		if distance(st.weights, st.target) > epsilon {
			return true
		}
	}
	return false
}

// check refuses weights that are not a part of 1.
func (v Vector) check() error {
	for name, weights := range v {
		sum := 0.0
		for region, w := range weights {
			if !(w >= 0 && w <= 1) {
				return classifier.Invalid.New("shift vector: service %q, region %q: weight %v is not between 0 and 1", name, region, w)
			}
			sum += w
		}
		if sum > 1+1e-9 {
			return classifier.Invalid.New("shift vector: service %q: weights add up to %v: at most 1 is possible", name, sum)
		}
	}
	return nil
}

// OnPeer records the vector of a peer that is ready. A malformed vector is an
// error of kind Invalid and is not used.
func (s *Shifter) OnPeer(host string, v Vector, now time.Time) error {
	if err := v.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[host]
	if p == nil {
		p = &peer{closer: make(map[string]time.Time), distance: make(map[string]float64)}
		s.peers[host] = p
	}
	p.vector, p.heard = v, now
	return nil
}

// Forget drops a peer that left.
func (s *Shifter) Forget(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, host)
}

// read returns a peer's weights in this host's region order, and whether the
// peer has the service.
func (s *Shifter) read(p *peer, service string) ([]float64, bool) {
	m, ok := p.vector[service]
	if !ok {
		return nil, false
	}
	v := make([]float64, len(s.plan.Regions()))
	for i, r := range s.plan.Regions() {
		v[i] = m[r.Name()]
	}
	return v, true
}

// ahead reports whether the host must wait for a peer that is on its way to the
// same target.
func (s *Shifter) ahead(st *state, own, step float64, now time.Time) bool {
	wait := false
	name := st.service.Name()
	for _, p := range s.peers {
		v, ok := s.read(p, name)
		if !ok || now.Sub(p.heard) > fresh {
			continue
		}
		d := distance(v, st.target)
		since, known := p.closer[name]
		if !known || d < p.distance[name]-epsilon {
			since = now
			p.closer[name] = now
		}
		p.distance[name] = d
		// The distances are compared with a small tolerance for rounding.
		if d-own > step*(lagSteps-0.001) && now.Sub(since) < patience {
			wait = true
		}
	}
	return wait
}

// Adopt takes the vector of the median of the peers heard within the last
// second, by distance to the target, and reports whether the host has a vector.
// With the slowest peer's vector, a rolling restart would bring the whole fleet
// back to one host that was cut off.
// Step calls Adopt while the host is not ready.
func (s *Shifter) Adopt(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.adopt(now)
	if ok {
		s.publish(s.snapshot.Load().before())
	}
	return ok
}

func (s *Shifter) adopt(now time.Time) bool {
	if s.plan == nil {
		return false
	}
	heard := 0
	for _, p := range s.peers {
		if now.Sub(p.heard) <= fresh && !p.heard.Before(s.rejoin) {
			heard++
		}
	}
	if now.Sub(s.rejoin) < Tick || (heard == 0 && now.Sub(s.rejoin) < alone) {
		return false
	}
	if heard > 0 {
		for _, st := range s.services {
			s.adoptService(st, now)
		}
	}
	s.ready = true
	return true
}

func (s *Shifter) adoptService(st *state, now time.Time) {
	var heard [][]float64
	for _, p := range s.peers {
		v, ok := s.read(p, st.service.Name())
		if ok && now.Sub(p.heard) <= fresh && !p.heard.Before(s.rejoin) {
			heard = append(heard, v)
		}
	}
	if len(heard) == 0 {
		return
	}
	slices.SortFunc(heard, func(a, b []float64) int {
		return cmp.Compare(distance(a, st.target), distance(b, st.target))
	})
	st.weights = heard[len(heard)/2]
	if s.adoptSlowest {
		st.weights = heard[len(heard)-1]
	}
}

// Encode returns the weights as a checkpoint for the object store.
func (s *Shifter) Encode() ([]byte, error) {
	raw, err := json.Marshal(s.Vector())
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "shift checkpoint")
	}
	return raw, nil
}

// Restore sets the weights of a host that is not ready from a checkpoint. They
// are used if no peer is heard. A malformed checkpoint is an error of kind
// Invalid and changes nothing.
func (s *Shifter) Restore(raw []byte) error {
	var v Vector
	if err := json.Unmarshal(raw, &v); err != nil {
		return classifier.Invalid.Wrap(err, "shift checkpoint")
	}
	if err := v.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready || s.plan == nil {
		return classifier.Conflict.New("shift checkpoint: the host has weights already")
	}
	for name, st := range s.services {
		if w, ok := s.read(&peer{vector: v}, name); ok && !math.IsNaN(distance(w, st.target)) {
			st.weights = w
		}
	}
	s.publish(s.snapshot.Load().before())
	return nil
}
