package controller

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// drainAttempts bounds how often a drain is published again after it lost a
// race against another publication.
const drainAttempts = 5

// Drain publishes a release note that adds or withdraws a drain, so that it is
// durable and in force on every host.
func (c *Controller) Drain(ctx context.Context, req *api.Drain) (*api.Drained, error) {
	d := noter.Drain{Kind: string(req.Kind), Item: req.Name, Gone: req.Gone.Or(false)}
	var err error
	for range drainAttempts {
		if err = c.publishDrain(ctx, d, req.Undo.Or(false)); classifier.Of(err) != classifier.Conflict || err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	return &api.Drained{Kind: d.Kind, Name: d.Item, Waiting: c.flights(d)}, nil
}

func (c *Controller) publishDrain(ctx context.Context, d noter.Drain, undo bool) error {
	if err := c.Publisher.Refresh(ctx); err != nil {
		return err
	}
	plan := c.Holder.Plan()
	if err := c.checkHost(d, undo); err != nil {
		return err
	}
	n := &noter.Note{ID: fmt.Sprintf("drain-%s-%s-%s", d.Kind, d.Item, uuid.NewString()), Base: plan.Version()}
	present := plan.Drained(d.Kind, d.Item)
	switch {
	case undo && !present:
		return classifier.NotFound.New("%s %q is not drained", d.Kind, d.Item)
	case undo:
		n.Withdrawn.Drains = []string{d.Name()}
	case present:
		n.Changed.Drains = []noter.Drain{d}
	default:
		n.Added.Drains = []noter.Drain{d}
	}
	_, err := c.Publisher.Publish(ctx, n)
	return err
}

// checkHost refuses to drain a host that no member has the name of, which is
// most likely a typing error. A host that is gone may be forgotten already.
func (c *Controller) checkHost(d noter.Drain, undo bool) error {
	if d.Kind != planner.DrainHost || d.Gone || undo || d.Item == c.Settings.Name {
		return nil
	}
	for _, m := range c.Members.Members() {
		if m.Name == d.Item {
			return nil
		}
	}
	return classifier.NotFound.New("host %q is not a member", d.Item)
}

// flights says what the drained upstreams still run for this host.
func (c *Controller) flights(d noter.Drain) []string {
	out := []string{}
	for _, u := range c.Holder.Plan().Upstreams() {
		drained := d.Kind == planner.DrainUpstream && u.Name() == d.Item ||
			d.Kind == planner.DrainRegion && u.Region().Name() == d.Item
		if n := c.Flight(u); drained && n > 0 {
			out = append(out, fmt.Sprintf("%d requests of host %s at upstream %s", n, c.Settings.Name, u.Name()))
		}
	}
	return out
}
