package shifter

import "time"

// slots is the number of parts of a window. What left the window is forgotten
// one part late, so a window counts up to 1/slots too much, never too little.
const slots = 32

type slot struct {
	moved    float64
	crossed  uint64
	requests uint64
}

// ring sums what a service moved and how many requests it had over the
// trailing window of cap.every.
type ring struct {
	part  time.Duration
	begin time.Time
	at    int
	slots [slots + 2]slot
}

func (r *ring) start(every time.Duration, now time.Time) {
	*r = ring{part: max(time.Duration(float64(every)*clockRate)/slots, 1), begin: now}
}

// resize changes the window. Everything known counts as if it had happened now,
// which is the strict side.
func (r *ring) resize(every time.Duration, now time.Time) {
	var sum slot
	for _, s := range r.slots {
		sum.moved += s.moved
		sum.crossed += s.crossed
		sum.requests += s.requests
	}
	r.start(every, now)
	r.slots[0] = sum
}

func (r *ring) advance(now time.Time) {
	n := int64(now.Sub(r.begin) / r.part)
	if n <= 0 {
		return
	}
	r.begin = r.begin.Add(time.Duration(n) * r.part)
	for range min(n, int64(len(r.slots))) {
		r.at = (r.at + 1) % len(r.slots)
		r.slots[r.at] = slot{}
	}
}

func (r *ring) add(s slot) {
	c := &r.slots[r.at]
	c.moved += s.moved
	c.crossed += s.crossed
	c.requests += s.requests
}

func (r *ring) used() (moved, crossed float64) { return r.with(0) }

// with returns the mass moved and the part of requests that crossed, if more
// requests crossed now. Moves and crossings are summed over at least the
// window, requests over at most the window.
func (r *ring) with(more uint64) (moved, crossed float64) {
	var requests uint64
	for i, s := range r.slots {
		moved += s.moved
		more += s.crossed
		if age := (r.at - i + len(r.slots)) % len(r.slots); age < slots {
			requests += s.requests
		}
	}
	if more == 0 {
		return moved, 0
	}
	if requests == 0 {
		return moved, 1
	}
	return moved, float64(more) / float64(requests)
}

// bursts reports whether one more crossing would pass the given part of the
// latest requests. One crossing in two parts is always possible.
func (r *ring) bursts(part float64) bool {
	a, b := r.slots[r.at], r.slots[(r.at+len(r.slots)-1)%len(r.slots)]
	crossed, requests := a.crossed+b.crossed, a.requests+b.requests
	return crossed > 0 && float64(crossed+1) > part*float64(requests)
}
