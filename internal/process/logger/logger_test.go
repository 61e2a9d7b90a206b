package logger_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// Guards against events that docs/events.md lacks or describes in other words, and
// against rows of events that don't exist.
func TestEventsPageListsEvents(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/events.md")
	assert.NilError(t, err)
	rows := make(map[string]bool)
	for line := range strings.Lines(string(raw)) {
		if len(line) > 3 && line[0] == '|' && line[2] >= '1' && line[2] <= '9' {
			rows[strings.TrimSpace(line)] = true
		}
	}
	for _, e := range logger.Events() {
		row := fmt.Sprintf("| %d | %s | %s | %s |", int(e), e.Level(), e.Message(), e.Meaning())
		assert.Check(t, rows[row], "docs/events.md lacks: %s", row)
	}
	assert.Equal(t, len(rows), len(logger.Events()))
}

// Guards against log lines without the event number, by which docs/events.md lists
// them, and against a zero Logger that panics.
func TestLineHasEventNumber(t *testing.T) {
	var buf bytes.Buffer
	logger.New(&buf, zerolog.InfoLevel, "h1").Event(logger.HostReady).Send()
	assert.Assert(t, strings.Contains(buf.String(), `"event":102`), buf.String())
	logger.Logger{}.Event(logger.HostReady).Str("k", "v").Send()
}
