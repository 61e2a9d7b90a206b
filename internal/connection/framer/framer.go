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

// initialReadBytes bounds the memory that is reserved for a frame before its content
// arrives.
const initialReadBytes = 64 << 10

// MaxNoteBytes is the largest encoded release note in bytes. It leaves room in a frame
// for the membership updates and chains that are sent with a note.
const MaxNoteBytes = MaxEnvelopeBytes - 64<<10

// Framer reads and writes Envelopes on one stream. One Read and one Write may run
// concurrently; concurrent Reads or concurrent Writes are not allowed.
type Framer struct {
	r      *bufio.Reader
	w      io.Writer
	memory *reserver.Reserver
}

// New returns a Framer on the stream. Memory bounds the total size of frames being read;
// nil means no bound.
func New(rw io.ReadWriter, memory *reserver.Reserver) *Framer {
	if memory == nil {
		memory = new(reserver.Reserver)
	}
	return &Framer{r: bufio.NewReader(rw), w: rw, memory: memory}
}

// Write writes one Envelope with a single Write to the stream. An Envelope larger than
// MaxEnvelopeBytes is an error of kind TooLarge, and nothing is written. A failed write
// is of kind Failed.
func (f *Framer) Write(e *Envelope) error {
	size := proto.Size(e)
	if size > MaxEnvelopeBytes {
		return classifier.TooLarge.New("envelope of %d bytes exceeds the limit of %d bytes", size, MaxEnvelopeBytes)
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

// Read reads one Envelope. It returns io.EOF if the stream ends before the first byte.
// Other errors are of kind Truncated if the stream ends within the frame, TooLarge if the
// length prefix exceeds MaxEnvelopeBytes, Overloaded if no memory is free for the frame,
// BadRequest if the length or the content is malformed, and Failed if the stream fails.
func (f *Framer) Read() (*Envelope, error) {
	size, err := f.readLength()
	if err != nil {
		return nil, err
	}
	if size > MaxEnvelopeBytes {
		return nil, classifier.TooLarge.New("frame of %d bytes exceeds the limit of %d bytes", size, MaxEnvelopeBytes)
	}
	// The buffer grows as content arrives, so a length prefix alone does not make the
	// host allocate a large buffer.
	var buf bytes.Buffer
	reserved, complete, err := f.memory.ReadBody(&buf, io.LimitReader(f.r, int64(size)), min(int64(size), initialReadBytes), MaxEnvelopeBytes)
	defer f.memory.Release(reserved)
	switch {
	case err != nil:
		return nil, classifier.Failed.Wrap(err, "read envelope")
	case !complete:
		return nil, classifier.Overloaded.New("no memory available for a frame of %d bytes", size)
	case buf.Len() < int(size):
		return nil, classifier.Truncated.New("frame ends after %d of %d bytes", buf.Len(), size)
	}
	e := new(Envelope)
	if err := proto.Unmarshal(buf.Bytes(), e); err != nil {
		return nil, classifier.BadRequest.Wrap(err, "decode envelope")
	}
	return e, nil
}

func (f *Framer) readLength() (uint64, error) {
	var size uint64
	for shift := 0; shift < 7*binary.MaxVarintLen32; shift += 7 {
		b, err := f.r.ReadByte()
		if err == io.EOF && shift > 0 {
			return 0, classifier.Truncated.New("frame ends within its length prefix")
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
	return 0, classifier.BadRequest.New("frame length prefix has more than %d bytes", binary.MaxVarintLen32)
}
