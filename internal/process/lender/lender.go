// Package lender keeps the short loans of units between hosts, in both
// directions. The caller carries the messages: a Borrow is answered with a
// Loan, and a Return has no answer.
//
// A loan ends at two times. The borrower counts from before it asked and cuts
// 1%, the lender counts from its answer and adds 1%, so the units are never
// with both although their clocks differ, and although any message is lost,
// late or repeated.
package lender

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Longest is the longest duration of a loan. A longer wish is cut.
const Longest = 30 * time.Second

// Margin is the part, one in Margin, by which the rate of a clock may be wrong.
const Margin = 100

// Shorten returns d less the error of a clock: what a holder may count on.
func Shorten(d time.Duration) time.Duration { return d - d/Margin }

// Stretch returns d plus the error of a clock: what another host must wait. It
// rounds up.
func Stretch(d time.Duration) time.Duration { return d + (d+Margin-1)/Margin }

// Borrow asks for units of a limit. A Borrow with a Loan prolongs that loan.
type Borrow struct {
	Serial   uint64 // of the exchange, unique at the borrower
	Lender   string
	Limit    string
	Units    int64
	Duration time.Duration
	Loan     uint64

	at time.Time // before the message was sent
}

// Loan is the answer to a Borrow. Duration counts from the Borrow.
type Loan struct {
	ID       uint64
	Limit    string
	Units    int64
	Duration time.Duration
}

// Return tells a lender how many units of a loan the borrower still keeps. The
// same Return has the same effect when it arrives twice, and one that arrives
// late can't give a unit back that was already returned.
type Return struct {
	Lender string
	Loan   uint64
	Keep   int64
}

type key struct {
	peer string
	id   uint64
}

type entry struct {
	limit string
	units int64
	until time.Time
}

// Lender holds the loans of one host. It is not safe for concurrent use.
type Lender struct {
	next     uint64
	exact    bool // counts without margin; only tests set it
	lent     map[key]entry
	borrowed map[key]entry
	asked    map[uint64]Borrow
}

// New returns a Lender without loans. First is above every number that an earlier
// process on this address used, such as its start in Unix nanoseconds, with
// which the loan numbers start, so that a message about a loan of an earlier
// process never meets a loan of this one.
func New(first uint64) *Lender {
	return &Lender{next: first, lent: make(map[key]entry), borrowed: make(map[key]entry), asked: make(map[uint64]Borrow)}
}

func (l *Lender) shorten(d time.Duration) time.Duration {
	if l.exact {
		return d
	}
	return Shorten(d)
}

func (l *Lender) stretch(d time.Duration) time.Duration {
	if l.exact {
		return d
	}
	return Stretch(d)
}

// Lend decides on a Borrow of another host. Idle are the units of own shares
// that nothing uses, without what is lent already; until is the end of the own
// right to them, which the loan doesn't outlast. When Lend returns true, the
// units count as lent, and only then the answer is sent.
func (l *Lender) Lend(now time.Time, borrower string, b Borrow, idle int64, until time.Time) (Loan, bool) {
	l.Expire(now)
	d := min(b.Duration, Longest)
	if b.Loan != 0 {
		return l.prolong(now, borrower, b, d, until)
	}
	units := min(b.Units, idle)
	end := now.Add(l.stretch(d))
	if units <= 0 || d <= 0 || end.After(until) {
		return Loan{}, false
	}
	l.next++
	l.lent[key{borrower, l.next}] = entry{b.Limit, units, end}
	return Loan{l.next, b.Limit, units, d}, true
}

func (l *Lender) prolong(now time.Time, borrower string, b Borrow, d time.Duration, until time.Time) (Loan, bool) {
	k := key{borrower, b.Loan}
	e, ok := l.lent[k]
	end := now.Add(l.stretch(d))
	if !ok || e.limit != b.Limit || d <= 0 || end.After(until) {
		return Loan{}, false
	}
	if end.After(e.until) {
		e.until = end
		l.lent[k] = e
	}
	return Loan{b.Loan, e.limit, e.units, d}, true
}

