// Package logger writes structured logs of numbered events. Every event has an
// entry in the catalogue of this package and a row in docs/events.md; a test
// compares the two. Numbers are never reused.
package logger

import (
	"io"

	"github.com/rs/zerolog"
)

// Logger writes events. The zero Logger discards them.
type Logger struct {
	out     zerolog.Logger
	enabled bool
}

// New returns a Logger that writes events at or above the level to w as JSON lines.
// Each line carries the name of the host.
func New(w io.Writer, level zerolog.Level, host string) Logger {
	z := zerolog.New(w).Level(level).With().Timestamp().Str("host", host).Logger()
	return Logger{out: z, enabled: true}
}

// Event starts the log line of an event. The caller adds fields and calls Send. If
// the Logger discards events, the result is nil, on which these methods do nothing.
func (l Logger) Event(e Event) *zerolog.Event {
	if !l.enabled {
		return nil
	}
	entry := e.catalogueEntry()
	return l.out.WithLevel(entry.level).Int("event", int(e)).Str("message", entry.message)
}
