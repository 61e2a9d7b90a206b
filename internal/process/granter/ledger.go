package granter

import (
	"context"
	"math/rand/v2"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// fastPoll is the time between reads of a ledger in which shares move.
	fastPoll = 250 * time.Millisecond
	// fastHolders is the largest ledger that is read so often.
	fastHolders = 32
	// maxBackoff bounds the time between reads while the store fails.
	maxBackoff   = time.Minute
	storeTimeout = 5 * time.Second
	copyTimeout  = time.Second
)

// ledger is the work on one row. The allotter is guarded by Granter.mu.
type ledger struct {
	name     string
	allotter *allotter.Allotter
	shares   allotter.Set
	failures int
	wake     chan struct{}
}

func (l *ledger) key() string { return "ledger/" + l.name }

// wakeUp makes the next read come at once.
func (l *ledger) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// work reads the row, makes the writes that are due and waits.
func (g *Granter) work(ctx context.Context, l *ledger) {
	for {
		wait := g.turn(ctx, l)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// turn makes one read and one write, and returns the time until the next turn.
func (g *Granter) turn(ctx context.Context, l *ledger) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := g.read(ctx, l); err != nil {
		l.failures++
		if l.failures == 1 {
			g.o.Log.Event(logger.StoreFailed).Str("ledger", l.name).Err(err).Send()
		}
		g.copy(ctx, l)
		return rand.N(min(fastPoll<<min(l.failures, 10), maxBackoff)) + fastPoll
	}
	if l.failures > 0 {
		g.o.Log.Event(logger.StoreRecovered).Str("ledger", l.name).Send()
	}
	l.failures = 0
	write, ok := g.propose(l)
	if !ok {
		return g.pause(l)
	}
	revision, err := g.o.Store.Put(ctx, l.key(), write.Revision, write.Value)
	outcome := allotter.Accepted
	if err != nil {
		outcome = allotter.Lost
		if classifier.Of(err) == classifier.Conflict {
			outcome = allotter.Conflict
		}
	}
	if outcome == allotter.Accepted {
		g.announce(l, write.Action)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l.allotter.Done(now, outcome, revision)
	g.install(now)
	// A short random pause lets hosts that collide take turns.
	return rand.N(fastPoll / 5)
}

// announce makes the peers read the row soon after a write that they have to
// act on, so that shares move in seconds and not at the pace of their reads.
func (g *Granter) announce(l *ledger, action allotter.Action) {
	switch action {
	case allotter.Acknowledge, allotter.Prolong, allotter.Take:
		return
	}
	for _, address := range g.o.Peers() {
		g.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
			defer cancel()
			// A peer that misses it reads the row at its own pace.
			_, _ = g.o.Caller.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Ledger{Ledger: &framer.Ledger{Region: l.name}}})
		})
	}
}

func (g *Granter) read(ctx context.Context, l *ledger) error {
	sent := time.Now()
	row, err := g.o.Store.Get(ctx, l.key())
	if err != nil && classifier.Of(err) != classifier.NotFound {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if err := l.allotter.Read(sent, now, row.Value, row.Revision); err != nil {
		return err
	}
	g.install(now)
	return nil
}

// propose returns the next write. The rights without the shares that a write
// stops using are in force before it is sent.
func (g *Granter) propose(l *ledger) (allotter.Write, bool) {
	hosts := g.o.Expected()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l.allotter.Expect(hosts)
	held, _ := l.allotter.Held(now)
	used := g.o.Links.UsedWrites(held)
	if l.name != storeLedger {
		used = g.o.Slots.Used(l.name, held) | g.o.Links.Used(l.name, held)
	}
	write, ok := l.allotter.Step(now, used)
	g.install(now)
	return write, ok
}

// pause returns the time to the next read. It is short while a host lacks
// shares or gives some up, so that a start takes no longer than the store needs.
func (g *Granter) pause(l *ledger) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	row, _ := l.allotter.Row()
	moving := l.shares == 0 && !l.allotter.Released()
	for _, h := range row.Holders {
		moving = moving || h.Leaving != 0 || h.Shares == 0
	}
	if moving && len(row.Holders) <= fastHolders {
		return fastPoll/2 + rand.N(fastPoll)
	}
	now := time.Now()
	wait := max(l.allotter.Due(now).Sub(now), fastPoll)
	return wait/2 + rand.N(wait)
}

// copy asks the peers for their copy of the ledger, with which a restarted host
// regains its shares while the store is down.
func (g *Granter) copy(ctx context.Context, l *ledger) {
	for _, address := range g.o.Peers() {
		g.mu.Lock()
		_, revision := l.allotter.Row()
		g.mu.Unlock()
		if revision != "" {
			return
		}
		g.copyFrom(ctx, l, address)
	}
}

func (g *Granter) copyFrom(ctx context.Context, l *ledger, address string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := g.o.Caller.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Ledger{Ledger: &framer.Ledger{Region: l.name, Address: g.o.Self.Address}}})
	if err != nil || len(answer.GetLedger().GetRow()) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	age := time.Duration(answer.GetLedger().AgeMilliseconds) * time.Millisecond
	if err := l.allotter.Copy(asked, answer.GetLedger().Row, age); err != nil {
		g.o.Log.Event(logger.StoreFailed).Str("ledger", l.name).Err(err).Send()
		return
	}
	g.install(time.Now())
}

// offer answers a peer that asks for a copy of the ledger, or that says without
// an address that the ledger has changed.
func (g *Granter) offer(ask *framer.Ledger) *framer.Ledger {
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := &framer.Ledger{Region: ask.Region}
	l := g.ledgers[ask.Region]
	if l == nil {
		return answer
	}
	if ask.Address == "" {
		l.wakeUp()
		return answer
	}
	raw, revision, age, ok := l.allotter.Offer(time.Now(), ask.Address)
	if ok {
		answer.Row, answer.Revision = raw, revision
		// Rounded up, because a larger age is the safe side.
		answer.AgeMilliseconds = (age + time.Millisecond - 1).Milliseconds()
	}
	return answer
}
