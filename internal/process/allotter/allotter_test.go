package allotter

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// run lets hosts act under random faults. Most of the time passes in moments;
// leaps let leases and loans end.
func run(seed uint64, n, moments int, off mechanism) *world {
	w := newWorld(seed, n, off)
	for range moments {
		d := time.Duration(w.rng.Int64N(int64(4 * time.Second)))
		if w.chance(10) {
			d = time.Duration(w.rng.Int64N(int64(50 * time.Minute)))
		}
		w.advance(d)
		w.check()
		if w.chance(15) {
			w.faults()
		}
		for _, i := range w.rng.Perm(n) {
			w.act(w.hosts[i])
			w.check()
		}
	}
	return w
}

// Guards against two hosts using the same share or unit, whatever fails: clocks
// wrong by 1% either way, pauses, restarts, lost and late writes, partitions,
// outages, lost and repeated loan messages. The naive rule must break under the
// same schedule, or the schedule is too mild.
func TestLimitsHold(t *testing.T) {
	var mu sync.Mutex
	var done [Acknowledge + 1]int
	copies := 0
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := run(seed, 5+int(seed%4)*2, 1000, 0)
				assert.Equal(t, w.worst, "")
				assert.Assert(t, w.naive > 0 && w.lent > 100)
				mu.Lock()
				defer mu.Unlock()
				copies += w.copies
				for i, n := range w.done {
					done[i] += n
				}
			})
		}
	})
	// A schedule that never reaches an action would show nothing about it.
	assert.Assert(t, copies > 10, "%d copies", copies)
	for i, n := range done {
		assert.Assert(t, n > 10, "%d of %v", n, Action(i))
	}
}

// settle lets all living hosts act without faults until nothing is left to do.
func (w *world) settle(t testing.TB) {
	t.Helper()
	for range 100 {
		done := true
		for _, h := range w.hosts {
			if h.alive && !h.cut {
				w.read(h)
				_, wrote := w.write(h, 0)
				done = done && !wrote
			}
		}
		w.check()
		if done {
			return
		}
	}
	t.Fatal("hosts never stop writing")
}

func (w *world) held(h *host) int {
	s, _ := h.Held(w.local(h))
	return s.Len()
}

// wait lets time pass in steps until the condition holds, and returns how long
// it took.
func (w *world) wait(t *testing.T, step, most time.Duration, cond func() bool) time.Duration {
	t.Helper()
	from := w.now
	for !cond() {
		assert.Assert(t, w.now-from <= most, "not within %v", most)
		w.advance(step)
		if !w.down {
			w.settle(t)
		}
		w.check()
	}
	return w.now - from
}

// restart crashes the host and starts it 1 s later.
func (w *world) restart(h *host) {
	w.crash(h)
	w.advance(time.Second)
	w.start(h)
}

// renew lets a renewal pass, so that each host has seen the others' entries
// change and can offer a copy.
func (w *world) renew(t *testing.T) {
	t.Helper()
	w.advance(Renew + Renew/50)
	w.settle(t)
}

// takeOver starts the host on its address again while it can't reach the store.
func (w *world) takeOver(t *testing.T, h, from *host) bool {
	t.Helper()
	h.cut = true
	w.restart(h)
	raw, _, age, ok := from.Offer(w.local(from), h.address)
	if ok {
		assert.NilError(t, h.Copy(w.local(h), raw, age))
	}
	return ok
}