// Returned takes in a Return of another host.
func (l *Lender) Returned(borrower string, r Return) {
	k := key{borrower, r.Loan}
	e, ok := l.lent[k]
	if !ok {
		return
	}
	e.units = min(e.units, max(r.Keep, 0))
	l.lent[k] = e
	if e.units == 0 {
		delete(l.lent, k)
	}
}

// Ask returns the Borrow to send to a peer. Now is taken before it is sent.
func (l *Lender) Ask(now time.Time, peer, limit string, units int64, d time.Duration) Borrow {
	l.next++
	b := Borrow{Serial: l.next, Lender: peer, Limit: limit, Units: units, Duration: min(d, Longest), at: now}
	l.asked[b.Serial] = b
	return b
}

// Prolong returns the Borrow that prolongs a loan, if the loan still lasts.
func (l *Lender) Prolong(now time.Time, peer string, loan uint64, d time.Duration) (Borrow, bool) {
	e, ok := l.borrowed[key{peer, loan}]
	if !ok || !now.Before(e.until) {
		return Borrow{}, false
	}
	b := l.Ask(now, peer, e.limit, e.units, d)
	b.Loan = loan
	l.asked[b.Serial] = b
	return b, true
}

// Answer takes in the answer to the Borrow with this serial. A second answer to
// the same Borrow, and one that prolongs a loan already returned, has no effect.
func (l *Lender) Answer(serial uint64, loan Loan) bool {
	b, ok := l.asked[serial]
	delete(l.asked, serial)
	if !ok || loan.Limit != b.Limit || loan.Units <= 0 || b.Loan != 0 && b.Loan != loan.ID {
		return false
	}
	k := key{b.Lender, loan.ID}
	e, held := l.borrowed[k]
	if held != (b.Loan != 0) {
		return false
	}
	if !held {
		e = entry{loan.Limit, min(loan.Units, b.Units), time.Time{}}
	}
	e.units = min(e.units, loan.Units)
	if end := b.at.Add(l.shorten(min(loan.Duration, b.Duration))); end.After(e.until) {
		e.until = end
	}
	l.borrowed[k] = e
	return true
}

// Fail forgets a Borrow that was refused or whose answer is no longer awaited.
func (l *Lender) Fail(serial uint64) { delete(l.asked, serial) }

// Return gives units of a loan back except those still kept. The units don't
// count as borrowed any more when Return returns, and only then the message is
// sent.
func (l *Lender) Return(peer string, loan uint64, keep int64) (Return, bool) {
	k := key{peer, loan}
	e, ok := l.borrowed[k]
	if !ok || keep >= e.units || keep < 0 {
		return Return{}, false
	}
	e.units = keep
	l.borrowed[k] = e
	if keep == 0 {
		delete(l.borrowed, k)
	}
	return Return{peer, loan, keep}, true
}

// Expire forgets loans that have ended on this host's clock, and exchanges whose
// answer would come too late.
func (l *Lender) Expire(now time.Time) {
	ended := func(_ key, e entry) bool { return !now.Before(e.until) }
	maps.DeleteFunc(l.lent, ended)
	maps.DeleteFunc(l.borrowed, ended)
	maps.DeleteFunc(l.asked, func(_ uint64, b Borrow) bool { return now.Sub(b.at) >= b.Duration })
}

// Lent returns the units of the limit that other hosts may be using.
func (l *Lender) Lent(now time.Time, limit string) int64 {
	var sum int64
	for _, e := range l.lent {
		if e.limit == limit && now.Before(e.until) {
			sum += e.units
		}
	}
	return sum
}

// Held is a loan that this host has from a peer.
type Held struct {
	Peer  string
	Loan  uint64
	Limit string
	Units int64
	Until time.Time // all work on the units must end before
}

// Borrowed returns the loans that this host may use, by limit and end.
func (l *Lender) Borrowed(now time.Time) []Held {
	var out []Held
	for k, e := range l.borrowed {
		if now.Before(e.until) {
			out = append(out, Held{k.peer, k.id, e.limit, e.units, e.until})
		}
	}
	slices.SortFunc(out, func(a, b Held) int {
		return cmp.Or(strings.Compare(a.Limit, b.Limit), a.Until.Compare(b.Until), strings.Compare(a.Peer, b.Peer), cmp.Compare(a.Loan, b.Loan))
	})
	return out
}
