// Package allotter decides which shares of the limits of one ledger row a host
// may use and until when. It needs no leader: the ledger is one row of the
// table service that all hosts change by conditional writes, and each host
// keeps its own leases.
//
// The caller does the reads and writes, one at a time for each Allotter, and
// passes in what came of them:
//
//	row := store.Get(...)
//	a.Read(now, raw, revision)
//	if w, ok := a.Step(now, used); ok {
//		a.Done(outcome of the conditional write w, revision)
//	}
//	shares, until := a.Held(now)
//
// Three rules make it safe. Each side of a lease subtracts or adds 1% for its
// own clock. A restarted host rests until the loans of the process before it
// have ended. A holder gives shares up in two writes: the first marks them as
// leaving, and after it has read its mark and the acknowledgements of all other
// holders, the second takes them out of its entry. So it never uses a share
// that a lost or late write gives up, and no copy of the ledger, from which a
// restarted host takes its entry during an outage, shows a share as usable that
// has another holder.
package allotter

import (
	"slices"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/lender"
)

// Times of leases. Every time that depends on another host's clock is cut or
// stretched by 1%, the largest error of a clock's rate.
const (
	Lease = 6 * time.Hour
	// Renew leaves 5.5 h of the lease on every clock when an outage begins just
	// before a renewal: (6 h less 1% less 20 min) on a clock 1% fast is 5.55 h.
	Renew = 20 * time.Minute
	// Rest is how long a restarted host waits for the loans that the process
	// before it may have given, and for cancellation at upstreams (3 s).
	Rest = lender.Longest + 3*time.Second
	// Offerable is how long after its last write a host offers copies of the
	// row. It is several times Renew, so that a short outage does not end it,
	// and much less than Lease, because hosts that give shares up wait as long
	// for the acknowledgement of one that is dead.
	Offerable = time.Hour
)

// mechanism is a bit of Allotter.without.
type mechanism uint8

// The mechanisms that tests switch off to show that a limit breaks without
// them.
const (
	margins mechanism = 1 << iota
	marks
	rests
)

// Identity names one incarnation of a host. A later process on the same address
// has a higher incarnation.
type Identity struct {
	Address     string
	Host        string
	Incarnation uint64
}

// Action says what a Write is for.
type Action uint8

// The actions, in the order of their urgency.
const (
	Join Action = iota
	Resume
	Release
	Give
	Mark
	Evict
	Take
	Prolong
	Acknowledge
)

var actions = [...]string{"join", "resume", "release", "give", "mark", "evict", "take", "prolong", "acknowledge"}

// String returns the action's name for logs.
func (a Action) String() string { return actions[a] }

// Write is a conditional write to attempt: Value is written if the row still has
// Revision; an empty one means that the row must not exist.
type Write struct {
	Action   Action
	Revision string
	Value    []byte
}

// Outcome says what came of a Write.
type Outcome uint8

// The outcomes of a conditional write. After Lost it may take effect at any
// later time.
const (
	Accepted Outcome = iota
	Conflict
	Lost
)

// sight is the last change of another entry that this host has seen.
type sight struct {
	incarnation, renewal uint64
	before               time.Time // last read that did not show it; zero if none
	since                time.Time // first read that showed it
}

// Allotter is the state of one host in one ledger row. It is not safe for
// concurrent use.
type Allotter struct {
	expected int
	self     Identity
	start    time.Time
	row      Row
	rev      string
	known    bool // row was read from the store by this incarnation
	stale    bool // a write conflicted or was lost; read before the next one
	lastly   time.Time
	sights   map[string]sight
	gone     map[string]statement
	leaving  bool
	off      bool // a later incarnation has the entry, or the entry is released

	until   time.Time // end of the own lease
	held    Set       // shares in the own entry, less those leaving
	renewal uint64    // highest renewal attempted
	sent    time.Time // when the write with that renewal was sent
	next    Row       // the row that the last write makes
	copied  uint64    // counter of the peer's copy in use
	rests   bool      // an earlier process on this address may have lent units
	without mechanism // none outside of tests
}

// statement is an operator's word that an incarnation is gone.
type statement struct {
	incarnation uint64
	at          time.Time
}

// New returns an Allotter of a process that started at the given time.
func New(self Identity, start time.Time) *Allotter {
	return &Allotter{self: self, start: start, stale: true, sights: make(map[string]sight), gone: make(map[string]statement)}
}

// Read takes in the row of a read that was sent after the outcome of the last
// write was known. Sent is the time before the read and now the time after it.
// Empty raw means that there is no row. A row older than one already read is
// ignored. A damaged row is an error of kind Invalid.
func (a *Allotter) Read(sent, now time.Time, raw []byte, revision string) error {
	var row Row
	if len(raw) > 0 {
		var err error
		if row, err = Decode(raw); err != nil {
			return err
		}
	}
	if a.known && row.Counter < a.row.Counter {
		return nil
	}
	a.adopt(sent, now, row, revision)
	return nil
}

// adopt makes the row the one that decisions rest on.
func (a *Allotter) adopt(sent, now time.Time, row Row, revision string) {
	for _, h := range row.Holders {
		s, ok := a.sights[h.Address]
		if ok && s.incarnation == h.Incarnation && s.renewal == h.Renewal {
			continue
		}
		a.sights[h.Address] = sight{h.Incarnation, h.Renewal, a.lastly, now}
	}
	for address := range a.sights {
		if row.find(address) < 0 {
			delete(a.sights, address)
		}
	}
	a.row, a.rev, a.known, a.stale, a.lastly = row, revision, true, false, sent
	a.refresh()
}

