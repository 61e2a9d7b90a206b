package forwarder

import (
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/request/resumer"
	"dandeliontrack.example/dandeliontrack/internal/request/stripper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	bufferBytes = 64 << 10
	// callerWriteTimeout is how long a caller may take to receive one buffer of the
	// response.
	callerWriteTimeout = 30 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// errTooLong means that the upstream sent more than the rest of a range.
var errTooLong = errors.New("the response is longer than its Content-Range")

// errCallerWrite means that the caller did not receive the response.
var errCallerWrite = errors.New("the caller does not receive the response")

// responseReader reads the body of a response, resuming it where possible, and
// checks that it is complete. An error other than io.EOF means that it is not.
type responseReader struct {
	x         *exchange
	a         *attempt
	src       io.Reader
	resumer   resumer.Resumer
	remaining int64 // -1 if unknown
	hash      hash.Hash
}

// newReader resets the only reader of the exchange to the response of a and
// returns it.
func newReader(x *exchange, a *attempt) *responseReader {
	resp := a.resp
	r := &x.reader
	*r = responseReader{x: x, a: a, remaining: bodyLength(resp), resumer: resumer.New(x.r, resp)}
	hasDigest := resp.Header["Repr-Digest"] != nil || resp.Trailer != nil
	if resp.StatusCode == http.StatusOK && hasDigest || resp.StatusCode != http.StatusPartialContent && endsAtClose(resp) {
		r.hash = sha256.New()
	}
	r.open()
	return r
}

func (r *responseReader) open() {
	r.src = r.a.resp.Body
	if r.a.linkFrom != nil {
		r.src = r.x.f.options.Pacer.Reader(r.a.ctx, r.a.linkFrom, r.x.class, r.src)
	}
}

// Read implements io.Reader. The last bytes of a response of known length are
// returned together with io.EOF, after the digest was compared, so that a corrupt
// response never reaches its full length.
func (r *responseReader) Read(p []byte) (int, error) {
	for {
		n, err := r.read(p)
		if err == io.EOF {
			if err = r.verify(); err == nil {
				return n, io.EOF
			}
			return 0, err
		}
		if err == nil {
			return n, nil
		}
		err = r.classify(err)
		if !r.resume(err) {
			return 0, err
		}
		if n > 0 {
			return n, nil
		}
	}
}

// read reads once and updates the digest and the byte counts.
func (r *responseReader) read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if n <= 0 {
		return n, err
	}
	r.resumer.Advance(n)
	if r.hash != nil {
		r.hash.Write(p[:n])
	}
	if r.remaining >= 0 {
		if r.remaining -= int64(n); r.remaining < 0 {
			return 0, errTooLong
		}
	}
	if r.remaining == 0 && err == nil {
		err = r.readEnd()
	}
	return n, err
}

