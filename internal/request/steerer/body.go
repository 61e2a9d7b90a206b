package steerer

import (
	"cmp"
	"errors"
	"net/http"
	"os"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

var (
	errNoBodyMemory   = classifier.Overloaded.New("no memory is free for the request's body")
	errBodyTooLarge   = classifier.TooLarge.New("the request's body exceeds the limit")
	errBodyTooSlow    = classifier.Expired.New("the request's body was not complete before the deadline")
	errStoppingInBody = classifier.Stopping.New("the host stops, and the request's body came late")
)

// BodyDeadline returns the time until which the body of a request must be read: the deadline of
// its response. Until it is read, a request occupies no upstream.
func (s *Steerer) BodyDeadline(r *http.Request, arrived time.Time) time.Time {
	timeout := defaultTimeout
	if t := s.options.Table(); t != nil {
		if route := t.Match(r.Host, r.URL.EscapedPath()); route != nil {
			timeout = cmp.Or(route.Timeout, defaultTimeout)
		}
	}
	if callerTimeout, ok := s.options.Dialect.CallerTimeout(r.Header); ok {
		timeout = min(timeout, callerTimeout)
	}
	return arrived.Add(timeout)
}

// readBody reads a long body before an upstream is chosen: a choice would be out of date after a
// slow upload, and would count as a request to that upstream all the time.
func (x *exchange) readBody() error {
	err := x.call.ReadBody()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, acceptor.ErrNoMemory):
		return errNoBodyMemory
	case errors.Is(err, acceptor.ErrTooLarge):
		return errBodyTooLarge
	case errors.Is(err, acceptor.ErrStopping):
		return errStoppingInBody
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTooSlow
	default:
		return classifier.BadRequest.Wrap(err, "request body")
	}
}
