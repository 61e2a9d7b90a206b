package steerer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/admission/controller"
	"dandeliontrack.example/dandeliontrack/internal/connection/acceptor"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// maxUpstreamsPerRequest bounds the upstreams that are tried for one request, including
	// those to which nothing was sent.
	maxUpstreamsPerRequest = 6
	// hedgeDelayFactor is the delay, as a multiple of the expected response time, after
	// which a repeatable request is also sent to a second upstream.
	hedgeDelayFactor = 3
	// minHedgeDelay prevents hedges of short requests because of scheduling delays.
	minHedgeDelay = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time in Retry-After, before jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterJitter is the largest random fraction that is added to that time, so that
	// refused callers do not retry at the same moment.
	retryAfterJitter = 0.5
)

// The errors are allocated once, so that refusals under overload are cheap.
var (
	errNoConfiguration  = classifier.NotReady.New("the host has no configuration yet")
	errUnknownKey       = classifier.Unauthorized.New("the request has no key of a client account")
	errUnconfirmedKey   = classifier.NotReady.New("the key is unknown, and the configuration may be out of date")
	errOverQuota        = classifier.QuotaExceeded.New("the quota of the client account is used up")
	errNoRoute          = classifier.NotFound.New("no route for the host and path")
	errCallerLeft       = classifier.Expired.New("the caller left")
	errNotSent          = classifier.Overloaded.New("no upstream could be reached before the deadline")
	errTimedOut         = classifier.TimedOut.New("no response before the deadline")
	errPanic            = classifier.Internal.New("the handler of the request panicked")
	errPausedBeforeSend = classifier.NotReady.New("the process was paused between the choice of an upstream and the request")
	errStreamsFull      = classifier.Internal.New("no memory is free to pass on the response")
	errOtherAttemptWon  = errors.New("another attempt completed first")
)

// exchange is one request of a caller with all its attempts.
type exchange struct {
	s              *Steerer
	ctx            context.Context
	call           *acceptor.Call
	response       *acceptor.ResponseWriter
	id             string
	table          *matcher.Table
	route          *matcher.Route
	account        *authenticator.Account // nil if the request has none
	service        string
	object         uint64
	randomKey      uint64
	deadline       time.Time // for the response
	callerDeadline time.Time // when the caller times out, at or after deadline
	streamDeadline time.Time // when a streamed response is aborted

	admission     admission
	allowedAt     time.Time // when the request was counted in the quota of its account, zero if it wasn't
	attempts      []*attempt
	tried         []*registrar.Upstream
	sentAttempts  int           // attempts that may have sent a byte
	mayHaveRunErr error         // error of an attempt that may have run
	noUpstream    ranker.Choice // the last choice that found no upstream
	expired       bool          // the deadline passed before a response
	status        int
	bytes         int64
}

// serve makes attempts until one has a response, and delivers it.
func (x *exchange) serve() error {
	results := make(chan *attempt, maxUpstreamsPerRequest)
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	defer x.abandonAttempts(nil)
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
				x.observeAttempt(a, time.Now())
				x.abandonAttempts(a)
				return x.deliverResponse(a)
			}
			err := x.retry(a, results)
			if err == nil {
				pending++
			} else if pending == 0 {
				return x.finish(a, err)
			}
		case <-hedge:
			hedge = nil
			if x.allowHedge() && x.startAttempt(results) == nil {
				pending++
				x.s.options.Meter.Add(meter.Hedges, 1)
			}
		case <-x.ctx.Done():
			return errCallerLeft
		case <-timer.C:
			x.expired = true
			return x.timeoutError()
		}
	}
}

// timeoutError returns the error of a request whose deadline has passed.
func (x *exchange) timeoutError() error {
	if x.sentAttempts == 0 {
		return errNotSent
	}
	return errTimedOut
}

// retry starts another attempt after a failed one, or returns the error that prevents it.
func (x *exchange) retry(a *attempt, results chan<- *attempt) error {
	x.recordFailure(a)
	x.observeAttempt(a, time.Now())
	if !x.allowRetry(a) {
		return a.err
	}
	return x.startAttempt(results)
}

// recordFailure updates the state of the exchange after a failed attempt.
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

// finish delivers the response of the last attempt if the upstream itself failed the
// request, and returns the error of the request otherwise.
func (x *exchange) finish(a *attempt, err error) error {
	if a.errorStatus != 0 {
		return x.deliverResponse(a)
	}
	if x.mayHaveRunErr != nil {
		return x.mayHaveRunErr
	}
	return err
}

