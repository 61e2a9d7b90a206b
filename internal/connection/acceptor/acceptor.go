// Package acceptor serves HTTP/1.1 connections of callers.
//
// It differs from the server of net/http in four ways. Pipelined requests for which
// Options.Concurrent allows it run concurrently, and their responses are written in
// the order of the requests. A disconnect of the caller is detected even while
// pipelined requests are still unread. Messages with ambiguous framing are rejected
// before the parser of net/http resolves the ambiguity. A shutdown closes no
// connection on which a request was read and its response is not complete.
//
//	a := acceptor.New(acceptor.Options{Handler: h})
//	go a.Serve(listener)
//	a.DisableKeepAlives() // each connection closes after its next request
//	a.Shutdown(ctx, listener)
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

	"dandeliontrack.example/dandeliontrack/internal/connection/listener"
	"dandeliontrack.example/dandeliontrack/internal/connection/peeker"
	"dandeliontrack.example/dandeliontrack/internal/connection/segmenter"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

// ShutdownAcceptWindow is how long Shutdown accepts requests if the accept queue is empty
// after acceptDrainTime. Otherwise it is up to maxAcceptDrainTime longer.
const ShutdownAcceptWindow = acceptDrainTime + minIdleBeforeClose + idlePollInterval

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int           // size of the header of a request
	BodyBytes     int64         // size of the body of a request
	HeaderTimeout time.Duration // from the first to the last byte of the header
	IdleTimeout   time.Duration // without a request on a connection
}

// Defaults of Limits, in force until the operator's configuration has been loaded, and
// bounds that are not configurable.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the configurable header size, and with it the memory of a
	// connection.
	maxHeaderBytes = 1 << 20
	// acceptDrainTime is how long Shutdown goes on accepting connections, in order to
	// empty the accept queue of the listener.
	acceptDrainTime = 50 * time.Millisecond
	// maxAcceptDrainTime bounds how long Shutdown goes on accepting connections if the accept
	// queue does not become empty. A process that is short of processor time needs longer
	// than acceptDrainTime.
	maxAcceptDrainTime = time.Second
	// idlePollInterval is how often Shutdown checks for connections that have become idle.
	idlePollInterval = 20 * time.Millisecond
	// minIdleBeforeClose is how long a connection must have been without a request before
	// Shutdown closes it. The first request of a caller that has just connected may
	// still be in transit.
	minIdleBeforeClose = 200 * time.Millisecond
	// shutdownReadFraction is the fraction of the time of Shutdown after which a request that
	// is still being read is refused. The rest is for the requests in flight.
	shutdownReadFraction = 0.5
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderBytes = min(l.HeaderBytes, maxHeaderBytes)
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Call is one request of a caller with its buffered body.
type Call struct {
	Request *http.Request   // its Body is nil unless the handler has to call ReadBody
	Body    *segmenter.Body // the complete body, after ReadBody
	Arrived time.Time       // when the first byte was read
}

// Handler responds to calls. Serve must write the response before it returns. Its
// context is canceled when the caller disconnects.
type Handler interface {
	Serve(ctx context.Context, c *Call, w *ResponseWriter)
}

// Options configure an Acceptor.
type Options struct {
	Handler Handler
	// Limits returns the limits in force. Nil means the defaults.
	Limits func() Limits
	// Concurrent reports whether a request may run while earlier requests of its
	// connection are in flight. Nil means that no request may.
	Concurrent func(r *http.Request) bool
	// Memory bounds the total size of buffered bodies. Nil means no bound.
	Memory *reserver.Reserver
	// BodyDeadline returns the time until which the body of a request must be read, given when
	// its first byte arrived. Nil means that only the time of each read is bounded.
	BodyDeadline func(r *http.Request, arrived time.Time) time.Time
	// Guard runs f, recovers a panic and reports whether there was one. Place names f
	// in logs. Nil means that panics are not recovered.
	Guard func(place string, f func()) bool
	// AcceptFailed is called with errors of Accept that are retried, at most once per
	// second. It may be nil.
	AcceptFailed func(error)
}

// Acceptor serves the connections of callers. It is safe for concurrent use.
type Acceptor struct {
	options            Options
	keepAlivesDisabled atomic.Bool
	shuttingDown       atomic.Bool
	readEnd            atomic.Int64  // time from which requests that have been read are refused, in Unix nanoseconds, 0 for none
	activeRequests     atomic.Int64  // requests read whose response is not complete
	droppedRequests    atomic.Int64  // requests read that did not run
	acceptEnd          atomic.Int64  // time from which no connection is accepted, in Unix nanoseconds
	acceptDone         chan struct{} // closed when Serve accepts no further connection
	acceptDoneOnce     sync.Once

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
	if o.AcceptFailed == nil {
		o.AcceptFailed = func(error) {}
	}
	if o.Memory == nil {
		o.Memory = new(reserver.Reserver)
	}
	return &Acceptor{options: o, conns: make(map[*conn]struct{}), acceptDone: make(chan struct{})}
}

