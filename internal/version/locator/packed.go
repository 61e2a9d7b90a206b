package locator

// packed is an IPv4 bucket in one allocation, laid out for few CPU cache misses
// per lookup: n pairs of start and site, then n prefix lengths, then the hidden
// prefixes as start, site and length.
type packed struct {
	n    int
	data []uint16
}

func pack(b *bucket[uint16]) packed {
	if b == nil {
		return packed{}
	}
	n := len(b.spans)
	data := make([]uint16, 3*n, 3*(n+len(b.hidden)))
	for i, s := range b.spans {
		data[2*i], data[2*i+1], data[2*n+i] = s.start, s.site, uint16(s.bits)
	}
	for _, s := range b.hidden {
		data = append(data, s.start, s.site, uint16(s.bits))
	}
	return packed{n: n, data: data}
}

func (p *packed) unpack() *bucket[uint16] {
	if p.n == 0 {
		return nil
	}
	b := &bucket[uint16]{spans: make([]span[uint16], p.n)}
	for i := range b.spans {
		b.spans[i] = span[uint16]{start: p.data[2*i], site: p.data[2*i+1], bits: uint8(p.data[2*p.n+i])}
	}
	for rest := p.data[3*p.n:]; len(rest) > 0; rest = rest[3:] {
		b.hidden = append(b.hidden, span[uint16]{start: rest[0], site: rest[1], bits: uint8(rest[2])})
	}
	return b
}

// find returns the site of the span that contains the key, or 0. It interpolates
// a position as if all spans had the same length, and then searches from there
// with doubling steps. Client blocks are spread almost evenly, so most searches
// stay within one cache line; the worst case is still logarithmic.
func (p *packed) find(key uint16) uint16 {
	n := p.n
	if n == 0 {
		return 0
	}
	lo, hi := bracket(p.data[:2*n], n, key)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if p.data[2*mid] <= key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 {
		return 0
	}
	return p.data[2*lo-1]
}

// bracket returns a range that contains the number of spans that start at or
// below the key.
func bracket(pairs []uint16, n int, key uint16) (lo, hi int) {
	guess := int(key) * n >> 16
	if pairs[2*guess] <= key {
		lo, hi = guess+1, n
		for step := 1; lo+step < n; step *= 2 {
			if pairs[2*(lo+step)] > key {
				return lo, lo + step
			}
			lo += step + 1
		}
		return lo, hi
	}
	lo, hi = 0, guess
	for step := 1; hi-step > 0; step *= 2 {
		if pairs[2*(hi-step)] <= key {
			return hi - step + 1, hi
		}
		hi -= step
	}
	return lo, hi
}
