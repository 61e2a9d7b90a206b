package lender

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clock returns the reading, after true time d, of a clock whose rate is wrong
// by so many percent.
func clock(d time.Duration, percent int) time.Time {
	return time.Unix(0, 0).Add(d + d/100*time.Duration(percent))
}

// exceeds lends 5 of 5 units between clocks that are wrong by 1% in opposite
// directions, and reports whether both hosts use them at any time.
func exceeds(t *testing.T, exact bool) bool {
	t.Helper()
	l, b := New(1), New(1)
	l.exact, b.exact = exact, exact
	ask := b.Ask(clock(0, -1), "l", "x", 9, time.Hour)
	loan, ok := l.Lend(clock(0, 1), "b", ask, 5, clock(time.Hour, 1))
	assert.Assert(t, ok && loan.Units == 5 && loan.Duration == Longest)
	assert.Assert(t, b.Answer(ask.Serial, loan) && !b.Answer(ask.Serial, loan))
	for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
		if l.Lent(clock(d, 1), "x") == 0 && len(b.Borrowed(clock(d, -1))) > 0 {
			return true
		}
	}
	return false
}

// Guards against a borrower with a slow clock that uses units its lender has
// taken back. Without the margin it does.
func TestMargin(t *testing.T) {
	assert.Assert(t, !exceeds(t, false))
	assert.Assert(t, exceeds(t, true))
}

// Guards against units stranded for more than 30.3 s or counted twice when
// messages are lost, late, repeated or out of order, and against loans that outlast the lender's
// own right.
func TestMessages(t *testing.T) {
	now := time.Unix(0, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	pair := func() (l, b *Lender, loan Loan) {
		l, b = New(1), New(1)
		ask := b.Ask(now, "l", "x", 4, Longest)
		loan, ok := l.Lend(now, "b", ask, 9, at(60))
		assert.Assert(t, ok && b.Answer(ask.Serial, loan))
		return l, b, loan
	}
	cases := map[string]func(t *testing.T){
		"lost answer": func(t *testing.T) {
			l, _, _ := pair()
			assert.Equal(t, l.Lent(now.Add(30300*time.Millisecond-1), "x"), int64(4))
			assert.Equal(t, l.Lent(now.Add(30300*time.Millisecond), "x"), int64(0))
		},
		"returns repeated and out of order": func(t *testing.T) {
			l, b, loan := pair()
			half, _ := b.Return("l", loan.ID, 2)
			rest, ok := b.Return("l", loan.ID, 0)
			assert.Assert(t, ok && len(b.Borrowed(now)) == 0)
			l.Returned("b", half)
			l.Returned("b", half)
			assert.Equal(t, l.Lent(now, "x"), int64(2))
			l.Returned("other", rest)
			assert.Equal(t, l.Lent(now, "x"), int64(2))
			l.Returned("b", rest)
			l.Returned("b", half)
			assert.Equal(t, l.Lent(now, "x"), int64(0))
		},
		"renewal": func(t *testing.T) {
			l, b, loan := pair()
			ask, ok := b.Prolong(at(20), "l", loan.ID, Longest)
			assert.Assert(t, ok)
			again, ok := l.Lend(at(21), "b", ask, 0, at(60))
			assert.Assert(t, ok && again.ID == loan.ID && b.Answer(ask.Serial, again))
			assert.Equal(t, b.Borrowed(at(45))[0].Until, at(20).Add(Shorten(Longest)))
			assert.Equal(t, l.Lent(at(51), "x"), int64(4))
			ask, _ = b.Prolong(at(40), "l", loan.ID, Longest)
			_, ok = l.Lend(at(40), "b", ask, 0, at(60))
			assert.Assert(t, !ok, "the loan would outlast the lender's lease")
		},
		"renewal answered after the return": func(t *testing.T) {
			l, b, loan := pair()
			ask, _ := b.Prolong(at(1), "l", loan.ID, Longest)
			again, _ := l.Lend(at(1), "b", ask, 0, at(60))
			b.Return("l", loan.ID, 0)
			assert.Assert(t, !b.Answer(ask.Serial, again) && len(b.Borrowed(at(1))) == 0)
		},
		"ended loan is not renewed": func(t *testing.T) {
			l, b, loan := pair()
			ask, _ := b.Prolong(at(29), "l", loan.ID, Longest)
			_, ok := l.Lend(at(31), "b", ask, 9, at(600))
			assert.Assert(t, !ok)
		},
		"no units, no right": func(t *testing.T) {
			l := New(1)
			ask := New(1).Ask(now, "l", "x", 4, Longest)
			for _, c := range []struct {
				idle  int64
				until time.Time
			}{{0, at(60)}, {-3, at(60)}, {5, at(30)}} {
				_, ok := l.Lend(now, "b", ask, c.idle, c.until)
				assert.Assert(t, !ok, fmt.Sprint(c))
			}
		},
	}
	for name, f := range cases {
		t.Run(name, f)
	}
}
