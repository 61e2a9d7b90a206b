package steerer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// tries bounds the upstreams that are tried for one request, those to which
	// nothing was sent included.
	tries = 6
	// hedgeTimes is how many times the expected time passes before a repeatable
	// request is sent to a second upstream while the first may still answer.
	hedgeTimes = 3
	// hedgeLeast keeps short requests from being hedged on scheduling delays.
	hedgeLeast = 100 * time.Millisecond
	// retryLeast and retryMost bound the time after which a refused caller is
	// asked to come back.
	retryLeast = 50 * time.Millisecond
	retryMost  = 2 * time.Second
	// retrySpread is the part of that time by which callers are told different
	// times, so that they do not come back together.
	retrySpread = 0.5
)

// The refusals are made once, so that refusing under overload costs little.
var (
	errNoTable = classifier.NotReady.New("the host has no configuration yet")
	errNoRoute = classifier.NotFound.New("no route for the host and path")
	errLeft    = classifier.Expired.New("the caller left")
	errExpired = classifier.Overloaded.New("no upstream could be reached before the deadline")
	errLate    = classifier.TimedOut.New("no answer before the deadline")
	errPanic   = classifier.Internal.New("the request met a fault in the code")
	errStale   = classifier.NotReady.New("the process was paused between the choice of an upstream and the request")
	errHedged  = errors.New("another attempt answered first")
)

// exchange is one request with all its attempts.
type exchange struct {
	s        *Steerer
	ctx      context.Context
	call     *acceptor.Call
	answer   *acceptor.ResponseWriter
	id       string
	table    *matcher.Table
	route    *matcher.Route
	service  string
	object   uint64
	draw     uint64
	deadline time.Time // of the answer
	patience time.Time // of the caller, at or after the deadline
	streamed time.Time // when an answer that is passed on as it arrives is broken off

	attempts []*attempt
	tried    []*registrar.Upstream
	sent     int           // attempts of which a byte may have left the host
	doubt    error         // of an attempt that may have run
	refusal  ranker.Choice // without an upstream, after a refusal
	over     bool          // the deadline passed
	status   int
	bytes    int64
}

// serve makes attempts until one has an answer, and delivers it.
func (x *exchange) serve() error {
	results := make(chan *attempt, tries)
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	defer x.release()
	defer x.cancel()
	pending := 0
	if err := x.launch(results); err != nil {
		return err
	}
	pending++
	hedge := x.hedgeTimer()
	for {
		select {
		case a := <-results:
			pending--
			if a.err == nil {
				return x.deliver(a)
			}
			why := x.follow(a, results)
			if why == nil {
				pending++
			} else if pending == 0 {
				return x.verdict(a, why)
			}
		case <-hedge:
			hedge = nil
			if x.mayHedge() && x.launch(results) == nil {
				pending++
				x.s.o.Meter.Add(meter.Hedges, 1)
			}
		case <-x.ctx.Done():
			return errLeft
		case <-timer.C:
			x.over = true
			return x.late()
		}
	}
}

// late returns the error of a request whose time is over.
func (x *exchange) late() error {
	if x.sent == 0 {
		return errExpired
	}
	return errLate
}

// follow starts another attempt after a failed one, or returns why there is none.
func (x *exchange) follow(a *attempt, results chan<- *attempt) error {
	x.note(a)
	if !x.again(a) {
		return a.err
	}
	return x.launch(results)
}

// note records what a failed attempt means for the request.
func (x *exchange) note(a *attempt) {
	switch kind := classifier.Of(a.err); {
	case kind == classifier.Unreachable:
		x.sent-- // no byte of the request left the host
	case a.err == errStale:
		x.sent--
		x.tried = slices.DeleteFunc(x.tried, func(u *registrar.Upstream) bool { return u == a.up })
	case kind.Outcome() != classifier.NotRun:
		x.doubt = a.err
	}
}

