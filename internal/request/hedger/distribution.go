package hedger

import (
	"math"
	"time"
)

const (
	// Buckets grow by bucketRatio from firstBucket: 64 of them reach two minutes, and a
	// quantile is too high by at most 15%.
	bucketCount = 64
	bucketRatio = 1.15
	firstBucket = 20 * time.Millisecond
)

// distribution counts durations in buckets over the current window and the one before.
type distribution struct {
	current, previous [bucketCount]uint32
	windowEnd         time.Time
}

// add counts a duration.
func (d *distribution) add(now time.Time, v time.Duration) {
	d.advance(now)
	d.current[bucketOf(v)]++
}

// advance drops the windows that have passed.
func (d *distribution) advance(now time.Time) {
	if now.Before(d.windowEnd) {
		return
	}
	if now.Sub(d.windowEnd) < windowLength {
		d.previous = d.current
	} else {
		d.previous = [bucketCount]uint32{}
	}
	d.current = [bucketCount]uint32{}
	d.windowEnd = now.Add(windowLength)
}

// quantile returns the upper bound of the bucket of the q-quantile, and whether there are enough
// samples to tell.
func (d *distribution) quantile(now time.Time, q float64) (time.Duration, bool) {
	d.advance(now)
	total := uint32(0)
	for i := range d.current {
		total += d.current[i] + d.previous[i]
	}
	if total < minSamples {
		return 0, false
	}
	rank, below := uint32(math.Ceil(q*float64(total))), uint32(0)
	for i := range d.current {
		if below += d.current[i] + d.previous[i]; below >= rank {
			return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i))), true
		}
	}
	return 0, false
}

func bucketOf(v time.Duration) int {
	if v <= firstBucket {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(math.Log(float64(v)/float64(firstBucket))/math.Log(bucketRatio))))
}
