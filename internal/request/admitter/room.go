package admitter

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// recheck is how often the first waiter of a queue looks for a unit itself.
	// It covers units that come without a Release, by an Install or a returned
	// loan, and a Release for which the waiter that was woken had no use.
	recheck = 20 * time.Millisecond
	// settle is the wait before the first look. It covers a Release between a
	// failed Try and the place in the queue, and bounds how often a caller
	// loops that finds no use for a unit that is free.
	settle = time.Millisecond
	// weight is the part of a new service time in the mean, one in weight.
	weight = 16
)

// turns is the order in which classes are woken. Look-ups are shortest;
// downloads can wait longest.
var turns = [planner.ClassCount]planner.Class{planner.Idempotent, planner.AtMostOnce, planner.Download}

// waiter is one request in a queue.
type waiter struct {
	turn     chan struct{} // closed when it is this waiter's turn
	deadline time.Time
}

// room holds the queues of one service. It outlives plans.
type room struct {
	mu       sync.Mutex
	queues   [planner.ClassCount]*queue[*waiter]
	length   [planner.ClassCount]atomic.Int64
	mean     [planner.ClassCount]atomic.Int64 // of the service time, in nanoseconds
	capacity atomic.Int64
}

func (a *Admitter) room(service string) *room {
	r, ok := a.rooms[service]
	if !ok {
		r = new(room)
		for i := range r.queues {
			r.queues[i] = newQueue[*waiter](a.bound)
		}
		a.rooms[service] = r
	}
	return r
}

// furnish sets the capacity of each service and lists the rooms by region.
func (a *Admitter) furnish(t *table) {
	named := make(map[string]bool)
	for _, s := range t.plan.Services() {
		named[s.Name()] = true
		r := a.room(s.Name())
		var capacity int64
		for i, region := range t.regions {
			ups := s.UpstreamsIn(i)
			if len(ups) > 0 {
				t.rooms[i] = append(t.rooms[i], r)
			}
			var sum int64
			for _, u := range ups {
				sum += t.places[u.Index()].level.all()
			}
			capacity += min(sum, region.all())
		}
		r.capacity.Store(capacity)
	}
	for name, r := range a.rooms {
		if !named[name] && r.waiting() == 0 {
			delete(a.rooms, name)
		}
	}
}

func (r *room) waiting() (n int64) {
	for i := range r.length {
		n += r.length[i].Load()
	}
	return n
}

// all returns the units of a level that this host may use.
func (l *level) all() int64 {
	n := max(l.own-l.gate.lent.Load(), 0)
	if len(l.loans) > 0 {
		n += l.loans[len(l.loans)-1].units
	}
	return n
}

// Observe takes in how long a request of the class held its unit, for the
// expected wait.
func (a *Admitter) Observe(s *planner.Service, class planner.Class, took time.Duration) {
	r := a.lookup(s)
	if r == nil {
		return
	}
	m := &r.mean[class]
	old := m.Load()
	if old == 0 {
		m.CompareAndSwap(0, int64(took))
		return
	}
	// A lost update loses one sample of many.
	m.CompareAndSwap(old, old+(int64(took)-old)/weight)
}

// lookup returns the room of a service, or nil if the plan in force has none.
func (a *Admitter) lookup(s *planner.Service) *room {
	t := a.table.Load()
	for _, u := range s.Upstreams() {
		if p := t.find(u); p != nil {
			return p.room
		}
	}
	return nil
}

// Delay returns how long a request of the class that comes now is expected to
// wait: the requests before it times the mean service time, by units. Zero
// means that nothing waits.
func (a *Admitter) Delay(s *planner.Service, class planner.Class) time.Duration {
	r := a.lookup(s)
	if r == nil {
		return 0
	}
	return r.delay(class)
}

func (r *room) delay(class planner.Class) time.Duration {
	return time.Duration(float64(r.length[class].Load()) * float64(r.mean[class].Load()) / float64(max(r.capacity.Load(), 1)))
}

