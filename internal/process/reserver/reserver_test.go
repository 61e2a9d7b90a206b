package reserver_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

// Guards against more reserved bytes than the bound, and against bytes that stay counted
// after their release.
func TestReservedBytesAreBounded(t *testing.T) {
	r := reserver.New(1000)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for n := range int64(200) {
				if r.TryAcquire(n) {
					r.Release(n)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, r.Used(), int64(0))
	assert.Assert(t, r.Peak() > 0 && r.Peak() <= 1000, "%d", r.Peak())
	assert.Assert(t, r.TryAcquire(1000))
	assert.Assert(t, !r.TryAcquire(1))
}

// Guards against a bound where none is configured.
func TestZeroValueIsUnbounded(t *testing.T) {
	var r reserver.Reserver
	assert.Assert(t, r.TryAcquire(1<<40))
}

// Guards against an incomplete body that is reported as complete because memory was short
// or the body exceeded its limit, and against a buffer larger than the reservation.
func TestReadBody(t *testing.T) {
	long := strings.Repeat("x", 300_000)
	text := func(s string) func() io.Reader { return func() io.Reader { return strings.NewReader(s) } }
	for name, c := range map[string]struct {
		body          func() io.Reader
		length, limit int64
		memory        int64
		size          int
		complete      bool
	}{
		"known length":      {text(long), 300_000, 1 << 20, 1 << 20, 300_000, true},
		"unknown length":    {text(long), -1, 1 << 20, 1 << 20, 300_000, true},
		"empty":             {text(""), -1, 1 << 20, 1 << 20, 0, true},
		"byte by byte":      {func() io.Reader { return iotest.OneByteReader(strings.NewReader("abc")) }, -1, 1 << 20, 1 << 20, 3, true},
		"above its limit":   {text(long), -1, 100_000, 1 << 20, 131072, false},
		"no memory":         {text(long), 300_000, 1 << 20, 200_000, 0, false},
		"memory for a part": {text(long), -1, 1 << 20, 150_000, 131072, false},
		"length over limit": {text(long), 1 << 40, 1 << 20, 1 << 20, 300_000, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := reserver.New(c.memory)
			var b bytes.Buffer
			reserved, complete, err := r.ReadBody(&b, c.body(), c.length, c.limit)
			assert.NilError(t, err)
			assert.Equal(t, complete, c.complete)
			assert.Equal(t, b.Len(), c.size)
			assert.Equal(t, reserved, r.Used())
			assert.Assert(t, int64(b.Len()) <= reserved)

			r = reserver.New(c.memory)
			segments, reserved, complete, err := r.ReadSegments(c.body(), c.length, c.limit, 0)
			assert.NilError(t, err)
			assert.Equal(t, complete, c.complete)
			assert.Equal(t, len(bytes.Join(segments, nil)), c.size)
			assert.Equal(t, reserved, r.Used())
			capacity := 0
			for _, segment := range segments {
				capacity += cap(segment)
			}
			assert.Equal(t, int64(capacity), reserved)
		})
	}
	broken := errors.New("broken")
	brokenBody := func() io.Reader {
		return io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken))
	}
	_, _, complete, err := reserver.New(0).ReadSegments(brokenBody(), -1, 1<<20, 0)
	assert.ErrorIs(t, err, broken)
	assert.Assert(t, !complete)
	var b bytes.Buffer
	_, complete, err = reserver.New(0).ReadBody(&b, brokenBody(), -1, 1<<20)
	assert.ErrorIs(t, err, broken)
	assert.Assert(t, !complete)
}

// Guards against long responses, which slow callers hold, that leave no memory for the bodies of
// other requests, and against short responses that are not held in the rest of the memory.
func TestLongSegmentsLeaveMemory(t *testing.T) {
	for name, c := range map[string]struct {
		size     int
		length   int64
		complete bool
	}{
		"short":                  {1000, 1000, true},
		"short, no length":       {1000, -1, true},
		"64 KiB":                 {64 << 10, 64 << 10, true},
		"longer":                 {64<<10 + 1, 64<<10 + 1, false},
		"longer, no length":      {64<<10 + 1, -1, false},
		"much longer, no length": {1 << 19, -1, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := reserver.New(1 << 20)
			assert.Assert(t, r.TryAcquire(1<<20*3/4))
			_, _, complete, err := r.ReadSegments(strings.NewReader(strings.Repeat("x", c.size)), c.length, 1<<20, 0.25)
			assert.NilError(t, err)
			assert.Equal(t, complete, c.complete)
			assert.Assert(t, r.Used() <= 1<<20*3/4+64<<10+1)
		})
	}
}
