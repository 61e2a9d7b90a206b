// Package controller serves the API of a host: look-ups for callers and control
// for operators.
package controller

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/drainer"
	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/request/finder"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Members gives what a host knows of the others.
type Members interface {
	Members() []*framer.Member
}

// Limits describes the limits at this host.
type Limits interface {
	Figures() []allotter.Figure
}

// Parts are what a Controller speaks for.
type Parts struct {
	Settings  *loader.Settings
	Holder    *holder.Holder
	Publisher *publisher.Publisher
	Members   Members
	Finder    *finder.Finder
	Drainer   *drainer.Drainer
	Recorder  *recorder.Recorder
	Limits    []Limits
	Shifter   *shifter.Shifter
	Gauger    *gauger.Gauger
	// Flight returns how many requests of this host run at an upstream.
	Flight func(*planner.Upstream) int
	// Store describes whether the store answers.
	Store func() string
	Log   logger.Logger
}

// Controller implements api.Handler.
type Controller struct {
	Parts
}

var _ api.Handler = (*Controller)(nil)

// New returns a Controller of one host.
func New(p Parts) *Controller { return &Controller{Parts: p} }

type remoteKey struct{}

// WithRemote passes the address of the connection on to Lookup.
func WithRemote(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			r = r.WithContext(context.WithValue(r.Context(), remoteKey{}, ap.Addr()))
		}
		next.ServeHTTP(w, r)
	})
}

// Lookup answers which hosts a client uses for a service.
func (c *Controller) Lookup(ctx context.Context, params api.LookupParams) (*api.Lookup, error) {
	plan := c.Holder.Plan()
	if plan.Service(params.Service) == nil {
		return nil, classifier.NotFound.New("service %q is not defined", params.Service)
	}
	client, _ := ctx.Value(remoteKey{}).(netip.Addr)
	if text, ok := params.Client.Get(); ok {
		var err error
		if client, err = netip.ParseAddr(text); err != nil {
			return nil, classifier.BadRequest.New("client %q is not an IP address", text)
		}
	}
	lookup := &api.Lookup{
		Service:  params.Service,
		Version:  int64(plan.Version()),
		Lifetime: int(time.Duration(c.Settings.Stop.LookupTTL) / time.Second),
		Hosts:    make([]api.Entry, 0, finder.MaxHosts),
	}
	zone, region := c.Settings.Zone, c.Settings.Region
	if site := plan.Locate(client); site != "" {
		lookup.Site = api.NewOptString(site)
		if z, ok := plan.Site(site); ok {
			zone, region = z, plan.RegionOfZone(z).Name()
		}
	}
	var room [finder.MaxHosts]finder.Host
	for _, h := range c.Finder.Find(room[:0], client, zone, region, time.Now()) {
		lookup.Hosts = append(lookup.Hosts, api.Entry{Name: h.Name, Address: h.Address, Zone: h.Zone})
	}
	if len(lookup.Hosts) == 0 {
		return nil, classifier.NotReady.New("no host that this one knows takes new work")
	}
	return lookup, nil
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
	before := c.Holder.Plan().Version()
	p, err := c.Publisher.Publish(ctx, n)
	if err != nil {
		if classifier.Of(err) == classifier.Invalid {
			c.Log.Event(logger.VersionRefused).Str("id", n.ID).Err(err).Send()
		}
		return nil, err
	}
	if p.Version() > before {
		c.Log.Event(logger.VersionAccepted).Uint64("version", p.Version()).Str("id", p.ID()).Send()
	}
	chain := p.Chain()
	return &api.Publication{
		ID: p.ID(), Version: int64(p.Version()), Chain: hex.EncodeToString(chain[:]),
		Repeated: p.Version() <= before,
	}, nil
}

// Explain describes a recent request.
func (c *Controller) Explain(_ context.Context, params api.ExplainParams) (*api.Explanation, error) {
	v, ok := c.Recorder.Find(params.ID)
	if !ok {
		return nil, classifier.NotFound.New("request %q is not among the recent requests of host %s: ask the host that served it", params.ID, c.Settings.Name)
	}
	e := &api.Explanation{
		Request: v.ID, Service: v.Service, Class: v.Class.String(), Version: int64(v.Version),
		Outcome: v.Outcome.String(), Host: api.NewOptString(c.Settings.Name),
		Customer: api.NewOptString(v.ClientAccount), Elapsed: api.NewOptString(v.Elapsed.String()),
		Status: api.NewOptInt(v.Status), Tightest: api.NewOptString(v.TightestLimit),
		Steps: []api.Step{},
	}
	if !v.Done {
		e.Outcome = "in flight"
	}
	if v.Failed {
		e.Kind = api.NewOptString(v.ErrorKind.String())
	}
	for _, s := range v.Steps {
		e.Steps = append(e.Steps, api.Step{
			At: s.SinceArrival().String(), What: s.Kind().String(), Region: optional(s.Region()),
			Upstream: optional(s.Upstream()), Reason: optional(s.Reason()),
		})
	}
	return e, nil
}

func optional(s string) api.OptString {
	if s == "" {
		return api.OptString{}
	}
	return api.NewOptString(s)
}

// NewError turns an error into the answer of its kind.
func (c *Controller) NewError(_ context.Context, err error) *api.RefusalStatusCode {
	kind := classifier.Of(err)
	return &api.RefusalStatusCode{
		StatusCode: kind.Status(),
		Response:   api.Refusal{Kind: kind.String(), Message: err.Error(), Outcome: api.RefusalOutcome(kind.Outcome().String())},
	}
}
