package forwarder

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"dandeliontrack.example/dandeliontrack/internal/request/stripper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// rewrittenHeaders are the request headers that the host sets for the
// upstream.
var rewrittenHeaders = map[string]bool{"Request-Id": true, "Request-Timeout": true, "Request-Deadline": true, "Forwarded": true, "Via": true}

// hostHeaders are the response headers that only a host may set. Those of an
// upstream are not forwarded.
var hostHeaders = map[string]bool{"Request-Id": true, "Outcome": true, "Config-Version": true, "Draining": true, "Via": true}

// checkCaller returns an error for a request that must not be forwarded: CONNECT,
// a connection upgrade, a forwarding loop, or a body above MaxBodyBytes.
func (f *Forwarder) checkCaller(r *http.Request) error {
	if r.Method == http.MethodConnect {
		return classifier.BadRequest.New("method CONNECT is not forwarded")
	}
	if up := r.Header["Upgrade"]; len(up) > 0 && !httpguts.HeaderValuesContainsToken(up, "h2c") {
		return classifier.BadRequest.New("header Upgrade: connections are not upgraded")
	}
	for _, via := range r.Header["Via"] {
		for element := range strings.SplitSeq(via, ",") {
			// "1.1 name (comment)"
			if fields := strings.Fields(element); len(fields) > 1 && fields[1] == f.options.HostName {
				return classifier.BadRequest.New("header Via: host %s has already forwarded the request", f.options.HostName)
			}
		}
	}
	if n := r.ContentLength; n > f.options.MaxBodyBytes {
		return classifier.TooLarge.New("the body has %d bytes, the limit is %d", n, f.options.MaxBodyBytes)
	}
	return nil
}

// outgoing returns the headers for the upstream without the deadline.
func (x *exchange) outgoing() http.Header {
	in := x.r.Header
	h := make(http.Header, len(in)+6)
	stripper.CopyEndToEnd(h, in, rewrittenHeaders)
	if httpguts.HeaderValuesContainsToken(in["Te"], "trailers") {
		h["Te"] = teTrailers
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = emptyValue // keeps the transport from setting its own
	}
	h["Request-Id"] = x.ids[:]
	h["Via"] = appended(in["Via"], x.f.via(x.r.ProtoMajor))
	h["Forwarded"] = appended(in["Forwarded"], forwarded(x.r))
	return h
}

var (
	teTrailers = []string{"trailers"}
	emptyValue = []string{""}
)

// appended returns a copy of values with v added.
func appended(values []string, v string) []string {
	out := make([]string, len(values)+1)
	copy(out, values)
	out[len(values)] = v
	return out
}

func (f *Forwarder) via(major int) string {
	if major == 2 {
		return f.via2
	}
	return f.via1
}

// forwarded returns the element of this hop for Forwarded (RFC 7239).
func forwarded(r *http.Request) string {
	var buf [128]byte
	b := append(buf[:0], "for="...)
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	switch {
	case err != nil:
		b = append(b, "unknown"...)
	case strings.Contains(host, ":"):
		b = append(append(append(b, `"[`...), host...), `]"`...)
	default:
		b = append(b, host...)
	}
	if r.Host != "" && !strings.ContainsAny(r.Host, "\"\\") {
		b = append(append(append(b, `;host="`...), r.Host...), '"')
	}
	b = append(b, ";proto="...)
	if r.TLS != nil {
		return string(append(b, "https"...))
	}
	return string(append(b, "http"...))
}

// setDeadline sets the headers with the remaining time and the deadline for the
// upstream.
func setDeadline(h http.Header, now, deadline time.Time) {
	left := max(deadline.Sub(now).Milliseconds(), 1)
	values := []string{strconv.FormatInt(left, 10) + "ms", strconv.FormatInt(deadline.UnixMilli(), 10)}
	h["Request-Timeout"] = values[:1:1]
	h["Request-Deadline"] = values[1:]
}
