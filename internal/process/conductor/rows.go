package conductor

import (
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// RowsChanged implements follower.Watcher.
func (c *Conductor) RowsChanged(table string, rows []follower.Row, _, first bool) {
	now := time.Now()
	defer c.registrar.BeginBatch()()
	for _, r := range rows {
		// A row that the code fails on must not keep the other rows out.
		_ = c.recoverer.Do("row "+r.Key, func() {
			if table == c.platform.UpstreamTable() {
				c.upstream(r, now, first)
			} else {
				c.operator(r, now)
			}
		})
	}
}

// StoreStatus implements follower.Watcher.
func (c *Conductor) StoreStatus(table string, err error) {
	if err != nil {
		c.log.Event(logger.StoreFailed).Str("table", table).Err(err).Send()
		return
	}
	c.log.Event(logger.StoreRecovered).Str("table", table).Send()
}

// upstream takes over a registration. One that can't be read names no upstream.
func (c *Conductor) upstream(r follower.Row, now time.Time, first bool) {
	if r.Deleted {
		c.registrar.Remove(r.Key, r.Version)
		return
	}
	reg, err := c.platform.ParseRegistration(r)
	if err != nil {
		c.log.Event(logger.RegistrationInvalid).Str("key", r.Key).Uint64("row", r.Version).Err(err).Send()
		return
	}
	c.registrar.Put(reg, now, first)
}

// operator takes over a row that the operator wrote. A configuration that can't
// be read, or is older than the one in force, changes nothing.
func (c *Conductor) operator(r follower.Row, now time.Time) {
	if zone, ok := c.platform.EvacuatedZone(r.Key); ok {
		c.registrar.SetEvacuated(zone, !r.Deleted, now)
		c.log.Event(logger.ZoneEvacuated).Str("zone", zone).Bool("evacuated", !r.Deleted).Uint64("row", r.Version).Send()
		return
	}
	if r.Deleted {
		return
	}
	t, ok, err := c.platform.ParseConfiguration(r)
	if err != nil {
		c.log.Event(logger.VersionRefused).Uint64("row", r.Version).Err(err).Send()
		return
	}
	if old := c.table.Load(); !ok || (old != nil && t.Version() <= old.Version()) {
		return
	}
	c.table.Store(t)
	c.gossiper.SetVersion(t.Version())
	c.log.Event(logger.VersionInstalled).Uint64("version", t.Version()).Int("routes", t.RouteCount()).Uint64("row", r.Version).Send()
}
