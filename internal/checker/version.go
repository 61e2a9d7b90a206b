package checker

import (
	"maps"
	"slices"
	"time"
)

// InForce is the version that a host reports.
type InForce struct {
	At      time.Time
	Host    string
	Version uint64
	Chain   string
}

// host is a host that runs. While it runs, its version must not fall.
type host struct {
	name    string
	version uint64
}

// duty is a version that has to be in force on a host at a time.
type duty struct {
	host    *host
	version uint64
	due     time.Time
}

// Started feeds that a host runs. The newest accepted version is due there
// within the same bound from now.
func (c *Checker) Started(at time.Time, name string) {
	h := &host{name: name}
	c.hosts[name] = h
	if c.newest > 0 {
		c.duties = append(c.duties, duty{h, c.newest, at.Add(c.bounds.Spread)})
	}
}

// Stopped feeds that a host doesn't run any more.
func (c *Checker) Stopped(name string) { delete(c.hosts, name) }

// Accepted feeds that a publication was accepted.
func (c *Checker) Accepted(at time.Time, version uint64, chain string) {
	if first, ok := c.chains[version]; ok && first != chain {
		c.breach(Effective, at, "version %d was accepted with chain %s and with chain %s", version, first, chain)
		return
	}
	c.chains[version] = chain
	c.newest = max(c.newest, version)
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		c.duties = append(c.duties, duty{c.hosts[name], version, at.Add(c.bounds.Spread)})
	}
}

// InForce feeds the version that a host reports.
func (c *Checker) InForce(v InForce) {
	c.Tick(v.At)
	h := c.hosts[v.Host]
	if h == nil {
		return
	}
	if v.Version < h.version {
		c.breach(Effective, v.At, "host %s fell from version %d to %d", v.Host, h.version, v.Version)
	}
	h.version = v.Version
	if chain, ok := c.chains[v.Version]; ok && chain != v.Chain {
		c.breach(Effective, v.At, "host %s has version %d with chain %s, accepted was %s", v.Host, v.Version, v.Chain, chain)
	}
}

// Tick feeds the time only. A version that is not in force on a host in time is
// reported once.
func (c *Checker) Tick(at time.Time) {
	c.duties = slices.DeleteFunc(c.duties, func(d duty) bool {
		if d.host.version >= d.version || c.hosts[d.host.name] != d.host {
			return true
		}
		if !at.After(d.due) {
			return false
		}
		c.breach(Effective, at, "host %s has version %d, version %d was due there %v ago", d.host.name, d.host.version, d.version, at.Sub(d.due))
		return true
	})
}
