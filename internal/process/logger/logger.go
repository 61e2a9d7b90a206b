// Package logger writes structured logs of numbered events. Every event has an
// entry in the table of this package and in docs/events.md; a test compares
// the two. Numbers are never reused.
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

// New returns a Logger that writes JSON lines at or above the level to w.
func New(w io.Writer, level zerolog.Level, host string) Logger {
	z := zerolog.New(w).Level(level).With().Timestamp().Str("host", host).Logger()
	return Logger{out: z, enabled: true}
}

// Event starts the line of an event. The caller adds fields and calls Send.
func (l Logger) Event(e Event) *zerolog.Event {
	if !l.enabled {
		return nil
	}
	entry := e.catalogueEntry()
	return l.out.WithLevel(entry.level).Int("event", int(e)).Str("message", entry.message)
}
