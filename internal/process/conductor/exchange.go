package conductor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// syncLoop exchanges tables and demand with one other host at a time.
func (c *Conductor) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if address, ok := c.syncPartner(); ok {
			c.syncWith(ctx, address)
		}
		sleeper.Sleep(ctx, meanSyncInterval/2+rand.N(meanSyncInterval))
	}
}

// syncPartner returns the address of the host for the next sync. Every second call
// returns a reader: three times out of four that of the own region, unless this host is
// one itself, otherwise a random one. The remaining calls return a random live host.
func (c *Conductor) syncPartner() (address string, ok bool) {
	c.syncCount++
	if readers := c.readerAddresses.Load(); readers != nil && len(*readers) > 0 && c.syncCount%2 == 0 {
		if c.readsStore.Load() || c.syncCount%8 == 0 {
			return (*readers)[rand.IntN(len(*readers))], true
		}
		return (*readers)[0], true
	}
	live := c.liveMembers()
	if len(live) == 0 {
		return "", false
	}
	return live[rand.IntN(len(live))].Address, true
}

// syncWith sends the demand, the rate limits of upstreams, the use of quotas and the table
// versions that this host knows to another host, and merges the demand, the limits, the use
// and the rows of its response.
func (c *Conductor) syncWith(ctx context.Context, address string) {
	timeout := syncTimeout
	now := time.Now()
	request := &framer.Sync{Demands: c.surveyor.Demands(c.readsStore.Load(), now), RateLimits: c.rateLimits(now), Usage: c.limiter.Usage(now)}
	for name, f := range c.followers {
		if version, full, ok := f.SyncRequest(); ok {
			request.Tables = append(request.Tables, &framer.TableVersion{Table: name, Era: version.Era(), Version: version.Number(), Whole: full})
			if full {
				timeout = fullSyncTimeout
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pauses := c.watchdog.Pauses()
	envelope, err := c.gossiper.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Sync{Sync: request}})
	if err != nil {
		return // the membership detects unresponsive hosts
	}
	if c.watchdog.Pauses() != pauses {
		return // the response may have been buffered while the process was paused
	}
	c.lastContact.Store(int64(time.Since(c.started)))
	response := envelope.GetSynced()
	c.surveyor.Merge(response.GetDemands(), time.Now())
	c.limiter.Merge(response.GetUsage(), time.Now())
	c.mergeRateLimits(response.GetRateLimits(), now) // no later than the response, so that ages are not too low
	for _, t := range response.GetTables() {
		f := c.followers[t.Table]
		if f == nil {
			continue
		}
		page := follower.Page{
			Version: sequencer.New(t.Era, t.Version), Age: time.Duration(t.AgeMilliseconds) * time.Millisecond,
		}
		if t.Floor > 0 {
			page.TombstoneFloor = sequencer.New(t.Era, t.Floor)
		}
		for _, r := range t.Rows {
			page.Rows = append(page.Rows, follower.Row{Key: r.Key, Value: r.Value, Version: sequencer.New(t.Era, r.Version), Deleted: r.Deleted})
		}
		f.Merge(page, t.Whole)
	}
}

// handleEnvelope returns the response to an envelope of another host.
func (c *Conductor) handleEnvelope(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	c.gossiper.MergeUpdates(e)
	switch b := e.Body.(type) {
	case *framer.Envelope_Ping, *framer.Envelope_PingRequest:
		response, err := c.gossiper.Handle(ctx, e)
		if err != nil {
			return nil, err
		}
		return c.gossiper.AttachUpdates(e, response), nil
	case *framer.Envelope_Sync:
		return c.gossiper.AttachUpdates(e, &framer.Envelope{Body: &framer.Envelope_Synced{Synced: c.syncResponse(b.Sync)}}), nil
	default:
		return nil, classifier.BadRequest.New("envelope has an unknown body type")
	}
}

// rateLimits returns the rate limits of upstreams to send to another host.
func (c *Conductor) rateLimits(now time.Time) []*framer.RateLimit {
	var out []*framer.RateLimit
	for _, l := range c.registrar.RateLimits(now, maxRateLimitNews, maxRateLimitsConfirmed) {
		out = append(out, &framer.RateLimit{
			Upstream: l.Upstream, Start: l.StartUnixMilli, PerSecond: float64(l.PerSecond), AgeMilliseconds: now.Sub(l.StatedAt).Milliseconds(),
		})
	}
	return out
}

// mergeRateLimits applies the rate limits that another host sent.
func (c *Conductor) mergeRateLimits(limits []*framer.RateLimit, now time.Time) {
	var in []registrar.StatedRateLimit
	for _, l := range limits {
		if l.AgeMilliseconds < 0 {
			continue // it would outlive all others
		}
		in = append(in, registrar.StatedRateLimit{
			Upstream: l.Upstream, StartUnixMilli: l.Start, PerSecond: registrar.RateLimit(l.PerSecond),
			StatedAt: now.Add(-time.Duration(l.AgeMilliseconds) * time.Millisecond),
		})
	}
	for _, l := range c.registrar.MergeRateLimits(in, now) {
		c.log.Event(logger.RateLimitChanged).Str("upstream", l.Upstream).Float64("limit", float64(l.PerSecond)).
			Bool("limited", true).Dur("age", now.Sub(l.StatedAt)).Send()
	}
}

// syncResponse merges the demand, the rate limits and the use of quotas of another host and returns those of
// this host and the rows that the other one lacks.
func (c *Conductor) syncResponse(request *framer.Sync) *framer.Synced {
	now := time.Now()
	c.surveyor.Merge(request.Demands, now)
	c.mergeRateLimits(request.RateLimits, now)
	if c.watchdog.Confirmed() { // otherwise the request may have been buffered during a pause
		c.limiter.Merge(request.Usage, now)
	}
	out := &framer.Synced{Demands: c.surveyor.Demands(c.readsStore.Load(), now), RateLimits: c.rateLimits(now), Usage: c.limiter.Usage(now)}
	for _, t := range request.Tables {
		f := c.followers[t.Table]
		if f == nil {
			continue
		}
		page, full, ok := f.SyncResponse(sequencer.New(t.Era, t.Version), t.Whole)
		if !ok {
			continue
		}
		rows := &framer.TableRows{
			Table: t.Table, Era: page.Version.Era(), Version: page.Version.Number(), Whole: full, Floor: page.TombstoneFloor.Number(), AgeMilliseconds: page.Age.Milliseconds(),
		}
		for _, r := range page.Rows {
			rows.Rows = append(rows.Rows, &framer.TableRow{Key: r.Key, Value: r.Value, Version: r.Version.Number(), Deleted: r.Deleted})
		}
		out.Tables = append(out.Tables, rows)
	}
	return out
}

// notifyLeaving notifies up to maxLeaveNotifications hosts that this one accepts no new
// requests. It returns after leaveTimeout at the latest.
func (c *Conductor) notifyLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	live := slices.Clone(c.liveMembers())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var wg sync.WaitGroup
	for _, m := range live[:min(len(live), maxLeaveNotifications)] {
		wg.Go(func() { c.syncWith(ctx, m.Address) })
	}
	wg.Wait()
}
