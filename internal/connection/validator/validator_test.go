package validator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
)

const okLine = "HTTP/1.1 200 OK\r\n"

// Guards against an invalid head that is accepted, a valid one that is refused, and an error
// that doesn't name the reason.
func TestScan(t *testing.T) {
	for name, c := range map[string]struct{ head, err string }{
		"no fields":                    {okLine + "\r\n", ""},
		"fields":                       {okLine + "A: 1\r\nb:2\r\nC:\r\n\r\n", ""},
		"bare line feeds":              {"HTTP/1.1 200 OK\nA: 1\n\n", ""},
		"bare line feeds, then CRLF":   {"HTTP/1.1 200 OK\nA: 1\n\r\n", ""},
		"least status":                 {"HTTP/1.1 100\r\n\r\n", ""},
		"greatest status":              {"HTTP/1.0 599 Odd reason: \x01\r\n\r\n", ""},
		"status 000":                   {"HTTP/1.1 000 OK\r\n\r\n", "status code 000 is not between 100 and 599"},
		"status 099":                   {"HTTP/1.1 099\r\n\r\n", "status code 099 is not"},
		"status 600":                   {"HTTP/1.1 600 OK\r\n\r\n", "status code 600 is not"},
		"status with a sign":           {"HTTP/1.1 +20 OK\r\n\r\n", "malformed status line"},
		"status with more digits":      {"HTTP/1.1 2000 OK\r\n\r\n", "malformed status line"},
		"no status":                    {"HTTP/1.1\r\n\r\n", "malformed status line"},
		"no reason, tab":               {"HTTP/1.1 200\tOK\r\n\r\n", "malformed status line"},
		"another protocol":             {"SSH-2.0-x\r\n", "malformed status line"},
		"another major version":        {"HTTP/2.0 200 OK\r\n\r\n", "malformed status line"},
		"empty line before the status": {"\r\n" + okLine + "\r\n", "malformed status line"},
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
