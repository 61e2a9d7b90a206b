package validator_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
)

const okLine = "HTTP/1.1 200 OK\r\n"

func ExampleScan() {
	head := []byte("HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\n")
	_, _, err := validator.Scan(head, 0)
	fmt.Println(err)
	// Output: field name "Content Length" is not a token
}

// Guards against an invalid head that is accepted, a valid one that is refused, and an error
// that doesn't name the reason.
func TestScan(t *testing.T) {
	for name, c := range map[string]struct{ head, err string }{
		"no fields":                     {okLine + "\r\n", ""},
		"fields":                        {okLine + "A: 1\r\nb:2\r\nC:\r\n\r\n", ""},
		"bare line feeds":               {"HTTP/1.1 200 OK\nA: 1\n\n", ""},
		"bare line feeds, then CRLF":    {"HTTP/1.1 200 OK\nA: 1\n\r\n", ""},
		"colons in a value":             {okLine + "A: b: c\r\n\r\n", ""},
		"continuation with a field":     {okLine + "A: 1\r\n two words\r\n\tand: more\r\n  \r\n\r\n", `continuation line that reads as a field line: "\tand: more"`},
		"continuation with a time":      {okLine + "Date: Mon, 07 Dec 2026\r\n 08:00:00 GMT\r\n\r\n", ""},
		"continuation with words":       {okLine + "A: 1\r\n see also: that\r\n\r\n", ""},
		"continuation with a name":      {okLine + "A: 1\r\n  B : 1\r\n\r\n", "reads as a field line"},
		"leading space":                 {okLine + " A: 1\r\n\r\n", "space before the first field line"},
		"least status":                  {"HTTP/1.1 100\r\n\r\n", ""},
		"greatest status":               {"HTTP/1.0 599 Odd reason: \x01\r\n\r\n", ""},
		"status 000":                    {"HTTP/1.1 000 OK\r\n\r\n", "status code 000 is not between 100 and 599"},
		"status 099":                    {"HTTP/1.1 099\r\n\r\n", "status code 099 is not"},
		"status 600":                    {"HTTP/1.1 600 OK\r\n\r\n", "status code 600 is not"},
		"status with a sign":            {"HTTP/1.1 +20 OK\r\n\r\n", "malformed status line"},
		"status with more digits":       {"HTTP/1.1 2000 OK\r\n\r\n", "malformed status line"},
		"no status":                     {"HTTP/1.1\r\n\r\n", "malformed status line"},
		"no reason, tab":                {"HTTP/1.1 200\tOK\r\n\r\n", "malformed status line"},
		"another protocol":              {"SSH-2.0-x\r\n", "malformed status line"},
		"another major version":         {"HTTP/2.0 200 OK\r\n\r\n", "malformed status line"},
		"empty line before the status":  {"\r\n" + okLine + "\r\n", "malformed status line"},
		"space in a name":               {okLine + "A B: 1\r\n\r\n", `field name "A B" is not a token`},
		"space before a colon":          {okLine + "A : 1\r\n\r\n", `field name "A " is not a token`},
		"control byte in a name":        {okLine + "A\x00: 1\r\n\r\n", `field name "A\x00" is not a token`},
		"separator in a name":           {okLine + "A(1): 1\r\n\r\n", "is not a token"},
		"empty name":                    {okLine + ": 1\r\n\r\n", `field name "" is not a token`},
		"long name":                     {okLine + strings.Repeat("A", 100) + " : 1\r\n\r\n", `field name "` + strings.Repeat("A", 64) + `" is not a token`},
		"no colon":                      {okLine + "A\r\n\r\n", `field line without a colon: "A"`},
		"line feed before a name":       {okLine + "A: 1\r\n\nB: 1\r\n\r\n", "empty line ends with a bare line feed"},
		"line feed before first name":   {okLine + "\nB: 1\r\n\r\n", "empty line ends with a bare line feed"},
		"carriage return before a name": {okLine + "\rB: 1\r\n\r\n", "is not a token"},
		"two carriage returns":          {okLine + "A: 1\r\n\r\r\n", "field line without a colon"},
	} {
		t.Run(name, func(t *testing.T) {
			end, complete, err := validator.Scan([]byte(c.head+"more\r\n"), 0)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, complete)
			assert.Equal(t, end, len(c.head))
		})
	}
}

// FuzzScan guards against a head that is checked otherwise than http.ReadResponse reads it: it
// ends elsewhere, has an invalid status code or name, or depends on how its bytes arrive.
func FuzzScan(f *testing.F) {
	for _, head := range []string{
		okLine + "A: 1\r\n b\r\n\r\n", "HTTP/1.0 204\nA:\n\n", okLine + "A: 1\r\n\nB: 1\r\n\r\n", "HTTP/1.1  103 Early\r\n\r\n" + okLine + "\r\n",
		okLine + "A B: 1\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", okLine + "A: 1\r\n B: 2\r\n\r\n", okLine + "A: 1\r\n  \r\n\r\n", okLine + "\rA: 1\r\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		end, complete, err := validator.Scan(raw, 0)
		next, done := 0, false
		var scanErr error
		for n := 0; n <= len(raw) && !done && scanErr == nil; n++ {
			next, done, scanErr = validator.Scan(raw[:n], next)
		}
		if next != end || done != complete || (scanErr == nil) != (err == nil) {
			t.Fatalf("%d, %v, %v at once; %d, %v, %v byte by byte", end, complete, err, next, done, scanErr)
		}
		if complete {
			checkParsed(t, raw[:end])
		}
	})
}

// checkParsed checks that http.ReadResponse refuses a head that Scan accepts, or reads all of it
// and finds nothing invalid.
func checkParsed(t *testing.T, head []byte) {
	t.Helper()
	br := bufio.NewReaderSize(bytes.NewReader(head), len(head)+1)
	r, err := http.ReadResponse(br, nil)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("http.ReadResponse reads beyond %q", head)
	}
	if err != nil {
		return
	}
	assert.Equal(t, br.Buffered(), 0, "http.ReadResponse leaves a part of %q", head)
	assert.Assert(t, r.StatusCode >= 100 && r.StatusCode <= 599, "status code %d", r.StatusCode)
	for name := range r.Header {
		assert.Assert(t, httpguts.ValidHeaderFieldName(name), "field name %q", name)
	}
}
