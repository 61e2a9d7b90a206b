// Package reserver bounds the memory that the bodies of all requests of a host take
// together, so that many long ones at once cannot end the process.
//
//	if !r.TryAcquire(n) {
//		// go on without holding the body
//	}
//	defer r.Release(n)
package reserver

import (
	"bytes"
	"io"
	"sync/atomic"
)

// step is the memory that a body of unknown length takes at a time, in bytes.
const step = 64 << 10

// Reserver counts the bytes in use. The zero value has no bound. It is safe for
// concurrent use.
type Reserver struct {
	most int64
	used atomic.Int64
	peak atomic.Int64
}

// New returns a Reserver of most bytes; 0 means no bound.
func New(most int64) *Reserver { return &Reserver{most: most} }

// TryAcquire reserves n bytes and reports whether they are free. Each one that succeeds
// is followed by a Release.
func (r *Reserver) TryAcquire(n int64) bool {
	used := r.used.Add(n)
	if r.most > 0 && used > r.most {
		r.used.Add(-n)
		return false
	}
	for {
		peak := r.peak.Load()
		if used <= peak || r.peak.CompareAndSwap(peak, used) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (r *Reserver) Release(n int64) { r.used.Add(-n) }

// ReadBody reads a body into b until its end, until more than most bytes were read, or
// until no memory is free. A length of 0 or less means that it is not known. It
// returns the bytes that it reserved, and whether b holds the whole body.
func (r *Reserver) ReadBody(b *bytes.Buffer, body io.Reader, length, most int64) (held int64, whole bool, err error) {
	n := int64(step)
	if length > 0 && length <= most {
		n = length + bytes.MinRead // room to see the end without growing
	}
	for int64(b.Len()) <= most {
		if !r.TryAcquire(n) {
			return held, false, nil
		}
		held += n
		b.Grow(int(n))
		if _, err := io.CopyN(b, body, n); err == io.EOF {
			return held, true, nil
		} else if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}

// Used returns the bytes in use.
func (r *Reserver) Used() int64 { return r.used.Load() }

// Peak returns the most bytes that were in use at once.
func (r *Reserver) Peak() int64 { return r.peak.Load() }
