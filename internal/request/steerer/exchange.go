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
	// maxUpstreamsPerRequest bounds the upstreams that are tried for one request, those to which
	// nothing was sent included.
	maxUpstreamsPerRequest = 6
	// hedgeDelayFactor is how many times the expected time passes before a repeatable
	// request is sent to a second upstream while the first may still answer.
	hedgeDelayFactor = 3
	// minHedgeDelay keeps short requests from being hedged on scheduling delays.
	minHedgeDelay = 100 * time.Millisecond
	// minRetryAfter and retryMost bound the time after which a refused caller is
	// asked to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterJitter is the part of that time by which callers are told different
	// times, so that they do not come back together.
	retryAfterJitter = 0.5
)

// The refusals are made once, so that refusing under overload costs little.
var (
	errNoConfiguration = classifier.NotReady.New("the host has no configuration yet")
	errNoRoute = classifier.NotFound.New("no route for the host and path")
	errCallerLeft = classifier.Expired.New("the caller left")
	errNotSent = classifier.Overloaded.New("no upstream could be reached before the deadline")
	errTimedOut = classifier.TimedOut.New("no answer before the deadline")
	errPanic = classifier.Internal.New("the request met a fault in the code")
	errPausedBeforeSend = classifier.NotReady.New("the process was paused between the choice of an upstream and the request")
	errOtherAttemptWon = errors.New("another attempt answered first")
)

// exchange is one request with all its attempts.
type exchange struct {
	s *Steerer
	ctx context.Context
	call *acceptor.Call
	response *acceptor.ResponseWriter
	id string
	table *matcher.Table
	route *matcher.Route
	service string
	object uint64
	randomKey uint64
	deadline time.Time // of the answer
	callerDeadline time.Time // of the caller, at or after the deadline
	streamDeadline time.Time // when an answer that is passed on as it arrives is broken off

	attempts      []*attempt
	tried         []*registrar.Upstream
	sentAttempts  int           // attempts of which a byte may have left the host
	mayHaveRunErr error         // of an attempt that may have run
	noUpstream    ranker.Choice // without an upstream, after a refusal
	expired       bool          // the deadline passed
	status        int
	bytes         int64
}

// serve makes attempts until one has an answer, and delivers it.
func (x *exchange) serve() error {
	results := make(chan *attempt, maxUpstreamsPerRequest)
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	defer x.releaseMemory()
	defer x.cancelAttempts()
	pending := 0
	if err := x.startAttempt(results); err != nil {
		return err
	}
	pending++
	hedge := x.hedgeTimer()
	for {
		select {
		case a := <-results:
			pending--
			if a.err == nil {
				return x.deliverResponse(a)
			}
			why := x.retry(a, results)
			if why == nil {
				pending++
			} else if pending == 0 {
				return x.finish(a, why)
			}
		case <-hedge:
			hedge = nil
			if x.allowHedge() && x.startAttempt(results) == nil {
				pending++
				x.s.o.Meter.Add(meter.Hedges, 1)
			}
		case <-x.ctx.Done():
			return errCallerLeft
		case <-timer.C:
			x.expired = true
			return x.timeoutError()
		}
	}
}

// timeoutError returns the error of a request whose time is over.
func (x *exchange) timeoutError() error {
	if x.sentAttempts == 0 {
		return errNotSent
	}
	return errTimedOut
}

// retry starts another attempt after a failed one, or returns why there is none.
func (x *exchange) retry(a *attempt, results chan<- *attempt) error {
	x.recordFailure(a)
	if !x.allowRetry(a) {
		return a.err
	}
	return x.startAttempt(results)
}

// recordFailure records what a failed attempt means for the request.
func (x *exchange) recordFailure(a *attempt) {
	switch kind := classifier.Of(a.err); {
	case kind == classifier.Unreachable:
		x.sentAttempts-- // no byte of the request left the host
	case a.err == errPausedBeforeSend:
		x.sentAttempts--
		x.tried = slices.DeleteFunc(x.tried, func(u *registrar.Upstream) bool { return u == a.upstream })
	case kind.Outcome() != classifier.NotRun:
		x.mayHaveRunErr = a.err
	}
}

// finish returns what the caller is told after the last attempt. An answer in
// which the upstream itself failed the request is passed on.
func (x *exchange) finish(a *attempt, err error) error {
	if a.errorStatus != 0 {
		return x.deliverResponse(a)
	}
	if x.mayHaveRunErr != nil {
		return x.mayHaveRunErr
	}
	return err
}

