package prober

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// readings records the health of one upstream.
type readings struct{ states []gauger.State }

func (r *readings) OnHealth(_ string, s gauger.State, _, _ time.Time) { r.states = append(r.states, s) }

func (*readings) OnLoad(string, int, time.Time) {}

func (*readings) OnLeaving(string, gauger.Sign, time.Time) bool { return false }

// Guards against an invalid response to a health check that makes an upstream ready.
func TestInvalidHealthResponseIsFailure(t *testing.T) {
	assert.DeepEqual(t, probe(t, responder.Valid("", "ready")), []gauger.State{gauger.Ready})
	for name, response := range responder.Invalid("", "ready") {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, probe(t, response), []gauger.State{gauger.Failed})
		})
	}
}

// probe probes an upstream with the response, and returns the states that are recorded.
func probe(t *testing.T, response string) []gauger.State {
	t.Helper()
	n := &noter.Note{ID: "first"}
	n.Added.Regions = []noter.Region{{Name: "r", Zones: []string{"r-a"}, Slots: 6}}
	n.Added.Services = []noter.Service{{Name: "s", Class: "lookup", Shares: map[string]int{"r": 1}, Cap: noter.Cap{Fraction: 0.1, Every: 1e9}, Timeout: 1e9}}
	n.Added.Upstreams = []noter.Upstream{{Name: "u", Service: "s", Region: "r", Zone: "r-a", Address: responder.New(t, response).Address, Slots: 6, Connections: 330}}
	plan, err := new(planner.Plan).Apply(n)
	assert.NilError(t, err)
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	var got readings
	New(transport, &got, func(string) {}).probe(t.Context(), plan.Upstreams()[0])
	return got.states
}
