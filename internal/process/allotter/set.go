package allotter

import (
	"encoding/json"
	"math/bits"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// S is the number of shares that every limit is divided into.
const S = 24

// Set is a set of share numbers 0 to S-1. In JSON it is a sorted list. The zero
// Set is empty.
type Set uint32

// All is the set of all shares.
const All Set = 1<<S - 1

// Of returns the set of the given share numbers.
func Of(shares ...int) Set {
	var s Set
	for _, i := range shares {
		s |= 1 << i
	}
	return s
}

// Has reports whether the share is in the set.
func (s Set) Has(share int) bool { return s&(1<<share) != 0 }

// Len returns the number of shares in the set.
func (s Set) Len() int { return bits.OnesCount32(uint32(s)) }

// first returns the n lowest shares of the set, or all if it has fewer.
func (s Set) first(n int) Set {
	var out Set
	for ; n > 0 && s != 0; n-- {
		low := s & -s
		out |= low
		s &^= low
	}
	return out
}

// spread returns n shares of the set at even distances as far as it has them, or
// all if it has fewer. It prefers distances at which own lies. Slots of one
// service lie at neighbouring shares, so hosts whose shares are at even
// distances have some slots of every service.
func (s Set) spread(n int, own Set) Set {
	if n >= s.Len() {
		return s
	}
	if n <= 0 {
		return 0
	}
	step := max(S/(n+own.Len()), 1)
	var best Set
	most := -1
	for r := range step {
		var class Set
		for i := r; i < S; i += step {
			class |= 1 << i
		}
		if score := 2*(class&own).Len() + (class & s).Len(); score > most {
			best, most = class&s, score
		}
	}
	best = best.first(n)
	return best | (s &^ best).first(n-best.Len())
}

// MarshalJSON writes the list of share numbers.
func (s Set) MarshalJSON() ([]byte, error) {
	list := make([]int, 0, S)
	for i := range S {
		if s.Has(i) {
			list = append(list, i)
		}
	}
	return json.Marshal(list)
}

// UnmarshalJSON reads a list of share numbers.
func (s *Set) UnmarshalJSON(raw []byte) error {
	var list []int
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	*s = 0
	for _, i := range list {
		if i < 0 || i >= S {
			return classifier.Invalid.New("ledger: share %d is outside 0 to %d", i, S-1)
		}
		*s |= 1 << i
	}
	return nil
}

// Units maps shares to units of one limit. Over all shares the units add up to
// the limit exactly. The zero Units has none.
type Units struct {
	total  int64
	offset int
}

// control is the part of every link, in percent, that is kept for traffic
// between hosts and with the store.
const control = 2

// Slots divides a count of slots: slot j belongs to share (offset+j) mod S. The
// slots of a region have the offset 0.
func Slots(slots, offset int) Units {
	return Units{total: int64(slots), offset: ((offset % S) + S) % S}
}

// Link divides the bytes per second of a link after the part for control.
func Link(rate int64) Units { return Units{total: rate - ceil(rate, control)} }

// Writes divides the writes per second of the store.
func Writes(rate int64) Units { return Units{total: rate} }

// ceil returns percent of rate rounded up, without overflow.
func ceil(rate, percent int64) int64 {
	return rate/100*percent + (rate%100*percent+99)/100
}

// Total returns the units of all shares.
func (u Units) Total() int64 { return u.total }

// In returns the units of the shares in the set.
func (u Units) In(s Set) int64 {
	each, extra := u.total/S, int(u.total%S)
	n := each * int64(s.Len())
	for i := range extra {
		// The rest goes to the first shares from the offset on, for rates as
		// for slots.
		if s.Has((u.offset + i) % S) {
			n++
		}
	}
	return n
}
