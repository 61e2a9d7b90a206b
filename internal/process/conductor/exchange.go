package conductor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// exchange brings what the host knows together with another host's, one after
// the other in random order.
func (c *Conductor) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		if address, ok := c.partner(); ok {
			c.sync(ctx, address)
		}
		sleeper.Sleep(ctx, exchangePeriod/2+rand.N(exchangePeriod))
	}
}

// partner returns a host to exchange with: every second time a reader, the one of
// the own region first, and otherwise any.
func (c *Conductor) partner() (address string, ok bool) {
	c.turn++
	if readers := c.readers.Load(); readers != nil && len(*readers) > 0 && c.turn%2 == 0 {
		if c.reader.Load() || c.turn%8 == 0 {
			return (*readers)[rand.IntN(len(*readers))], true
		}
		return (*readers)[0], true
	}
	live := c.live()
	if len(live) == 0 {
		return "", false
	}
	return live[rand.IntN(len(live))].Address, true
}

func (c *Conductor) sync(ctx context.Context, address string) {
	within := exchangeWithin
	offer := &framer.Sync{Demands: c.surveyor.Demands(c.reader.Load(), time.Now())}
	for name, f := range c.followers {
		if version, whole, ok := f.SyncRequest(); ok {
			offer.Tables = append(offer.Tables, &framer.TableVersion{Table: name, Version: version, Whole: whole})
			if whole {
				within = wholeWithin
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	pauses := c.watchdog.Pauses()
	answer, err := c.gossiper.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Sync{Sync: offer}})
	if err != nil {
		return // the membership finds out about hosts that do not answer
	}
	if c.watchdog.Pauses() != pauses {
		return // the answer may have waited while the process was paused
	}
	c.met.Store(int64(time.Since(c.born)))
	got := answer.GetSynced()
	c.surveyor.Merge(got.GetDemands(), time.Now())
	for _, t := range got.GetTables() {
		f := c.followers[t.Table]
		if f == nil {
			continue
		}
		page := follower.Page{
			Version: t.Version, TombstoneFloor: t.Floor, Age: time.Duration(t.AgeMilliseconds) * time.Millisecond,
		}
		for _, r := range t.Rows {
			page.Rows = append(page.Rows, follower.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		f.Merge(page, t.Whole)
	}
}

// handle answers an envelope of another host.
func (c *Conductor) handle(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	c.gossiper.MergeUpdates(e)
	switch b := e.Body.(type) {
	case *framer.Envelope_Ping, *framer.Envelope_PingRequest:
		answer, err := c.gossiper.Handle(ctx, e)
		if err != nil {
			return nil, err
		}
		return c.gossiper.AttachUpdates(e, answer), nil
	case *framer.Envelope_Sync:
		return c.gossiper.AttachUpdates(e, &framer.Envelope{Body: &framer.Envelope_Synced{Synced: c.synced(b.Sync)}}), nil
	default:
		return nil, classifier.BadRequest.New("message of an unknown kind")
	}
}

func (c *Conductor) synced(offer *framer.Sync) *framer.Synced {
	c.surveyor.Merge(offer.Demands, time.Now())
	out := &framer.Synced{Demands: c.surveyor.Demands(c.reader.Load(), time.Now())}
	for _, t := range offer.Tables {
		f := c.followers[t.Table]
		if f == nil {
			continue
		}
		page, whole, ok := f.SyncResponse(t.Version, t.Whole)
		if !ok {
			continue
		}
		rows := &framer.TableRows{
			Table: t.Table, Version: page.Version, Whole: whole, Floor: page.TombstoneFloor, AgeMilliseconds: page.Age.Milliseconds(),
		}
		for _, r := range page.Rows {
			rows.Rows = append(rows.Rows, &framer.TableRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		out.Tables = append(out.Tables, rows)
	}
	return out
}

// tellAll tells the other hosts at once that this one takes no new work.
func (c *Conductor) tellAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveWithin)
	defer cancel()
	live := slices.Clone(c.live())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var wg sync.WaitGroup
	for _, m := range live[:min(len(live), tellMost)] {
		wg.Go(func() { c.sync(ctx, m.Address) })
	}
	wg.Wait()
}
