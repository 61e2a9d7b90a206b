package runner

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/connection/pacer"
	"dandeliontrack.example/dandeliontrack/internal/connection/pool"
	"dandeliontrack.example/dandeliontrack/internal/connection/reporter"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/claimer"
	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/request/admitter"
	"dandeliontrack.example/dandeliontrack/internal/request/forwarder"
	"dandeliontrack.example/dandeliontrack/internal/request/retrier"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// recheck is how often a request that waits is decided anew. A slot that becomes
// free wakes it at once; health, ramps and drains change without such an event.
const recheck = 200 * time.Millisecond

// shedPause is how long an upstream that shed a request gets no new work.
const shedPause = time.Second

// bridge makes the decisions of a host available to the forwarder.
type bridge struct{ p *parts }

// Choose implements forwarder.Chooser.
func (b bridge) Choose(now time.Time, q *forwarder.Query) (*planner.Upstream, error) {
	rq := router.Query{
		Plan: q.Plan, Service: q.Service, Class: q.Class, ClientAccount: q.ClientAccount, Hash: xxhash.Sum64String(q.RequestID),
		WaitExceedsDeadline: now.Add(b.p.admitter.Delay(q.Service, q.Class)).After(q.Deadline),
	}
	for _, u := range q.Failed {
		rq.Exclude(u)
	}
	for _, u := range q.Shed {
		rq.Exclude(u)
	}
	if q.Steps != nil {
		rq.Trace = func(pass router.Rejection) {
			q.Steps.AddStep(now, recorder.Skipped, pass.Region(), pass.Upstream(), pass.Reason())
		}
	}
	routes := b.p.routers[q.Class]
	choice, err := routes.Choose(now, &rq)
	if err != nil {
		return nil, err
	}
	if choice.Upstream() == nil && !b.owns(now, q, choice.Region()) {
		region := choice.Region().Name()
		rq.WaitExceedsDeadline = true
		if choice, err = routes.Choose(now, &rq); err != nil {
			return nil, classifier.Shifting.New("this host has no slot of service %s in region %s, and the cap allows no other region", q.Service.Name(), region)
		}
	}
	if choice.Upstream() == nil {
		return nil, classifier.Overloaded.New("no free slot in region %s", choice.Region().Name())
	}
	q.Steps.SetTightestLimit(b.p.admitter.Tightest(choice.Upstream()).Name)
	return choice.Upstream(), nil
}

// owns reports whether waiting for a slot in the region can help at all.
func (b bridge) owns(now time.Time, q *forwarder.Query, r *planner.Region) bool {
	for _, u := range q.Service.UpstreamsIn(r.Index()) {
		if b.p.admitter.Owns(u, q.Class) && b.p.gauger.Read(u, now).Usable() {
			return true
		}
	}
	return false
}

// capacity gives the router the units that a class may take.
type capacity struct {
	*admitter.Admitter
	class planner.Class
}

// Free implements router.Capacity.
func (c capacity) Free(u *planner.Upstream) int { return c.FreeFor(u, c.class) }

// weights are the shifter's. Requests are counted when they arrive, because the
// router is asked again for each attempt and after each wait.
type weights struct{ *shifter.Shifter }

// Count implements router.Weights.
func (weights) Count(*planner.Service) {}

// ticket is an admitted request. It tells the admitter how long the slot was
// held.
type ticket struct {
	admitter.Ticket
	admitter *admitter.Admitter
	service  *planner.Service
	class    planner.Class
	start    time.Time
}

// Release implements forwarder.Ticket.
func (t *ticket) Release(now time.Time) {
	t.Ticket.Release()
	t.admitter.Observe(t.service, t.class, now.Sub(t.start))
}

// Try implements forwarder.Gate.
func (b bridge) Try(now time.Time, u *planner.Upstream, class planner.Class, deadline time.Time) (forwarder.Ticket, bool) {
	t, ok := b.p.admitter.Try(now, u, class, deadline)
	if !ok {
		return nil, false
	}
	return &ticket{Ticket: t, admitter: b.p.admitter, service: u.Service(), class: class, start: now}, true
}

