// Package stripper copies the end-to-end header fields of messages and leaves out the
// hop-by-hop ones.
package stripper

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// hopByHop holds the fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Http2-Settings": true,
}

// IsHopByHop reports whether the header field with the canonical name applies to a single
// connection.
func IsHopByHop(name string) bool { return hopByHop[name] }

// CopyEndToEnd adds to dst all end-to-end fields of src, except those in skip. Both
// headers share the values.
func CopyEndToEnd(dst, src http.Header, skip map[string]bool) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop[name] || skip[name] || isConnectionOption(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// isConnectionOption reports whether the Connection field names the header field. Most
// messages have no Connection field.
func isConnectionOption(connection []string, name string) bool {
	return len(connection) > 0 && httpguts.HeaderValuesContainsToken(connection, name)
}
