package pool

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Watcher is told about the connection that carries its request. The methods
// are called at most once each, from another goroutine, and must not block.
type Watcher interface {
	// Silent reports that the connection carried no byte for some time while
	// the upstream answers on another one. A slow answer looks the same, so the
	// owner decides whether to go on waiting; the connection is not used again.
	Silent()
	// Stalled reports that the answer's body made no progress for the time
	// given to Stream.
	Stalled()
}

// Link is one connection, lent for one request. It is used by one goroutine.
type Link struct {
	group  *group
	client *http.ClientConn
	conn   *conn

	waiting atomic.Bool // the request body waits for the caller, so silence is expected
	before  int64       // bytes sent before this request

	// The rest is guarded by group.mu.
	place   int // in group.busy, -1 when idle
	epoch   uint64
	since   time.Duration // when it became idle
	quiet   time.Duration // probed after this time without a byte
	stall   time.Duration // zero before the header
	watcher Watcher
	told    bool
	suspect bool
	closed  bool
}

// Do sends the request and returns the header of the answer. It sends at most
// once. On an error the connection is closed, and the kind says what is known:
// Unreachable if no byte of the request was sent, TimedOut if ctx reached its
// deadline, Failed otherwise.
func (l *Link) Do(req *http.Request, deadline time.Time, w Watcher) (*http.Response, error) {
	l.before = l.conn.total()
	l.watch(deadline, w)
	resp, err := l.roundTrip(req)
	if err == nil {
		return resp, nil
	}
	l.Close()
	switch {
	case l.conn.total() == l.before:
		return nil, classifier.Unreachable.Wrap(err, "upstream "+l.group.address)
	case errors.Is(err, context.DeadlineExceeded):
		return nil, classifier.TimedOut.Wrap(err, "upstream "+l.group.address)
	default:
		return nil, classifier.Failed.Wrap(err, "upstream "+l.group.address)
	}
}

// roundTrip sends the request and checks the response.
func (l *Link) roundTrip(req *http.Request) (*http.Response, error) {
	l.conn.awaitsHead.Store(true)
	resp, err := l.client.RoundTrip(req)
	if err != nil {
		if invalid := l.conn.invalidHead.Load(); invalid != nil {
			err = *invalid // that of the transport names the bytes before the invalid ones
		}
		return nil, err
	}
	validator.CheckTrailer(resp)
	return resp, nil
}

func (l *Link) watch(deadline time.Time, w Watcher) {
	quiet := silence
	if left := time.Until(deadline) / 2; !deadline.IsZero() && left < quiet {
		quiet = left
	}
	// The time before the request was idle time, which is no silence.
	l.conn.touch()
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	l.quiet, l.watcher, l.told, l.stall = quiet, w, false, 0
}

// Stream says that the header has arrived and that the body must make progress
// within the time.
func (l *Link) Stream(stall time.Duration) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	l.stall = stall
}

// Waiting says whether the request body waits for bytes of the caller. The
// connection is not judged during that time.
func (l *Link) Waiting(on bool) {
	if !on {
		l.conn.touch()
	}
	l.waiting.Store(on)
}

// Done gives the connection back after the answer was read to its end. It is
// closed instead if the upstream or a suspicion asks for that.
func (l *Link) Done() {
	if l.client.Err() != nil || l.client.Available() == 0 {
		l.Close()
		return
	}
	l.group.put(l)
}

// Close closes the connection. It is used when an answer was abandoned or
// belongs to another request. Later calls have no effect.
func (l *Link) Close() {
	g := l.group
	g.mu.Lock()
	if l.closed {
		g.mu.Unlock()
		return
	}
	l.closed = true
	g.release(l)
	g.open--
	g.spawn()
	g.mu.Unlock()
	// The transport closes the connection as well, but not before it returns.
	_ = l.conn.Close()
	_ = l.client.Close()
}

func closeAll(links []*Link) {
	for _, l := range links {
		l.Close()
	}
}
