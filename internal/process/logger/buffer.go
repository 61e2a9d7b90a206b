package logger

import (
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the lines that wait to be written. Lines beyond it are
	// dropped and counted.
	maxBufferBytes = 256 << 10
	// flushPeriod is how often the buffered lines are written.
	flushPeriod = 200 * time.Millisecond
)

// Buffer is an io.Writer that writes log lines in the background, so that a slow
// reader of the log never delays a request. It is safe for concurrent use.
type Buffer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte // lines to be written
	spare   []byte // the buffer of the last flush, which the next one reuses
	dropped int64  // lines

	writeMu sync.Mutex // held while a flush writes to out
	stop    chan struct{}
	once    sync.Once
}

// NewBuffer returns a Buffer that writes to out. Close stops its goroutine.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, stop: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It does not wait for the output and never returns an
// error: a line for which there is no room is dropped.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBufferBytes {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped because the buffer was full.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Close stops the background goroutine and writes the buffered lines.
func (b *Buffer) Close() {
	b.once.Do(func() { close(b.stop) })
	b.flush()
}

func (b *Buffer) run() {
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.flush()
		}
	}
}

func (b *Buffer) flush() {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	lines := b.pending
	b.pending = b.spare[:0]
	b.mu.Unlock()
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // the log itself failed, so the error can't be reported
	}
	b.spare = lines
}
