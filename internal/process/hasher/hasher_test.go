package hasher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/hasher"
)

// rankByScore ranks candidates by the definition of the ranking. The first of equal scores
// ranks first.
func rankByScore(key uint64, hashes []uint64, weights []float64, n int) hasher.Ranking {
	top, scores := hasher.Ranking{-1, -1, -1, -1}, [hasher.MaxTop]float64{}
	for p, h := range hashes {
		s := hasher.Score(hasher.Mix(key, h), weights[p])
		for i := range n {
			if top[i] < 0 || s > scores[i] {
				copy(top[i+1:n], top[i:])
				copy(scores[i+1:n], scores[i:])
				top[i], scores[i] = int32(p), s
				break
			}
		}
	}
	return top
}

// Guards against a ranking that differs from that of earlier builds, which compare scores:
// where candidates have different weights, are fewer than asked for or have nearly equal
// scores, and where a ranking comes from the cache.
func TestRankingIsThatOfScores(t *testing.T) {
	for name, c := range map[string]struct {
		candidates, weights int
		near                bool // all hashes differ only in their last bits
	}{
		"none":             {0, 1, false},
		"one":              {1, 1, false},
		"three":            {3, 2, false},
		"four":             {4, 1, false},
		"many":             {900, 1, false},
		"many weights":     {900, 900, false},
		"two weights":      {300, 2, false},
		"near":             {300, 1, true},
		"near, by weights": {60, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(c.candidates)))
			hashes, weights := randomCandidates(rng, c.candidates, c.weights, c.near)
			x := hasher.New(hashes, weights)
			for i := range 400 {
				key, n := rng.Uint64(), 1+rng.IntN(hasher.MaxTop)
				if c.near && i%2 == 0 {
					key = 0x2d358dccaa6c78a5 ^ uint64(rng.IntN(8)) // products of few bits
				}
				want := rankByScore(key, hashes, weights, n)
				assert.Equal(t, x.Top(key, n), want, "key %x", key)
				for range 2 {
					assert.Equal(t, x.TopCached(key, n), want, "key %x", key)
				}
			}
		})
	}
}

func randomCandidates(rng *rand.Rand, n, weightCount int, near bool) (hashes []uint64, weights []float64) {
	for i := range n {
		h := rng.Uint64()
		if near {
			h = 0x123456789abcdef0 + h%200
		}
		hashes, weights = append(hashes, h), append(weights, float64(1+i%weightCount))
	}
	return hashes, weights
}

// BenchmarkTop measures a ranking of the upstreams of a region, with and without the cache.
func BenchmarkTop(b *testing.B) {
	for _, n := range []int{5, 40, 90, 256, 800, 2400} {
		hashes, weights := make([]uint64, n), make([]float64, n)
		for i := range hashes {
			hashes[i], weights[i] = rand.Uint64(), 9
		}
		x := hasher.New(hashes, weights)
		for name, top := range map[string]func(uint64, int) hasher.Ranking{"new": x.Top, "repeated": x.TopCached} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					top(uint64(i%300+1)*0x9e3779b97f4a7c15, 4)
				}
			})
		}
	}
}
