// Package prober asks upstreams for their health and load and reports the
// answers.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	period  = time.Second
	timeout = time.Second
	// maxAnswer bounds a health or load answer in bytes.
	maxAnswer = 4 << 10
)

// Gauge receives the readings.
type Gauge interface {
	OnHealth(name string, s gauger.State, at, now time.Time)
	OnLoad(name string, flight int, at time.Time)
	OnLeaving(name string, s gauger.Sign, now time.Time) bool
}

// Prober asks each upstream once a second.
type Prober struct {
	client *http.Client
	gauge  Gauge
	leave  func(upstream string)
	busy   sync.Map // names of upstreams whose probe is under way
}

// New returns a Prober that uses the transport. Leave is called for each
// upstream whose health says for the first time that it is draining.
func New(transport http.RoundTripper, g Gauge, leave func(upstream string)) *Prober {
	return &Prober{client: &http.Client{Transport: validator.New(transport), Timeout: timeout}, gauge: g, leave: leave}
}

// Run probes the upstreams of the plan in force until ctx ends.
func (p *Prober) Run(ctx context.Context, plan func() *planner.Plan) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		ups := plan().Upstreams()
		// Probes are spread over the period, so that they don't come in bursts.
		gap := period / time.Duration(max(len(ups), 1))
		start := time.Now()
		for i, u := range ups {
			if !sleeper.Sleep(ctx, time.Until(start.Add(time.Duration(i)*gap))) {
				return
			}
			if _, busy := p.busy.LoadOrStore(u.Name(), true); busy {
				continue
			}
			wg.Go(func() {
				defer p.busy.Delete(u.Name())
				p.probe(ctx, u)
			})
		}
		sleeper.Sleep(ctx, time.Until(start.Add(period)))
	}
}

func (p *Prober) probe(ctx context.Context, u *planner.Upstream) {
	at := time.Now()
	health, err := p.get(ctx, u, "/health")
	if ctx.Err() != nil {
		return
	}
	state := gauger.Failed
	if err == nil {
		state = parse(health)
	}
	now := time.Now()
	if state == gauger.Draining && p.gauge.OnLeaving(u.Name(), gauger.HealthSign, now) {
		p.leave(u.Name())
	}
	p.gauge.OnHealth(u.Name(), state, at, now)
	if err != nil {
		return
	}
	at = time.Now()
	load, err := p.get(ctx, u, "/load")
	var body struct {
		Flight int `json:"flight"`
	}
	if err == nil && json.Unmarshal(load, &body) == nil {
		p.gauge.OnLoad(u.Name(), body.Flight, at)
	}
}

// parse reads a health answer. A word that is not known counts as failed.
func parse(health []byte) gauger.State {
	switch strings.TrimSpace(string(health)) {
	case "ready":
		return gauger.Ready
	case "starting":
		return gauger.Starting
	case "draining":
		return gauger.Draining
	default:
		return gauger.Failed
	}
}

func (p *Prober) get(ctx context.Context, u *planner.Upstream, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address()+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
}
