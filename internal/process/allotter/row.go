package allotter

import (
	"encoding/json"
	"slices"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxHolders bounds a ledger row, so that a damaged one can't exhaust memory.
const maxHolders = 4096

// Row is the value of one ledger row. Counter grows by one with every write, so
// that copies can be ordered.
type Row struct {
	Counter uint64   `json:"counter"`
	Holders []Holder `json:"holders"`
}

// Holder is the entry of one host. Renewal differs in every write that the host
// attempts. Seen is the counter of the row that the host's last write was based
// on. Leaving are the shares the host has stopped using and is about to give
// up, and Mark the counter of the row that showed them first.
type Holder struct {
	Address     string `json:"address"`
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Renewal     uint64 `json:"renewal"`
	Seen        uint64 `json:"seen"`
	Shares      Set    `json:"shares"`
	Leaving     Set    `json:"leaving,omitempty"`
	Mark        uint64 `json:"mark,omitempty"`
}

// Decode reads a ledger row. A row in which a share has two holders, or an
// address two entries, is an error of kind Invalid.
func Decode(raw []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(raw, &r); err != nil {
		return Row{}, classifier.Invalid.Wrap(err, "ledger")
	}
	if len(r.Holders) > maxHolders {
		return Row{}, classifier.Invalid.New("ledger: %d holders are more than %d", len(r.Holders), maxHolders)
	}
	var taken Set
	addresses := make(map[string]bool, len(r.Holders))
	for _, h := range r.Holders {
		if addresses[h.Address] || taken&h.Shares != 0 || h.Leaving&^h.Shares != 0 {
			return Row{}, classifier.Invalid.New("ledger: the entry of %q overlaps with another one", h.Address)
		}
		addresses[h.Address] = true
		taken |= h.Shares
	}
	return r, nil
}

// Encode returns the row as JSON.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Free returns the shares without a holder.
func (r Row) Free() Set {
	free := All
	for _, h := range r.Holders {
		free &^= h.Shares
	}
	return free
}

// find returns the index of the entry with this address, or -1.
func (r Row) find(address string) int {
	return slices.IndexFunc(r.Holders, func(h Holder) bool { return h.Address == address })
}

// target returns how many shares the i-th holder should have. S is divided as
// evenly as whole shares allow; the holders with most keep the larger part, so
// that as few shares as possible move.
func (r Row) target(i int) int {
	n := len(r.Holders)
	own := r.Holders[i]
	rank := 0
	for j, h := range r.Holders {
		a, b := keeps(h), keeps(own)
		if j != i && (a > b || a == b && h.Address < own.Address) {
			rank++
		}
	}
	if rank < S%n {
		return S/n + 1
	}
	return S / n
}

// keep returns the shares that the holder uses for new work.
func keep(h Holder) Set { return h.Shares &^ h.Leaving }

func keeps(h Holder) int { return keep(h).Len() }
