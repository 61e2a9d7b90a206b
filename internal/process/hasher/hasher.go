// Package hasher ranks candidates for a key by weighted rendezvous hashing: all processes
// that know the same candidates rank them in the same order for a key, and each candidate
// ranks first for a fraction of the keys in proportion to its weight.
//
//	x := hasher.New(hashes, weights)
//	top := x.Top(key, 2) // positions in hashes, or -1
package hasher

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// MaxTop is the largest number of candidates that Top returns.
const MaxTop = 4

// minHashDistance is the distance of two hashes from which their scores are certain to be in
// the same order. The rounding errors of the scores are below 2^-45 of the logarithm, and hashes
// that differ by 2^24 have logarithms that differ by at least 2^-40.
const minHashDistance = 1 << 24

// Index holds the candidates. It is safe for concurrent use.
type Index struct {
	classes []class
	size    int
	cache   lazyCache
}

// class holds the candidates of one weight. Their scores are in the order of their hashes, so
// ranking them takes no logarithms.
type class struct {
	weight    float64
	hashes    []uint64 // combined with hashSeed
	positions []int32
}

// New returns an Index of candidates with the given hashes and weights.
func New(hashes []uint64, weights []float64) *Index {
	x := &Index{size: len(hashes)}
	for i, h := range hashes {
		at, found := slices.BinarySearchFunc(x.classes, weights[i], func(c class, w float64) int { return cmp.Compare(c.weight, w) })
		if !found {
			x.classes = slices.Insert(x.classes, at, class{weight: weights[i]})
		}
		c := &x.classes[at]
		c.hashes, c.positions = append(c.hashes, h^hashSeed), append(c.positions, int32(i))
	}
	return x
}

// Ranking holds the positions of the highest-ranked candidates, followed by -1.
type Ranking [MaxTop]int32

var emptyRanking = Ranking{-1, -1, -1, -1}

// Top returns the n highest-ranked candidates for a key. n is at most MaxTop.
func (x *Index) Top(key uint64, n int) Ranking {
	if len(x.classes) == 0 {
		return emptyRanking
	}
	if len(x.classes) == 1 {
		if top, ok := x.classes[0].top(key, n); ok {
			return top
		}
		return x.exactTop(key, n)
	}
	l := newScoredList(n)
	for i := range x.classes {
		c := &x.classes[i]
		top, ok := c.top(key, n)
		if !ok {
			return x.exactTop(key, n)
		}
		for _, position := range top[:n] {
			if position < 0 {
				break
			}
			at, _ := slices.BinarySearch(c.positions, position)
			l.insert(position, Score(mixKey(key^keySeed, c.hashes[at]), c.weight))
		}
	}
	return l.positions
}

// TopCached is Top for a key that is likely to be looked up again.
func (x *Index) TopCached(key uint64, n int) Ranking {
	if x.size < minCachedSize || key == 0 {
		return x.Top(key, n)
	}
	cache := x.cache.get()
	top, ok := cache.find(key)
	if !ok {
		top = x.Top(key, MaxTop)
		cache.add(key, top)
	}
	for i := n; i < MaxTop; i++ {
		top[i] = -1
	}
	return top
}

// exactTop ranks all candidates by their scores.
func (x *Index) exactTop(key uint64, n int) Ranking {
	l := newScoredList(n)
	for i := range x.classes {
		c := &x.classes[i]
		for j, h := range c.hashes {
			l.insert(c.positions[j], Score(mixKey(key^keySeed, h), c.weight))
		}
	}
	return l.positions
}

// top ranks the candidates of a class by their hashes. It reports false if the order of the
// scores may be another one.
func (c *class) top(key uint64, n int) (Ranking, bool) {
	// One more candidate than is asked for shows whether the last one is certain.
	var best [MaxTop + 1]uint64
	var at [MaxTop + 1]int
	k := min(n+1, len(c.hashes))
	key ^= keySeed
	for i, h := range c.hashes[:k] {
		insertHash(&best, &at, i, mixKey(key, h), i)
	}
	lowest := best[k-1]
	for i, h := range c.hashes[k:] {
		if v := mixKey(key, h); v > lowest {
			insertHash(&best, &at, k-1, v, k+i)
			lowest = best[k-1]
		}
	}
	out := emptyRanking
	previous := uint64(math.MaxUint64)
	for i := range k {
		if previous-best[i] < minHashDistance {
			return out, false
		}
		previous = best[i]
		if i < n {
			out[i] = c.positions[at[i]]
		}
	}
	return out, true
}

// insertHash inserts a hash into the descending list best, whose element at last is replaced.
func insertHash(best *[MaxTop + 1]uint64, at *[MaxTop + 1]int, last int, v uint64, i int) {
	for ; last > 0 && best[last-1] < v; last-- {
		best[last], at[last] = best[last-1], at[last-1]
	}
	best[last], at[last] = v, i
}

// scoredList holds the candidates with the highest scores, and of equal scores those with the
// lowest positions.
type scoredList struct {
	positions Ranking
	scores    [MaxTop]float64
	n         int
}

func newScoredList(n int) scoredList { return scoredList{positions: emptyRanking, n: n} }

func (l *scoredList) insert(position int32, score float64) {
	for i := range l.n {
		if p := l.positions[i]; p < 0 || score > l.scores[i] || (score == l.scores[i] && position < p) {
			copy(l.positions[i+1:l.n], l.positions[i:])
			copy(l.scores[i+1:l.n], l.scores[i:])
			l.positions[i], l.scores[i] = position, score
			return
		}
	}
}

// Score returns the score of a candidate whose hash was mixed with the key. With h mapped
// to a uniform value u in (0, 1), -weight/ln(u) makes each candidate win with a
// probability proportional to its weight.
func Score(h uint64, weight float64) float64 {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

const (
	keySeed  = 0x2d358dccaa6c78a5
	hashSeed = 0x8bb84b93962eacc9
)

// Mix combines the hashes of a key and of a candidate into one that depends on all bits of
// both.
func Mix(key, hash uint64) uint64 { return mixKey(key^keySeed, hash^hashSeed) }

// mixKey is Mix for hashes that are combined with their seeds.
func mixKey(key, hash uint64) uint64 {
	hi, lo := bits.Mul64(key, hash)
	return hi ^ lo
}
