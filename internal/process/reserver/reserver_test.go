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

// Guards against more bytes in use than the bound, and against bytes that stay
// counted after they were given back.
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

// Guards against a bound where none is set.
func TestZeroValueIsUnbounded(t *testing.T) {
	var r reserver.Reserver
	assert.Assert(t, r.TryAcquire(1<<40))
}

// Guards against bodies that are taken for whole when memory or their bound ends, and
// against more bytes held than reserved.
func TestReadBody(t *testing.T) {
	long := strings.Repeat("x", 300_000)
	for name, c := range map[string]struct {
		body         io.Reader
		length, most int64
		memory       int64
		size         int
		whole        bool
	}{
		"known length":     {strings.NewReader(long), 300_000, 1 << 20, 1 << 20, 300_000, true},
		"unknown length":   {strings.NewReader(long), -1, 1 << 20, 1 << 20, 300_000, true},
		"empty":            {strings.NewReader(""), -1, 1 << 20, 1 << 20, 0, true},
		"byte by byte":     {iotest.OneByteReader(strings.NewReader("abc")), -1, 1 << 20, 1 << 20, 3, true},
		"above its bound":  {strings.NewReader(long), -1, 100_000, 1 << 20, 131072, false},
		"no memory":        {strings.NewReader(long), 300_000, 1 << 20, 200_000, 0, false},
		"too little":       {strings.NewReader(long), -1, 1 << 20, 150_000, 131072, false},
		"a length too big": {strings.NewReader(long), 1 << 40, 1 << 20, 1 << 20, 300_000, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := reserver.New(c.memory)
			var b bytes.Buffer
			held, whole, err := r.ReadBody(&b, c.body, c.length, c.most)
			assert.NilError(t, err)
			assert.Equal(t, whole, c.whole)
			assert.Equal(t, b.Len(), c.size)
			assert.Equal(t, held, r.Used())
			assert.Assert(t, int64(b.Len()) <= held)
		})
	}
	broken := errors.New("broken")
	var b bytes.Buffer
	_, whole, err := reserver.New(0).ReadBody(&b, io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), -1, 1<<20)
	assert.ErrorIs(t, err, broken)
	assert.Assert(t, !whole)
}
