package conductor

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

// maxLoggedErrorBytes bounds the logged text of an error that may quote a row. Each host
// logs each change of an invalid row.
const maxLoggedErrorBytes = 256

// maxLoggedKeys bounds the keys in one line of the log.
const maxLoggedKeys = 8

// shortText returns the beginning of the text of an error.
func shortText(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxLoggedErrorBytes)], "")
}

// RowsChanged implements follower.Watcher.
func (c *Conductor) RowsChanged(table string, rows []follower.Row, unconfirmed time.Duration, first bool) {
	now := time.Now()
	defer c.registrar.BeginBatch()()
	for _, r := range rows {
		// A panic on one row must not prevent the other rows from being applied.
		_ = c.recoverer.Do("row "+r.Key, func() {
			if table == c.platform.UpstreamTable() {
				c.applyRegistration(r, now, first)
			} else {
				c.applyOperatorRow(r, now, unconfirmed)
			}
		})
	}
}

// StoreStatus implements follower.Watcher.
func (c *Conductor) StoreStatus(table string, failures int, err error) {
	if err != nil {
		c.log.Event(logger.StoreFailed).Str("table", table).Err(err).Send()
		return
	}
	c.log.Event(logger.StoreRecovered).Str("table", table).Int("failures", failures).Send()
}

// StoreRestored implements follower.Watcher.
func (c *Conductor) StoreRestored(table string, before, after sequencer.Version, missing, returned []string) {
	c.log.Event(logger.StoreRestored).Str("table", table).Stringer("before", before).Stringer("after", after).
		Int("missing", len(missing)).Strs("missing_keys", firstKeys(missing)).
		Int("returned", len(returned)).Strs("returned_keys", firstKeys(returned)).Send()
}

// firstKeys returns the first keys in order, as many as are logged.
func firstKeys(keys []string) []string {
	slices.Sort(keys)
	return keys[:min(len(keys), maxLoggedKeys)]
}

// mayHaveLeft reports whether a row of the table of upstreams that a restored store brought back
// may be of an upstream that has left. It isn't if a later process wrote the row.
func (c *Conductor) mayHaveLeft(r follower.Row) bool {
	reg, err := c.platform.ParseRegistration(r)
	return err == nil && !c.registrar.HasSuccessor(reg.ID, reg.StartUnixMilli)
}

// applyRegistration applies a row of the table of upstreams. An invalid row is logged. It
// names no upstream, even if the row did before: what the upstream wrote last is unknown.
func (c *Conductor) applyRegistration(r follower.Row, now time.Time, first bool) {
	if r.Deleted {
		c.registrar.Remove(r.Key, r.Version)
		return
	}
	reg, err := c.platform.ParseRegistration(r)
	if err != nil {
		c.log.Event(logger.RegistrationInvalid).Str("key", r.Key).Stringer("row", r.Version).Str("error", shortText(err)).Send()
		c.registrar.Remove(r.Key, r.Version)
		return
	}
	c.registrar.Put(reg, now, first)
}

// applyOperatorRow applies a row of the operator's table: an evacuation or a
// configuration. An invalid configuration is logged and ignored, and so is one that is older
// than the installed one: a store that came back from an older copy may have lost that, but its
// writer was told that it is in force. A version that was given out twice is installed again if
// its content differs, because rows arrive in the order of the store.
func (c *Conductor) applyOperatorRow(r follower.Row, now time.Time, unconfirmed time.Duration) {
	if zone, ok := c.platform.EvacuatedZone(r.Key); ok {
		c.registrar.SetEvacuated(zone, !r.Deleted, now)
		c.log.Event(logger.ZoneEvacuated).Str("zone", zone).Bool("evacuated", !r.Deleted).Stringer("row", r.Version).Send()
		return
	}
	if r.Deleted {
		return
	}
	t, ok, err := c.platform.ParseConfiguration(r)
	if err != nil {
		c.log.Event(logger.VersionRefused).Stringer("row", r.Version).Str("error", shortText(err)).Send()
		return
	}
	if !ok {
		return
	}
	old := c.table.Load()
	switch {
	case old == nil || t.Version() > old.Version():
	case t.Version() < old.Version():
		c.log.Event(logger.VersionRefused).Uint64("version", t.Version()).Uint64("installed", old.Version()).Stringer("row", r.Version).Send()
		return
	case bytes.Equal(r.Value, c.installedValue):
		return
	}
	c.installedValue = r.Value
	c.table.Store(t)
	c.gossiper.SetVersion(t.Version())
	c.limiter.SetQuotas(accountsOf(t), now)
	for _, r := range t.UnknownClasses() {
		c.log.Event(logger.ClassUnknown).Str("route", r.Name).Str("class", r.UnknownClass[:min(len(r.UnknownClass), maxLoggedErrorBytes)]).Send()
	}
	c.log.Event(logger.VersionInstalled).Uint64("version", t.Version()).Int("routes", t.RouteCount()).Stringer("row", r.Version).
		Dur("unconfirmed", unconfirmed).Send()
}
