// Package stripper copies message headers from one connection to the next
// without those that belong to one connection only.
package stripper

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// hop are the headers that belong to one connection only (RFC 9110, section
// 7.6.1).
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Http2-Settings": true,
}

// IsHopByHop reports whether the header belongs to one connection only.
func IsHopByHop(name string) bool { return hop[name] }

// CopyEndToEnd adds to one header all fields of another that may leave its connection,
// except those of skip. The values are shared.
func CopyEndToEnd(to, from http.Header, skip map[string]bool) {
	connection := from["Connection"]
	for name, values := range from {
		if hop[name] || skip[name] || listed(connection, name) {
			continue
		}
		to[name] = values
	}
}

// listed reports whether the Connection header names the header. Most messages
// have no such header.
func listed(connection []string, name string) bool {
	return len(connection) > 0 && httpguts.HeaderValuesContainsToken(connection, name)
}
