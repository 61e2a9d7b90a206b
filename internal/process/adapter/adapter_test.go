package adapter_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against an adapter and a stand-in that differ on the protocol: a write
// on a changed revision must not take effect, and an absent row must be
// distinguished from an outage.
func TestConditionalWrites(t *testing.T) {
	p := new(platformer.Platformer)
	server := httptest.NewServer(p)
	defer server.Close()
	a := adapter.New(server.URL, server.URL, server.URL, time.Minute, nil)
	ctx := t.Context()
	_, err := a.Get(ctx, "config/head")
	assert.Equal(t, classifier.Of(err), classifier.NotFound)
	first, err := a.Put(ctx, "config/head", "", []byte("1"))
	assert.NilError(t, err)
	_, err = a.Put(ctx, "config/head", "", []byte("2"))
	assert.Equal(t, classifier.Of(err), classifier.Conflict)
	_, err = a.Put(ctx, "config/head", first, []byte("3"))
	assert.NilError(t, err)
	assert.Equal(t, classifier.Of(a.Delete(ctx, "config/head", first)), classifier.Conflict)
	rows, err := a.List(ctx, "config/")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, string(rows[0].Value), "3")
	p.SetDown(true)
	_, err = a.Get(ctx, "config/head")
	assert.Equal(t, classifier.Of(err), classifier.StoreDown)
}

// unresponsiveTransport never responds and counts how often its idle connections are closed.
type unresponsiveTransport struct{ closed int }

func (s *unresponsiveTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func (s *unresponsiveTransport) CloseIdleConnections() { s.closed++ }

// Guards against a store that works again on new connections while each pooled
// one that became unresponsive costs a timeout, and against connections that are
// closed because a caller cancelled.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	s := new(unresponsiveTransport)
	a := adapter.New("http://x", "http://x", "http://x", time.Millisecond, s)
	_, err := a.Get(t.Context(), "k")
	assert.Equal(t, classifier.Of(err), classifier.StoreDown)
	assert.Equal(t, s.closed, 1)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = a.Get(gone, "k")
	assert.Equal(t, classifier.Of(err), classifier.StoreDown)
	assert.Equal(t, s.closed, 1)
}

// Guards against an invalid response of the platform that counts as one: a row is read without
// its revision or to a wrong end, or a write succeeds.
func TestInvalidResponseIsRefused(t *testing.T) {
	for name, response := range responder.Invalid("ETag: 7\r\n", "value") {
		t.Run(name, func(t *testing.T) {
			r := responder.New(t, response)
			base := "http://" + r.Address
			a := adapter.New(base, base, base, time.Minute, nil)
			row, err := a.Get(t.Context(), "k")
			assert.Equal(t, classifier.Of(err), classifier.StoreDown, "%+v, %v", row, err)
			_, err = a.Put(t.Context(), "k", "7", []byte("v"))
			assert.Equal(t, classifier.Of(err), classifier.StoreDown, "%v", err)
			assert.Equal(t, r.Requests("/table/"), 2)
		})
	}
}

// Guards against a write that succeeds although the platform broke off the connection before it
// had read the value, if the response has no length.
func TestWriteOnFailedConnectionIsRefused(t *testing.T) {
	const tries = 20 // the kernel reports a reset either to the writer or to the reader
	value := make([]byte, 32<<20)
	for name, end := range map[string]func(*net.TCPConn){"reset": responder.Reset, "closed, value unread": func(*net.TCPConn) {}} {
		t.Run(name, func(t *testing.T) {
			r := responder.NewEarly(t, "HTTP/1.1 200 OK\r\nETag: 7\r\n\r\npart", end)
			base := "http://" + r.Address
			a := adapter.New(base, base, base, time.Minute, nil)
			for range tries {
				assert.Equal(t, classifier.Of(a.Save(t.Context(), "k", value)), classifier.StoreDown)
				_, err := a.Put(t.Context(), "k", "7", value)
				assert.Equal(t, classifier.Of(err), classifier.StoreDown)
			}
			assert.Equal(t, r.Requests("/"), 2*tries)
		})
	}
}
