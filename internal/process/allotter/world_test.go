package allotter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/lender"
)

// limits are one of each kind, with totals that S does not divide.
var limits = []Units{Slots(81, 0), Slots(9, 31), Link(500_000_001), Writes(300)}

type ticket struct {
	limit int
	end   time.Time // on the host's clock
	loan  bool
}

// host is one address with the process on it.
type host struct {
	address string
	ppm     int64 // error of the clock's rate
	epoch   time.Time
	*Allotter
	loans   *lender.Lender
	tickets []ticket
	alive   bool
	buried  bool
	wake    time.Duration // paused until
	cut     bool          // no store
	side    int           // of a partition between hosts
	died    time.Duration
}

type message struct {
	at      time.Duration
	deliver func()
}

// world is a store and hosts in true time.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	raw    []byte
	rev    int
	down   bool
	hosts  []*host
	post   []message
	born   uint64
	off    mechanism
	worst  string               // first limit exceeded by the shares
	naive  int                  // checks at which the naive rule exceeds a limit
	done   [Acknowledge + 1]int // accepted writes
	lent   int                  // loans given
	copies int                  // copies that gave shares
}

func newWorld(seed uint64, n int, off mechanism) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), off: off}
	for i := range n {
		h := &host{address: fmt.Sprintf("192.0.2.%d:1", i+1), ppm: []int64{-10_000, 10_000, 0, w.rng.Int64N(20_001) - 10_000}[i%4], epoch: time.Unix(int64(i)*1000, 0)}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *world) start(h *host) {
	w.born++
	h.Allotter = New(Identity{h.address, h.address, w.born}, w.local(h))
	h.without = w.off
	h.loans = lender.New(w.born << 32)
	h.alive = true
}

func (w *world) local(h *host) time.Time {
	return h.epoch.Add(w.now + w.now/1_000_000*time.Duration(h.ppm))
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) reach(a, b *host) bool { return b.alive && b.wake <= w.now && a.side == b.side }

func (w *world) revision() string {
	if w.rev == 0 {
		return ""
	}
	return strconv.Itoa(w.rev)
}

func (w *world) put(p Write) bool {
	if w.down || p.Revision != w.revision() {
		return false
	}
	w.rev++
	w.raw = p.Value
	w.done[p.Action]++
	return true
}

func (w *world) read(h *host) {
	if !w.down && !h.cut {
		if err := h.Read(w.local(h), w.local(h), w.raw, w.revision()); err != nil {
			panic(err)
		}
	}
}

// write makes one step of the ledger. Fault: 0 none, 1 the answer is lost, 2 the
// write is lost, 3 the write takes effect later.
func (w *world) write(h *host, fault int) (Write, bool) {
	p, ok := h.Step(w.local(h), w.used(h))
	if !ok {
		return p, false
	}
	switch {
	case w.down || h.cut || fault == 2:
		h.Done(w.local(h), Lost, "")
	case fault == 3:
		w.later(time.Duration(w.rng.Int64N(int64(10*time.Minute))), func() { w.put(p) })
		h.Done(w.local(h), Lost, "")
	case !w.put(p):
		h.Done(w.local(h), Conflict, "")
	case fault == 1:
		h.Done(w.local(h), Lost, "")
	default:
		h.Done(w.local(h), Accepted, w.revision())
	}
	return p, true
}

func (w *world) later(d time.Duration, f func()) { w.post = append(w.post, message{w.now + d, f}) }

// advance moves true time and delivers what is due.
func (w *world) advance(d time.Duration) {
	w.now += d
	w.post = slices.DeleteFunc(w.post, func(m message) bool {
		if m.at <= w.now {
			m.deliver()
		}
		return m.at <= w.now
	})
	for _, h := range w.hosts {
		t := w.local(h)
		h.tickets = slices.DeleteFunc(h.tickets, func(k ticket) bool { return !t.Before(k.end) || !h.alive && w.now >= h.died+3*time.Second })
	}
}

func (w *world) running(h *host, limit int, loan bool) (n int64) {
	for _, k := range h.tickets {
		if k.limit == limit && k.loan == loan {
			n++
		}
	}
	return n
}

func (w *world) used(h *host) Set {
	held, _ := h.Held(w.local(h))
	for i, u := range limits {
		if n := w.running(h, i, false) + h.loans.Lent(w.local(h), strconv.Itoa(i)); n > 0 && n > u.In(held) {
			return All
		}
	}
	return 0
}

// usable returns what the host may use or still uses: units of own shares, and
// borrowed ones.
func (w *world) usable(h *host, limit int) int64 {
	own, borrowed := w.running(h, limit, false), w.running(h, limit, true)
	if !h.alive {
		return own + borrowed
	}
	t := w.local(h)
	held, _ := h.Held(t)
	own = max(own, limits[limit].In(held)-h.loans.Lent(t, strconv.Itoa(limit)))
	var loans int64
	for _, b := range h.loans.Borrowed(t) {
		if b.Limit == strconv.Itoa(limit) {
			loans += b.Units
		}
	}
	return own + max(borrowed, loans)
}