// verdict returns what the caller is told after the last attempt. An answer in
// which the upstream itself failed the request is passed on.
func (x *exchange) verdict(a *attempt, err error) error {
	if a.status != 0 {
		return x.deliver(a)
	}
	if x.doubt != nil {
		return x.doubt
	}
	return err
}

// again reports whether another attempt may follow the failed one, and takes it
// from the budget.
func (x *exchange) again(a *attempt) bool {
	now := time.Now()
	kind := classifier.Of(a.err)
	ran := kind.Outcome() != classifier.NotRun
	switch {
	case x.ctx.Err() != nil || !now.Before(x.deadline) || len(x.attempts) >= tries:
		return false
	case ran && !x.repeatable():
		return false
	case x.call.Request.Body != nil && a.streamed:
		return false
	case kind == classifier.Unreachable || a.err == errStale:
		return true // nothing arrived anywhere
	case x.sent >= x.route.AttemptLimit:
		return false
	}
	if !x.s.o.Budget.AllowExtraAttempt(x.service, now) {
		return false
	}
	x.s.o.Meter.Add(meter.Retries, 1)
	return true
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool { return x.route.Class.Repeatable() && x.call.Request.Body == nil }

func (x *exchange) hedgeTimer() <-chan time.Time {
	if !x.repeatable() || x.route.AttemptLimit < 2 {
		return nil
	}
	c := x.attempts[0].choice
	return time.After(max(hedgeTimes*(c.QueueWait+c.UnloadedLatency), hedgeLeast))
}

// mayHedge reports whether a second upstream may get the request while the first
// is at work, and takes it from the budget.
func (x *exchange) mayHedge() bool {
	return x.sent < x.route.AttemptLimit && len(x.attempts) < tries && x.s.o.Budget.AllowExtraAttempt(x.service, time.Now())
}

// launch chooses an upstream and starts an attempt there.
func (x *exchange) launch(results chan<- *attempt) error {
	pauses := x.s.o.Watchdog.Pauses()
	x.s.o.Watchdog.AwaitConfirmed(x.ctx)
	now := time.Now()
	left := x.deadline.Sub(now)
	if x.ctx.Err() != nil {
		return errLeft
	}
	if left <= 0 {
		return errExpired
	}
	choice := x.choose(now, left)
	if choice.Upstream == nil {
		x.refusal = choice
		return classifier.Overloaded.New("no upstream of service %s has room before the deadline", x.service)
	}
	a := newAttempt(x, choice, now)
	a.pauses = pauses
	x.attempts = append(x.attempts, a)
	x.tried = append(x.tried, choice.Upstream)
	x.sent++
	go func() {
		if x.s.o.Guard("attempt", a.run) {
			a.fail()
		}
		results <- a
	}()
	return nil
}

// choose asks the ranker for the upstreams in the regions that the route allows.
func (x *exchange) choose(now time.Time, left time.Duration) ranker.Choice {
	o := &x.s.o
	weights := o.Plan.RegionWeights(x.service, x.route.Class)
	q := ranker.Query{
		Group: o.Upstreams.Group(x.service), Route: x.route.Name, Regions: o.Regions, Weights: weights,
		Object: x.object, RandomKey: x.draw, Remaining: left, LatencyTarget: x.route.LatencyTarget, Tried: x.tried, ColdRate: x.coldRate, AllowCrossRegion: o.Plan.AllowCrossRegion,
	}
	if q.Group == nil {
		return ranker.Choice{UntilCapacity: retryMost}
	}
	if len(x.route.Regions) > 0 {
		q.Regions, q.Weights = nil, nil
		for i, region := range o.Regions {
			if slices.Contains(x.route.Regions, region) {
				q.Regions = append(q.Regions, region)
				q.Weights = append(q.Weights, weights[i]+leastWeight)
			}
		}
	}
	return o.Ranker.Choose(now, x.service, &q)
}

// leastWeight lets a route's only region serve although the plan gives it
// nothing.
const leastWeight = 1e-6

func (x *exchange) coldRate(u *registrar.Upstream) float64 {
	perSecond := 0.0
	if s := x.table.Service(x.service); s != nil {
		perSecond = s.ColdRate
	}
	return x.s.o.ColdRate(u, perSecond)
}

// cancel ends the attempts that are still under way.
func (x *exchange) cancel() {
	for _, a := range x.attempts {
		a.stop()
	}
}

// release gives back the memory that the attempts hold.
func (x *exchange) release() {
	for _, a := range x.attempts {
		a.release()
	}
}

// deliver answers the caller with what an attempt got.
func (x *exchange) deliver(a *attempt) error {
	x.status = a.answer.StatusCode
	header := a.header()
	if a.whole {
		x.bytes = int64(len(a.body))
		if err := x.answer.WriteHeader(x.status, header, x.bytes); err != nil {
			return err
		}
		_, err := x.answer.Write(a.body)
		return err
	}
	if err := x.answer.WriteHeader(x.status, header, a.answer.ContentLength); err != nil {
		a.abandon()
		return err
	}
	n, err := a.stream(x.answer)
	x.bytes = n
	if err != nil && !errors.Is(err, acceptor.ErrWriteFailed) {
		a.up.RecordFailure(time.Now())
	}
	return err
}

// end answers an error, and writes the line of the request.
func (x *exchange) end(err error) {
	kind := classifier.Of(err)
	switch {
	case err == nil:
	case x.answer.HeaderWritten():
		x.answer.Abort()
		x.s.o.Meter.Add(meter.AbortedAnswers, 1)
	case x.ctx.Err() != nil:
		// Nobody reads an answer.
	default:
		x.refuse(kind)
	}
	x.record(err, kind)
}

// refuse answers with the status of the error's kind.
func (x *exchange) refuse(kind classifier.Kind) {
	h := make(http.Header)
	x.s.o.Dialect.SetRequestID(h, x.id)
	x.status = kind.Status()
	if kind.Outcome() == classifier.NotRun && x.status >= http.StatusInternalServerError {
		x.status = http.StatusServiceUnavailable
	}
	if x.status == http.StatusServiceUnavailable {
		wait := min(max(x.refusal.UntilCapacity, retryLeast), retryMost)
		wait += time.Duration(rand.Float64() * retrySpread * float64(wait))
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	x.answer.Refuse(x.status, h)
	x.s.o.Meter.CountRefusal(kind.String())
}

// record writes one line with all that decided on the request.
func (x *exchange) record(err error, kind classifier.Kind) {
	o := &x.s.o
	took := time.Since(x.call.Arrived)
	o.Meter.Add(meter.Requests, 1)
	event := logger.RequestServed
	if err != nil {
		event = logger.RequestRefused
		if kind.Outcome() != classifier.NotRun {
			event = logger.RequestFailed
		}
	}
	line := o.Log.Event(event)
	if line == nil {
		return
	}
	line.Str("request", x.id).Int("status", x.status).Dur("took", took).Int64("bytes", x.bytes)
	if x.route != nil {
		line.Str("route", x.route.Name).Str("class", x.route.Class.String()).Str("service", x.service).
			Uint64("version", x.table.Version()).Uint64("object", x.object)
		o.Meter.ObserveLatency(meter.Series{Service: x.service, Class: x.route.Class.String()}, took)
	}
	if err != nil {
		e := x.refusal.Excluded
		line.Str("kind", kind.String()).Err(err).Dur("room", x.refusal.UntilCapacity).
			Dur("left", x.deadline.Sub(x.call.Arrived)).Dur("soonest", x.refusal.EarliestResponse).Dict("excluded", zerolog.Dict().
			Int("queue", e.QueueTooLong).Int("late", e.PastDeadline).Int("unknown", e.NoWarmUpCapacity).Int("cold", e.ColdLimited).Int("far", e.CrossRegionLimited))
	}
	attempts := zerolog.Arr()
	for _, a := range x.attempts {
		attempts.Dict(a.describe())
	}
	line.Array("attempts", attempts).Send()
}