// allowRetry reports whether another attempt may follow the failed one, and counts it in
// the budget if the failed one reached its upstream.
func (x *exchange) allowRetry(a *attempt) bool {
	now := time.Now()
	kind := classifier.Of(a.err)
	mayHaveRun := kind.Outcome() != classifier.NotRun
	switch {
	case x.ctx.Err() != nil || !now.Before(x.deadline) || len(x.attempts) >= maxUpstreamsPerRequest:
		return false
	case mayHaveRun && !x.repeatable():
		return false
	case kind == classifier.Unreachable || a.err == errPausedBeforeSend:
		return true // no byte of the request was sent
	case x.call.Request.Body != nil:
		return false // a long body is sent once
	case x.sentAttempts >= x.route.AttemptLimit:
		return false
	}
	if !x.s.options.Budget.AllowExtraAttempt(x.service, now) {
		return false
	}
	x.s.options.Meter.Add(meter.Retries, 1)
	return true
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool { return x.route.Class.Repeatable() && x.call.Request.Body == nil }

// hedgeTimer returns a channel that receives when the request should be hedged, or nil.
func (x *exchange) hedgeTimer() <-chan time.Time {
	if !x.repeatable() || x.route.AttemptLimit < 2 {
		return nil
	}
	c := x.attempts[0].choice
	return time.After(max(hedgeDelayFactor*(c.QueueWait+c.UnloadedLatency), minHedgeDelay))
}

// allowHedge reports whether a second upstream may get the request while the first attempt
// is in flight, and counts it in the budget if so. None of a request that makes way for more
// urgent ones may, because the service is short of capacity.
func (x *exchange) allowHedge() bool {
	return x.admission.decision.Reason == controller.Open && x.sentAttempts < x.route.AttemptLimit && len(x.attempts) < maxUpstreamsPerRequest && x.s.options.Budget.AllowExtraAttempt(x.service, time.Now())
}

// startAttempt chooses an upstream and starts an attempt there.
func (x *exchange) startAttempt(results chan<- *attempt) error {
	pauses := x.s.options.Watchdog.Pauses()
	x.s.options.Watchdog.AwaitConfirmed(x.ctx)
	now := time.Now()
	remaining := x.deadline.Sub(now)
	if x.ctx.Err() != nil {
		return errCallerLeft
	}
	if remaining <= 0 {
		return errNotSent
	}
	choice := x.chooseUpstream(now, remaining)
	x.observeChoice(&choice, now)
	if choice.Upstream == nil {
		x.noUpstream = choice
		return classifier.Overloaded.New("no upstream of service %s has capacity before the deadline", x.service)
	}
	a := newAttempt(x, choice, now)
	a.pauses = pauses
	x.attempts = append(x.attempts, a)
	x.tried = append(x.tried, choice.Upstream)
	x.sentAttempts++
	go func() {
		if x.s.options.Guard("attempt", a.run) {
			a.markPanicked()
		}
		results <- a
	}()
	return nil
}

// chooseUpstream chooses an upstream in the regions that the route allows.
func (x *exchange) chooseUpstream(now time.Time, remaining time.Duration) ranker.Choice {
	o := &x.s.options
	weights := o.Plan.RegionWeights(x.service, x.route.Class)
	q := ranker.Query{
		Group: o.Upstreams.Group(x.service), Route: x.route.Name, Regions: o.Regions, Weights: weights,
		Object: x.object, RandomKey: x.randomKey, Remaining: remaining, LatencyTarget: x.maxQueueWait(), Tried: x.tried, ColdRate: x.coldRate, RateShare: o.RateShare, AllowCrossRegion: o.Plan.AllowCrossRegion,
	}
	if q.Group == nil {
		return ranker.Choice{UntilCapacity: maxRetryAfter}
	}
	if x.restrictsRegions() {
		q.Regions, q.Weights = nil, nil
		for i, region := range o.Regions {
			if x.allowsRegion(region) {
				q.Regions = append(q.Regions, region)
				q.Weights = append(q.Weights, weights[i]+minRegionWeight)
			}
		}
	}
	return o.Ranker.Choose(now, x.service, &q)
}

// minRegionWeight is added to the weights of a request with allowed regions, so that these
// serve it even if the plan gives them none of the requests.
const minRegionWeight = 1e-6

func (x *exchange) coldRate(u *registrar.Upstream) float64 {
	perSecond := 0.0
	if s := x.table.Service(x.service); s != nil {
		perSecond = s.ColdRate
	}
	return x.s.options.ColdRate(u, perSecond)
}

// abandonAttempts abandons all attempts but one.
func (x *exchange) abandonAttempts(except *attempt) {
	for _, a := range x.attempts {
		if a != except {
			a.abandon()
		}
	}
}

// deliverResponse writes the response of an attempt to the caller.
func (x *exchange) deliverResponse(a *attempt) error {
	a.delivered = true
	x.status = a.response.StatusCode
	header := a.responseHeader()
	if a.complete {
		x.bytes = a.bodyBytes()
		if err := x.response.WriteHeader(x.status, header, a.statedLength()); err != nil {
			return err
		}
		_, err := a.writeBody(x.response)
		return err
	}
	x.response.SetDeadline(x.streamDeadline)
	if err := x.response.WriteHeader(x.status, header, a.statedLength()); err != nil {
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

// conclude responds to the caller after an error, and writes the log entry of the request.
func (x *exchange) conclude(err error) {
	kind := classifier.Of(err)
	// An attempt may be under way when a caller has left.
	if !x.allowedAt.IsZero() && err != nil && err != errCallerLeft && kind.Outcome() == classifier.NotRun {
		x.s.options.Quotas.Return(x.account.Name, x.allowedAt, time.Now())
	}
	switch {
	case err == nil:
	case x.response.HeaderWritten():
		x.response.Abort()
		x.s.options.Meter.Add(meter.AbortedResponses, 1)
	case x.ctx.Err() != nil:
		// The caller has left.
	default:
		x.writeRefusal(kind)
	}
	x.logRequest(err, kind)
}

// writeRefusal writes a response with the status of the error kind.
func (x *exchange) writeRefusal(kind classifier.Kind) {
	h := make(http.Header)
	x.s.options.Dialect.SetRequestID(h, x.id)
	x.status = kind.Status()
	if kind.Outcome() == classifier.NotRun && x.status >= http.StatusInternalServerError {
		x.status = http.StatusServiceUnavailable
	}
	if x.status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", x.s.options.Dialect.AuthenticationScheme())
	}
	if x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(x.retryAfter().Seconds(), 'f', 3, 64))
	}
	x.response.Refuse(x.status, h)
	x.countRefusal(kind)
}

