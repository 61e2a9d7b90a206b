package controller

import "time"

const (
	// windowHalf is the length of one of the two parts of a window. A sum covers between one
	// and two of them.
	windowHalf = 150 * time.Millisecond
	// windowSpan is the mean time that a sum covers.
	windowSpan = windowHalf * 3 / 2
	// priorCount is the number of observations without pressure that are assumed, so that
	// one refusal on a host with few requests has little weight.
	priorCount = 3
)

// window sums a weight and a count over the last one to two times windowHalf.
type window struct {
	begin           time.Time // of the current part
	weight, count   float64
	weight1, count1 float64 // of the part before it
}

// roll ends parts that are complete.
func (w *window) roll(now time.Time) {
	age := now.Sub(w.begin)
	switch {
	case age < windowHalf:
		return
	case age < 2*windowHalf:
		w.begin = w.begin.Add(windowHalf)
		w.weight1, w.count1 = w.weight, w.count
	default:
		w.begin = now
		w.weight1, w.count1 = 0, 0
	}
	w.weight, w.count = 0, 0
}

func (w *window) add(weight, count float64, now time.Time) {
	w.roll(now)
	w.weight += weight
	w.count += count
}

func (w *window) sums() (weight, count float64) {
	return max(0, w.weight+w.weight1), w.count + w.count1
}

func (w *window) sumsAt(now time.Time) (weight, count float64) {
	w.roll(now)
	return w.sums()
}

// ratio returns the mean weight of an observation, with priorCount ones of weight 0.
func (w *window) ratio() float64 {
	weight, count := w.sums()
	return weight / (count + priorCount)
}