// allowRetry reports whether another attempt may follow the failed one, and takes it
// from the budget.
func (x *exchange) allowRetry(a *attempt) bool {
	now := time.Now()
	kind := classifier.Of(a.err)
	ran := kind.Outcome() != classifier.NotRun
	switch {
	case x.ctx.Err() != nil || !now.Before(x.deadline) || len(x.attempts) >= maxUpstreamsPerRequest:
		return false
	case ran && !x.repeatable():
		return false
	case x.call.Request.Body != nil && a.requestBodyRead:
		return false
	case kind == classifier.Unreachable || a.err == errPausedBeforeSend:
		return true // nothing arrived anywhere
	case x.sentAttempts >= x.route.AttemptLimit:
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
	return time.After(max(hedgeDelayFactor*(c.QueueWait+c.UnloadedLatency), minHedgeDelay))
}

// allowHedge reports whether a second upstream may get the request while the first
// is at work, and takes it from the budget.
func (x *exchange) allowHedge() bool {
	return x.sentAttempts < x.route.AttemptLimit && len(x.attempts) < maxUpstreamsPerRequest && x.s.o.Budget.AllowExtraAttempt(x.service, time.Now())
}

// startAttempt chooses an upstream and starts an attempt there.
func (x *exchange) startAttempt(results chan<- *attempt) error {
	pauses := x.s.o.Watchdog.Pauses()
	x.s.o.Watchdog.AwaitConfirmed(x.ctx)
	now := time.Now()
	left := x.deadline.Sub(now)
	if x.ctx.Err() != nil {
		return errCallerLeft
	}
	if left <= 0 {
		return errNotSent
	}
	choice := x.chooseUpstream(now, left)
	if choice.Upstream == nil {
		x.noUpstream = choice
		return classifier.Overloaded.New("no upstream of service %s has room before the deadline", x.service)
	}
	a := newAttempt(x, choice, now)
	a.pauses = pauses
	x.attempts = append(x.attempts, a)
	x.tried = append(x.tried, choice.Upstream)
	x.sentAttempts++
	go func() {
		if x.s.o.Guard("attempt", a.run) {
			a.markPanicked()
		}
		results <- a
	}()
	return nil
}

// chooseUpstream asks the ranker for the upstreams in the regions that the route allows.
func (x *exchange) chooseUpstream(now time.Time, left time.Duration) ranker.Choice {
	o := &x.s.o
	weights := o.Plan.RegionWeights(x.service, x.route.Class)
	q := ranker.Query{
		Group: o.Upstreams.Group(x.service), Route: x.route.Name, Regions: o.Regions, Weights: weights,
		Object: x.object, RandomKey: x.randomKey, Remaining: left, LatencyTarget: x.route.LatencyTarget, Tried: x.tried, ColdRate: x.coldRate, AllowCrossRegion: o.Plan.AllowCrossRegion,
	}
	if q.Group == nil {
		return ranker.Choice{UntilCapacity: maxRetryAfter}
	}
	if len(x.route.Regions) > 0 {
		q.Regions, q.Weights = nil, nil
		for i, region := range o.Regions {
			if slices.Contains(x.route.Regions, region) {
				q.Regions = append(q.Regions, region)
				q.Weights = append(q.Weights, weights[i]+minRegionWeight)
			}
		}
	}
	return o.Ranker.Choose(now, x.service, &q)
}

// minRegionWeight lets a route's only region serve although the plan gives it
// nothing.
const minRegionWeight = 1e-6

func (x *exchange) coldRate(u *registrar.Upstream) float64 {
	perSecond := 0.0
	if s := x.table.Service(x.service); s != nil {
		perSecond = s.ColdRate
	}
	return x.s.o.ColdRate(u, perSecond)
}

// cancelAttempts ends the attempts that are still under way.
func (x *exchange) cancelAttempts() {
	for _, a := range x.attempts {
		a.stop()
	}
}

// releaseMemory gives back the memory that the attempts hold.
func (x *exchange) releaseMemory() {
	for _, a := range x.attempts {
		a.release()
	}
}

// deliverResponse answers the caller with what an attempt got.
func (x *exchange) deliverResponse(a *attempt) error {
	x.status = a.response.StatusCode
	header := a.responseHeader()
	if a.complete {
		x.bytes = int64(len(a.body))
		if err := x.response.WriteHeader(x.status, header, x.bytes); err != nil {
			return err
		}
		_, err := x.response.Write(a.body)
		return err
	}
	if err := x.response.WriteHeader(x.status, header, a.response.ContentLength); err != nil {
		a.closeConn()
		return err
	}
	n, err := a.streamBody(x.response)
	x.bytes = n
	if err != nil && !errors.Is(err, acceptor.ErrWriteFailed) {
		a.upstream.RecordFailure(time.Now())
	}
	return err
}

// conclude answers an error, and writes the line of the request.
func (x *exchange) conclude(err error) {
	kind := classifier.Of(err)
	switch {
	case err == nil:
	case x.response.HeaderWritten():
		x.response.Abort()
		x.s.o.Meter.Add(meter.AbortedAnswers, 1)
	case x.ctx.Err() != nil:
		// Nobody reads an answer.
	default:
		x.writeRefusal(kind)
	}
	x.logRequest(err, kind)
}

// writeRefusal answers with the status of the error's kind.
func (x *exchange) writeRefusal(kind classifier.Kind) {
	h := make(http.Header)
	x.s.o.Dialect.SetRequestID(h, x.id)
	x.status = kind.Status()
	if kind.Outcome() == classifier.NotRun && x.status >= http.StatusInternalServerError {
		x.status = http.StatusServiceUnavailable
	}
	if x.status == http.StatusServiceUnavailable {
		wait := min(max(x.noUpstream.UntilCapacity, minRetryAfter), maxRetryAfter)
		wait += time.Duration(rand.Float64() * retryAfterJitter * float64(wait))
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	x.response.Refuse(x.status, h)
	x.s.o.Meter.CountRefusal(kind.String())
}

// logRequest writes one line with all that decided on the request.
func (x *exchange) logRequest(err error, kind classifier.Kind) {
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
		e := x.noUpstream.Excluded
		line.Str("kind", kind.String()).Err(err).Dur("room", x.noUpstream.UntilCapacity).
			Dur("left", x.deadline.Sub(x.call.Arrived)).Dur("soonest", x.noUpstream.EarliestResponse).Dict("excluded", zerolog.Dict().
			Int("queue", e.QueueTooLong).Int("late", e.PastDeadline).Int("unknown", e.NoWarmUpCapacity).Int("cold", e.ColdLimited).Int("far", e.CrossRegionLimited))
	}
	attempts := zerolog.Arr()
	for _, a := range x.attempts {
		attempts.Dict(a.logEntry())
	}
	line.Array("attempts", attempts).Send()
}
