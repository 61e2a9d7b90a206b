package controller

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/internal/process/drainer"
	"dandeliontrack.example/dandeliontrack/pkg/api"
)

// Status describes the host and what it knows of the others.
func (c *Controller) Status(context.Context) (*api.Status, error) {
	plan := c.Holder.Plan()
	chain := plan.Chain()
	s := &api.Status{
		Host:     c.Settings.Name,
		Region:   api.NewOptString(c.Settings.Region),
		Zone:     api.NewOptString(c.Settings.Zone),
		State:    api.StatusState(c.Drainer.State().String()),
		Version:  int64(plan.Version()),
		Chain:    hex.EncodeToString(chain[:]),
		Store:    api.NewOptString(c.Store()),
		Members:  c.members(),
		Limits:   c.limits(),
		Shifts:   c.shifts(),
		Waiting:  c.waiting(),
		Requests: c.Drainer.InFlight(),
		Drained:  []string{},
	}
	for _, d := range plan.Drains() {
		s.Drained = append(s.Drained, d.Name())
	}
	now := time.Now()
	for _, u := range plan.Upstreams() {
		r := c.Gauger.Read(u, now)
		state := api.UpstreamState{Name: u.Name(), State: r.State().String(), Flight: c.Flight(u)}
		if r.Left() > 0 {
			state.Reason = api.NewOptString(r.Sign().String())
		}
		s.Upstreams = append(s.Upstreams, state)
	}
	return s, nil
}

func (c *Controller) members() []api.Member {
	out := []api.Member{}
	for _, m := range c.Members.Members() {
		state := detector.State(m.State).String()
		if m.State == uint32(detector.Alive) && !m.Ready {
			state = "not ready"
		}
		member := api.Member{
			Name: m.Name, Address: m.Address, State: state, Incarnation: int64(m.Incarnation), Version: int64(m.Version),
			Caller: api.NewOptString(m.Caller), Operator: api.NewOptString(m.Operator), Zone: api.NewOptString(m.Zone),
		}
		if m.Reason != "" {
			member.Reason = api.NewOptString(m.Accuser + ": " + m.Reason)
		}
		out = append(out, member)
	}
	return out
}

func (c *Controller) limits() []api.Limit {
	out := []api.Limit{}
	for _, l := range c.Limits {
		for _, f := range l.Figures() {
			out = append(out, api.Limit{
				Name: f.Name, Total: float64(f.Total), Held: float64(f.Held), Used: float64(f.Used),
				Lent: api.NewOptFloat64(float64(f.Lent)), Borrowed: api.NewOptFloat64(float64(f.Borrowed)),
			})
		}
	}
	return out
}

func (c *Controller) shifts() []api.Shift {
	out := []api.Shift{}
	plan := c.Holder.Plan()
	for _, s := range plan.Services() {
		weights, target := c.Shifter.Weights(s), c.Shifter.Target(s.Name())
		shift := api.Shift{Service: s.Name(), Weights: []api.Weight{}}
		for i, r := range plan.Regions() {
			w := api.Weight{Region: r.Name()}
			if i < len(target) {
				w.Target = target[i]
			}
			if i < len(weights) {
				w.Effective = weights[i]
			}
			shift.Weights = append(shift.Weights, w)
		}
		out = append(out, shift)
	}
	return out
}

// waiting says what a start or a stop waits for.
func (c *Controller) waiting() []string {
	out := c.Drainer.UnmetConditions()
	if out == nil {
		out = []string{}
	}
	if c.Drainer.State() != drainer.Leaving {
		return out
	}
	for _, v := range c.Recorder.Active() {
		out = append(out, fmt.Sprintf("request %s of service %s, %s after its arrival", v.ID, v.Service, time.Since(v.Start).Round(time.Millisecond)))
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
