// Package controller serves the API of a host: look-ups for callers and control
// for operators.
package controller

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"

	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/process/settler"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Controller implements api.Handler.
type Controller struct {
	settings  *settler.Settings
	holder    *holder.Holder
	publisher *publisher.Publisher
}

var _ api.Handler = (*Controller)(nil)

// New returns a Controller of one host.
func New(s *settler.Settings, h *holder.Holder, p *publisher.Publisher) *Controller {
	return &Controller{settings: s, holder: h, publisher: p}
}

// Lookup answers which hosts a caller uses.
func (c *Controller) Lookup(_ context.Context, params api.LookupParams) (*api.Lookup, error) {
	plan := c.holder.Plan()
	if plan.Service(params.Service) == nil {
		return nil, classifier.Unknown.New("service %q is not defined", params.Service)
	}
	return &api.Lookup{
		Service:  params.Service,
		Version:  int64(plan.Version()),
		Lifetime: 10,
		Hosts:    []api.Entry{{Name: c.settings.Name, Address: c.settings.Caller.Listen, Zone: c.settings.Zone}},
	}, nil
}

// Publish accepts a release note.
func (c *Controller) Publish(ctx context.Context, req api.Note) (*api.Publication, error) {
	raw, err := json.Marshal(req)
	if err != nil {
		return nil, classifier.BadRequest.Wrap(err, "release note")
	}
	n, err := noter.Read(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	plan, err := c.publisher.Publish(ctx, n)
	if err != nil {
		return nil, err
	}
	chain := plan.Chain()
	return &api.Publication{ID: plan.ID(), Version: int64(plan.Version()), Chain: hex.EncodeToString(chain[:])}, nil
}

// Status describes the host.
func (c *Controller) Status(context.Context) (*api.Status, error) {
	plan := c.holder.Plan()
	chain := plan.Chain()
	return &api.Status{
		Host:    c.settings.Name,
		Region:  api.NewOptString(c.settings.Region),
		Zone:    api.NewOptString(c.settings.Zone),
		State:   api.StatusStateReady,
		Version: int64(plan.Version()),
		Chain:   hex.EncodeToString(chain[:]),
		Members: []api.Member{}, Limits: []api.Limit{}, Shifts: []api.Shift{}, Waiting: []string{},
	}, nil
}

// Explain describes a recent request.
func (c *Controller) Explain(_ context.Context, params api.ExplainParams) (*api.Explanation, error) {
	return nil, classifier.Unknown.New("request %q is not among the recent requests of this host", params.ID)
}

// Drain takes something out of new work.
func (c *Controller) Drain(_ context.Context, req *api.Drain) (*api.Drained, error) {
	return nil, classifier.Unknown.New("%s %q is not known", req.Kind, req.Name)
}

// NewError turns an error into the answer of its kind.
func (c *Controller) NewError(_ context.Context, err error) *api.RefusalStatusCode {
	kind := classifier.Of(err)
	return &api.RefusalStatusCode{
		StatusCode: kind.Status(),
		Response:   api.Refusal{Kind: kind.String(), Message: err.Error(), Outcome: api.RefusalOutcome(kind.Outcome().String())},
	}
}