func (w *world) check() {
	for i, u := range limits {
		var sum, naive int64
		for _, h := range w.hosts {
			sum += w.usable(h, i)
			if h.alive {
				seen := int64(0)
				for _, p := range w.hosts {
					if w.reach(h, p) {
						seen++
					}
				}
				naive += u.Total() / max(seen, 1)
			}
		}
		if sum > u.Total() && w.worst == "" {
			w.worst = fmt.Sprintf("limit %d: %d of %d usable after %v", i, sum, u.Total(), w.now)
		}
		if naive > u.Total() {
			w.naive++
		}
	}
}

func (w *world) crash(h *host) {
	h.alive = false
	h.died = w.now
}

// faults changes at random what works.
func (w *world) faults() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch w.rng.IntN(12) {
	case 0:
		w.down = w.chance(50)
	case 1:
		h.cut = w.chance(50)
	case 2:
		h.side = w.rng.IntN(2)
	case 3:
		w.down = false
		for _, p := range w.hosts {
			p.side, p.cut = 0, false
		}
	case 4:
		h.wake = w.now + time.Duration(w.rng.Int64N(int64(2*time.Minute)))
	case 5:
		if h.alive {
			w.crash(h)
		}
	case 6:
		if h.alive && !h.buried && w.chance(20) {
			w.crash(h)
			h.buried = true
			w.hosts[0].Gone(w.local(w.hosts[0]), h.address)
		}
	case 7:
		if h.alive && w.chance(20) {
			h.Leave()
		}
	default:
		// Restart on the same address. That of a machine declared gone may be
		// used again when the ledger doesn't list it any more.
		row, _ := Decode(w.raw)
		if !h.alive && (!h.buried || row.find(h.address) < 0) {
			h.buried = false
			w.start(h)
		}
	}
}

// act lets the host do what it does in a moment.
func (w *world) act(h *host) {
	if !h.alive || h.wake > w.now {
		return
	}
	if h.Released() {
		h.tickets = nil
		w.crash(h)
		return
	}
	if h.Stale() || w.chance(30) {
		w.read(h)
	}
	fault := 0
	if w.chance(25) {
		fault = 1 + w.rng.IntN(3)
	}
	w.write(h, fault)
	p := w.hosts[w.rng.IntN(len(w.hosts))]
	if p != h && w.reach(h, p) {
		asked := w.local(h)
		if raw, _, age, ok := p.Offer(w.local(p), h.address); ok {
			in := h.Allotter
			w.later(time.Duration(w.rng.Int64N(int64(time.Second))), func() {
				if err := in.Copy(asked, raw, age); err == nil && !in.known && in.held != 0 {
					w.copies++
				}
			})
		}
		w.borrow(h, p)
	}
	w.work(h)
}

func (w *world) borrow(h, p *host) {
	limit := w.rng.IntN(len(limits))
	ask := h.loans.Ask(w.local(h), p.address, strconv.Itoa(limit), 1+w.rng.Int64N(4), time.Minute)
	for _, b := range h.loans.Borrowed(w.local(h)) {
		if b.Peer != p.address {
			continue
		}
		if l, _ := strconv.Atoi(b.Limit); w.running(h, l, true) == 0 && w.chance(40) {
			r, _ := h.loans.Return(b.Peer, b.Loan, w.rng.Int64N(b.Units))
			for range w.rng.IntN(3) { // lost, once or twice, at any time
				w.later(time.Duration(w.rng.Int64N(int64(time.Minute))), func() { p.loans.Returned(h.address, r) })
			}
			return
		}
		if l, ok := h.loans.Prolong(w.local(h), p.address, b.Loan, time.Minute); ok && w.chance(50) {
			ask = l
		}
	}
	held, until := p.Held(w.local(p))
	limit, _ = strconv.Atoi(ask.Limit)
	idle := limits[limit].In(held) - w.running(p, limit, false) - p.loans.Lent(w.local(p), ask.Limit)
	loan, ok := p.loans.Lend(w.local(p), h.address, ask, idle, until)
	if !ok || w.chance(20) {
		return
	}
	w.lent++
	in := h.loans
	for range 1 + w.rng.IntN(2) {
		w.later(time.Duration(w.rng.Int64N(int64(5*time.Second))), func() { in.Answer(ask.Serial, loan) })
	}
}

// work starts requests on idle units with deadlines inside the right.
func (w *world) work(h *host) {
	t := w.local(h)
	held, until := h.Held(t)
	if w.chance(30) {
		h.tickets = slices.DeleteFunc(h.tickets, func(ticket) bool { return w.chance(50) })
	}
	for limit, u := range limits[:2] {
		if left := until.Sub(t); left > 0 && u.In(held)-h.loans.Lent(t, strconv.Itoa(limit)) > w.running(h, limit, false) && w.chance(60) {
			h.tickets = append(h.tickets, ticket{limit, t.Add(time.Duration(w.rng.Int64N(int64(min(left, 40*time.Minute))))), false})
		}
	}
	for _, b := range h.loans.Borrowed(t) {
		if limit, _ := strconv.Atoi(b.Limit); limit < 2 && w.running(h, limit, true) == 0 {
			h.tickets = append(h.tickets, ticket{limit, b.Until, true})
		}
	}
}
