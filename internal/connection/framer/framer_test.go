package framer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a reader that accepts frames above the limit, or reports the wrong error
// kind for a rejected frame.
func TestReadRejectsMalformedFrames(t *testing.T) {
	oversized := binary.AppendUvarint(nil, framer.MaxEnvelopeBytes+1)
	for name, c := range map[string]struct {
		in   []byte
		kind classifier.Kind
	}{
		"too large":           {oversized, classifier.TooLarge},
		"unterminated length": {bytes.Repeat([]byte{0xff}, 20), classifier.BadRequest},
		"truncated length":    {[]byte{0x80}, classifier.Truncated},
		"truncated content":   {[]byte{5, 1, 2}, classifier.Truncated},
		"malformed fields":    {[]byte{2, 0xff, 0xff}, classifier.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := framer.New(bytes.NewBuffer(c.in), nil).Read()
			assert.Equal(t, classifier.Of(err), c.kind, "%v", err)
		})
	}
	_, err := framer.New(new(bytes.Buffer), nil).Read()
	assert.Equal(t, err, io.EOF)
}

// Guards against a writer that sends a frame which every reader rejects as too large.
func TestWriteRejectsOversizedEnvelope(t *testing.T) {
	var buf bytes.Buffer
	err := framer.New(&buf, nil).Write(&framer.Envelope{From: string(make([]byte, framer.MaxEnvelopeBytes+1))})
	assert.Equal(t, classifier.Of(err), classifier.TooLarge)
	assert.Equal(t, buf.Len(), 0)
}

// Guards against panics on arbitrary input, and against envelopes that differ after they
// are written and read again.
func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	assert.NilError(f, framer.New(&buf, nil).Write(&framer.Envelope{From: "h1", Body: &framer.Envelope_Digest{Digest: &framer.Digest{Version: 7}}}))
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, in []byte) {
		e, err := framer.New(bytes.NewBuffer(in), nil).Read()
		if err != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, framer.New(&out, nil).Write(e))
		reread, err := framer.New(&out, nil).Read()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(e, reread))
	})
}

// Guards against frames of other hosts that take more memory than is reserved for them,
// and against reservations that are not released.
func TestFrameMemoryIsBounded(t *testing.T) {
	var frame bytes.Buffer
	assert.NilError(t, framer.New(&frame, nil).Write(&framer.Envelope{From: string(bytes.Repeat([]byte("x"), 1<<20))}))
	for name, c := range map[string]struct {
		memory int64
		in     []byte
		want   classifier.Kind
	}{
		"fits":         {2 << 20, frame.Bytes(), 0},
		"does not fit": {1 << 19, frame.Bytes(), classifier.Overloaded},
		"length only":  {1 << 19, frame.Bytes()[:3], classifier.Truncated},
		"half":         {2 << 20, frame.Bytes()[:1<<19], classifier.Truncated},
	} {
		t.Run(name, func(t *testing.T) {
			memory := reserver.New(c.memory)
			_, err := framer.New(bytes.NewBuffer(c.in), memory).Read()
			if c.want == 0 {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, classifier.Of(err), c.want, "%v", err)
			}
			assert.Equal(t, memory.Used(), int64(0))
			assert.Assert(t, memory.Peak() <= c.memory)
		})
	}
}
