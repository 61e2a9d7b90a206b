package resumer_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/request/resumer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func response(status int, length int64, h ...string) *http.Response {
	resp := &http.Response{StatusCode: status, ContentLength: length, Header: http.Header{}}
	for i := 0; i < len(h); i += 2 {
		resp.Header.Set(h[i], h[i+1])
	}
	return resp
}

// Guards against a download that is resumed with bytes of another representation.
func TestCheck(t *testing.T) {
	const tag, span = `"v1"`, "bytes 40-99/100"
	cases := map[string]struct {
		first, rest *http.Response
		possible    bool
		ok          bool
	}{
		"exact":          {response(200, 100, "Etag", tag), response(206, 60, "Etag", tag, "Content-Range", span), true, true},
		"chunked":        {response(200, -1, "Etag", tag), response(206, -1, "Etag", tag, "Content-Range", span), true, true},
		"of a range":     {response(206, 60, "Etag", tag, "Content-Range", "bytes 10-69/100"), response(206, 20, "Etag", tag, "Content-Range", "bytes 50-69/100"), true, true},
		"weak":           {response(200, 100, "Etag", `W/"v1"`), response(206, 60, "Etag", `W/"v1"`, "Content-Range", span), false, false},
		"no tag":         {response(200, 100), response(206, 60, "Content-Range", span), false, false},
		"changed tag":    {response(200, 100, "Etag", tag), response(206, 60, "Etag", `"v2"`, "Content-Range", span), true, false},
		"tag missing":    {response(200, 100, "Etag", tag), response(206, 60, "Content-Range", span), true, false},
		"whole again":    {response(200, 100, "Etag", tag), response(200, 100, "Etag", tag), true, false},
		"starts late":    {response(200, 100, "Etag", tag), response(206, 59, "Etag", tag, "Content-Range", "bytes 41-99/100"), true, false},
		"starts early":   {response(200, 100, "Etag", tag), response(206, 61, "Etag", tag, "Content-Range", "bytes 39-99/100"), true, false},
		"ends early":     {response(200, 100, "Etag", tag), response(206, 59, "Etag", tag, "Content-Range", "bytes 40-98/100"), true, false},
		"other total":    {response(200, 100, "Etag", tag), response(206, 60, "Etag", tag, "Content-Range", "bytes 40-99/101"), true, false},
		"open end":       {response(200, -1, "Etag", tag), response(206, 60, "Etag", tag, "Content-Range", "bytes 40-99/*"), true, false},
		"other length":   {response(200, 100, "Etag", tag), response(206, 61, "Etag", tag, "Content-Range", span), true, false},
		"other encoding": {response(200, 100, "Etag", tag), response(206, 60, "Etag", tag, "Content-Range", span, "Content-Encoding", "gzip"), true, false},
		"several ranges": {response(206, 60, "Etag", tag, "Content-Type", "multipart/byteranges"), response(206, 60), false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := resumer.New(&http.Request{Method: http.MethodGet}, c.first)
			d.Advance(40)
			assert.Equal(t, d.CanResume(), c.possible)
			if !c.possible {
				return
			}
			err := d.Validate(c.rest)
			assert.Equal(t, err == nil, c.ok, "%v", err)
			assert.Assert(t, c.ok || classifier.Of(err) == classifier.Truncated)
		})
	}
	post := resumer.New(&http.Request{Method: http.MethodPost}, cases["exact"].first)
	assert.Assert(t, !post.CanResume(), "a POST must not be resumed")
}

// Guards against a Content-Range that is parsed as another range, or that
// overflows.
func FuzzRange(f *testing.F) {
	for _, s := range []string{"bytes 0-0/1", "bytes 5-9/*", "bytes +1-2/3", "bytes 3-2/9", "bytes */9", "bytes 0-9999999999999999999/*", "bytes 1-2/2", "items 0-1/2", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		first, last, total, ok := resumer.ParseContentRange(http.Header{"Content-Range": {s}})
		if !ok {
			return
		}
		assert.Assert(t, 0 <= first && first <= last && (total == -1 || last < total))
		size := "*"
		if total >= 0 {
			size = strconv.FormatInt(total, 10)
		}
		again := fmt.Sprintf("bytes %d-%d/%s", first, last, size)
		f2, l2, t2, ok2 := resumer.ParseContentRange(http.Header{"Content-Range": {again}})
		assert.Assert(t, ok2 && f2 == first && l2 == last && t2 == total, "%q and %q", s, again)
	})
}

func Example() {
	req := &http.Request{Method: http.MethodGet}
	d := resumer.New(req, response(200, 100, "Etag", `"v1"`))
	d.Advance(40)
	h := http.Header{}
	d.SetRange(h)
	fmt.Println(d.CanResume(), h.Get("Range"), h.Get("If-Range"))
	// Output: true bytes=40-99 "v1"
}
