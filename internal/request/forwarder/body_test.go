package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowDeadlines is a response writer that removes a read deadline only after release.
type slowDeadlines struct {
	http.ResponseWriter
	removing, release chan struct{}
	removed           atomic.Bool
}

func (w *slowDeadlines) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		close(w.removing)
		<-w.release
		w.removed.Store(true)
	}
	return nil
}

// Guards against a connection that hangs because the end of the body removes the read deadline
// after the handler has returned: the server uses one to end its own read.
func TestStopWaitsForEndOfBody(t *testing.T) {
	w := &slowDeadlines{ResponseWriter: httptest.NewRecorder(), removing: make(chan struct{}), release: make(chan struct{})}
	u := newUpload(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("")), 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = u.Read(make([]byte, 1))
	}()
	<-w.removing
	time.AfterFunc(20*time.Millisecond, func() { close(w.release) })
	u.stop()
	assert.Assert(t, w.removed.Load())
	<-done
}
