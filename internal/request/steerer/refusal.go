package steerer

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
)

// statusLine matches the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// connect returns a connection to the upstream. It is new if a late second response to an
// earlier request on it could not be told from the response by its ID.
func (a *attempt) connect() (*sender.Conn, error) {
	get := a.x.s.options.Sender.Get
	if a.x.id == "" || a.sharesAddress() {
		get = a.x.s.options.Sender.GetNew
	}
	return get(a.ctx, a.upstream.Address())
}

// sharesAddress reports whether an earlier attempt of a request that is not repeatable went
// to the same address. A process that restarted is registered under two IDs for some time.
func (a *attempt) sharesAddress() bool {
	return !a.x.repeatable() && slices.ContainsFunc(a.x.attempts, func(b *attempt) bool {
		return b != a && b.upstream.Address() == a.upstream.Address()
	})
}

// untrustedRefusal reports whether a response that says that the request did not run has
// no ID or contradicts itself.
func (a *attempt) untrustedRefusal() bool {
	status, h := a.response.StatusCode, a.response.Header
	switch {
	case a.x.s.options.Dialect.RequestID(h) != a.x.id, a.metadata.Signed:
		return true
	default:
		return !impliesNotRun(status) && status != http.StatusBadRequest
	}
}

// containsStatusLine reports whether a field holds the status line of another response.
// Upstreams may cut a response short and write another one behind it. The two are parsed as
// one, which may have the ID of one of them and the status, the fields and the body of the
// other.
func containsStatusLine(h http.Header) bool {
	for _, values := range h {
		for _, v := range values {
			if strings.Contains(v, "HTTP/1.") && statusLine.MatchString(v) {
				return true
			}
		}
	}
	return false
}

// impliesNotRun reports whether callers take a status to mean that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
