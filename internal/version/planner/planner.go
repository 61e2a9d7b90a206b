// Package planner compiles release notes into a Plan: one immutable, validated
// version of the configuration, indexed for use in request handling.
//
// Apply makes each Plan from its predecessor:
//
//	next, err := plan.Apply(note)
//
// The zero Plan is version 0 and defines nothing.
package planner

import (
	"crypto/sha256"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/locator"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Chain identifies a version by its content and its whole history. It is the
// SHA-256 hash of the previous chain followed by the note.
type Chain [sha256.Size]byte

// Class is the class of a request. It decides whether the request may be
// retried or hedged.
type Class uint8

// The request classes, and their number.
const (
	Idempotent Class = iota // can be repeated, short response
	Download                // can be repeated, long response
	AtMostOnce              // must be executed at most once
	ClassCount = 3
)

var classNames = [ClassCount]string{"lookup", "download", "once"}

// String returns the name of the class in release notes.
func (c Class) String() string { return classNames[c] }

func parseClass(name string) (Class, bool) {
	i := slices.Index(classNames[:], name)
	return Class(max(i, 0)), i >= 0
}

// Plan is one version of the configuration. It is immutable and therefore safe
// for concurrent use.
type Plan struct {
	version uint64
	chain   Chain
	id      string

	regions    []*Region
	services   []*Service
	upstreams  []*Upstream
	links      []*Link
	byRegion   map[string]*Region
	byService  map[string]*Service
	byUpstream map[string]*Upstream
	accounts   map[string]*ClientAccount
	sites      map[string]noter.Site
	linkTable  []*Link

	source source
	blocks *locator.Locator
}

// Version returns the number of notes applied so far.
func (p *Plan) Version() uint64 { return p.version }

// Chain returns the hash chain of this version.
func (p *Plan) Chain() Chain { return p.chain }

// ID returns the id of the note that made this version.
func (p *Plan) ID() string { return p.id }

// Regions returns all regions, sorted by name. Region.Index is the position in
// this slice.
func (p *Plan) Regions() []*Region { return p.regions }

// Services returns all services, sorted by name. Service.Index is the position
// in this slice.
func (p *Plan) Services() []*Service { return p.services }

// Upstreams returns all upstreams, sorted by name. Upstream.Index is the
// position in this slice.
func (p *Plan) Upstreams() []*Upstream { return p.upstreams }

// Links returns all links, sorted by name.
func (p *Plan) Links() []*Link { return p.links }

// Region returns the region with this name, or nil.
func (p *Plan) Region(name string) *Region { return p.byRegion[name] }

// Service returns the service with this name, or nil.
func (p *Plan) Service(name string) *Service { return p.byService[name] }

// Upstream returns the upstream with this name, or nil.
func (p *Plan) Upstream(name string) *Upstream { return p.byUpstream[name] }

// Link returns the link between two regions, given by index, or nil if the plan
// defines none or from equals to.
func (p *Plan) Link(from, to int) *Link { return p.linkTable[from*len(p.regions)+to] }

// ClientAccount returns the client account with this name. For an unknown name
// it returns an unnamed account with the hold policy "refuse".
func (p *Plan) ClientAccount(name string) *ClientAccount {
	if c, ok := p.accounts[name]; ok {
		return c
	}
	return unknownAccount
}

// Site returns the availability zone of the site with this name, and whether
// the site is defined.
func (p *Plan) Site(name string) (zone string, ok bool) {
	s, ok := p.sites[name]
	return s.Zone, ok
}

// Locate returns the site of the client address, or "" if no block contains it.
func (p *Plan) Locate(client netip.Addr) string { return p.blocks.Find(client) }

// The kinds of item that an operator can drain.
const (
	DrainHost     = "host"
	DrainUpstream = "upstream"
	DrainRegion   = "region"
)

// Drained reports whether an operator's drain keeps new requests from the item.
func (p *Plan) Drained(kind, item string) bool {
	_, ok := p.source.Drains[kind+"/"+item]
	return ok
}

// Drains returns all drains, sorted by name.
func (p *Plan) Drains() []noter.Drain {
	all := make([]noter.Drain, 0, len(p.source.Drains))
	for _, name := range sorted(p.source.Drains) {
		all = append(all, p.source.Drains[name])
	}
	return all
}

// RegionOfZone returns the region of the availability zone, or nil.
func (p *Plan) RegionOfZone(zone string) *Region {
	for _, r := range p.regions {
		if slices.Contains(r.zones, zone) {
			return r
		}
	}
	return nil
}

// Region is a compiled noter.Region.
type Region struct {
	name  string
	index int
	zones []string
	slots int
}

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// Index returns the region's position in Plan.Regions.
func (r *Region) Index() int { return r.index }

// Zones returns the region's availability zones.
func (r *Region) Zones() []string { return r.zones }

// Slots returns the limit on the number of requests in flight in the region.
func (r *Region) Slots() int { return r.slots }

// Link is a compiled noter.Link.
type Link struct {
	name     string
	from, to *Region
	rate     int64
}

// Name returns the names of the two regions as "from/to".
func (l *Link) Name() string { return l.name }

// From returns the region that sends over the link.
func (l *Link) From() *Region { return l.from }

// To returns the region that receives over the link.
func (l *Link) To() *Region { return l.to }

// Rate returns the link's rate limit in bytes per second.
func (l *Link) Rate() int64 { return l.rate }

// ClientAccount is a compiled noter.ClientAccount.
type ClientAccount struct {
	name        string
	keepsRegion bool
}

var unknownAccount = &ClientAccount{}

// Name returns the name of the client account, empty for an unknown one.
func (c *ClientAccount) Name() string { return c.name }

// KeepsRegion reports whether a request that the shift cap keeps from moving to
// another region is served in its previous region, as long as that region still
// serves, instead of being refused.
func (c *ClientAccount) KeepsRegion() bool { return c.keepsRegion }

// Service is a compiled noter.Service.
type Service struct {
	src       noter.Service
	index     int
	class     Class
	shares    []float64
	upstreams []*Upstream
	byRegion  [][]*Upstream
	routes    []route
}

type route struct {
	method, prefix string
	class          Class
}

// Name returns the service's name.
func (s *Service) Name() string { return s.src.Name }

// Index returns the service's position in Plan.Services.
func (s *Service) Index() int { return s.index }

// Class returns the class of GET and HEAD requests that match no route.
func (s *Service) Class() Class { return s.class }

// Shares returns the configured share of traffic for each region, by region
// index. The shares add up to 1.
func (s *Service) Shares() []float64 { return s.shares }

// ShiftCapFraction returns the largest fraction of the traffic that may move to
// another region within any period of length ShiftCapWindow.
func (s *Service) ShiftCapFraction() float64 { return s.src.Cap.Fraction }

// ShiftCapWindow returns the period to which ShiftCapFraction applies.
func (s *Service) ShiftCapWindow() time.Duration { return time.Duration(s.src.Cap.Every) }

// RetryBudget returns the largest number of retries as a fraction of requests.
func (s *Service) RetryBudget() float64 { return s.src.Retry }

// Hedge reports whether requests of class Idempotent may be hedged.
func (s *Service) Hedge() bool { return s.src.Hedge }

// Timeout returns the timeout of a request that does not set one. For a download
// it bounds the whole transfer; a separate timeout applies to its progress.
func (s *Service) Timeout() time.Duration { return time.Duration(s.src.Timeout) }

// MinDownloadRate returns the bandwidth, in bytes per second, that is reserved
// for each admitted download.
func (s *Service) MinDownloadRate() int64 { return s.src.Minimum }

// EchoesRequestID reports whether the upstreams return the Request-Id header in
// their responses.
func (s *Service) EchoesRequestID() bool { return s.src.Echo }

// Upstreams returns the service's upstreams, sorted by name.
func (s *Service) Upstreams() []*Upstream { return s.upstreams }

// UpstreamsIn returns the service's upstreams in the region with this index,
// sorted by name.
func (s *Service) UpstreamsIn(region int) []*Upstream { return s.byRegion[region] }

// ClassOf returns the class of a request. The first matching route decides.
// Without a match, GET and HEAD have the service's class and every other method
// is AtMostOnce.
func (s *Service) ClassOf(method, path string) Class {
	for _, r := range s.routes {
		if r.method == method && len(path) >= len(r.prefix) && path[:len(r.prefix)] == r.prefix {
			return r.class
		}
	}
	if method == "GET" || method == "HEAD" {
		return s.class
	}
	return AtMostOnce
}

// Upstream is a compiled noter.Upstream.
type Upstream struct {
	src     noter.Upstream
	index   int
	offset  int
	service *Service
	region  *Region
	drained bool
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.src.Name }

// Index returns the upstream's position in Plan.Upstreams.
func (u *Upstream) Index() int { return u.index }

// Service returns the service that the upstream belongs to.
func (u *Upstream) Service() *Service { return u.service }

// Region returns the region that the upstream runs in.
func (u *Upstream) Region() *Region { return u.region }

// Zone returns the availability zone that the upstream runs in.
func (u *Upstream) Zone() string { return u.src.Zone }

// Address returns the IP address and port, separated by a colon.
func (u *Upstream) Address() string { return u.src.Address }

// Slots returns the limit on concurrent requests to the upstream, over all hosts.
func (u *Upstream) Slots() int { return u.src.Slots }

// Connections returns the limit on open connections to the upstream, over all
// hosts.
func (u *Upstream) Connections() int { return u.src.Connections }

// Drained reports whether an operator's drain keeps new requests from the
// upstream.
func (u *Upstream) Drained() bool { return u.drained }

// SlotOffset returns the number that, modulo the number of shares, is the share
// to which the upstream's first slot belongs. It is constant while the upstream
// exists: withdrawing other upstreams does not move the slots to other shares.
func (u *Upstream) SlotOffset() int { return u.offset }

// Apply returns the version that results from applying the note to p. It returns
// an error of kind Conflict if the note is based on another version, and one of
// kind Invalid, which names the item, the field and the correction, if the
// resulting configuration fails a check.
func (p *Plan) Apply(n *noter.Note) (*Plan, error) {
	if n.Base != p.version {
		return nil, classifier.Conflict.New("release note %q is based on version %d, but version %d is in force: rebase it", n.ID, n.Base, p.version)
	}
	src := p.source.clone()
	if err := src.apply(n); err != nil {
		return nil, err
	}
	if err := src.check(); err != nil {
		return nil, err
	}
	change, err := blockChange(n)
	if err != nil {
		return nil, err
	}
	blocks, err := p.blocks.Apply(change)
	if err != nil {
		return nil, err
	}
	if err := src.checkBlocks(n, blocks); err != nil {
		return nil, err
	}
	raw, err := n.Encode()
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "encode release note")
	}
	h := sha256.New()
	h.Write(p.chain[:])
	h.Write(raw)
	next := &Plan{version: p.version + 1, id: n.ID, source: src, blocks: blocks}
	h.Sum(next.chain[:0])
	next.compile()
	return next, nil
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (p *Plan) compile() {
	s := &p.source
	p.byRegion = make(map[string]*Region, len(s.Regions))
	for i, name := range sorted(s.Regions) {
		r := s.Regions[name]
		c := &Region{name: name, index: i, zones: r.Zones, slots: r.Slots}
		p.regions = append(p.regions, c)
		p.byRegion[name] = c
	}
	p.linkTable = make([]*Link, len(p.regions)*len(p.regions))
	for _, name := range sorted(s.Links) {
		l := s.Links[name]
		c := &Link{name: name, from: p.byRegion[l.From], to: p.byRegion[l.To], rate: l.Rate}
		p.links = append(p.links, c)
		p.linkTable[c.from.index*len(p.regions)+c.to.index] = c
	}
	p.byService = make(map[string]*Service, len(s.Services))
	for i, name := range sorted(s.Services) {
		c := compileService(s.Services[name], p.regions)
		c.index = i
		p.services = append(p.services, c)
		p.byService[name] = c
	}
	p.byUpstream = make(map[string]*Upstream, len(s.Upstreams))
	for i, name := range sorted(s.Upstreams) {
		u := s.Upstreams[name]
		svc, r := p.byService[u.Service], p.byRegion[u.Region]
		c := &Upstream{src: u, index: i, offset: s.Offsets[name], service: svc, region: r, drained: p.Drained(DrainUpstream, name)}
		p.upstreams = append(p.upstreams, c)
		p.byUpstream[name] = c
		svc.upstreams = append(svc.upstreams, c)
		svc.byRegion[r.index] = append(svc.byRegion[r.index], c)
	}
	p.accounts = make(map[string]*ClientAccount, len(s.ClientAccounts))
	for name, c := range s.ClientAccounts {
		p.accounts[name] = &ClientAccount{name: name, keepsRegion: c.Hold == holdStay}
	}
	p.sites = s.Sites
}

func compileService(src noter.Service, regions []*Region) *Service {
	class, _ := parseClass(src.Class)
	c := &Service{src: src, class: class, shares: make([]float64, len(regions)), byRegion: make([][]*Upstream, len(regions))}
	total := 0
	for _, w := range src.Shares {
		total += w
	}
	for i, r := range regions {
		c.shares[i] = float64(src.Shares[r.name]) / float64(total)
	}
	for _, r := range src.Routes {
		class, _ := parseClass(r.Class)
		c.routes = append(c.routes, route{r.Method, r.Prefix, class})
	}
	return c
}
