package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against requests that wait for a slow reader of the log, and against a
// buffer that grows without bound while the output is blocked.
func TestBufferDropsInsteadOfBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := logger.NewBuffer(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1024 {
		n, err := b.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, b.Dropped() >= 1024-2*256, "%d", b.Dropped())
	close(out.release)
	b.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, int64(strings.Count(out.buf.String(), "\n"))+b.Dropped(), int64(1024))
}