// Wait implements forwarder.Gate.
func (b bridge) Wait(ctx context.Context, s *planner.Service, class planner.Class, deadline time.Time) error {
	b.p.granter.Need(s)
	round, cancel := context.WithTimeout(ctx, recheck)
	defer cancel()
	err := b.p.admitter.Wait(round, s, class, deadline)
	if err != nil && round.Err() != nil && ctx.Err() == nil && time.Now().Before(deadline) {
		return nil
	}
	return err
}

// Queued implements forwarder.Gate.
func (b bridge) Queued(s *planner.Service, class planner.Class) int {
	return b.p.admitter.Queued(s, class)
}

// RetryAfter implements forwarder.Gate.
func (b bridge) RetryAfter(s *planner.Service, class planner.Class) time.Duration {
	return b.p.admitter.Delay(s, class)
}

// CountRequest implements forwarder.Budget.
func (b bridge) CountRequest(now time.Time, s *planner.Service) {
	b.p.retrier.CountRequest(s, now)
	b.p.shifter.Count(s)
}

// AllowExtraAttempt implements forwarder.Budget. The forwarder has checked that the attempt
// may be repeated; what is asked here is the budget.
func (b bridge) AllowExtraAttempt(now time.Time, s *planner.Service) (string, bool) {
	ok, reason := b.p.retrier.AllowRetry(s, retrier.Attempt{Class: planner.Idempotent, Kind: classifier.Unreachable, Number: 1, Deadline: now.Add(time.Hour)}, now)
	if ok {
		b.p.meter.Add(meter.Retries, 1)
	}
	return reason.String(), ok
}

// HedgeDelay implements forwarder.Budget.
func (b bridge) HedgeDelay(s *planner.Service) time.Duration {
	after, ok := b.p.retrier.HedgeDelay(s, planner.Idempotent, time.Now())
	if !ok {
		return 0
	}
	return after
}

// Observe implements forwarder.Observer.
func (b bridge) Observe(now time.Time, u *planner.Upstream, s forwarder.Observation, latency time.Duration) {
	g := b.p.gauger
	switch s {
	case forwarder.Responded:
		g.OnAnswer(u, false, now)
		b.p.retrier.ObserveLatency(u.Service(), latency, now)
	case forwarder.ServerError, forwarder.Failed, forwarder.TimedOut:
		g.OnAnswer(u, true, now)
	case forwarder.ResponseMismatch:
		g.OnAnswer(u, true, now)
		b.p.meter.Add(meter.ResponseMismatches, 1)
	case forwarder.Unreachable:
		g.OnRefused(u, now)
	case forwarder.Shed:
		g.OnShed(u, now.Add(shedPause))
	case forwarder.Draining:
		b.p.leaving(u.Name(), gauger.RefusalSign)
	case forwarder.ConnectionClosing:
		b.p.leaving(u.Name(), gauger.CloseSign)
	}
}

// Start implements forwarder.Recorder.
func (b bridge) Start(id string, now time.Time) *recorder.Trace { return b.p.recorder.Start(id, now) }

// Record implements forwarder.Recorder.
func (b bridge) Record(t *forwarder.RequestRecord) {
	m := b.p.meter
	now := t.Start.Add(t.Duration)
	outcome := classifier.Ran
	if t.Err != nil {
		kind := classifier.Of(t.Err)
		outcome = kind.Outcome()
		m.CountRefusal(kind.String())
		// Refusals come by the thousand under overload; they are counted and
		// kept for explain instead.
		if outcome != classifier.NotRun {
			b.p.log.Event(logger.RequestFailed).Str("request", t.ID).Stringer("kind", kind).Err(t.Err).Send()
		}
		if t.BodyBytes > 0 {
			m.Add(meter.AbortedResponses, 1)
		}
	}
	if t.Service != nil {
		m.ObserveLatency(meter.Series{Service: t.Service.Name(), Class: t.Class.String(), ClientAccount: t.ClientAccount}, t.Duration)
	}
	m.Add(meter.UpstreamBytes, t.BodyBytes)
	m.Add(meter.Resumes, int64(t.Resumed))
	m.Add(meter.Hedges, int64(t.Hedges))
	b.p.recorder.Finish(t.Steps, now, t.Status, outcome, t.Err)
}

