package planner

import (
	"net/netip"
	"slices"
	"strings"

	"dandeliontrack.example/dandeliontrack/internal/version/locator"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	holdRefuse = "refuse"
	holdStay   = "stay"
)

// maxSlots bounds slots, connections and region weights, so that sums over all
// upstreams stay exact.
const maxSlots = 1 << 20

func invalid(format string, args ...any) error { return classifier.Invalid.New(format, args...) }

func checkName(item, name string) error {
	if name == "" {
		return invalid("%s: field \"name\" is empty: give it a name", item)
	}
	if strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
	}) {
		return invalid("%s %q: field \"name\" may hold a-z, 0-9, '-' and '.' only", item, name)
	}
	return nil
}

// check returns an error for the first item that has an invalid field or refers
// to an item that is not defined.
func (s *source) check() error {
	for _, f := range []func() error{s.checkRegions, s.checkLinks, s.checkServices, s.checkUpstreams, s.checkCoverage, s.checkClientAccounts, s.checkSites, s.checkDrains} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (s *source) checkRegions() error {
	zones := make(map[string]string)
	for _, name := range sorted(s.Regions) {
		r := s.Regions[name]
		if err := checkName("region", name); err != nil {
			return err
		}
		if len(r.Zones) == 0 {
			return invalid("region %q: field \"zones\" is empty: name at least one availability zone", name)
		}
		if r.Slots < 1 || r.Slots > maxSlots {
			return invalid("region %q: field \"slots\" is %d: use 1 to %d", name, r.Slots, maxSlots)
		}
		for _, z := range r.Zones {
			if err := checkName("availability zone", z); err != nil {
				return err
			}
			if other, ok := zones[z]; ok {
				return invalid("region %q: field \"zones\": availability zone %q is also in region %q: rename one", name, z, other)
			}
			zones[z] = name
		}
	}
	return nil
}

func (s *source) checkLinks() error {
	for _, name := range sorted(s.Links) {
		l := s.Links[name]
		for field, region := range map[string]string{"from": l.From, "to": l.To} {
			if _, ok := s.Regions[region]; !ok {
				return invalid("link %q: field %q: region %q is not defined: add it or correct the name", name, field, region)
			}
		}
		if l.From == l.To {
			return invalid("link %q: fields \"from\" and \"to\" are equal: a link joins two regions", name)
		}
		if l.Rate < 1 {
			return invalid("link %q: field \"rate\" is %d: give bytes per second above 0", name, l.Rate)
		}
	}
	return nil
}

func (s *source) checkServices() error {
	for _, name := range sorted(s.Services) {
		if err := s.checkService(s.Services[name]); err != nil {
			return err
		}
	}
	return nil
}

func (s *source) checkService(v noter.Service) error {
	if err := checkName("service", v.Name); err != nil {
		return err
	}
	if _, ok := parseClass(v.Class); !ok {
		return invalid("service %q: field \"class\" is %q: use one of %s", v.Name, v.Class, strings.Join(classNames[:], ", "))
	}
	total := 0
	for _, region := range sorted(v.Shares) {
		w := v.Shares[region]
		if _, ok := s.Regions[region]; !ok {
			return invalid("service %q: field \"shares\": region %q is not defined: add it or correct the name", v.Name, region)
		}
		if w < 0 || w > maxSlots {
			return invalid("service %q: field \"shares\": the weight of region %q is %d: use 0 to %d", v.Name, region, w, maxSlots)
		}
		total += w
	}
	if total == 0 {
		return invalid("service %q: field \"shares\" leaves the service without a region: give one a weight above 0", v.Name)
	}
	return checkPolicy(v)
}

// checkPolicy checks the fields of a service that do not refer to other items.
func checkPolicy(v noter.Service) error {
	// The comparisons are written so that NaN fails them.
	if !(v.Cap.Fraction > 0 && v.Cap.Fraction <= 1) {
		return invalid("service %q: field \"cap.fraction\" is %v: use a number above 0 and up to 1", v.Name, v.Cap.Fraction)
	}
	if v.Cap.Every <= 0 {
		return invalid("service %q: field \"cap.every\" is not above 0: use a duration such as \"60s\"", v.Name)
	}
	if !(v.Retry >= 0 && v.Retry <= 1) {
		return invalid("service %q: field \"retry\" is %v: use a fraction from 0 to 1", v.Name, v.Retry)
	}
	if v.Timeout <= 0 {
		return invalid("service %q: field \"timeout\" is not above 0: use a duration such as \"2s\"", v.Name)
	}
	if v.Minimum < 0 {
		return invalid("service %q: field \"minimum\" is %d: give bytes per second from 0", v.Name, v.Minimum)
	}
	for i, r := range v.Routes {
		if _, ok := parseClass(r.Class); !ok {
			return invalid("service %q: field \"routes[%d].class\" is %q: use one of %s", v.Name, i, r.Class, strings.Join(classNames[:], ", "))
		}
		if r.Method == "" || !strings.HasPrefix(r.Prefix, "/") {
			return invalid("service %q: field \"routes[%d]\": give a method and a prefix that starts with \"/\"", v.Name, i)
		}
	}
	return nil
}

func (s *source) checkUpstreams() error {
	addresses := make(map[string]string, len(s.Upstreams))
	for _, name := range sorted(s.Upstreams) {
		u := s.Upstreams[name]
		if err := checkName("upstream", name); err != nil {
			return err
		}
		if _, ok := s.Services[u.Service]; !ok {
			return invalid("upstream %q: field \"service\": service %q is not defined: add it or withdraw the upstream", name, u.Service)
		}
		r, ok := s.Regions[u.Region]
		if !ok {
			return invalid("upstream %q: field \"region\": region %q is not defined: add it or withdraw the upstream", name, u.Region)
		}
		if !slices.Contains(r.Zones, u.Zone) {
			return invalid("upstream %q: field \"zone\": availability zone %q is not in region %q", name, u.Zone, u.Region)
		}
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			return invalid("upstream %q: field \"address\" is %q: use an IP address and a port such as \"192.0.2.7:8080\"", name, u.Address)
		}
		if other, ok := addresses[u.Address]; ok {
			return invalid("upstream %q: field \"address\": %s is also the address of upstream %q: correct one", name, u.Address, other)
		}
		addresses[u.Address] = name
		if u.Slots < 1 || u.Slots > maxSlots {
			return invalid("upstream %q: field \"slots\" is %d: use 1 to %d", name, u.Slots, maxSlots)
		}
		if u.Connections < u.Slots || u.Connections > maxSlots {
			return invalid("upstream %q: field \"connections\" is %d: use %d (its slots) to %d", name, u.Connections, u.Slots, maxSlots)
		}
	}
	return nil
}