// Guards against mechanisms that do nothing: the limit must hold in each case
// and break when the mechanism is off.
func TestMechanisms(t *testing.T) {
	cases := map[string]struct {
		off mechanism
		run func(t *testing.T, w *world)
	}{
		"slow holder and fast evictor need a margin on both sides": {margins, func(t *testing.T, w *world) {
			slow, fast := w.hosts[0], w.hosts[1]
			w.hosts[2].alive = false
			w.settle(t)
			slow.cut = true
			for w.now < Lease+Lease/50 {
				w.advance(time.Minute)
				w.settle(t)
			}
			assert.Equal(t, w.held(fast), S)
		}},
		"a stale copy must not give back shares that moved": {marks, func(t *testing.T, w *world) {
			giver, taker, old := w.hosts[0], w.hosts[1], w.hosts[2]
			taker.alive = false
			w.settle(t)
			w.renew(t)
			old.cut, taker.alive = true, true
			w.settle(t)
			assert.Assert(t, w.takeOver(t, giver, old))
			w.advance(Rest + time.Second)
			w.check()
		}},
		"a restarted lender must wait for its loans": {rests, func(t *testing.T, w *world) {
			l, b := w.hosts[0], w.hosts[1]
			w.settle(t)
			ask := b.loans.Ask(w.local(b), l.address, "0", 9, time.Minute)
			_, until := l.Held(w.local(l))
			loan, ok := l.loans.Lend(w.local(l), b.address, ask, 9, until)
			assert.Assert(t, ok && b.loans.Answer(ask.Serial, loan))
			w.restart(l)
			w.settle(t)
		}},
	}
	for name, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			t.Run(fmt.Sprintf("%s/off=%v", name, off != 0), func(t *testing.T) {
				w := newWorld(1, 3, off)
				c.run(t, w)
				assert.Equal(t, w.worst != "", off != 0, w.worst)
			})
		}
	}
}

// Guards against shares that stay unused for longer than docs/design.md says in
// 4.1. Waits are on the waiting host's clock, so 1% and a step are added here.
func TestWorstCases(t *testing.T) {
	bound := func(d time.Duration) time.Duration { return d + d/50 + time.Second }
	all := func(w *world) bool {
		n := 0
		for _, h := range w.hosts {
			if h.alive {
				n += w.held(h)
			}
		}
		return n == S
	}
	cases := map[string]func(t *testing.T, w *world){
		"dead host": func(t *testing.T, w *world) {
			w.crash(w.hosts[3])
			w.wait(t, time.Minute, bound(Lease)+time.Minute, func() bool { return all(w) })
		},
		"machine declared gone": func(t *testing.T, w *world) {
			w.crash(w.hosts[3])
			assert.Assert(t, w.hosts[0].Gone(w.local(w.hosts[0]), w.hosts[3].address))
			w.wait(t, time.Second, bound(Rest), func() bool { return all(w) })
		},
		"restart with the store up": func(t *testing.T, w *world) {
			w.restart(w.hosts[3])
			took := w.wait(t, time.Second, bound(Rest), func() bool { return all(w) })
			assert.Assert(t, took > 30*time.Second)
		},
		"restart with the store down": func(t *testing.T, w *world) {
			w.renew(t)
			w.hosts[3].cut = true
			for range 12 {
				w.renew(t) // other hosts' writes don't prolong the lease
			}
			w.down = true
			assert.Assert(t, w.takeOver(t, w.hosts[3], w.hosts[0]))
			assert.Equal(t, w.held(w.hosts[3]), 0)
			assert.Assert(t, w.hosts[3].until.Sub(w.local(w.hosts[3])) < 2*time.Hour)
			w.wait(t, time.Second, bound(Rest), func() bool { return all(w) })
		},
		"outage of 5.5 h": func(t *testing.T, w *world) {
			w.advance(Renew - Renew/50)
			w.down = true
			for range 55 {
				w.advance(6 * time.Minute)
				assert.Assert(t, all(w))
			}
		},
		"new host while a holder is dead": func(t *testing.T, w *world) {
			w.crash(w.hosts[3])
			h := &host{address: "192.0.2.99:1"}
			w.hosts = append(w.hosts, h)
			w.start(h)
			// Each of the three live holders gives one share up; the dead one
			// keeps the share that it has above its part.
			took := w.wait(t, time.Minute, bound(Offerable)+2*Renew, func() bool { return w.held(h) == 3 })
			assert.Assert(t, took > Offerable/2)
		},
		"graceful stop": func(t *testing.T, w *world) {
			w.hosts[3].Leave()
			w.settle(t)
			assert.Assert(t, w.hosts[3].Released() && w.held(w.hosts[3]) == 0)
			w.wait(t, time.Second, 0, func() bool { return all(w) })
		},
		"write answers lost": func(t *testing.T, w *world) {
			w.advance(Renew + Renew/50)
			for range 3 {
				w.write(w.hosts[3], 1)
				w.read(w.hosts[3])
			}
			_, until := w.hosts[3].Held(w.local(w.hosts[3]))
			assert.Assert(t, until.Sub(w.local(w.hosts[3])) > Lease-Lease/90)
		},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 4, 0)
			w.settle(t)
			assert.Assert(t, all(w))
			f(t, w)
			assert.Equal(t, w.worst, "")
		})
	}
}

