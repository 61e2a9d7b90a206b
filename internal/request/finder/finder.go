// Package finder selects the entry hosts that a client uses, in order of
// preference.
package finder

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxHosts is the largest number of hosts in a lookup response.
	MaxHosts = 6
	// maxFromZone and maxFromRegion bound how many hosts of the response are in the
	// client's own zone and region, so that a failed zone or region leaves the
	// client with others.
	maxFromZone   = 3
	maxFromRegion = 5

	// rampDuration is the time over which a new host is returned to a growing
	// fraction of the clients, beginning with rampStart.
	rampDuration      = 30 * time.Second
	rampStartFraction = 1.0 / 8
)

// Host is an entry host that accepts requests. ReadySince is when it was first seen
// ready.
type Host struct {
	Name       string
	Address    string
	Region     string
	Zone       string
	ReadySince time.Time
}

// Finder indexes the hosts by zone and region. The zero Finder has none. Find takes no
// lock.
type Finder struct {
	table atomic.Pointer[table]
}

type table struct {
	all      []Host
	byZone   map[string][]Host
	byRegion map[string][]Host
}

// Install replaces the hosts.
func (f *Finder) Install(hosts []Host) {
	t := &table{all: slices.Clone(hosts), byZone: make(map[string][]Host), byRegion: make(map[string][]Host)}
	slices.SortFunc(t.all, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range t.all {
		t.byZone[h.Zone] = append(t.byZone[h.Zone], h)
		t.byRegion[h.Region] = append(t.byRegion[h.Region], h)
	}
	f.table.Store(t)
}

// Find appends to dst the hosts for a client in the zone and region, best
// first: hosts of its zone, then of its region, then others, each group in an
// order that depends on the client, so that clients spread evenly. It appends
// at most Most hosts and allocates nothing if dst has room for them.
func (f *Finder) Find(dst []Host, client netip.Addr, zone, region string, now time.Time) []Host {
	t := f.table.Load()
	if t == nil {
		return dst
	}
	b := client.As16()
	hash := xxhash.Sum64(b[:])
	begin := len(dst)
	dst = pick(dst, begin, t.byZone[zone], hash, maxFromZone, now)
	dst = pick(dst, begin, t.byRegion[region], hash, maxFromRegion, now)
	dst = pick(dst, begin, t.all, hash, MaxHosts, now)
	if len(dst) == begin {
		// All hosts are new: a ramp would leave the client without any.
		dst = pick(dst, begin, t.all, hash, MaxHosts, now.Add(rampDuration))
	}
	return dst
}

// pick appends hosts of the group until size hosts were appended since begin.
func pick(dst []Host, begin int, group []Host, hash uint64, size int, now time.Time) []Host {
	for i := range group {
		if len(dst)-begin >= size {
			break
		}
		h := &group[(hash+uint64(i))%uint64(len(group))]
		if h.admits(hash, now) && !contains(dst[begin:], h.Name) {
			dst = append(dst, *h)
		}
	}
	return dst
}

func contains(hosts []Host, name string) bool {
	for i := range hosts {
		if hosts[i].Name == name {
			return true
		}
	}
	return false
}

// admits reports whether the host is returned to a client with this hash.
func (h *Host) admits(hash uint64, now time.Time) bool {
	age := now.Sub(h.ReadySince)
	if age >= rampDuration {
		return true
	}
	part := rampStartFraction + (1-rampStartFraction)*float64(max(age, 0))/float64(rampDuration)
	return float64(hash>>32)/(1<<32) < part
}
