package granter

import (
	"context"
	"math/rand/v2"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/lender"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// loanPeriod is the time between two looks at what is needed.
	loanPeriod = 100 * time.Millisecond
	// perRound bounds the loans asked for in one look.
	perRound = 4
	// perLoan is how many slots one loan asks for.
	perLoan = 2
)

// borrow asks peers for units that requests wait for, and takes back what has
// been lent and has ended.
func (g *Granter) borrow(ctx context.Context) {
	wanted := g.wanted(time.Now())
	peers := g.o.Peers()
	if len(peers) == 0 {
		return
	}
	for _, limit := range wanted {
		address := peers[rand.IntN(len(peers))]
		g.wg.Go(func() { g.ask(ctx, address, limit) })
	}
}

// wanted expires loans and returns the limits that waiting requests lack.
func (g *Granter) wanted(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := len(g.lender.Borrowed(now))
	g.lender.Expire(now)
	for _, limit := range sortedKeys(g.lent) {
		g.gate(limit).Regain(limit, g.lender.Lent(now, limit))
	}
	if before > 0 {
		g.install(now)
	}
	var out []string
	regions := make(map[string]bool)
	for _, name := range sortedKeys(g.needs) {
		s := g.plan.Service(name)
		if s == nil || g.leaving {
			continue
		}
		ups := s.Upstreams()
		start := rand.IntN(max(len(ups), 1))
		for i := range ups {
			u := ups[(start+i)%len(ups)]
			if len(out) >= perRound || s.Shares()[u.Region().Index()] == 0 || g.o.Slots.Free(u) > 0 {
				continue
			}
			out = append(out, allotter.UpstreamLimit(u.Name()))
			regions[u.Region().Name()] = true
		}
	}
	for _, r := range sortedKeys(regions) {
		out = append(out, allotter.RegionLimit(r))
	}
	clear(g.needs)
	return out
}

func (g *Granter) ask(ctx context.Context, address, limit string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	g.mu.Lock()
	b := g.lender.Ask(time.Now(), address, limit, perLoan, lender.Longest)
	g.mu.Unlock()
	answer, err := g.o.Caller.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Borrow{Borrow: &framer.Borrow{
		Limit: limit, Units: b.Units, Milliseconds: b.Duration.Milliseconds(),
	}}})
	g.mu.Lock()
	defer g.mu.Unlock()
	l := answer.GetLent()
	if err != nil || l.GetUnits() == 0 {
		g.lender.Fail(b.Serial)
		return
	}
	loan := lender.Loan{ID: l.Loan, Limit: l.Limit, Units: l.Units, Duration: time.Duration(l.Milliseconds) * time.Millisecond}
	if g.lender.Answer(b.Serial, loan) {
		g.o.OnLoan()
		g.o.Log.Event(logger.LoanTaken).Str("limit", limit).Int64("units", l.Units).Str("lender", address).Send()
		g.install(time.Now())
	}
}

// lend answers a peer that asks for units.
func (g *Granter) lend(from string, ask *framer.Borrow) *framer.Lent {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	gate := g.gate(ask.Limit)
	until := g.until(ask.Limit, now)
	// Half of what is idle stays, so that two hosts don't pass units to and
	// fro.
	units := min(ask.Units, gate.Idle(ask.Limit)/2)
	if g.leaving || units <= 0 || !gate.Lend(ask.Limit, units) {
		return &framer.Lent{Limit: ask.Limit}
	}
	g.lent[ask.Limit] = true
	b := lender.Borrow{Limit: ask.Limit, Units: units, Duration: time.Duration(ask.Milliseconds) * time.Millisecond}
	loan, ok := g.lender.Lend(now, from, b, units, until)
	if !ok {
		gate.Regain(ask.Limit, g.lender.Lent(now, ask.Limit))
		return &framer.Lent{Limit: ask.Limit}
	}
	return &framer.Lent{Limit: loan.Limit, Units: loan.Units, Loan: loan.ID, Milliseconds: loan.Duration.Milliseconds()}
}

// until returns the end of the host's own right to a limit. The caller holds
// g.mu.
func (g *Granter) until(limit string, now time.Time) time.Time {
	region := ""
	switch {
	case isLink(limit):
		for _, l := range g.plan.Links() {
			if allotter.LinkLimit(l.Name()) == limit {
				region = l.From().Name()
			}
		}
	default:
		region = regionOf(g.plan, limit)
	}
	l := g.ledgers[region]
	if l == nil {
		return time.Time{}
	}
	_, until := l.allotter.Held(now)
	return until
}

func regionOf(plan *planner.Plan, limit string) string {
	for _, u := range plan.Upstreams() {
		if allotter.UpstreamLimit(u.Name()) == limit {
			return u.Region().Name()
		}
	}
	for _, r := range plan.Regions() {
		if allotter.RegionLimit(r.Name()) == limit {
			return r.Name()
		}
	}
	return ""
}

// Handle answers a Borrow, a Return or a question for a copy of a ledger.
func (g *Granter) Handle(e *framer.Envelope) (*framer.Envelope, error) {
	switch b := e.Body.(type) {
	case *framer.Envelope_Borrow:
		return &framer.Envelope{Body: &framer.Envelope_Lent{Lent: g.lend(e.From, b.Borrow)}}, nil
	case *framer.Envelope_Return:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lender.Returned(e.From, lender.Return{Loan: b.Return.Loan, Keep: b.Return.Units})
		return &framer.Envelope{Body: &framer.Envelope_Ack{Ack: new(framer.Ack)}}, nil
	case *framer.Envelope_Ledger:
		return &framer.Envelope{Body: &framer.Envelope_Ledger{Ledger: g.offer(b.Ledger)}}, nil
	default:
		return nil, classifier.BadRequest.New("not a message about limits")
	}
}
