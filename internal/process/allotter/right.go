package allotter

import (
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/lender"
)

// Right is what one ledger row gives: the shares this host may use, and the time
// before which all work on them must end.
type Right struct {
	Shares Set
	Until  time.Time
}

// Rights are the rights in force: one Right for the ledger of each region, by
// the region's name, one for the store, and the loans from other hosts. A link
// belongs to the ledger of the region where its traffic starts. Writes is how
// many writes per second the store takes from all hosts.
type Rights struct {
	Regions map[string]Right
	Store   Right
	Writes  int64
	Loans   []lender.Held
}

// StoreLimit is the name of the limit on writes to the store.
const StoreLimit = "store"

// UpstreamLimit returns the name of an upstream's limit on requests in flight.
func UpstreamLimit(upstream string) string { return "upstream/" + upstream }

// RegionLimit returns the name of a region's limit on requests in flight.
func RegionLimit(region string) string { return "region/" + region }

// LinkLimit returns the name of a link's limit in bytes per second.
func LinkLimit(link string) string { return "link/" + link }

// Figure describes one limit at this host, in units. Held is what the host may
// use now: own units, less those lent, and borrowed ones.
type Figure struct {
	Name     string
	Total    int64
	Held     int64
	Used     int64
	Lent     int64
	Borrowed int64
}

// Left returns the part of what is held that nothing uses, from 0 to 1.
func (f Figure) Left() float64 {
	if f.Held <= 0 {
		return 0
	}
	return max(float64(f.Held-f.Used), 0) / float64(f.Held)
}
