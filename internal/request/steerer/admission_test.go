package steerer_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandeliontrack.example/dandeliontrack/internal/admission/controller"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

// admission records the calls of the steerer and refuses the requests of one account.
type admission struct {
	mu       sync.Mutex
	requests []controller.Request
	events   []controller.Event
}

func (a *admission) Admit(r *controller.Request, _ time.Time) controller.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, *r)
	if r.Account == "short" {
		return controller.Decision{Reason: controller.Short, QueueShare: 0.1}
	}
	return controller.Decision{QueueShare: 1}
}

func (a *admission) Observe(_ *controller.Request, o controller.Outcome, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, o.Event)
}

func (*admission) RetryAfter(*controller.Request, time.Duration, time.Time) time.Duration {
	return 234 * time.Millisecond
}

// Guards against less urgent requests that get no free slot, against refusals without a time to
// return, against the priority of the route in place of that of the account, and against outcomes that the
// controller doesn't learn.
func TestAdmissionDecides(t *testing.T) {
	const started, shed, noCapacity = controller.Started, controller.Shed, controller.NoCapacity
	shedBoth := func(first, second *upstream) {
		first.handle, second.handle = respondStatus(first, 503, "Not-Run"), respondStatus(second, 503, "Not-Run")
	}
	for name, c := range map[string]struct {
		setHandlers func(first, second *upstream)
		key         string
		status      int
		urgency     int
		received    int64
		events      []controller.Event
	}{
		"admitted":               {func(*upstream, *upstream) {}, "k-admitted", 200, 1, 1, []controller.Event{started}},
		"priority of the route":  {func(*upstream, *upstream) {}, "k-plain", 200, 0, 1, []controller.Event{started}},
		"makes way, free slots":  {func(*upstream, *upstream) {}, "k-short", 200, 2, 1, []controller.Event{started}},
		"shed once":              {func(f, _ *upstream) { f.handle = respondStatus(f, 503, "Not-Run") }, "k-admitted", 200, 1, 2, []controller.Event{started, shed, started}},
		"shed with free slots":   {func(f, _ *upstream) { f.handle = respondStatus(f, 503, "Not-Run", "Free") }, "k-admitted", 200, 1, 2, []controller.Event{started}},
		"shed by both upstreams": {shedBoth, "k-admitted", 503, 1, 2, []controller.Event{started, shed, started, shed}},
		"no upstream left":       {func(f, _ *upstream) { f.handle = nil }, "k-admitted", 503, 1, 0, []controller.Event{noCapacity}},
	} {
		t.Run(name, func(t *testing.T) {
			admission := new(admission)
			g := newTestHostWithAdmission(t, c.setHandlers, admission)
			accounts, err := authenticator.New([]authenticator.Account{
				{Name: "admitted", Keys: []string{"k-admitted"}, Urgency: 1, HasUrgency: true},
				{Name: "short", Keys: []string{"k-short"}, Urgency: 2, HasUrgency: true},
				{Name: "plain", Keys: []string{"k-plain"}},
			})
			assert.NilError(t, err)
			g.table = g.table.WithAccounts(accounts)
			if g.first.handle == nil {
				g.remove(g.first.id)
				g.remove(g.second.id)
			}
			admission.requests, admission.events = nil, nil // of the request that found the first upstream
			g.first.received.Store(0)
			r, _, err := g.send("GET", "/look/1", "Key: "+c.key+"\r\n")
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.status)
			assert.Equal(t, g.first.received.Load()+g.second.received.Load(), c.received)
			assert.Equal(t, admission.requests[0].Urgency, c.urgency)
			assert.DeepEqual(t, admission.events, c.events)
			wait, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			assert.Equal(t, wait == 0.234, c.status == http.StatusServiceUnavailable)
			decision := map[bool]string{true: "short", false: "open"}[c.key == "k-short"]
			poll.WaitOn(t, func(poll.LogT) poll.Result { // the entry is written after the response
				if g.log.contains(fmt.Sprintf(`"account":"%s","urgency":%d,"admission":"%s"`, strings.TrimPrefix(c.key, "k-"), c.urgency, decision)) {
					return poll.Success()
				}
				return poll.Continue("no log entry")
			})
		})
	}
}

// Guards against returned requests that the controller takes for new ones.
func TestReturnedRequestIsRecognized(t *testing.T) {
	admission := new(admission)
	g := newTestHostWithAdmission(t, func(*upstream, *upstream) {}, admission)
	for _, timeout := range []string{"3s", "2.8s"} {
		_, _, err := g.send("GET", "/look/1", "Patience: "+timeout+"\r\n")
		assert.NilError(t, err)
	}
	n := len(admission.requests)
	assert.DeepEqual(t, []bool{admission.requests[n-2].Returned, admission.requests[n-1].Returned}, []bool{false, true})
}