// readEnd reads io.EOF after the last byte of a known length, which makes the
// connection reusable.
func (r *responseReader) readEnd() error {
	var none [1]byte
	for range 2 {
		if n, err := r.a.resp.Body.Read(none[:]); n > 0 || err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// classify returns the error of a failed body read with its kind.
func (r *responseReader) classify(err error) error {
	if why := r.a.cause.Load(); why != nil {
		return classifier.Truncated.Wrap(*why, r.a.up.Name())
	}
	if !time.Now().Before(r.x.deadline) {
		return classifier.TimedOut.Wrap(err, r.a.up.Name())
	}
	return classifier.Truncated.Wrap(err, r.a.up.Name())
}

// verify checks the length and the digest of what was read.
func (r *responseReader) verify() error {
	resp := r.a.resp
	if r.remaining > 0 {
		return classifier.Truncated.New("the response ended %d bytes early", r.remaining)
	}
	if r.hash == nil {
		return nil
	}
	want, ok := digest(resp.Header)
	if !ok {
		want, ok = digest(resp.Trailer)
	}
	if ok && want != [sha256.Size]byte(r.hash.Sum(nil)) {
		return classifier.Truncated.New("the response differs from its Repr-Digest")
	}
	return nil
}

// resume continues the response at another upstream and reports whether it could.
func (r *responseReader) resume(err error) bool {
	x := r.x
	x.hedgesRunning.Wait() // a hedge may still read the list of failed upstreams
	for r.resumer.CanResume() && classifier.Of(err) == classifier.Truncated && x.resumeCount < maxAttempts && !x.abandoned() {
		x.failed = append(x.failed, r.a.up)
		r.a.finish(err)
		if _, ok := x.f.options.Budget.AllowExtraAttempt(time.Now(), x.service); !ok {
			return false
		}
		x.resumeCount++
		a, failure := x.admit()
		if failure != nil {
			return false
		}
		a.header = x.outgoing()
		r.resumer.SetRange(a.header)
		a.prepare()
		r.a = a
		if err = a.send(); err != nil {
			// The part received so far is still valid, so try the next upstream.
			err = classifier.Truncated.Wrap(err, "resume")
			continue
		}
		if failure := r.resumer.Validate(a.resp); failure != nil {
			a.finish(failure)
			return false
		}
		r.remaining = r.resumer.Remaining()
		r.open()
		return true
	}
	return false
}

// endsAtClose reports whether the end of the body cannot be told from a broken
// connection.
func endsAtClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// bodyLength returns the length of the body, or -1 if it is not known.
func bodyLength(resp *http.Response) int64 {
	if resp.StatusCode == http.StatusPartialContent && endsAtClose(resp) {
		if first, last, _, ok := resumer.ParseContentRange(resp.Header); ok {
			return last - first + 1
		}
	}
	return resp.ContentLength
}

// checkEnd returns an error if a part of the body could not be told from the whole: the body ends
// with its connection, and has no digest that can be compared. Beside status 206 the digest is
// that of the whole representation (RFC 9530, section 3.1), and the length of the range counts.
func (a *attempt) checkEnd() error {
	if !endsAtClose(a.resp) {
		return nil
	}
	_, hasEnd := digest(a.resp.Header)
	if a.resp.StatusCode == http.StatusPartialContent {
		hasEnd = a.resp.Header["Repr-Digest"] != nil && bodyLength(a.resp) >= 0
	}
	if hasEnd {
		return nil
	}
	return classifier.Truncated.New("the response of upstream %s has no length, so its end cannot be checked", a.up.Name())
}

func (x *exchange) hasBody(resp *http.Response) bool {
	return x.r.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified && resp.ContentLength != 0
}

// deliver writes the response of the attempt to the caller.
func (x *exchange) deliver(a *attempt) (err error) {
	r := newReader(x, a)
	defer func() { r.a.finish(err) }()
	if !x.hasBody(a.resp) {
		x.writeResponse(a.resp, nil)
		return nil
	}
	if err := a.checkEnd(); err != nil {
		return err
	}
	buf := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buf)
	if n := a.resp.ContentLength; n > 0 && n <= bufferBytes {
		return x.deliverBuffered(r, buf[:n])
	}
	return x.deliverStreamed(r, buf[:])
}

// deliverBuffered reads the whole response before it writes it, so that a
// truncated one can still be replaced by an error, and the slot of the upstream
// is released before the caller has read.
func (x *exchange) deliverBuffered(r *responseReader, buf []byte) error {
	first := r.a.resp
	for n := 0; n < len(buf); {
		k, err := r.Read(buf[n:])
		n += k
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	r.a.finish(nil)
	return x.writeResponse(first, buf)
}

func (x *exchange) deliverStreamed(r *responseReader, buf []byte) error {
	first := r.a.resp
	if err := x.writeResponse(first, nil); err != nil {
		return err
	}
	control := http.NewResponseController(x.w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for {
		n, err := r.Read(buf)
		if err != nil && err != io.EOF {
			return err
		}
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
			if _, err := x.w.Write(buf[:n]); err != nil {
				return errCallerWrite
			}
			x.bodyBytes += int64(n)
		}
		if err == io.EOF {
			x.copyTrailers(r.a.resp)
			return nil
		}
		if n < len(buf) {
			if err := control.Flush(); err != nil {
				return errCallerWrite
			}
		}
	}
}

// writeResponse writes the header of a response, and body if it is not empty.
func (x *exchange) writeResponse(resp *http.Response, body []byte) error {
	x.headerMu.Lock()
	x.headerWritten = true
	x.status = resp.StatusCode
	h := x.w.Header()
	stripper.CopyEndToEnd(h, resp.Header, hostHeaders)
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps the server from detecting one
	}
	x.setHostHeaders(h)
	h["Via"] = appended(resp.Header["Via"], x.f.via(resp.ProtoMajor))
	for name := range resp.Trailer {
		h["Trailer"] = append(h["Trailer"], name)
	}
	x.closeAfterResponse()
	x.w.WriteHeader(resp.StatusCode)
	x.headerMu.Unlock()
	if len(body) == 0 {
		return nil
	}
	x.bodyBytes = int64(len(body))
	if _, err := x.w.Write(body); err != nil {
		return errCallerWrite
	}
	return nil
}

// setHostHeaders sets the headers that a host adds to each response.
func (x *exchange) setHostHeaders(h http.Header) {
	values := []string{classifier.Ran.String(), strconv.FormatUint(x.plan.Version(), 10)}
	h["Request-Id"] = x.ids[:]
	h["Outcome"] = values[:1:1]
	h["Config-Version"] = values[1:]
}

// copyTrailers forwards the trailers, whether the header announced them or not.
func (x *exchange) copyTrailers(last *http.Response) {
	h := x.w.Header()
	announced := h["Trailer"]
	for name, values := range last.Trailer {
		if stripper.IsHopByHop(name) || strings.HasPrefix(name, "Content-") {
			continue
		}
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// abort breaks the connection or stream to the caller, so that a partial response
// is never taken for a complete one.
func (x *exchange) abort() {
	if x.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	// In HTTP/1.0 the end of the connection ends the response, so only a reset
	// shows that it is truncated.
	if c, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
