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

// callerReadTimeout is how long a caller may send no byte of its request body.
const callerReadTimeout = 10 * time.Second

var errEnded = errors.New("the request has ended")

// upload reads the request body of the caller. It limits the size and the time
// without progress, and stops before the handler returns. The transport reads it
// in its own goroutine, which can outlive the response.
type upload struct {
	body        io.ReadCloser
	control     *http.ResponseController
	conn        *pool.Link
	attached    bool        // the transport may read
	readStarted atomic.Bool // at least one Read began
	ended       atomic.Bool
	complete    atomic.Bool // the end of the body was read
	failure     atomic.Pointer[error]
	mu          sync.Mutex // held during a Read
}

func newUpload(w http.ResponseWriter, r *http.Request, bound int64) *upload {
	return &upload{body: http.MaxBytesReader(w, r.Body, bound), control: http.NewResponseController(w)}
}

// attach hands the body to the transport for a dispatch on the connection.
func (u *upload) attach(l *pool.Link) { u.conn, u.attached = l, true }

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readStarted.Store(true)
	if u.complete.Load() { // the transport may read once more, also after stop
		return 0, io.EOF
	}
	if u.ended.Load() {
		return 0, errEnded
	}
	if u.conn != nil {
		u.conn.Waiting(true)
		defer u.conn.Waiting(false)
	}
	_ = u.control.SetReadDeadline(time.Now().Add(callerReadTimeout))
	if u.ended.Load() { // stop may have set its deadline before the one above
		return 0, errEnded
	}
	n, err := u.body.Read(p)
	switch {
	case err == io.EOF:
		u.complete.Store(true)
		// The server goes on reading to detect a caller that disconnects.
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

// timedOut reports whether a read timed out because the caller sent nothing. It
// must be called after the context of the request has ended, so that no Read is
// in progress.
func (u *upload) timedOut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.err(), os.ErrDeadlineExceeded)
}

// stop ends the use of the body. After it returns, nothing reads the body or sets its deadline.
func (u *upload) stop() {
	if !u.complete.Load() {
		u.ended.Store(true)
		if u.readStarted.Load() {
			_ = u.control.SetReadDeadline(time.Unix(1, 0)) // ends a Read in progress
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
}

// closeAfterResponse makes the server close the caller's connection after the
// response if the rest of the body is not read. Otherwise the server would read
// the rest before it sends the header. The server waits shortly before it closes:
// a reset would make a caller that still sends lose the response.
func (x *exchange) closeAfterResponse() {
	if u := x.upload; u == nil || !u.attached || u.complete.Load() || x.r.ProtoMajor != 1 {
		return
	}
	// A MaxBytesReader that exceeds its limit sets this on the server.
	var one [1]byte
	_, _ = http.MaxBytesReader(x.w, io.NopCloser(strings.NewReader(" ")), 0).Read(one[:])
}