// refresh takes the own rights from the row.
func (a *Allotter) refresh() {
	i := a.row.find(a.self.Address)
	if i < 0 {
		a.held, a.until = 0, time.Time{}
		return
	}
	h := a.row.Holders[i]
	switch {
	case h.Incarnation > a.self.Incarnation:
		a.held, a.off = 0, true
	case h.Incarnation < a.self.Incarnation:
		// The entry is the predecessor's. What a copy gave stays usable as
		// far as the row agrees, until this incarnation has taken it over.
		a.held &= keep(h)
	default:
		if h.Renewal == a.renewal {
			a.until = later(a.until, a.sent.Add(a.shorten(Lease)))
		}
		a.held = keep(h)
	}
}

func (a *Allotter) shorten(d time.Duration) time.Duration {
	if a.without&margins != 0 {
		return d
	}
	return lender.Shorten(d)
}

func (a *Allotter) stretch(d time.Duration) time.Duration {
	if a.without&margins != 0 {
		return d
	}
	return lender.Stretch(d)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Held returns the shares this host may use at the time, and the time before
// which all work that uses them must end. The set is empty after that time.
func (a *Allotter) Held(now time.Time) (Set, time.Time) {
	if a.off || a.leaving || a.rests && a.without&rests == 0 && now.Before(a.start.Add(Rest)) || !now.Before(a.until) {
		return 0, time.Time{}
	}
	return a.held, a.until
}

// Copy takes in a peer's copy of the ledger, which a restarted host uses until it
// reaches the store. Asked is the time before the peer was asked and age the
// time that the peer measured since its last read that did not show the renewal
// of this host's entry.
func (a *Allotter) Copy(asked time.Time, raw []byte, age time.Duration) error {
	row, err := Decode(raw)
	if err != nil {
		return err
	}
	i := row.find(a.self.Address)
	if a.known || i < 0 || row.Counter < a.copied || row.Holders[i].Incarnation >= a.self.Incarnation {
		return nil
	}
	h := row.Holders[i]
	a.copied = row.Counter
	a.rests = true
	a.held = keep(h)
	a.until = later(a.until, asked.Add(a.shorten(Lease)-age))
	return nil
}

// Offer returns the copy for a restarted host on the address, with the age that
// Copy needs. It offers only what this incarnation has read from the store
// itself, and only for Offerable after its last write: other holders wait for the
// acknowledgements of exactly these hosts before shares move.
func (a *Allotter) Offer(now time.Time, address string) (raw []byte, revision string, age time.Duration, ok bool) {
	s, seen := a.sights[address]
	own := a.row.find(a.self.Address)
	if !a.known || !seen || s.before.IsZero() || a.off || a.leaving || own < 0 ||
		a.row.Holders[own].Incarnation != a.self.Incarnation || !now.Before(a.until.Add(a.shorten(Offerable)-a.shorten(Lease))) {
		return nil, "", 0, false
	}
	raw, err := a.row.Encode()
	return raw, a.rev, now.Sub(s.before), err == nil
}

// Expect says how many hosts are live. While fewer are in the ledger, this host
// takes no more than its part of the shares, so that hosts that start together
// need not wait for each other to give shares up.
func (a *Allotter) Expect(hosts int) { a.expected = hosts }

// Leave makes the following steps release the entry. Held returns nothing from
// now on.
func (a *Allotter) Leave() { a.leaving = true }

// Released reports whether nothing of this host is left in the ledger.
func (a *Allotter) Released() bool {
	return a.off || a.leaving && a.known && !a.stale && a.row.find(a.self.Address) < 0
}

// Gone takes in the operator's statement that the machine with this address is
// gone. It covers the incarnation that the ledger shows now and no later one.
// The entry is evicted after Rest, when loans the machine gave have ended.
func (a *Allotter) Gone(now time.Time, address string) bool {
	i := a.row.find(address)
	if i < 0 || address == a.self.Address {
		return false
	}
	a.gone[address] = statement{a.row.Holders[i].Incarnation, now}
	return true
}

// Stale reports whether the row must be read before Step can propose a write.
func (a *Allotter) Stale() bool { return a.stale }

// Periods of reads. Holders read more seldom the more they are, so that all of
// them together read a row at most twice per second while nothing moves.
const (
	period = 15 * time.Second
	spread = 500 * time.Millisecond // for each holder
	moving = time.Second            // while this host leaves shares
	scarce = 5 * time.Second        // while this host has less than its part
)

// Due returns when the caller should read the row next, after which it calls
// Step. The caller adds jitter, and reads earlier when a peer's digest shows a
// later counter.
func (a *Allotter) Due(now time.Time) time.Time {
	if a.stale {
		return now
	}
	own := a.row.find(a.self.Address)
	switch {
	case own < 0 || a.row.Holders[own].Leaving != 0:
		return a.lastly.Add(moving)
	case keeps(a.row.Holders[own]) < a.row.target(own):
		return a.lastly.Add(scarce)
	}
	return a.lastly.Add(max(period, time.Duration(len(a.row.Holders))*spread))
}

// Row returns the last row read and its revision. The caller must not change it.
func (a *Allotter) Row() (Row, string) { return a.row, a.rev }

func (r Row) clone() Row { return Row{r.Counter, slices.Clone(r.Holders)} }
