package conductor

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/admission/controller"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// Guards against a log that a level near a threshold fills, and against changes that it omits.
func TestAdmissionChangesAreLogged(t *testing.T) {
	var out bytes.Buffer
	var l admissionLog
	for i, c := range []struct {
		at      time.Duration
		closure float64
		lines   int
	}{{0, 0, 0}, {250 * time.Millisecond, 0.2, 1}, {500 * time.Millisecond, 0, 1}, {time.Second, 0.9, 1}, {1250 * time.Millisecond, 0, 2}, {1500 * time.Millisecond, 1, 2}, {5 * time.Second, 1, 3}, {6 * time.Second, 0, 4}} {
		report := []controller.ServiceReport{{Service: "s", Levels: []controller.LevelReport{{Urgency: 0}, {Urgency: 2, Closure: c.closure}}}}
		l.write(logger.New(&out, zerolog.InfoLevel, "h"), report, time.Unix(100, 0).Add(c.at))
		assert.Equal(t, strings.Count(out.String(), `"event":604`), c.lines, "step %d", i)
	}
}
