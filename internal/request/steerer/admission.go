package steerer

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/admission/controller"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// upstreamQueueFactor is the length of the queue of an upstream as a multiple of its slots, so
// that a full one takes that many service times. A share of a longer wait would bound nothing.
const upstreamQueueFactor = 3

// Admission decides which requests make way for others while a service is short of capacity.
type Admission interface {
	// Admit decides about a request.
	Admit(r *controller.Request, now time.Time) controller.Decision
	// Observe records what happened to an admitted request.
	Observe(r *controller.Request, o controller.Outcome, now time.Time)
	// RetryAfter returns when a refused request should return.
	RetryAfter(r *controller.Request, untilCapacity time.Duration, now time.Time) time.Duration
}

// admission is the part of an exchange that concerns its Admission.
type admission struct {
	request  controller.Request
	decided  bool
	decision controller.Decision
	started  bool // the controller counts the request as served
}

// admit asks the controller how long the request may wait for its turn.
func (x *exchange) admit() {
	controlled := x.s.options.Admission
	if controlled == nil {
		return
	}
	now := time.Now()
	x.admission.request = controller.Request{
		Service: x.service, Urgency: x.urgency(), Account: x.accountName(), Timeout: x.callerDeadline.Sub(now),
	}
	if timeout, ok := x.s.options.Dialect.CallerTimeout(x.call.Request.Header); ok {
		x.admission.request.Returned = x.s.returns.Returned(x.route.Name, timeout, now)
	}
	x.admission.decision, x.admission.decided = controlled.Admit(&x.admission.request, now), true
}

// usefulWait returns the longest wait in the queue of an upstream that is useful to the request.
func (x *exchange) usefulWait() time.Duration {
	cold, warm := x.s.options.Ranker.ServiceTimes(x.service)
	return min(x.route.LatencyTarget, upstreamQueueFactor*(cold+warm)/2)
}

// maxQueueWait returns the longest wait in the queue of an upstream that the request may have.
func (x *exchange) maxQueueWait() time.Duration {
	share := x.admission.decision.QueueShare
	switch {
	case !x.admission.decided || share == 1:
		return x.route.LatencyTarget
	case share > 1:
		return time.Duration(share * float64(x.route.LatencyTarget))
	default:
		return time.Duration(share * float64(x.usefulWait()))
	}
}

// observe tells the controller about an event of the request.
func (x *exchange) observe(event controller.Event, wait time.Duration, now time.Time) {
	if x.admission.decided {
		x.s.options.Admission.Observe(&x.admission.request, controller.Outcome{Event: event, QueueWait: wait, MaxQueueWait: x.usefulWait()}, now)
	}
}

// observeChoice tells the controller about the choice of an upstream.
func (x *exchange) observeChoice(c *ranker.Choice, now time.Time) {
	switch {
	case x.admission.started:
		// Retries after failures and hedges aren't new requests.
	case c.Upstream == nil && x.admission.decision.QueueShare < 1 && c.Excluded.QueueTooLong > 0:
		x.observe(controller.NoCapacity, x.maxQueueWait()+c.UntilCapacity, now)
	case c.Upstream == nil:
		x.observe(controller.NoCapacity, 0, now)
	default:
		x.admission.started = true
		x.observe(controller.Started, c.QueueWait, now)
	}
}

// observeAttempt tells the controller about the result of an attempt.
func (x *exchange) observeAttempt(a *attempt, now time.Time) {
	switch {
	case !x.admission.started && a.err == nil: // the second of two attempts was refused
		x.admission.started = true
		x.observe(controller.Started, a.choice.QueueWait, now)
	case !x.admission.started:
	case classifier.Of(a.err) == classifier.Shed && a.response.StatusCode == http.StatusServiceUnavailable && !a.metadata.Leaving && !a.reportsFreeSlots():
		x.admission.started = false
		x.observe(controller.Shed, 0, now)
	case a.err == nil && a.metadata.HasLoad && a.metadata.Load.Waiting > 0:
		x.observe(controller.Waited, a.elapsed-a.choice.UnloadedLatency, now)
	}
}

// retryAfter returns when the caller of a refused request should send it again.
func (x *exchange) retryAfter() time.Duration {
	if x.admission.decided {
		now := time.Now()
		r := x.admission.request
		r.Timeout = x.callerDeadline.Sub(now)
		return x.s.options.Admission.RetryAfter(&r, x.noUpstream.UntilCapacity, now)
	}
	wait := min(max(x.noUpstream.UntilCapacity, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rand.Float64()*retryAfterJitter*float64(wait))
}

// countRefusal counts a refusal by kind, and one of an identified request also by its urgency and
// account.
func (x *exchange) countRefusal(kind classifier.Kind) {
	m := x.s.options.Meter
	m.CountRefusal(kind.String())
	if x.route == nil {
		return
	}
	reason := kind.String()
	if kind == classifier.Overloaded && x.admission.decision.Reason == controller.Short {
		reason = "short"
	}
	m.CountRefusalOf(meter.Refusal{Reason: reason, Urgency: x.urgency(), Account: x.accountName()})
}

// logAdmission adds the urgency of the request and the decision to its log entry.
func (x *exchange) logAdmission(entry *zerolog.Event) {
	entry.Int("urgency", x.urgency())
	if x.admission.decided {
		entry.Stringer("admission", x.admission.decision.Reason).Float64("share", x.admission.decision.QueueShare).
			Bool("returned", x.admission.request.Returned)
	}
}
