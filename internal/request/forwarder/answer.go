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
	bufferSize = 64 << 10
	// receiverTime is how long a caller may take for one buffer of the answer.
	receiverTime = 30 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// errReceiver means that the caller did not take the answer.
var errReceiver = errors.New("the caller does not take the answer")

// reader reads the body of an answer, over resumptions, and checks that it is
// complete. Its errors other than io.EOF mean that it is not.
type reader struct {
	x       *exchange
	a       *attempt
	src     io.Reader
	resumer resumer.Resumer
	left    int64 // -1 if unknown
	hash    hash.Hash
}

// newReader returns the exchange's only reader, set to the answer of a.
func newReader(x *exchange, a *attempt) *reader {
	resp := a.resp
	r := &x.reader
	*r = reader{x: x, a: a, left: resp.ContentLength, resumer: resumer.New(x.r, resp)}
	if resp.StatusCode == http.StatusOK && (resp.Header["Repr-Digest"] != nil || resp.Trailer != nil) {
		r.hash = sha256.New()
	}
	r.open()
	return r
}

func (r *reader) open() {
	r.src = r.a.resp.Body
	if r.a.path != nil {
		r.src = r.x.f.options.Pacer.Reader(r.a.ctx, r.a.path, r.x.class, r.src)
	}
}

// Read implements io.Reader. The last bytes of an answer of known length are
// returned together with io.EOF, after the digest was compared, so that a wrong
// answer never reaches its full length.
func (r *reader) Read(p []byte) (int, error) {
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
		err = r.cut(err)
		if !r.resume(err) {
			return 0, err
		}
		if n > 0 {
			return n, nil
		}
	}
}

// read reads once and keeps the accounts.
func (r *reader) read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if n <= 0 {
		return n, err
	}
	r.resumer.Advance(n)
	if r.hash != nil {
		r.hash.Write(p[:n])
	}
	if r.left >= 0 {
		r.left -= int64(n)
	}
	if r.left == 0 && err == nil {
		err = r.finish()
	}
	return n, err
}

// finish reads the end after the last byte of a known length, which makes the
// connection free.
func (r *reader) finish() error {
	var none [1]byte
	for range 2 {
		if n, err := r.a.resp.Body.Read(none[:]); n > 0 || err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// cut gives the error of a broken body its kind.
func (r *reader) cut(err error) error {
	if why := r.a.cause.Load(); why != nil {
		return classifier.Truncated.Wrap(*why, r.a.up.Name())
	}
	if !time.Now().Before(r.x.deadline) {
		return classifier.TimedOut.Wrap(err, r.a.up.Name())
	}
	return classifier.Truncated.Wrap(err, r.a.up.Name())
}

// verify compares the digest with what was read.
func (r *reader) verify() error {
	resp := r.a.resp
	if r.left > 0 {
		return classifier.Truncated.New("the answer ended %d bytes early", r.left)
	}
	if r.hash == nil {
		return nil
	}
	want, ok := digest(resp.Header)
	if !ok {
		want, ok = digest(resp.Trailer)
	}
	if ok && want != [sha256.Size]byte(r.hash.Sum(nil)) {
		return classifier.Truncated.New("the answer differs from its Repr-Digest")
	}
	return nil
}

// resume continues the answer at another upstream.
func (r *reader) resume(err error) bool {
	x := r.x
	x.extra.Wait() // a hedge may still read the list of failed upstreams
	for r.resumer.CanResume() && classifier.Of(err) == classifier.Truncated && x.resumed < maxAttempts && !x.gone() {
		x.failed = append(x.failed, r.a.up)
		r.a.finish(err)
		if _, ok := x.f.options.Budget.AllowExtraAttempt(time.Now(), x.service); !ok {
			return false
		}
		x.resumed++
		a, failure := x.admit()
		if failure != nil {
			return false
		}
		a.header = x.outgoing()
		r.resumer.SetRange(a.header)
		a.prepare()
		r.a = a
		if err = a.send(); err != nil {
			// Nothing of the answer was lost by this, so the next try may come.
			err = classifier.Truncated.Wrap(err, "resume")
			continue
		}
		if failure := r.resumer.Validate(a.resp); failure != nil {
			a.finish(failure)
			return false
		}
		r.left = r.resumer.Remaining()
		r.open()
		return true
	}
	return false
}

// unending reports whether the end of the body cannot be told from a broken
// connection.
func unending(resp *http.Response) bool {
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

func (x *exchange) hasBody(resp *http.Response) bool {
	return x.r.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified && resp.ContentLength != 0
}

// deliver answers the caller with what the attempt got.
func (x *exchange) deliver(a *attempt) (err error) {
	r := newReader(x, a)
	defer func() { r.a.finish(err) }()
	if !x.hasBody(a.resp) {
		x.write(a.resp, nil)
		return nil
	}
	if unending(a.resp) && a.resp.Header["Repr-Digest"] == nil {
		return classifier.Truncated.New("the answer of upstream %s has no length, so its end cannot be checked", a.up.Name())
	}
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	if n := a.resp.ContentLength; n > 0 && n <= bufferSize {
		return x.deliverShort(r, buf[:n])
	}
	return x.deliverLong(r, buf[:])
}

// deliverShort reads the whole answer first, so that a broken one can still be
// refused properly, and the upstream is free before the caller has read.
func (x *exchange) deliverShort(r *reader, buf []byte) error {
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
	return x.write(first, buf)
}

func (x *exchange) deliverLong(r *reader, buf []byte) error {
	first := r.a.resp
	if err := x.write(first, nil); err != nil {
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
			_ = control.SetWriteDeadline(time.Now().Add(receiverTime))
			if _, err := x.w.Write(buf[:n]); err != nil {
				return errReceiver
			}
			x.bytes += int64(n)
		}
		if err == io.EOF {
			x.trail(r.a.resp)
			return nil
		}
		if n < len(buf) {
			if err := control.Flush(); err != nil {
				return errReceiver
			}
		}
	}
}

// write sends the header of an answer, and the body if it is at hand.
func (x *exchange) write(resp *http.Response, body []byte) error {
	x.head.Lock()
	x.started = true
	x.status = resp.StatusCode
	h := x.w.Header()
	stripper.CopyEndToEnd(h, resp.Header, said)
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // or the server guesses one
	}
	x.sign(h)
	h["Via"] = extend(resp.Header["Via"], x.f.via(resp.ProtoMajor))
	for name := range resp.Trailer {
		h["Trailer"] = append(h["Trailer"], name)
	}
	x.closeEarly()
	x.w.WriteHeader(resp.StatusCode)
	x.head.Unlock()
	if len(body) == 0 {
		return nil
	}
	x.bytes = int64(len(body))
	if _, err := x.w.Write(body); err != nil {
		return errReceiver
	}
	return nil
}

// sign adds what a host says with each answer.
func (x *exchange) sign(h http.Header) {
	values := []string{classifier.Ran.String(), strconv.FormatUint(x.plan.Version(), 10)}
	h["Request-Id"] = x.ids[:]
	h["Outcome"] = values[:1:1]
	h["Config-Version"] = values[1:]
}

// trail passes the trailers on, those that the header announced and others.
func (x *exchange) trail(last *http.Response) {
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

// abort breaks the caller's stream so that a part is never taken for the whole.
func (x *exchange) abort() {
	if x.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	// For HTTP/1.0 the end of the connection ends the answer, so only a reset
	// shows that it is broken.
	if c, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
