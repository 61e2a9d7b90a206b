package apportioner

import "time"

const (
	// windowLength is the sliding window over which requests outside their planned region
	// are limited. It is counted in windowBuckets buckets.
	windowLength  = 2 * time.Second
	windowBuckets = 8
)

// window counts requests over the last windowLength. Buckets form a ring.
type window struct {
	newest      int64 // index of the newest bucket, counted from the start
	requests    [windowBuckets]int
	crossRegion [windowBuckets]int
}

// advance drops the buckets that are older than the window.
func (w *window) advance(newest int64) {
	if newest-w.newest >= windowBuckets {
		*w = window{newest: newest}
	}
	for w.newest < newest {
		w.newest++
		w.requests[w.newest%windowBuckets], w.crossRegion[w.newest%windowBuckets] = 0, 0
	}
}

func (w *window) totals() (requests, crossRegion int) {
	for i := range w.requests {
		requests += w.requests[i]
		crossRegion += w.crossRegion[i]
	}
	return requests, crossRegion
}
