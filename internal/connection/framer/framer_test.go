package framer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a reader that accepts more than the bound or hides why a
// frame was refused.
func TestReadRefuses(t *testing.T) {
	long := binary.AppendUvarint(nil, framer.MaxSize+1)
	for name, c := range map[string]struct {
		in   []byte
		kind classifier.Kind
	}{
		"too large":        {long, classifier.TooLarge},
		"endless length":   {bytes.Repeat([]byte{0xff}, 20), classifier.BadRequest},
		"cut length":       {[]byte{0x80}, classifier.Truncated},
		"cut content":      {[]byte{5, 1, 2}, classifier.Truncated},
		"malformed fields": {[]byte{2, 0xff, 0xff}, classifier.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := framer.New(bytes.NewBuffer(c.in)).Read()
			assert.Equal(t, classifier.Of(err), c.kind, "%v", err)
		})
	}
	_, err := framer.New(new(bytes.Buffer)).Read()
	assert.Equal(t, err, io.EOF)
}

// Guards against a writer that puts a frame on the stream which no reader
// accepts.
func TestWriteRefusesLarge(t *testing.T) {
	var buf bytes.Buffer
	err := framer.New(&buf).Write(&framer.Envelope{From: string(make([]byte, framer.MaxSize+1))})
	assert.Equal(t, classifier.Of(err), classifier.TooLarge)
	assert.Equal(t, buf.Len(), 0)
}

// Guards against panics on arbitrary input and against envelopes that change
// when they are written and read again.
func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	assert.NilError(f, framer.New(&buf).Write(&framer.Envelope{From: "h1", Body: &framer.Envelope_Digest{Digest: &framer.Digest{Version: 7}}}))
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, in []byte) {
		e, err := framer.New(bytes.NewBuffer(in)).Read()
		if err != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, framer.New(&out).Write(e))
		again, err := framer.New(&out).Read()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(e, again))
	})
}