// claims makes the claimer available to the forwarder.
type claims struct {
	claimer *claimer.Claimer
	meter   *meter.Meter
}

// Begin implements forwarder.Claims.
func (c claims) Begin(ctx context.Context, s *planner.Service, account, key string, fingerprint [32]byte) (forwarder.Claim, *forwarder.StoredResponse, error) {
	claim, answer, err := c.claimer.Begin(ctx, claimer.Key{Service: s.Name(), ClientAccount: account, Key: key}, hex.EncodeToString(fingerprint[:]))
	switch {
	case err != nil:
		return nil, nil, err
	case answer != nil:
		c.meter.Add(meter.Replays, 1)
		return nil, &forwarder.StoredResponse{Status: answer.Status(), Header: answer.Header(), Body: answer.Body()}, nil
	default:
		return claim, nil, nil
	}
}

// Finish implements forwarder.Claims.
func (c claims) Finish(ctx context.Context, claim forwarder.Claim, a *forwarder.StoredResponse) error {
	own, ok := claim.(*claimer.Claim)
	if !ok {
		return classifier.Internal.New("claim of another kind")
	}
	return c.claimer.Finish(ctx, own, claimer.NewResponse(a.Status, a.Header, a.Body))
}

// Void implements forwarder.Claims.
func (c claims) Void(ctx context.Context, claim forwarder.Claim) {
	if own, ok := claim.(*claimer.Claim); ok {
		c.claimer.Void(ctx, own)
	}
}

// writes is the claimer's share of the store's writes.
type writes struct{ pacer *pacer.Pacer }

// Allow implements claimer.Budget.
func (w writes) Allow(now time.Time, n int) bool { return w.pacer.AllowWrites(now, n) }

// storeCounter counts the operations of the platform's store.
type storeCounter struct {
	transport *reporter.Transport
	meter     *meter.Meter
}

// CloseIdleConnections is called by http.Client.
func (c storeCounter) CloseIdleConnections() { c.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (c storeCounter) RoundTrip(req *http.Request) (*http.Response, error) {
	operation := meter.StoreReads
	if req.Method != http.MethodGet {
		operation = meter.StoreWrites
	}
	c.meter.Add(operation, 1)
	resp, err := c.transport.RoundTrip(req)
	if err != nil || resp.StatusCode >= http.StatusInternalServerError {
		c.meter.Add(meter.StoreErrors, 1)
	}
	return resp, err
}

// slots is where slots are counted, with the connections that go with them.
type slots struct {
	*admitter.Admitter
	pool *pool.Pool
}

// Install puts the rights in force and bounds the connections to each upstream
// by the same shares.
func (s slots) Install(plan *planner.Plan, rights allotter.Rights) {
	s.Admitter.Install(plan, rights)
	for _, u := range plan.Upstreams() {
		shares := rights.Regions[u.Region().Name()].Shares
		s.pool.Bound(u.Address(), max(int(allotter.Slots(u.Connections(), u.SlotOffset()).In(shares)), minConnections))
	}
}

// minConnections lets a host that has only loans of an upstream reach it.
const minConnections = 2

// linkFigures describes the limits of links and of the store's writes.
type linkFigures struct{ p *parts }

// Figures implements controller.Limits.
func (l linkFigures) Figures() []allotter.Figure {
	out := []allotter.Figure{l.p.pacer.Writes(time.Now())}
	for _, link := range l.p.holder.Plan().Links() {
		out = append(out, l.p.pacer.Figure(link))
	}
	return out
}

// connectionEvents receives what the pool finds out.
type connectionEvents struct{ p *parts }

// Silent implements pool.Events.
func (e connectionEvents) Silent(address string, n int) {
	e.p.meter.Add(meter.UnresponsiveConnections, int64(n))
	e.p.log.Event(logger.ConnectionUnresponsive).Str("address", address).Int("connections", n).Send()
}

// Dead implements pool.Events.
func (e connectionEvents) Dead(address string, err error) {
	e.p.log.Event(logger.UpstreamUnreachable).Str("address", address).Err(err).Send()
	for _, u := range e.p.holder.Plan().Upstreams() {
		if u.Address() == address {
			e.p.gauger.OnRefused(u, time.Now())
		}
	}
}
