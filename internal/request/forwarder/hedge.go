package forwarder

import (
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// sendWithHedge sends one attempt, and hedges an idempotent request that gets no
// response within the hedge delay. It returns the attempt that received a
// response, or the failed one.
func (x *exchange) sendWithHedge(a *attempt) (*attempt, error) {
	a.prepare()
	delay := time.Duration(0)
	if x.class == planner.Idempotent && x.service.Hedge() && x.upload == nil {
		delay = x.f.options.Budget.HedgeDelay(x.service)
	}
	if delay <= 0 {
		return a, x.recordFailure(a, a.send())
	}
	h := &hedge{x: x, first: a, done: make(chan struct{})}
	a.hedged = true
	x.hedgesRunning.Add(1)
	timer := time.AfterFunc(delay, h.launch)
	err := a.send()
	if timer.Stop() {
		x.hedgesRunning.Done()
		a.hedged = false
		return a, x.recordFailure(a, err)
	}
	if err == nil {
		if h.win(a) {
			a.hedged = false
			return a, nil
		}
		a.finish(errHedgeLost)
	}
	<-h.done
	a.hedged = false
	if h.err != nil && classifier.Of(h.err).Outcome() != classifier.NotRun {
		// The second attempt may have run, whatever happened to the first.
		x.ambiguousErr = h.err
	}
	if h.second != nil && h.winner == h.second {
		h.second.hedged = false
		return h.second, nil
	}
	return a, x.recordFailure(a, err)
}

// recordFailure records the upstream of a failed attempt, so that the next attempt
// avoids it.
func (x *exchange) recordFailure(a *attempt, err error) error {
	switch {
	case err == nil:
	case classifier.Of(err) == classifier.Shed:
		x.shed = append(x.shed, a.up)
	default:
		x.failed = append(x.failed, a.up)
	}
	return err
}

// hedge runs the second attempt of an idempotent request. The attempt that gets the
// first complete response header wins, and the other one is cancelled.
type hedge struct {
	x      *exchange
	first  *attempt
	done   chan struct{} // closed when the second attempt has its result
	mu     sync.Mutex
	winner *attempt
	second *attempt
	err    error // of the second attempt, read after done
}

// win makes a the winner and cancels the other attempt, unless there is a winner
// already.
func (h *hedge) win(a *attempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return false
	}
	h.winner = a
	switch {
	case a != h.first:
		h.first.stop(errHedgeLost)
	case h.second != nil:
		h.second.stop(errHedgeLost)
	}
	return true
}

// launch sends the second attempt. It runs in the goroutine of the timer.
func (h *hedge) launch() {
	defer h.x.hedgesRunning.Done()
	defer close(h.done)
	b := h.admitSecond()
	if b == nil {
		return
	}
	if h.err = b.send(); h.err != nil {
		return
	}
	if !h.win(b) {
		b.finish(errHedgeLost)
	}
}

// admitSecond takes a slot and an extra attempt of the budget for the second
// attempt, without waiting. It returns nil if there is none.
func (h *hedge) admitSecond() *attempt {
	x, now := h.x, time.Now()
	up, err := x.f.options.Chooser.Choose(now, &Query{
		Plan: x.plan, Service: x.service, Class: x.class, ClientAccount: x.account,
		RequestID: x.ids[0], Deadline: x.deadline, Shed: x.shed, Failed: append([]*planner.Upstream{h.first.up}, x.failed...), Steps: x.steps,
	})
	if err != nil || up == h.first.up {
		return nil
	}
	ticket, ok := x.f.options.Admitter.Try(now, up, x.class, x.deadline)
	if !ok {
		return nil
	}
	x.steps.AddStep(now, recorder.Admitted, up.Region(), up, "hedge")
	there, back := x.links(up)
	b := &attempt{x: x, up: up, ticket: ticket, start: now, hedged: true, linkTo: there, linkFrom: back}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		if _, ok = x.f.options.Budget.AllowExtraAttempt(now, x.service); ok {
			b.prepare()
			h.second = b
			x.hedgeCount++
			return b
		}
	}
	ticket.Release(now)
	return nil
}
