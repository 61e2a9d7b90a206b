package recognizer_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/admission/recognizer"
)

// Guards against returned requests that are taken for new ones, against new ones that are taken
// for returned ones because of a small difference or another route, and against a long timeout
// that counts for ever.
func TestReturned(t *testing.T) {
	type request struct {
		at      time.Duration
		route   string
		timeout time.Duration
		want    bool
	}
	for name, requests := range map[string][]request{
		"first":            {{0, "a", time.Second, false}},
		"returned":         {{0, "a", 3 * time.Second, false}, {100 * time.Millisecond, "a", 2900 * time.Millisecond, true}},
		"small difference": {{0, "a", 3 * time.Second, false}, {time.Second, "a", 2990 * time.Millisecond, false}},
		"other route":      {{0, "a", 3 * time.Second, false}, {time.Second, "b", time.Second, false}},
		"next period":      {{0, "a", 3 * time.Second, false}, {11 * time.Second, "a", time.Second, true}},
		"expired":          {{0, "a", 3 * time.Second, false}, {11 * time.Second, "a", time.Second, true}, {22 * time.Second, "a", time.Second, false}},
		"long idle":        {{0, "a", 3 * time.Second, false}, {time.Minute, "a", time.Second, false}},
	} {
		t.Run(name, func(t *testing.T) {
			var r recognizer.Recognizer
			for _, q := range requests {
				assert.Equal(t, r.Returned(q.route, q.timeout, time.Unix(100, 0).Add(q.at)), q.want, "%v", q.at)
			}
		})
	}
}

// Guards against memory that grows with the number of routes.
func TestRoutesAreBounded(t *testing.T) {
	var r recognizer.Recognizer
	now := time.Unix(100, 0)
	for i := range 5000 {
		r.Returned(strconv.Itoa(i), time.Second, now)
	}
	assert.Check(t, r.Returned("0", time.Second/2, now))
	assert.Check(t, !r.Returned("4999", time.Second/2, now))
}
