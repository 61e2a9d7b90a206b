package forwarder

import (
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// try sends one attempt, and for a look-up that takes long a second one beside
// it. It returns the attempt that answered, or the one to retry.
func (x *exchange) try(a *attempt) (*attempt, error) {
	a.prepare()
	delay := time.Duration(0)
	if x.class == planner.Idempotent && x.service.Hedge() && x.upload == nil {
		delay = x.f.options.Budget.HedgeDelay(x.service)
	}
	if delay <= 0 {
		return a, x.note(a, a.send())
	}
	h := &hedge{x: x, first: a, done: make(chan struct{})}
	a.hedged = true
	x.extra.Add(1)
	timer := time.AfterFunc(delay, h.launch)
	err := a.send()
	if timer.Stop() {
		x.extra.Done()
		a.hedged = false
		return a, x.note(a, err)
	}
	if err == nil {
		if h.win(a) {
			a.hedged = false
			return a, nil
		}
		a.finish(errLost)
	}
	<-h.done
	a.hedged = false
	if h.err != nil && classifier.Of(h.err).Outcome() != classifier.NotRun {
		// The second attempt may have run, whatever became of the first.
		x.doubt = h.err
	}
	if h.second != nil && h.winner == h.second {
		h.second.hedged = false
		return h.second, nil
	}
	return a, x.note(a, err)
}

// note keeps what the next attempt has to avoid.
func (x *exchange) note(a *attempt, err error) error {
	switch {
	case err == nil:
	case classifier.Of(err) == classifier.Shed:
		x.shed = append(x.shed, a.up)
	default:
		x.failed = append(x.failed, a.up)
	}
	return err
}

// hedge is the second attempt of a look-up. The first complete header wins, and
// the other attempt is cancelled.
type hedge struct {
	x      *exchange
	first  *attempt
	done   chan struct{} // closed when the second attempt has its result
	mu     sync.Mutex
	winner *attempt
	second *attempt
	err    error // of the second attempt, read after done
}

// win makes a the answer of the request, unless there is one.
func (h *hedge) win(a *attempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return false
	}
	h.winner = a
	switch {
	case a != h.first:
		h.first.stop(errLost)
	case h.second != nil:
		h.second.stop(errLost)
	}
	return true
}

// launch runs in the timer's goroutine.
func (h *hedge) launch() {
	defer h.x.extra.Done()
	defer close(h.done)
	b := h.open()
	if b == nil {
		return
	}
	if h.err = b.send(); h.err != nil {
		return
	}
	if !h.win(b) {
		b.finish(errLost)
	}
}

// open takes a unit and budget for the second attempt, without waiting.
func (h *hedge) open() *attempt {
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
	b := &attempt{x: x, up: up, ticket: ticket, start: now, hedged: true, there: there, path: back}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		if _, ok = x.f.options.Budget.AllowExtraAttempt(now, x.service); ok {
			b.prepare()
			h.second = b
			x.hedges++
			return b
		}
	}
	ticket.Release(now)
	return nil
}
