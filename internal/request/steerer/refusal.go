package steerer

import (
	"net/http"
	"regexp"
)

// statusLine matches the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// untrustedRefusal reports whether a response that says that the request did not run has
// no ID or contradicts itself. Upstreams may cut a response short and write another one
// behind it. The two are parsed as one, which may have the ID of a request that ran and the
// fields of the refusal of another one.
func (a *attempt) untrustedRefusal() bool {
	status, h := a.response.StatusCode, a.response.Header
	switch {
	case a.x.s.options.Dialect.RequestID(h) != a.x.id, a.metadata.Signed, containsStatusLine(h):
		return true
	default:
		return !impliesNotRun(status) && status != http.StatusBadRequest
	}
}

// containsStatusLine reports whether a field holds the status line of another response,
// which follows a response that was cut short in this field.
func containsStatusLine(h http.Header) bool {
	for _, values := range h {
		for _, v := range values {
			if statusLine.MatchString(v) {
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
