// Package resumer decides whether a truncated download can be resumed at another
// upstream, and whether the response of that upstream is the exact continuation.
//
//	d := resumer.New(req, resp)
//	d.Advance(n) // after each part
//	if d.CanResume() {
//		d.SetRange(header)
//		err := d.Validate(next)
//	}
package resumer

import (
	"net/http"
	"strconv"
	"strings"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Resumer tracks the progress of one download. The zero Resumer cannot be resumed.
type Resumer struct {
	etag     string
	encoding string
	first    int64 // of the range that the caller gets
	last     int64 // -1 if unknown
	total    int64 // of the representation, -1 if unknown
	got      int64
}

// New returns a Resumer for the response to a request. Resumable is the response
// to a GET with a strong ETag and either the whole representation or
// one range of it.
func New(req *http.Request, resp *http.Response) Resumer {
	var zero Resumer
	if req.Method != http.MethodGet {
		return zero
	}
	etag := resp.Header.Get("Etag")
	if !strong(etag) {
		return zero
	}
	d := Resumer{etag: etag, encoding: resp.Header.Get("Content-Encoding"), last: -1, total: -1}
	switch resp.StatusCode {
	case http.StatusOK:
		if resp.ContentLength >= 0 {
			d.last, d.total = resp.ContentLength-1, resp.ContentLength
		}
		return d
	case http.StatusPartialContent:
		var ok bool
		d.first, d.last, d.total, ok = ParseContentRange(resp.Header)
		if !ok || resp.ContentLength >= 0 && resp.ContentLength != d.last-d.first+1 {
			return zero
		}
		return d
	}
	return zero
}

// strong reports whether the entity tag is strong and well-formed.
func strong(etag string) bool {
	return len(etag) > 2 && etag[0] == '"' && strings.IndexByte(etag[1:], '"') == len(etag)-2
}

// Advance records that the caller received n more bytes.
func (d *Resumer) Advance(n int) { d.got += int64(n) }

// CanResume reports whether the rest may be requested from another upstream.
func (d *Resumer) CanResume() bool {
	return d.etag != "" && (d.last < 0 || d.first+d.got <= d.last)
}

// SetRange sets Range and If-Range in h to request the rest of the download.
func (d *Resumer) SetRange(h http.Header) {
	last := ""
	if d.last >= 0 {
		last = strconv.FormatInt(d.last, 10)
	}
	h["Range"] = []string{"bytes=" + strconv.FormatInt(d.first+d.got, 10) + "-" + last}
	h["If-Range"] = []string{d.etag}
	// The entity tag decides alone; another condition could lead to a
	// response without a body.
	for _, name := range [...]string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		delete(h, name)
	}
}

// Validate returns an error of kind Truncated unless the response is exactly the
// rest of the download.
func (d *Resumer) Validate(resp *http.Response) error {
	if resp.StatusCode != http.StatusPartialContent {
		return classifier.Truncated.New("the rest was rejected with status %d", resp.StatusCode)
	}
	if etag := resp.Header.Get("Etag"); etag != d.etag {
		return classifier.Truncated.New("the rest has ETag %s, the start had %s", etag, d.etag)
	}
	if e := resp.Header.Get("Content-Encoding"); e != d.encoding {
		return classifier.Truncated.New("the rest has Content-Encoding %q, the start had %q", e, d.encoding)
	}
	first, last, total, ok := ParseContentRange(resp.Header)
	start := d.first + d.got
	switch {
	case !ok:
		return classifier.Truncated.New("the rest has no usable Content-Range")
	case first != start || d.last >= 0 && last != d.last || d.total >= 0 && total != d.total:
		return classifier.Truncated.New("the rest has Content-Range %d-%d/%d, wanted %d-%d/%d", first, last, total, start, d.last, d.total)
	case d.last < 0 && (total < 0 || last != total-1):
		return classifier.Truncated.New("the Content-Range of the rest does not reach the end")
	case resp.ContentLength >= 0 && resp.ContentLength != last-first+1:
		return classifier.Truncated.New("the rest has Content-Length %d for a range of %d bytes", resp.ContentLength, last-first+1)
	}
	d.last, d.total = last, total
	return nil
}

// Remaining returns how many bytes are missing, or -1 if that is not known.
func (d *Resumer) Remaining() int64 {
	if d.etag == "" || d.last < 0 {
		return -1
	}
	return d.last - d.first + 1 - d.got
}

// ParseContentRange parses the Content-Range of a response with one range in bytes. total is
// -1 if it is not given.
func ParseContentRange(h http.Header) (first, last, total int64, ok bool) {
	values := h["Content-Range"]
	if len(values) != 1 {
		return 0, 0, 0, false
	}
	spec, found := strings.CutPrefix(values[0], "bytes ")
	span, size, slash := strings.Cut(spec, "/")
	from, to, dash := strings.Cut(span, "-")
	if !found || !slash || !dash {
		return 0, 0, 0, false
	}
	first, ok1 := number(from)
	last, ok2 := number(to)
	total, ok3 := int64(-1), true
	if size != "*" {
		total, ok3 = number(size)
	}
	if !ok1 || !ok2 || !ok3 || first > last || total >= 0 && last >= total {
		return 0, 0, 0, false
	}
	return first, last, total, true
}

// number parses digits only; strconv would also take a sign.
func number(s string) (int64, bool) {
	const maxDigits = 18 // no overflow, also not of sums
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	var n int64
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int64(s[i]-'0')
	}
	return n, true
}