// Queued returns how many requests of the class wait.
func (a *Admitter) Queued(s *planner.Service, class planner.Class) int {
	r := a.lookup(s)
	if r == nil {
		return 0
	}
	return int(r.length[class].Load())
}

// Wait returns nil when a unit may have become free and it is the request's
// turn; the caller then tries again. It returns an error of kind Overloaded at
// once if the queue is full or the expected wait passes the deadline, and of
// kind Expired when the deadline or the context ends in the queue.
func (a *Admitter) Wait(ctx context.Context, s *planner.Service, class planner.Class, deadline time.Time) error {
	r := a.lookup(s)
	if r == nil {
		return classifier.Overloaded.New("service %q: no upstream", s.Name())
	}
	left := time.Until(deadline)
	if left <= 0 {
		return classifier.Expired.New("service %q: deadline passed before admission", s.Name())
	}
	if d := r.delay(class); d > left {
		return classifier.Overloaded.New("service %q: the expected wait of %v passes the deadline", s.Name(), d)
	}
	w := &waiter{make(chan struct{}), deadline}
	r.mu.Lock()
	n := r.queues[class].push(w, deadline.UnixNano())
	r.mu.Unlock()
	if n == nil {
		return classifier.Overloaded.New("service %q: %d requests of class %v wait already", s.Name(), a.bound, class)
	}
	r.length[class].Add(1)
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	defer r.length[class].Add(-1)
	err := a.await(ctx, s, class, r, n, left)
	r.mu.Lock()
	in := r.queues[class].remove(n)
	r.mu.Unlock()
	if err != nil && !in {
		// The turn came too late for this request, so the next one gets it.
		a.pass(s)
	}
	return err
}

func (a *Admitter) await(ctx context.Context, s *planner.Service, class planner.Class, r *room, n *node[*waiter], left time.Duration) error {
	end := time.NewTimer(left)
	defer end.Stop()
	look := time.NewTimer(settle)
	defer look.Stop()
	for {
		select {
		case <-n.item.turn:
			return nil
		case <-ctx.Done():
			return classifier.Expired.Wrap(ctx.Err(), "wait for a unit")
		case <-end.C:
			return classifier.Expired.New("service %q: deadline passed in the queue", s.Name())
		case <-look.C:
			r.mu.Lock()
			first := r.queues[class].first(n)
			r.mu.Unlock()
			if first && a.vacant(s, class, n.item.deadline) {
				return nil
			}
			look.Reset(recheck)
		}
	}
}

// vacant reports whether some upstream of the service has a unit for the
// request.
func (a *Admitter) vacant(s *planner.Service, class planner.Class, deadline time.Time) bool {
	t := a.table.Load()
	return slices.ContainsFunc(s.Upstreams(), func(u *planner.Upstream) bool {
		p := t.find(u)
		return p != nil && p.level.open(class, deadline) && p.region.open(class, deadline)
	})
}

// pass wakes the next waiter wherever the service has a place.
func (a *Admitter) pass(s *planner.Service) {
	t := a.table.Load()
	for _, u := range s.Upstreams() {
		if p := t.find(u); p != nil && a.wake(p) {
			return
		}
	}
}

// wake gives the turn to one waiter that a unit at the place can serve: of the
// same service first, else of another one in the region, whose unit is free
// too.
func (a *Admitter) wake(p *place) bool {
	if p.room.wake(p.region) {
		return true
	}
	t := a.table.Load()
	i := p.upstream.Region().Index()
	if i >= len(t.rooms) {
		return false
	}
	for _, r := range t.rooms[i] {
		if r != p.room && r.wake(t.regions[i]) {
			return true
		}
	}
	return false
}

func (r *room) wake(region *level) bool {
	for _, class := range turns {
		if r.length[class].Load() == 0 {
			continue
		}
		r.mu.Lock()
		q := r.queues[class]
		if len(q.nodes) > 0 && region.open(class, q.nodes[0].item.deadline) {
			w, _ := q.pop()
			r.mu.Unlock()
			close(w.turn)
			return true
		}
		r.mu.Unlock()
	}
	return false
}
