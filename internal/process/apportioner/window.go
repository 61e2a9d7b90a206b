package apportioner

import "time"

const (
	// span is the time over which requests outside their planned region are
	// limited, and buckets the parts in which it is counted.
	span    = 2 * time.Second
	buckets = 8
)

// window counts requests over the last span.
type window struct {
	slot  int64
	all   [buckets]int
	cross [buckets]int
}

// advance drops what is older than the span.
func (w *window) advance(slot int64) {
	if slot-w.slot >= buckets {
		*w = window{slot: slot}
	}
	for w.slot < slot {
		w.slot++
		w.all[w.slot%buckets], w.cross[w.slot%buckets] = 0, 0
	}
}

func (w *window) sums() (all, cross int) {
	for i := range w.all {
		all += w.all[i]
		cross += w.cross[i]
	}
	return all, cross
}
