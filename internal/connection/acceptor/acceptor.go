// Package acceptor serves HTTP/1.1 connections of callers.
//
// It differs from the server of net/http where the promises to callers need it.
// Repeatable requests that a caller sends before the first one is answered run
// at the same time, with answers in order. A caller that leaves is noticed also
// while more of its requests wait to be read. Ambiguous framing is refused
// before the library's parser resolves it. A stop closes no connection on which
// a request was read and not answered.
//
//	a := acceptor.New(acceptor.Options{Handler: h})
//	go a.Serve(listener)
//	a.Stop() // answers from now on close their connection
//	a.Finish(ctx, listener)
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

// ShutdownAcceptWindow is how long after Finish was called a new request may still be taken.
const ShutdownAcceptWindow = acceptLast + quietTime + finishPeriod

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int           // bytes of a request's header
	BodyBytes     int64         // bytes of a request's body
	HeaderTimeout time.Duration // from the first byte of a header to its last
	IdleTimeout   time.Duration // between requests
}

// Defaults until an operator's limits are known.
const (
	defaultHeader = 16 << 10
	defaultBody   = 64 << 20
	defaultWithin = 5 * time.Second
	defaultIdle   = 60 * time.Second
	// maxHeader bounds the memory of a connection, whatever the operator says.
	maxHeader = 1 << 20
	// acceptPause is how long accepting rests when descriptors run out.
	acceptPause = 20 * time.Millisecond
	// acceptLast is how long connections are still accepted when the service ends. It
	// empties the listener's queue.
	acceptLast = 50 * time.Millisecond
	// finishPeriod is how often idle connections are looked for when the service ends.
	finishPeriod = 20 * time.Millisecond
	// quietTime is how long nothing must have been sent on a connection that is closed
	// then: the request of a caller that has just connected is on its way.
	quietTime = 200 * time.Millisecond
)

func (l Limits) filled() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeader
	}
	l.HeaderBytes = min(l.HeaderBytes, maxHeader)
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBody
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultWithin
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	return l
}

// Call is one request of a caller.
type Call struct {
	Request *http.Request // its Body is nil if Body is whole
	Body    []byte        // the whole body, unless Request.Body streams it
	Arrived time.Time     // of the first byte
	held    int64         // bytes that are reserved for the body
}

// Handler answers calls. Serve must answer before it returns; ctx ends when the
// caller leaves.
type Handler interface {
	Serve(ctx context.Context, c *Call, a *ResponseWriter)
}

// Options configure an Acceptor.
type Options struct {
	Handler Handler
	// Limits returns the bounds in force; nil means the defaults.
	Limits func() Limits
	// Concurrent reports whether a request may run while earlier ones of its
	// connection are under way. Nil means that none may.
	Concurrent func(r *http.Request) bool
	// Memory bounds the bodies that are held; nil means no bound.
	Memory *reserver.Reserver
	// Guard runs f and reports whether it panicked; nil means that panics are not
	// recovered.
	Guard func(place string, f func()) bool
}

// Acceptor serves the connections of callers. It is safe for concurrent use.
type Acceptor struct {
	options  Options
	stopping atomic.Bool
	active   atomic.Int64  // requests that were read and not answered
	accepted chan struct{} // closed when no further connection is accepted
	once     sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// New returns an Acceptor.
func New(o Options) *Acceptor {
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.Concurrent == nil {
		o.Concurrent = func(*http.Request) bool { return false }
	}
	if o.Guard == nil {
		o.Guard = func(_ string, f func()) bool { f(); return false }
	}
	if o.Memory == nil {
		o.Memory = new(reserver.Reserver)
	}
	return &Acceptor{options: o, conns: make(map[*conn]struct{}), accepted: make(chan struct{})}
}

// Serve accepts connections until the listener is closed or Finish is called, which
// is not an error.
func (a *Acceptor) Serve(l net.Listener) error {
	defer a.once.Do(func() { close(a.accepted) })
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(a, raw)
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		a.wg.Go(func() {
			if a.options.Guard("connection of a caller", c.serve) {
				_ = raw.Close()
			}
		})
	}
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

// ActiveRequests returns how many requests were read and not answered yet.
func (a *Acceptor) ActiveRequests() int { return int(a.active.Load()) }

// DisableKeepAlives makes every connection close after the answer to the last request read
// on it. Connections without a request stay open for Finish.
func (a *Acceptor) DisableKeepAlives() { a.stopping.Store(true) }

// Listener is a listener whose Accept can be ended without closing it.
type Listener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// Shutdown ends the service without cutting off what callers sent: it accepts the
// connections that wait in the listener's queue, closes the listener, closes
// connections on which nothing was sent for a moment, and waits until all have ended,
// or ctx ends. Serve returns meanwhile.
func (a *Acceptor) Shutdown(ctx context.Context, l Listener) {
	a.DisableKeepAlives()
	// A failure means that the listener is closed already.
	_ = l.SetDeadline(time.Now().Add(acceptLast))
	select {
	case <-a.accepted:
	case <-ctx.Done():
	}
	_ = l.Close()
	ticker := time.NewTicker(finishPeriod)
	defer ticker.Stop()
	for a.closeIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	a.wg.Wait()
}

// closeIdle closes the connections on which no request is under way or arriving, and
// returns how many are left. Requests that cross this close were not read.
func (a *Acceptor) closeIdle(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.closeIdle(now)
	}
	return len(a.conns)
}