// logRequest updates the metrics and writes one log entry with all that determined the
// outcome of the request.
func (x *exchange) logRequest(err error, kind classifier.Kind) {
	o := &x.s.options
	took := time.Since(x.call.Arrived)
	o.Meter.Add(meter.Requests, 1)
	event := logger.RequestServed
	if err != nil {
		event = logger.RequestRefused
		if kind.Outcome() != classifier.NotRun {
			event = logger.RequestFailed
		}
	}
	entry := o.Log.Event(event)
	if entry == nil {
		return
	}
	entry.Str("request", x.id).Int("status", x.status).Dur("took", took).Int64("bytes", x.bytes)
	if x.route != nil {
		entry.Str("route", x.route.Name).Str("class", x.route.Class.String()).Str("service", x.service).
			Uint64("version", x.table.Version()).Uint64("object", x.object)
		if x.service != "" { // otherwise it was refused before its service was chosen
			o.Meter.ObserveLatency(meter.Series{Service: x.service, Class: x.route.Class.String()}, took)
		}
		if x.account != nil {
			entry.Str("account", x.account.Name)
		}
		x.logAdmission(entry)
	}
	if err != nil {
		e := x.noUpstream.Excluded
		if x.ctx.Err() != nil {
			entry.AnErr("cause", context.Cause(x.ctx))
		}
		entry.Str("kind", kind.String()).Err(err).Dur("room", x.noUpstream.UntilCapacity).
			Dur("left", x.deadline.Sub(x.call.Arrived)).Dur("soonest", x.noUpstream.EarliestResponse).Dict("excluded", zerolog.Dict().
			Int("queue", e.QueueTooLong).Int("late", e.PastDeadline).Int("unknown", e.NoWarmUpCapacity).Int("cold", e.ColdLimited).Int("limited", e.RateLimited).Int("far", e.CrossRegionLimited))
	}
	attempts := zerolog.Arr()
	for _, a := range x.attempts {
		attempts.Dict(a.logEntry())
	}
	entry.Array("attempts", attempts).Send()
}