// checkCoverage rejects a nonzero share for a region in which the service has no
// upstream, and a pair of regions without a link in each direction.
func (s *source) checkCoverage() error {
	places := make(map[[2]string]bool)
	for _, u := range s.Upstreams {
		places[[2]string{u.Service, u.Region}] = true
	}
	for _, name := range sorted(s.Services) {
		for _, region := range sorted(s.Services[name].Shares) {
			if s.Services[name].Shares[region] > 0 && !places[[2]string{name, region}] {
				return invalid("service %q: field \"shares\": region %q has a weight but no upstream of the service: add upstreams there or set the weight to 0", name, region)
			}
		}
	}
	for _, from := range sorted(s.Regions) {
		for _, to := range sorted(s.Regions) {
			if _, ok := s.Links[from+"/"+to]; from != to && !ok {
				return invalid("link %q is not defined: every pair of regions needs a rate in each direction", from+"/"+to)
			}
		}
	}
	return nil
}

func (s *source) checkClientAccounts() error {
	for _, name := range sorted(s.ClientAccounts) {
		if err := checkName("customer", name); err != nil {
			return err
		}
		if h := s.ClientAccounts[name].Hold; h != holdRefuse && h != holdStay {
			return invalid("customer %q: field \"hold\" is %q: use %q or %q", name, h, holdRefuse, holdStay)
		}
	}
	return nil
}

func (s *source) checkSites() error {
	zones := make(map[string]bool)
	for _, r := range s.Regions {
		for _, z := range r.Zones {
			zones[z] = true
		}
	}
	for _, name := range sorted(s.Sites) {
		if err := checkName("site", name); err != nil {
			return err
		}
		if z := s.Sites[name].Zone; !zones[z] {
			return invalid("site %q: field \"zone\": availability zone %q is not defined: add it or correct the name", name, z)
		}
	}
	return nil
}

// checkBlocks rejects client blocks, from the note or from earlier versions, that
// refer to a site that is not defined.
func (s *source) checkBlocks(n *noter.Note, l *locator.Locator) error {
	for _, list := range [][]noter.Block{n.Added.Blocks, n.Changed.Blocks} {
		for _, b := range list {
			if _, ok := s.Sites[b.Site]; !ok {
				return invalid("block %v: field \"site\": site %q is not defined: add it or correct the name", b.Prefix, b.Site)
			}
		}
	}
	if len(n.Withdrawn.Sites) == 0 {
		return nil
	}
	for prefix, site := range l.All() {
		if _, ok := s.Sites[site]; !ok {
			return invalid("site %q: withdrawn, but block %v refers to it: withdraw or change the block too", site, prefix)
		}
	}
	return nil
}

// checkDrains checks the kind and the item of each drain. The configuration does
// not list hosts, so the item of a host drain can be any name.
func (s *source) checkDrains() error {
	for _, name := range sorted(s.Drains) {
		d := s.Drains[name]
		known := d.Kind == DrainHost
		switch d.Kind {
		case DrainUpstream:
			_, known = s.Upstreams[d.Item]
		case DrainRegion:
			_, known = s.Regions[d.Item]
		case DrainHost:
		default:
			return invalid("drain %q: field \"kind\" is %q: use %q, %q or %q", name, d.Kind, DrainHost, DrainUpstream, DrainRegion)
		}
		if !known || d.Item == "" {
			return invalid("drain %q: field \"item\": %s %q is not defined: correct the name or withdraw the drain", name, d.Kind, d.Item)
		}
		if d.Gone && d.Kind != DrainHost {
			return invalid("drain %q: field \"gone\" is for hosts only: remove it", name)
		}
	}
	return nil
}
