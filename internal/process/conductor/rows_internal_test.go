package conductor

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recoverer"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// textPlatform is a Platform whose rows are texts: a registration is "valid", other rows
// are errors with their value. The value "panic" causes a panic.
type textPlatform struct{ Platform }

func (textPlatform) UpstreamTable() string { return "upstreams" }

func (textPlatform) ParseRegistration(r follower.Row) (registrar.Registration, error) {
	switch string(r.Value) {
	case "valid":
		return registrar.Registration{ID: r.Key, Service: "s", Address: "10.0.0.9:80", Zone: "a1", Slots: 1, RowVersion: r.Version}, nil
	case "panic":
		panic("odd row")
	}
	return registrar.Registration{}, classifier.Invalid.New("%s", r.Value)
}

func (textPlatform) EvacuatedZone(string) (string, bool) { return "", false }

func (textPlatform) ParseConfiguration(r follower.Row) (*matcher.Table, bool, error) {
	return nil, false, classifier.Invalid.New("%s", r.Value)
}

func newRowConductor() (c *Conductor, log *bytes.Buffer) {
	log = new(bytes.Buffer)
	c = &Conductor{platform: textPlatform{}, registrar: registrar.New(map[string]string{"a1": "a"}), log: logger.New(log, zerolog.DebugLevel, "h")}
	c.recoverer = recoverer.New(c.log, meter.New())
	return c, log
}

func upstreamIDs(c *Conductor) (ids []string) {
	for _, u := range c.registrar.Group("s").Upstreams() {
		ids = append(ids, u.ID())
	}
	return ids
}

// Guards against requests to an upstream whose entry another writer replaced by one that
// names none, and against an upstream that stays away after it registered again.
func TestEntryThatBecomesInvalidNamesNoUpstream(t *testing.T) {
	for name, value := range map[string]string{"invalid": "odd", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			c, log := newRowConductor()
			c.RowsChanged("upstreams", []follower.Row{{Key: "a", Value: []byte("valid"), Version: 1}, {Key: "b", Value: []byte("valid"), Version: 1}}, 0, true)
			assert.DeepEqual(t, upstreamIDs(c), []string{"a", "b"})
			c.RowsChanged("upstreams", []follower.Row{
				{Key: "a", Value: []byte(value), Version: 2}, {Key: "odd", Value: []byte(value), Version: 3}, {Key: "c", Value: []byte("valid"), Version: 4},
			}, 0, false)
			assert.DeepEqual(t, upstreamIDs(c), []string{"b", "c"})
			assert.Equal(t, strings.Count(log.String(), `"event":205`), 2, log)
			c.RowsChanged("upstreams", []follower.Row{{Key: "a", Value: []byte("valid"), Version: 5}}, 0, false)
			assert.DeepEqual(t, upstreamIDs(c), []string{"a", "b", "c"})
			// An older row that arrives late changes nothing.
			c.RowsChanged("upstreams", []follower.Row{{Key: "a", Value: []byte(value), Version: 4}}, 0, false)
			assert.DeepEqual(t, upstreamIDs(c), []string{"a", "b", "c"})
		})
	}
}

// Guards against a fault in the code that one row triggers and that hides the other rows.
func TestPanicOnOneRowLeavesOthers(t *testing.T) {
	c, log := newRowConductor()
	c.RowsChanged("upstreams", []follower.Row{{Key: "odd", Value: []byte("panic"), Version: 1}, {Key: "b", Value: []byte("valid"), Version: 2}}, 0, true)
	assert.DeepEqual(t, upstreamIDs(c), []string{"b"})
	assert.Equal(t, strings.Count(log.String(), `"event":109`), 1, log)
}

// Guards against log lines as long as a row, which many hosts write for each change of it.
func TestLogOfInvalidRowIsBounded(t *testing.T) {
	for name, table := range map[string]string{"registration": "upstreams", "configuration": "op"} {
		t.Run(name, func(t *testing.T) {
			c, log := newRowConductor()
			c.RowsChanged(table, []follower.Row{{Key: "odd", Value: []byte(strings.Repeat("ä", 30_000)), Version: 2}}, 0, false)
			assert.Equal(t, strings.Count(log.String(), "\n"), 1)
			assert.Assert(t, log.Len() < 1000, "%d bytes", log.Len())
			var line struct{ Error string }
			assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
			assert.Assert(t, strings.Contains(line.Error, "ää"), line.Error)
		})
	}
}
