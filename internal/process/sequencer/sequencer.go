// Package sequencer orders the versions that the platform's store gives out.
//
// The store numbers its transactions. When it comes back from an older copy, it starts a new
// era and gives out numbers again, so a number alone orders versions of one era only.
package sequencer

import "fmt"

// Version is a version of the store. Versions are ordered by era first. The zero value is
// before all versions.
type Version struct {
	era, number uint64
}

// New returns the version with a number in an era. The era is 0 if the store states none.
func New(era, number uint64) Version { return Version{era, number} }

// Era returns how often the store had come back from an older copy when it gave out the
// version.
func (v Version) Era() uint64 { return v.era }

// Number returns the number of the transaction within the era.
func (v Version) Number() uint64 { return v.number }

// IsZero reports whether v is the zero value.
func (v Version) IsZero() bool { return v == Version{} }

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool {
	if v.era != w.era {
		return v.era < w.era
	}
	return v.number < w.number
}

// String returns the era and the number, separated by a dot.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.era, v.number) }

// Later returns the later of two versions.
func Later(v, w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}
