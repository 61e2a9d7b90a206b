package forwarder

import (
	"io"
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

// countedDeadlines is a response writer that counts how often a read deadline is set.
type countedDeadlines struct {
	http.ResponseWriter
	n int
}

func (w *countedDeadlines) SetReadDeadline(time.Time) error {
	w.n++
	return nil
}

// Guards against a connection that hangs because the transport reads the body once more after its
// end, when the handler has returned, and removes the deadline that ends the server's own read.
func TestReadAfterEndSetsNoDeadline(t *testing.T) {
	w := &countedDeadlines{ResponseWriter: httptest.NewRecorder()}
	u := newUpload(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("")), 1)
	_, err := u.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	u.stop()
	before := w.n
	_, err = u.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, w.n, before)
}
