package acceptor

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// peekHeader returns the header of the next request, up to and including the empty line,
// without consuming it. A header longer than maxBytes gives status 431. An error means
// that the header can't be read, for example because the caller disconnected.
func peekHeader(br *bufio.Reader, maxBytes int) ([]byte, int, error) {
	need, scanned := 1, 0
	for {
		if need > maxBytes {
			return nil, http.StatusRequestHeaderFieldsTooLarge, nil
		}
		if _, err := br.Peek(need); err != nil {
			return nil, 0, err
		}
		buf, _ := br.Peek(min(br.Buffered(), maxBytes))
		if scanned == 0 {
			// Empty lines before a request are skipped (RFC 9112, section 2.2).
			for bytes.HasPrefix(buf, []byte("\r\n")) {
				_, _ = br.Discard(2)
				buf = buf[2:]
			}
			if len(buf) == 0 {
				need = 1
				continue
			}
		}
		if i := bytes.Index(buf[max(0, scanned-3):], []byte("\r\n\r\n")); i >= 0 {
			return buf[:max(0, scanned-3)+i+4], 0, nil
		}
		scanned = len(buf)
		need = scanned + 1
	}
}

// validateHeader rejects headers that two parsers could interpret differently, which
// would allow request smuggling: bare line feeds and carriage returns, folded lines,
// malformed fields, and more than one length or transfer encoding (RFC 9112, sections
// 2.2, 5.2 and 6.3). The only transfer encoding it accepts is chunked. It returns the
// status of the error response, or 0.
func validateHeader(head []byte) int {
	contentLengths, transferEncodings := 0, 0
	lines := strings.Split(string(head[:len(head)-4]), "\r\n")
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return http.StatusBadRequest
		}
		if i == 0 {
			continue
		}
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			return http.StatusBadRequest
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return http.StatusBadRequest
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			contentLengths++
			if !isDigits(strings.Trim(value, " \t")) {
				return http.StatusBadRequest
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			transferEncodings++
			if status := validateTransferEncoding(lines[0], value); status != 0 {
				return status
			}
		}
	}
	if contentLengths+transferEncodings > 1 {
		return http.StatusBadRequest
	}
	return 0
}

// validateTransferEncoding returns the status of the error response, or 0. Below HTTP/1.1
// http.ReadRequest ignores the field, so that the chunks would be taken for the next request
// (RFC 9112, section 6.1).
func validateTransferEncoding(requestLine, value string) int {
	switch {
	case !strings.HasSuffix(requestLine, " HTTP/1.1"):
		return http.StatusBadRequest
	case !strings.EqualFold(strings.Trim(value, " \t"), "chunked"):
		return http.StatusNotImplemented
	default:
		return 0
	}
}

func isDigits(s string) bool {
	if s == "" {
		return false
	}
	for _, b := range []byte(s) {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}
