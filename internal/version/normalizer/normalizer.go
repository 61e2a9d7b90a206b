// Package normalizer decides when two host names are equal.
//
// Host names are compared without regard to case (RFC 9110, section 4.2.3), to percent-encoding
// of characters that need none (RFC 3986, section 6.2.2), and to the dot that ends a fully
// qualified name. An IP address has several spellings as well, and so has an international name.
//
//	a, err := normalizer.New("Shop.Example.:8080")
//	b, err := normalizer.New("shop%2Eexample")
//	a == b // true
package normalizer

import (
	"net/netip"
	"strings"
	"unicode/utf8"

	"golang.org/x/net/idna"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Name is a host name in normal form, without a port. Two host names are equal if their
// Names are.
type Name string

// maxInternationalBytes bounds the time of a conversion, which grows with the square of the
// length. The ASCII form of a domain name has at most 253 characters, and a character in UTF-8 at
// most 4 bytes.
const maxInternationalBytes = 4 * 253

// mapping converts an international name to its ASCII form. It admits names that the domain
// name system does not, such as ones with underscores.
var mapping = idna.New(idna.MapForLookup(), idna.Transitional(false), idna.StrictDomainName(false))

// New returns the Name of a host as it stands in a Host field, in a URI or in a route: a name
// or an IP address, with or without a port. The port has no effect. Its errors are of kind
// Invalid and quote the host.
func New(host string) (Name, error) {
	if isNormal(host) {
		return Name(host), nil
	}
	if a, err := netip.ParseAddr(host); err == nil {
		return ofAddress(a), nil
	}
	name, ok := cutPort(host)
	if !ok {
		return "", classifier.Invalid.New("host %q: port is not a number", host)
	}
	if literal, ok := strings.CutPrefix(name, "["); ok {
		return parseLiteral(host, literal)
	}
	if name, ok = decode(name); !ok {
		return "", classifier.Invalid.New("host %q: has a character or a percent-encoding that no host name has", host)
	}
	if !isASCII(name) {
		if len(name) > maxInternationalBytes {
			return "", classifier.Invalid.New("host of %d bytes: an international name has at most %d", len(name), maxInternationalBytes)
		}
		ascii, err := mapping.ToASCII(name)
		if err != nil || strings.IndexFunc(ascii, func(r rune) bool { return !isPlain(byte(r)) }) >= 0 {
			return "", classifier.Invalid.New("host %q: is not an international name: %v", host, err)
		}
		name = ascii
	}
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	if name == "" || strings.HasSuffix(name, ".") {
		return "", classifier.Invalid.New("host %q: name or its last label is empty", host)
	}
	return Name(name), nil
}

// isNormal reports whether a host is its own Name for sure, so that most need no allocation.
func isNormal(host string) bool {
	for i := range len(host) {
		c := host[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' {
			return false
		}
	}
	return host != "" && host[len(host)-1] != '.'
}

func isASCII(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r >= utf8.RuneSelf }) < 0
}

// cutPort removes the port, which may be empty. It reports false if the port is not a number.
func cutPort(host string) (name string, ok bool) {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || i < strings.LastIndexByte(host, ']') {
		return host, true
	}
	notDigit := func(r rune) bool { return r < '0' || r > '9' }
	return host[:i], strings.IndexFunc(host[i+1:], notDigit) < 0
}

// parseLiteral returns the Name of an IP address in brackets, of which the first is cut.
func parseLiteral(host, literal string) (Name, error) {
	literal, ok := strings.CutSuffix(literal, "]")
	a, err := netip.ParseAddr(strings.Replace(literal, encodedPercent, "%", 1))
	switch {
	case ok && err == nil && a.Is6():
		return ofAddress(a), nil
	case ok && isFutureAddress(literal):
		return Name("[" + strings.ToLower(literal) + "]"), nil
	default:
		return "", classifier.Invalid.New("host %q: is not an IP address in brackets", host)
	}
}

// isFutureAddress reports whether a literal has the form for versions of IP to come.
func isFutureAddress(literal string) bool {
	version, address, ok := strings.Cut(literal, ".")
	return ok && len(version) > 1 && (version[0] == 'v' || version[0] == 'V') && address != "" &&
		strings.IndexFunc(version[1:], func(r rune) bool { return r >= utf8.RuneSelf || unhex(byte(r)) < 0 }) < 0 &&
		strings.IndexFunc(address, func(r rune) bool { return r >= utf8.RuneSelf || (!isPlain(byte(r)) && r != ':') }) < 0
}

// encodedPercent precedes the zone of an IPv6 address in a URI (RFC 6874).
const encodedPercent = "%25"

func ofAddress(a netip.Addr) Name {
	if a.Is6() {
		return Name("[" + strings.Replace(a.String(), "%", encodedPercent, 1) + "]")
	}
	return Name(a.String())
}

// decode decodes the percent-encoding of letters, digits and other characters that need none, and
// of non-ASCII ones. Others stay encoded, as they mean something else than the plain character.
// ok is false if the name has a character that a host name can't have.
func decode(name string) (decoded string, ok bool) {
	out := make([]byte, 0, len(name))
	for i := 0; i < len(name); i++ {
		c := name[i]
		switch {
		case c != '%':
			if c < utf8.RuneSelf && !isPlain(c) {
				return "", false
			}
			out = append(out, c)
			continue
		case i+2 >= len(name) || unhex(name[i+1]) < 0 || unhex(name[i+2]) < 0:
			return "", false
		}
		if c = byte(unhex(name[i+1])<<4 | unhex(name[i+2])); c >= utf8.RuneSelf || isUnreserved(c) {
			out = append(out, c)
		} else {
			out = append(out, name[i:i+3]...)
		}
		i += 2
	}
	return string(out), utf8.Valid(out)
}

// isPlain reports whether a character of a host name needs no percent-encoding.
func isPlain(c byte) bool { return isUnreserved(c) || strings.IndexByte("!$&'()*+,;=", c) >= 0 }

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// unhex returns the value of a hexadecimal digit, -1 for another character.
func unhex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	default:
		return -1
	}
}
