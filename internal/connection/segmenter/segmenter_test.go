package segmenter_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/segmenter"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
)

var errBroken = errors.New("broken")

// Guards against a body that takes more memory than is reserved for it, an incomplete body that
// counts as complete, and memory that stays reserved after its last user.
func TestBodyIsCountedInFull(t *testing.T) {
	long := strings.Repeat("0123456789", 100_000)
	for name, c := range map[string]struct {
		text          string
		r             func(io.Reader) io.Reader
		length, limit int64
		memory        int64
		leave         float64
		held          int // bytes of the body
		complete      bool
		err           error
	}{
		"short":                    {"abc", nil, 3, 1 << 20, 1 << 21, 0, 3, true, nil},
		"empty":                    {"", nil, -1, 1 << 20, 1 << 21, 0, 0, true, nil},
		"byte by byte":             {"abc", iotest.OneByteReader, -1, 1 << 20, 1 << 21, 0, 3, true, nil},
		"long, known length":       {long, nil, 1_000_000, 1 << 20, 1 << 21, 0, 1_000_000, true, nil},
		"long, unknown length":     {long, nil, -1, 1 << 20, 1 << 21, 0, 1_000_000, true, nil},
		"longer than stated":       {long, nil, 500_000, 1 << 20, 1 << 21, 0, 1_000_000, true, nil},
		"above its limit":          {long, nil, -1, 100_000, 1 << 21, 0, 131_072, false, nil},
		"no memory":                {long, nil, 1_000_000, 1 << 20, 16_000, 0, 0, false, segmenter.ErrNoMemory},
		"memory for a part":        {long, nil, -1, 1 << 20, 150_000, 0, 131_072, false, segmenter.ErrNoMemory},
		"memory is left to others": {long, nil, -1, 1 << 20, 1_200_000, 0.25, 786_432, false, segmenter.ErrNoMemory},
		"broken":                   {"abc", func(r io.Reader) io.Reader { return io.MultiReader(r, iotest.ErrReader(errBroken)) }, -1, 1 << 20, 1 << 21, 0, 3, false, errBroken},
	} {
		t.Run(name, func(t *testing.T) {
			var r io.Reader = strings.NewReader(c.text)
			if c.r != nil {
				r = c.r(r)
			}
			memory := reserver.New(c.memory)
			b := segmenter.New(memory, c.length)
			complete, err := b.Fill(r, c.limit, c.leave)
			assert.Equal(t, complete, c.complete)
			assert.Equal(t, err, c.err)
			held := bytes.Join(b.Segments(), nil)
			assert.Equal(t, len(held), c.held)
			assert.Equal(t, b.Len(), int64(c.held))
			assert.Assert(t, strings.HasPrefix(c.text, string(held)))
			capacity := 0
			for _, s := range b.Segments() {
				capacity += cap(s)
			}
			assert.Equal(t, int64(capacity), memory.Used())
			b.Retain()
			b.Release()
			assert.Equal(t, int64(capacity), memory.Used())
			b.Release()
			assert.Equal(t, memory.Used(), int64(0))
		})
	}
}

// Guards against a body of known length that is refused only after a part of it was read, and
// against memory that is reserved twice.
func TestReserve(t *testing.T) {
	memory := reserver.New(1_000_000)
	b := segmenter.New(memory, 700_000)
	assert.Assert(t, !b.Reserve(0.5))
	assert.Equal(t, memory.Used(), int64(0))
	for range 2 {
		assert.Assert(t, b.Reserve(0.25))
		assert.Equal(t, memory.Used(), int64(700_001))
	}
	complete, err := b.Fill(strings.NewReader(strings.Repeat("x", 700_000)), 1<<20, 0.25)
	assert.NilError(t, err)
	assert.Assert(t, complete)
	assert.Equal(t, memory.Used(), int64(700_001))
	b.Release()
	assert.Equal(t, memory.Used(), int64(0))
}

// Guards against a request without a body that needs one.
func TestNilBodyIsEmpty(t *testing.T) {
	var b *segmenter.Body
	b.Retain()
	b.Release()
	assert.Equal(t, b.Len(), int64(0))
	assert.Equal(t, len(b.Segments()), 0)
}