// Serve accepts connections until the listener is closed or Shutdown is called, and then
// returns nil. Other errors of Accept are retried.
func (a *Acceptor) Serve(l net.Listener) error {
	defer a.acceptDoneOnce.Do(func() { close(a.acceptDone) })
	retrying := listener.New(l, a.options.AcceptFailed)
	for {
		raw, err := retrying.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && a.extendAccept(l) {
			continue
		}
		if err != nil {
			return nil
		}
		c := newConn(a, raw)
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		a.wg.Go(func() {
			if a.options.Guard("caller connection", c.serve) {
				_ = raw.Close()
			}
		})
	}
}

// extendAccept extends the deadline of Accept during a shutdown. It reports false if the
// accept queue is empty or the time for that is over.
func (a *Acceptor) extendAccept(l net.Listener) bool {
	now := time.Now()
	d, ok := l.(Listener)
	return ok && now.UnixNano() < a.acceptEnd.Load() && peeker.Readable(l) && d.SetDeadline(now.Add(acceptDrainTime)) == nil
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

// ActiveRequests returns the number of requests that were read and whose response is not
// complete.
func (a *Acceptor) ActiveRequests() int { return int(a.activeRequests.Load()) }

// Unfinished describes a request that was read and whose response is not complete.
type Unfinished struct {
	Request   *http.Request
	Arrived   time.Time // when its first byte was read
	Pipelined int       // requests in flight on its connection, including this one
}

// UnfinishedRequests returns up to limit requests whose response is not complete.
func (a *Acceptor) UnfinishedRequests(limit int) []Unfinished {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Unfinished
	for c := range a.conns {
		out = append(out, c.unfinished()...)
		if len(out) >= limit {
			return out[:limit]
		}
	}
	return out
}

// DroppedRequests returns the number of requests that were read, at least in part, and did
// not run because their connection was closing.
func (a *Acceptor) DroppedRequests() int64 { return a.droppedRequests.Load() }

// DisableKeepAlives makes every connection close after the response to its next request, or
// to the last of the requests that have arrived together with it. Idle connections stay open
// until their next request or Shutdown.
func (a *Acceptor) DisableKeepAlives() { a.keepAlivesDisabled.Store(true) }

// Listener is a listener with a deadline for Accept, which ends Accept without closing
// the listener.
type Listener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// Shutdown stops the Acceptor without dropping requests that callers have sent. It calls
// DisableKeepAlives, accepts the connections in the accept queue, closes the listener,
// closes connections that have been idle for a short time, and returns when all
// connections are closed or ctx is done. From its call on, each connection closes after the
// response to its next request, whatever has arrived behind it. If ctx has a deadline, a request
// is refused with status 503 that has not been read to its end in the first half of the time
// until then, or soon after the last connection was accepted. It would be cut off if its upstream
// took longer than what is left. Serve returns during the call.
func (a *Acceptor) Shutdown(ctx context.Context, l Listener) {
	a.DisableKeepAlives()
	a.shuttingDown.Store(true)
	now := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		a.readEnd.Store(now.Add(time.Duration(shutdownReadFraction * float64(deadline.Sub(now)))).UnixNano())
	}
	a.acceptEnd.Store(now.Add(maxAcceptDrainTime).UnixNano())
	// SetDeadline fails only if the listener is already closed.
	_ = l.SetDeadline(now.Add(acceptDrainTime))
	select {
	case <-a.acceptDone:
	case <-ctx.Done():
	}
	_ = l.Close()
	a.limitReading(time.Now().Add(minIdleBeforeClose))
	ticker := time.NewTicker(idlePollInterval)
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

// limitReading makes requests be refused that have not been read to their end by a time, if
// there is such a time already and it is later.
func (a *Acceptor) limitReading(end time.Time) {
	old := a.readEnd.Load()
	if old == 0 {
		return
	}
	a.readEnd.Store(min(old, end.UnixNano()))
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.mu.Lock()
		if c.body != nil {
			c.body.limitRead()
		}
		c.mu.Unlock()
	}
}

// readingEnded reports whether requests that have been read are refused.
func (a *Acceptor) readingEnded() bool {
	end := a.readEnd.Load()
	return end != 0 && time.Now().UnixNano() >= end
}

// closeIdle closes the connections without a request in flight or arriving, and returns
// the number of connections that were open. A request that crosses the close in transit
// has not been read.
func (a *Acceptor) closeIdle(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.closeIdle(now)
	}
	return len(a.conns)
}
