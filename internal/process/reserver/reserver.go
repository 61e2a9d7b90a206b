// Package reserver bounds the total memory for the bodies of all requests of a host, so
// that many long bodies at once cannot exhaust the memory of the process.
//
//	if !r.TryAcquire(n) {
//		// go on without buffering the body
//	}
//	defer r.Release(n)
package reserver

import (
	"bytes"
	"io"
	"sync/atomic"
)

// reservationBytes is the size of each reservation for a body of unknown length.
const reservationBytes = 64 << 10

// Reserver counts the reserved bytes. The zero value has no bound. It is safe for
// concurrent use.
type Reserver struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

// New returns a Reserver with a bound of limit bytes; 0 means no bound.
func New(limit int64) *Reserver { return &Reserver{limit: limit} }

// TryAcquire reserves n bytes if that many are free, and reports whether it did. The caller
// returns them with Release.
func (r *Reserver) TryAcquire(n int64) bool { return r.TryAcquireLeaving(n, 0) }

// TryAcquireLeaving reserves n bytes as TryAcquire does, but only if a fraction of the limit
// stays free.
func (r *Reserver) TryAcquireLeaving(n int64, fraction float64) bool {
	used := r.used.Add(n)
	if r.limit > 0 && float64(used) > (1-fraction)*float64(r.limit) {
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

// ReadBody reads a body into b until the end of the body, until it has read more than limit
// bytes, or until no memory is free. A length of 0 or less means that the length is not
// known. It returns the number of bytes that it reserved, which the caller has to release
// also after an error, whether b holds the complete body, and errors of the body.
func (r *Reserver) ReadBody(b *bytes.Buffer, body io.Reader, length, limit int64) (reserved int64, complete bool, err error) {
	n := int64(reservationBytes)
	if length > 0 && length <= limit {
		n = length + bytes.MinRead // space to read the end of the body without growing the buffer
	}
	for int64(b.Len()) <= limit {
		if !r.TryAcquire(n) {
			return reserved, false, nil
		}
		reserved += n
		b.Grow(int(n))
		if _, err := io.CopyN(b, body, n); err == io.EOF {
			return reserved, true, nil
		} else if err != nil {
			return reserved, false, err
		}
	}
	return reserved, false, nil
}

// ReadSegments reads a body as ReadBody does, but into segments that are not copied when the
// body grows, so that it takes no more memory than is reserved. A body over 64 KiB leaves a
// fraction of the memory to others.
func (r *Reserver) ReadSegments(body io.Reader, length, limit int64, leave float64) (segments [][]byte, reserved int64, complete bool, err error) {
	n := int64(reservationBytes)
	if length > 0 && length <= limit {
		n = length + 1 // to read the end of the body without another segment
	}
	for read := int64(0); read <= limit; {
		fraction := leave
		if read == 0 && n <= reservationBytes+1 {
			fraction = 0
		}
		if !r.TryAcquireLeaving(n, fraction) {
			return segments, reserved, false, nil
		}
		reserved += n
		segment, err := fill(make([]byte, 0, n), body)
		segments = append(segments, segment)
		if read += int64(len(segment)); err == io.EOF {
			return segments, reserved, true, nil
		} else if err != nil {
			return segments, reserved, false, err
		}
	}
	return segments, reserved, false, nil
}

// fill reads until the capacity of b is used. Errors are those of the reader, also io.EOF.
func fill(b []byte, r io.Reader) ([]byte, error) {
	for len(b) < cap(b) {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// Used returns the number of reserved bytes.
func (r *Reserver) Used() int64 { return r.used.Load() }

// Peak returns the highest number of bytes that were reserved at once.
func (r *Reserver) Peak() int64 { return r.peak.Load() }
