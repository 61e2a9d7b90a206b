package forwarder

import (
	"crypto/sha256"
	"encoding/base64"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxTokenBytes bounds Request-Id, Idempotency-Key and the client account, which
// are kept in logs, in memory and in keys of the table service.
const maxTokenBytes = 128

// token returns the value of a header that may be given at most once, or "". An
// error is of kind BadRequest: the value may hold visible ASCII only.
func token(h http.Header, name string) (string, error) {
	values := h[name]
	if len(values) == 0 {
		return "", nil
	}
	v := values[0]
	if len(values) > 1 || v == "" || len(v) > maxTokenBytes {
		return "", classifier.BadRequest.New("header %s: give one value of 1 to %d characters", name, maxTokenBytes)
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] > '~' {
			return "", classifier.BadRequest.New("header %s: use visible ASCII characters only", name)
		}
	}
	return v, nil
}

// requestTimeout returns how long the request may take: the duration of its
// Request-Timeout header, and at most the timeout of the service.
func requestTimeout(h http.Header, most time.Duration) (time.Duration, error) {
	const longest = 32
	values := h["Request-Timeout"]
	if len(values) == 0 {
		return most, nil
	}
	if len(values) > 1 || len(values[0]) > longest {
		return 0, classifier.BadRequest.New("header Request-Timeout: give one duration such as \"1500ms\"")
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || d <= 0 {
		return 0, classifier.BadRequest.New("header Request-Timeout: give a duration above 0 such as \"1500ms\"")
	}
	return min(d, most), nil
}

// newRequestID returns a Request-Id for a request without one.
func newRequestID() string {
	var buf [32]byte
	raw := strconv.AppendUint(buf[:0], rand.Uint64()|1<<63, 16)
	raw = strconv.AppendUint(raw, rand.Uint64()|1<<63, 16)
	return string(raw)
}

// digest returns the sha-256 member of a Repr-Digest field (RFC 9530). A field
// that does not parse counts as absent, as the RFC requires.
func digest(h http.Header) (sum [sha256.Size]byte, ok bool) {
	values := h["Repr-Digest"]
	if len(values) == 0 {
		return sum, false
	}
	for member := range strings.SplitSeq(strings.Join(values, ","), ",") {
		name, value, _ := strings.Cut(strings.Trim(member, " \t"), "=")
		if name != "sha-256" {
			continue
		}
		value, _, _ = strings.Cut(value, ";")
		value = strings.TrimRight(value, " \t")
		inner, found := strings.CutPrefix(value, ":")
		inner, closed := strings.CutSuffix(inner, ":")
		raw, err := base64.StdEncoding.DecodeString(inner)
		// The last member of a name counts, as in every dictionary field.
		ok = found && closed && err == nil && copy(sum[:], raw) == sha256.Size && len(raw) == sha256.Size
	}
	return sum, ok
}
