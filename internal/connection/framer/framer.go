// Package framer reads and writes the messages between hosts: protobuf
// Envelopes, each preceded by its length as a varint.
package framer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"dandeliontrack.example/dandeliontrack/internal/process/reserver"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// MaxEnvelopeBytes is the largest encoded Envelope in bytes.
const MaxEnvelopeBytes = 4 << 20

// part is the most memory that a stated length takes before its bytes arrive.
const part = 64 << 10

// MaxNoteBytes is the largest encoded release note in bytes. It leaves room in a
// frame for the membership updates and chains that travel with a note.
const MaxNoteBytes = MaxEnvelopeBytes - 64<<10

// Framer reads and writes Envelopes on one stream. Reads and writes may run at
// the same time; two reads or two writes may not.
type Framer struct {
	r      *bufio.Reader
	w      io.Writer
	memory *reserver.Reserver
}

// New returns a Framer on the stream. Memory bounds the frames that are being read; nil
// means no bound.
func New(rw io.ReadWriter, memory *reserver.Reserver) *Framer {
	if memory == nil {
		memory = new(reserver.Reserver)
	}
	return &Framer{r: bufio.NewReader(rw), w: rw, memory: memory}
}

// Write writes one Envelope in one call to the stream's Write. An Envelope
// above MaxEnvelopeBytes is an error of kind TooLarge and nothing is written.
func (f *Framer) Write(e *Envelope) error {
	size := proto.Size(e)
	if size > MaxEnvelopeBytes {
		return classifier.TooLarge.New("envelope of %d bytes is above the limit of %d bytes", size, MaxEnvelopeBytes)
	}
	frame := make([]byte, 0, size+binary.MaxVarintLen32)
	frame = binary.AppendUvarint(frame, uint64(size))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, e)
	if err != nil {
		return classifier.Internal.Wrap(err, "encode envelope")
	}
	if _, err := f.w.Write(frame); err != nil {
		return classifier.Failed.Wrap(err, "write envelope")
	}
	return nil
}

// Read reads one Envelope. It returns io.EOF if the stream ends before the
// first byte, an error of kind Truncated if it ends later, of kind TooLarge if
// the stated length is above MaxEnvelopeBytes, of kind Overloaded if no memory is free for it,
// and of kind BadRequest if the length or the content is malformed.
func (f *Framer) Read() (*Envelope, error) {
	size, err := f.readSize()
	if err != nil {
		return nil, err
	}
	if size > MaxEnvelopeBytes {
		return nil, classifier.TooLarge.New("frame states %d bytes, the limit is %d bytes", size, MaxEnvelopeBytes)
	}
	// The buffer grows with what arrives, so a stated length alone takes no
	// memory.
	var buf bytes.Buffer
	held, whole, err := f.memory.ReadBody(&buf, io.LimitReader(f.r, int64(size)), min(int64(size), part), MaxEnvelopeBytes)
	defer f.memory.Release(held)
	switch {
	case err != nil:
		return nil, classifier.Failed.Wrap(err, "read envelope")
	case !whole:
		return nil, classifier.Overloaded.New("no memory is free for a frame of %d bytes", size)
	case buf.Len() < int(size):
		return nil, classifier.Truncated.New("frame ends after %d of %d bytes", buf.Len(), size)
	}
	e := new(Envelope)
	if err := proto.Unmarshal(buf.Bytes(), e); err != nil {
		return nil, classifier.BadRequest.Wrap(err, "decode envelope")
	}
	return e, nil
}

func (f *Framer) readSize() (uint64, error) {
	var size uint64
	for shift := 0; shift < 7*binary.MaxVarintLen32; shift += 7 {
		b, err := f.r.ReadByte()
		if err == io.EOF && shift > 0 {
			return 0, classifier.Truncated.New("frame ends inside its length")
		}
		if err == io.EOF {
			return 0, io.EOF
		}
		if err != nil {
			return 0, classifier.Failed.Wrap(err, "read frame length")
		}
		size |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return size, nil
		}
	}
	return 0, classifier.BadRequest.New("frame length has more than %d bytes", binary.MaxVarintLen32)
}
