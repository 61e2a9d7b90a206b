// Package validator refuses HTTP/1.1 responses whose head or trailer violates RFC 9110 or
// RFC 9112 although package net/http accepts it: a status code that isn't one, and a field
// whose name isn't a token. Such a field is ignored under its proper name, so that the
// framing of the body may be a guess.
package validator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The valid status codes. A response with another one counts as a failure of the server
// (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

var (
	errStatusLine    = errors.New("malformed status line")
	errNoColon       = errors.New("field line without a colon")
	errLeadingSpace  = errors.New("space before the first field line")
	errAmbiguousLine = errors.New("continuation line that reads as a field line")
	errEndOfHead     = errors.New("empty line ends with a bare line feed after a line that ends with CRLF")
)

// Scan checks the lines of a response head in b, of which those before offset next have been
// checked. It stops at a line that isn't complete. It returns the offset of the first line
// that was not checked, and whether that follows the empty line at the end of the head. The
// error says which line is invalid and why. The values of fields are not checked.
func Scan(b []byte, next int) (int, bool, error) {
	for {
		n := bytes.IndexByte(b[next:], '\n')
		if n < 0 {
			return next, false, nil
		}
		line := b[next : next+n]
		hasCR := n > 0 && line[n-1] == '\r'
		if hasCR {
			line = line[:n-1]
		}
		var err error
		switch {
		case next == 0:
			err = checkStatusLine(line)
		case len(line) == 0 && !hasCR && b[next-2] == '\r':
			// A name that begins with a line feed would end the head here.
			err = errEndOfHead
		case len(line) == 0:
			return next + n + 1, true, nil
		case line[0] == ' ' || line[0] == '\t':
			err = checkContinuation(line, isFirstField(b, next))
		default:
			if name := tokenLen(line); name == 0 || name == len(line) || line[name] != ':' {
				err = invalidLine(line)
			}
		}
		if err != nil {
			return next, false, err
		}
		next += n + 1
	}
}

// IsInterim reports whether a head that Scan has checked is that of a response that precedes
// another one to the same request (RFC 9110, section 15.2). That of a switch to another
// protocol isn't.
func IsInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte{' '})
	status = bytes.TrimLeft(status, " ")
	return status[0] == '1' && !bytes.HasPrefix(status, []byte("101"))
}

// isFirstField reports whether the line at an offset follows the status line.
func isFirstField(b []byte, offset int) bool { return bytes.IndexByte(b, '\n') == offset-1 }

// checkStatusLine checks the version and the status code (RFC 9112, section 4). Several
// spaces may precede the code.
func checkStatusLine(line []byte) error {
	version, status, _ := bytes.Cut(line, []byte{' '})
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return fmt.Errorf("%w %.64q", errStatusLine, line)
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte{' '})
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return fmt.Errorf("%w %.64q", errStatusLine, line)
	}
	return checkStatus(int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'))
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func checkStatus(code int) error {
	if code < minStatus || code > maxStatus {
		return fmt.Errorf("status code %03d is not between %d and %d", code, minStatus, maxStatus)
	}
	return nil
}

// invalidLine returns the error of a field line that doesn't begin with a token and a colon
// (RFC 9112, section 5).
func invalidLine(line []byte) error {
	name, _, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon {
		return fmt.Errorf("%w: %.64q", errNoColon, line)
	}
	return invalidName(string(name))
}

// checkContinuation checks a line that begins with a space or a tab and so continues the
// field before it. A gateway may refuse such lines (RFC 9112, section 5.2). One that reads as
// a field line is refused, because the space may belong to the name. Names of fields begin
// with a letter (RFC 9110, section 16.3.2.1), unlike the "08:00:00" of a folded date.
func checkContinuation(line []byte, isFirst bool) error {
	if isFirst {
		return errLeadingSpace
	}
	name, _, hasColon := bytes.Cut(bytes.TrimLeft(line, " \t"), []byte{':'})
	name = bytes.TrimRight(name, " \t")
	if n := tokenLen(name); hasColon && 0 < n && n == len(name) && isLetter(name[0]) {
		return fmt.Errorf("%w: %.64q", errAmbiguousLine, line)
	}
	return nil
}

func isLetter(c byte) bool { return 'a' <= c|0x20 && c|0x20 <= 'z' }

// tokenLen returns the length of the token (RFC 9110, section 5.6.2) at the start of b.
func tokenLen(b []byte) int {
	for i, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return i
		}
	}
	return len(b)
}

func invalidName(name string) error { return fmt.Errorf("field name %.64q is not a token", name) }

// checkFields checks the names of the fields of a parsed head or trailer.
func checkFields(fields map[string][]string) error {
	for name, values := range fields {
		// The Trailer of a response holds fields without values that it only announces.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return invalidName(name)
		}
	}
	return nil
}

// CheckTrailer makes reading the body of a response fail at its end if its trailer is invalid.
func CheckTrailer(r *http.Response) { checkTrailer(r, nil) }

// checkTrailer does the same and calls refuse, unless that is nil, if the trailer is invalid.
func checkTrailer(r *http.Response, refuse func()) {
	if len(r.TransferEncoding) > 0 { // otherwise there is no trailer
		r.Body = &body{r.Body, r, refuse}
	}
}

// body is the body of a response in chunks.
type body struct {
	io.ReadCloser
	response *http.Response
	refuse   func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := checkFields(b.response.Trailer); invalid != nil {
		err = fmt.Errorf("trailer: %w", invalid)
		if b.refuse != nil {
			b.refuse()
		}
	}
	return n, err
}
