// Package validator refuses HTTP/1.1 responses whose head violates RFC 9110 or RFC 9112
// although package net/http accepts it: with a status code that isn't one.
package validator

import (
	"bytes"
	"errors"
	"fmt"
)

// The valid status codes. A response with another one counts as a failure of the server
// (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

var errStatusLine = errors.New("malformed status line")

// Scan checks the lines of a response head in b, of which those before offset next have been
// checked. It stops at a line that isn't complete. It returns the offset of the first line
// that was not checked, and whether that follows the empty line at the end of the head.
func Scan(b []byte, next int) (int, bool, error) {
	for {
		n := bytes.IndexByte(b[next:], '\n')
		if n < 0 {
			return next, false, nil
		}
		line := bytes.TrimSuffix(b[next:next+n], []byte{'\r'})
		switch {
		case next == 0:
			if err := checkStatusLine(line); err != nil {
				return 0, false, err
			}
		case len(line) == 0:
			return next + n + 1, true, nil
		}
		next += n + 1
	}
}

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
