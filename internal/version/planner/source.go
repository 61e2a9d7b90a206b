package planner

import (
	"encoding/json"
	"maps"
	"net/netip"

	"dandeliontrack.example/dandeliontrack/internal/version/locator"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// source is the configuration as written in release notes. A Plan is compiled
// from it, and snapshots store it. Offsets holds the slot offset of each
// upstream, and NextOffsets the next free one by "service/region".
type source struct {
	Regions        map[string]noter.Region        `json:"regions"`
	Links          map[string]noter.Link          `json:"links"`
	Services       map[string]noter.Service       `json:"services"`
	Upstreams      map[string]noter.Upstream      `json:"upstreams"`
	ClientAccounts map[string]noter.ClientAccount `json:"customers"`
	Sites          map[string]noter.Site          `json:"sites"`
	Drains         map[string]noter.Drain         `json:"drains"`
	Offsets        map[string]int                 `json:"offsets"`
	NextOffsets    map[string]int                 `json:"next"`
}

func cloneOrEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (s *source) clone() source {
	return source{
		Regions:        cloneOrEmpty(s.Regions),
		Links:          cloneOrEmpty(s.Links),
		Services:       cloneOrEmpty(s.Services),
		Upstreams:      cloneOrEmpty(s.Upstreams),
		ClientAccounts: cloneOrEmpty(s.ClientAccounts),
		Sites:          cloneOrEmpty(s.Sites),
		Drains:         cloneOrEmpty(s.Drains),
		Offsets:        cloneOrEmpty(s.Offsets),
		NextOffsets:    cloneOrEmpty(s.NextOffsets),
	}
}

// merge adds, changes and deletes items of m. An item that is listed twice, or
// whose presence in m does not fit the list it is in, is an error of kind Invalid.
func merge[K comparable, V any](item string, m map[K]V, key func(V) K, added, changed []V, withdrawn []K) error {
	listed := make(map[K]bool)
	checkUnique := func(k K) error {
		if listed[k] {
			return classifier.Invalid.New("%s %v: listed twice in one release note: keep one entry", item, k)
		}
		listed[k] = true
		return nil
	}
	for _, k := range withdrawn {
		if err := checkUnique(k); err != nil {
			return err
		}
		if _, ok := m[k]; !ok {
			return classifier.Invalid.New("%s %v: withdrawn but not defined: remove it from \"withdrawn\"", item, k)
		}
		delete(m, k)
	}
	for _, v := range changed {
		k := key(v)
		if err := checkUnique(k); err != nil {
			return err
		}
		if _, ok := m[k]; !ok {
			return classifier.Invalid.New("%s %v: changed but not defined: move it to \"added\"", item, k)
		}
		m[k] = v
	}
	for _, v := range added {
		k := key(v)
		if err := checkUnique(k); err != nil {
			return err
		}
		if _, ok := m[k]; ok {
			return classifier.Invalid.New("%s %v: added but already defined: move it to \"changed\"", item, k)
		}
		m[k] = v
	}
	return nil
}

func (s *source) apply(n *noter.Note) error {
	a, c, w := &n.Added, &n.Changed, &n.Withdrawn
	steps := []error{
		merge("region", s.Regions, func(r noter.Region) string { return r.Name }, a.Regions, c.Regions, w.Regions),
		merge("link", s.Links, noter.Link.Name, a.Links, c.Links, w.Links),
		merge("service", s.Services, func(v noter.Service) string { return v.Name }, a.Services, c.Services, w.Services),
		merge("upstream", s.Upstreams, func(u noter.Upstream) string { return u.Name }, a.Upstreams, c.Upstreams, w.Upstreams),
		merge("customer", s.ClientAccounts, func(v noter.ClientAccount) string { return v.Name }, a.ClientAccounts, c.ClientAccounts, w.ClientAccounts),
		merge("site", s.Sites, func(v noter.Site) string { return v.Name }, a.Sites, c.Sites, w.Sites),
		merge("drain", s.Drains, noter.Drain.Name, a.Drains, c.Drains, w.Drains),
	}
	for _, err := range steps {
		if err != nil {
			return err
		}
	}
	s.assignOffsets(n)
	return nil
}

// assignOffsets sets the offset of each new upstream to the running sum of its
// service's slots in its region. The slots are thus spread evenly over the shares
// of the limits, and every host has some slots of each service in each region.
func (s *source) assignOffsets(n *noter.Note) {
	for _, name := range n.Withdrawn.Upstreams {
		delete(s.Offsets, name)
	}
	for _, u := range n.Added.Upstreams {
		key := u.Service + "/" + u.Region
		s.Offsets[u.Name] = s.NextOffsets[key]
		s.NextOffsets[key] += u.Slots
	}
}

// blockChange converts the note's client blocks to a locator.Change.
func blockChange(n *noter.Note) (locator.Change, error) {
	var c locator.Change
	for _, b := range n.Added.Blocks {
		c.Added = append(c.Added, locator.Block(b))
	}
	for _, b := range n.Changed.Blocks {
		c.Changed = append(c.Changed, locator.Block(b))
	}
	for _, text := range n.Withdrawn.Blocks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return c, invalid("block %q: not a prefix such as \"192.0.2.0/24\"", text)
		}
		c.Withdrawn = append(c.Withdrawn, prefix)
	}
	return c, nil
}

// snapshot is the JSON form of a Plan. Blocks lists the prefixes of each site.
type snapshot struct {
	Version uint64                    `json:"version"`
	Chain   []byte                    `json:"chain"`
	ID      string                    `json:"id"`
	Source  *source                   `json:"source"`
	Blocks  map[string][]netip.Prefix `json:"blocks"`
}

// Encode returns the whole version as JSON.
func (p *Plan) Encode() ([]byte, error) {
	s := snapshot{Version: p.version, Chain: p.chain[:], ID: p.id, Source: &p.source, Blocks: make(map[string][]netip.Prefix)}
	for prefix, site := range p.blocks.All() {
		s.Blocks[site] = append(s.Blocks[site], prefix)
	}
	return json.Marshal(s)
}

// Decode returns the version encoded by Encode. Content that cannot be parsed or
// fails a check is an error of kind Invalid.
func Decode(raw []byte) (*Plan, error) {
	var snap snapshot
	if err := json.Unmarshal(raw, &snap); err != nil {
		return nil, classifier.Invalid.Wrap(err, "snapshot")
	}
	if snap.Source == nil || len(snap.Chain) != len(Chain{}) {
		return nil, invalid("snapshot: source or chain is missing")
	}
	p := &Plan{version: snap.Version, id: snap.ID, source: snap.Source.clone()}
	copy(p.chain[:], snap.Chain)
	if err := p.source.check(); err != nil {
		return nil, err
	}
	var c locator.Change
	for site, prefixes := range snap.Blocks {
		if _, ok := p.source.Sites[site]; !ok {
			return nil, invalid("snapshot: site %q of a block is not defined", site)
		}
		for _, prefix := range prefixes {
			c.Added = append(c.Added, locator.Block{Prefix: prefix, Site: site})
		}
	}
	var err error
	if p.blocks, err = p.blocks.Apply(c); err != nil {
		return nil, err
	}
	p.compile()
	return p, nil
}
