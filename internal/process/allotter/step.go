package allotter

import (
	"slices"
	"time"
)

// Step returns the next conditional write to attempt, if one is due. Used are
// the shares that requests in flight and loans to other hosts need; shares in
// use are never given up. Held no longer contains the shares that the write
// stops using.
func (a *Allotter) Step(now time.Time, used Set) (Write, bool) {
	if !a.known || a.stale || a.off || a.Released() {
		return Write{}, false
	}
	next := a.row.clone()
	next.Counter++
	action, ok := a.plan(now, used, &next)
	if !ok {
		return Write{}, false
	}
	if i := next.find(a.self.Address); i >= 0 {
		a.renewal = max(a.renewal, next.Holders[i].Renewal) + 1
		next.Holders[i].Renewal = a.renewal
		next.Holders[i].Seen = a.row.Counter
		a.held &= keep(next.Holders[i])
	}
	raw, err := next.Encode()
	if err != nil {
		return Write{}, false
	}
	a.sent, a.next, a.stale = now, next, true
	return Write{Action: action, Revision: a.rev, Value: raw}, true
}

// Done takes in what came of the write that Step returned. The revision is that
// of the new row if the write was accepted.
func (a *Allotter) Done(now time.Time, o Outcome, revision string) {
	if o == Accepted {
		a.adopt(a.sent, now, a.next, revision)
	}
}

// plan changes next to the row that the most urgent action makes.
func (a *Allotter) plan(now time.Time, used Set, next *Row) (Action, bool) {
	i := next.find(a.self.Address)
	if i < 0 {
		return Join, a.join(next)
	}
	own := &next.Holders[i]
	if own.Incarnation != a.self.Incarnation {
		own.Incarnation, own.Host = a.self.Incarnation, a.self.Host
		a.rests = true
		return Resume, true
	}
	if a.leaving && used == 0 && (own.Shares == 0 || own.Leaving == own.Shares && a.acknowledged(now, *next, i)) {
		next.Holders = slices.Delete(next.Holders, i, i+1)
		return Release, true
	}
	if give := own.Leaving &^ used; !a.leaving && give != 0 && a.acknowledged(now, *next, i) && keeps(*own) >= next.target(i) {
		own.Shares &^= give
		own.Leaving &^= give
		return Give, true
	}
	if leaving := a.surplus(*next, i); leaving != own.Leaving {
		if leaving&^own.Leaving != 0 {
			own.Mark = next.Counter
		}
		own.Leaving = leaving
		return Mark, true
	}
	if a.evict(now, next) {
		return Evict, true
	}
	if take := a.wanted(*next, i); take != 0 {
		own.Shares |= take
		return Take, true
	}
	// The lease is renewed early, so that an outage of the store that starts at
	// any time leaves all but Renew of it.
	if !now.Before(a.until.Add(Renew - a.shorten(Lease))) {
		return Prolong, true
	}
	return Acknowledge, owes(*next, i)
}

func (a *Allotter) join(next *Row) bool {
	if a.leaving {
		return false
	}
	next.Holders = append(next.Holders, Holder{Address: a.self.Address, Host: a.self.Host, Incarnation: a.self.Incarnation})
	i := len(next.Holders) - 1
	next.Holders[i].Shares = a.wanted(*next, i)
	return true
}

// wanted returns the free shares that the i-th holder takes.
func (a *Allotter) wanted(r Row, i int) Set {
	if a.leaving {
		return 0
	}
	target := r.target(i)
	if len(r.Holders) < a.expected {
		target = min(target, S/a.expected)
	}
	own := r.Holders[i].Shares
	return r.Free().spread(target-own.Len(), own)
}

// surplus returns the shares that the i-th holder should be leaving.
func (a *Allotter) surplus(r Row, i int) Set {
	own := r.Holders[i]
	if a.leaving {
		return own.Shares
	}
	switch over := keeps(own) - r.target(i); {
	case over > 0:
		return own.Leaving | keep(own)&^keep(own).spread(r.target(i), 0)
	case over < 0:
		return own.Leaving &^ own.Leaving.first(-over)
	}
	return own.Leaving
}

// acknowledged reports whether every other holder has written that it saw the
// i-th holder's mark. One that has written nothing for so long that it offers no
// copies any more is not waited for, or a dead machine would keep a new one from
// its shares until the lease ends.
func (a *Allotter) acknowledged(now time.Time, r Row, i int) bool {
	for j, h := range r.Holders {
		if j == i || h.Seen >= r.Holders[i].Mark || a.without&marks != 0 {
			continue
		}
		if s, ok := a.sights[h.Address]; !ok || now.Sub(s.since) <= a.stretch(Offerable) {
			return false
		}
	}
	return true
}

// owes reports whether the i-th holder has yet to acknowledge a mark.
func owes(r Row, i int) bool {
	for j, h := range r.Holders {
		if j != i && h.Leaving != 0 && h.Mark > r.Holders[i].Seen {
			return true
		}
	}
	return false
}

// evict removes the entries whose leases have ended for certain.
func (a *Allotter) evict(now time.Time, next *Row) bool {
	n := len(next.Holders)
	next.Holders = slices.DeleteFunc(next.Holders, func(h Holder) bool {
		if h.Address == a.self.Address {
			return false
		}
		if s, ok := a.sights[h.Address]; ok && now.Sub(s.since) > a.stretch(Lease) {
			return true
		}
		g, ok := a.gone[h.Address]
		return ok && g.incarnation == h.Incarnation && now.Sub(g.at) > a.stretch(Rest)
	})
	return len(next.Holders) < n
}