// Guards against new hosts that get less than their part, and against hosts
// that pass shares back and forth.
func TestJoiningHostsGetTheirPart(t *testing.T) {
	for _, n := range []int{1, 2, 5, 7, 12, 23, 24, 30} {
		w := newWorld(1, n, 0)
		for _, h := range w.hosts {
			h.alive = false
		}
		for _, h := range w.hosts {
			h.alive = true
			w.settle(t)
		}
		for _, h := range w.hosts {
			assert.Assert(t, w.held(h) >= S/n && w.held(h) <= (S+n-1)/n, "%d of %d hosts", w.held(h), n)
		}
		assert.Equal(t, w.worst, "")
	}
}

// Guards against a new host that waits long for its part although all others
// are there: a period of reads each for the mark and its acknowledgements, then
// the giver's and the new host's next read.
func TestJoinTakesTwoPeriods(t *testing.T) {
	w := newWorld(1, 12, 0)
	late := w.hosts[11]
	late.alive = false
	w.settle(t)
	late.alive = true
	for w.held(late) < S/12 {
		assert.Assert(t, w.now < 2*period+moving+scarce+period/10)
		for _, h := range w.hosts {
			for range 2 { // a write that conflicts is tried again at once
				if now := w.local(h); !now.Before(h.Due(now)) {
					w.read(h)
					w.write(h, 0)
				}
			}
		}
		w.check()
		w.advance(100 * time.Millisecond)
	}
	assert.Equal(t, w.worst, "")
}

// Guards against units that are lost or doubled when a limit is divided.
func TestUnitsAddUp(t *testing.T) {
	for _, total := range []int{0, 1, 9, 23, 24, 25, 81, 100} {
		for offset := range 60 {
			u, slots := Slots(total, offset), [S]int64{}
			for j := range total {
				slots[(offset+j)%S]++
			}
			for i, n := range slots {
				assert.Equal(t, u.In(Of(i)), n)
			}
			assert.Equal(t, u.In(Of(1, 5, 9))+u.In(All&^Of(1, 5, 9)), int64(total))
		}
	}
	assert.Equal(t, Link(1001).In(All), int64(980))
}

func BenchmarkStep(b *testing.B) {
	w := newWorld(1, 64, 0)
	w.settle(b)
	h := w.hosts[0]
	for name, after := range map[string]time.Duration{"idle": 0, "write": Lease / 2} {
		b.Run(name, func(b *testing.B) {
			now := w.local(h).Add(after)
			for b.Loop() {
				h.stale = false
				if _, ok := h.Step(now, 0); ok != (after > 0) {
					b.Fatal("unexpected step")
				}
			}
		})
	}
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			w.read(h)
		}
	})
}

// Guards against hosts that hold no slot of a service: 12 slots lie at the first
// 12 shares, and each of up to 12 hosts needs one of them.
func TestSpreadReachesEveryHalf(t *testing.T) {
	for _, hosts := range []int{2, 3, 4, 6, 8, 12} {
		free := All
		for h := range hosts {
			own := free.spread(S/hosts, 0)
			free &^= own
			assert.Equal(t, own.Len(), S/hosts)
			assert.Assert(t, own&(1<<12-1) != 0, "host %d of %d holds %v", h, hosts, own)
		}
	}
}
