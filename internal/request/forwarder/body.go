package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
)

// senderTime is how long a caller may leave its request body without a byte.
const senderTime = 10 * time.Second

var (
	errTooLong = errors.New("the request body exceeds its bound")
	errEnded   = errors.New("the request has ended")
)

// upload reads the request body of the caller: bounded, with progress, and not
// after the handler has returned. The transport reads it in its own goroutine,
// which can outlive the answer.
type upload struct {
	body    io.ReadCloser
	control *http.ResponseController
	left    int64
	link    *pool.Link
	touched atomic.Bool // at least one Read began
	ended   atomic.Bool
	whole   atomic.Bool // the end of the body was read
	failure atomic.Pointer[error]
	mu      sync.Mutex // held during a Read
}

func newUpload(w http.ResponseWriter, r *http.Request, bound int64) *upload {
	u := &upload{body: r.Body, control: http.NewResponseController(w), left: bound}
	// Without full duplex the server would read the body on its own as soon as
	// the answer starts.
	_ = u.control.EnableFullDuplex()
	return u
}

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
	u.left -= int64(n)
	if u.left < 0 {
		n, err = 0, errTooLong
	}
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
