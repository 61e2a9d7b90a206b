package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
)

// senderTime is how long a caller may leave its request body without a byte.
const senderTime = 10 * time.Second

var errEnded = errors.New("the request has ended")

// upload reads the request body of the caller: bounded, with progress, and not
// after the handler has returned. The transport reads it in its own goroutine,
// which can outlive the answer.
type upload struct {
	body    io.ReadCloser
	control *http.ResponseController
	link    *pool.Link
	started bool        // the transport may read
	touched atomic.Bool // at least one Read began
	ended   atomic.Bool
	whole   atomic.Bool // the end of the body was read
	failure atomic.Pointer[error]
	mu      sync.Mutex // held during a Read
}

func newUpload(w http.ResponseWriter, r *http.Request, bound int64) *upload {
	return &upload{body: http.MaxBytesReader(w, r.Body, bound), control: http.NewResponseController(w)}
}

// start gives the body to the transport for a dispatch on the link.
func (u *upload) start(l *pool.Link) { u.link, u.started = l, true }

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.touched.Store(true)
	if u.ended.Load() {
		return 0, errEnded
	}
	if u.link != nil {
		u.link.Waiting(true)
		defer u.link.Waiting(false)
	}
	_ = u.control.SetReadDeadline(time.Now().Add(senderTime))
	if u.ended.Load() { // stop may have set its deadline before this one
		return 0, errEnded
	}
	n, err := u.body.Read(p)
	switch {
	case err == io.EOF:
		u.whole.Store(true)
		// The server goes on reading to notice a caller that leaves.
		_ = u.control.SetReadDeadline(time.Time{})
	case err != nil:
		u.failure.Store(&err)
	}
	return n, err
}

// Close implements io.Closer. The server closes the body itself.
func (*upload) Close() error { return nil }

// err returns why reading failed.
func (u *upload) err() error {
	if e := u.failure.Load(); e != nil {
		return *e
	}
	return nil
}

// late reports whether the caller sent nothing for too long. It is called when
// the request's context has ended, so that no Read goes on.
func (u *upload) late() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.err(), os.ErrDeadlineExceeded)
}

// stop ends the use of the body; afterwards nothing reads it any more.
func (u *upload) stop() {
	if u.whole.Load() {
		return
	}
	u.ended.Store(true)
	if u.touched.Load() {
		_ = u.control.SetReadDeadline(time.Unix(1, 0)) // ends a Read under way
	}
	u.mu.Lock()
	defer u.mu.Unlock()
}

// closeEarly makes the server close the caller's connection after the answer if
// the rest of the body is not read. Otherwise the server would read that rest on
// its own before it sends the header. It waits a little before it closes, or the
// caller, which still sends, would lose the answer to a reset.
func (x *exchange) closeEarly() {
	if u := x.upload; u == nil || !u.started || u.whole.Load() || x.r.ProtoMajor != 1 {
		return
	}
	// A reader above its bound is how the server is told to do so.
	var one [1]byte
	_, _ = http.MaxBytesReader(x.w, io.NopCloser(strings.NewReader(" ")), 0).Read(one[:])
}
