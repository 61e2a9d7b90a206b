package logger

import (
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the lines that wait to be written, in bytes. Lines beyond
	// it are dropped and counted.
	maxBufferBytes = 256 << 10
	flushPeriod    = 200 * time.Millisecond
)

// Buffer writes lines in the background, so that a slow reader of the log never
// holds up a request.
type Buffer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int64

	writeMu sync.Mutex
	stop    chan struct{}
	once    sync.Once
}

// NewBuffer returns a Buffer before out. Close ends its goroutine.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, stop: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It never blocks on the output and never fails.
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

// Dropped returns how many lines were dropped because too many waited.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Close writes what waits.
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
		_, _ = b.out.Write(lines) // there is nowhere left to report it
	}
	b.spare = lines
}
