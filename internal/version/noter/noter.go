// Package noter reads release notes: JSON documents that list what an operator
// adds, changes and withdraws on top of a stated base version.
package noter

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/parser"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// MaxBytes is the largest accepted release note in bytes.
const MaxBytes = 4 << 20

// Note is one release note.
type Note struct {
	ID        string `json:"id"`
	Base      uint64 `json:"base"`
	Added     Items  `json:"added"`
	Changed   Items  `json:"changed"`
	Withdrawn Names  `json:"withdrawn"`
}

// Items lists complete definitions, grouped by what they define.
type Items struct {
	Regions        []Region        `json:"regions,omitempty"`
	Links          []Link          `json:"links,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Upstreams      []Upstream      `json:"upstreams,omitempty"`
	ClientAccounts []ClientAccount `json:"customers,omitempty"`
	Sites          []Site          `json:"sites,omitempty"`
	Blocks         []Block         `json:"blocks,omitempty"`
	Drains         []Drain         `json:"drains,omitempty"`
}

// Names lists what is withdrawn. A link is named "from/to", a block by its
// prefix, a drain "kind/name".
type Names struct {
	Regions        []string `json:"regions,omitempty"`
	Links          []string `json:"links,omitempty"`
	Services       []string `json:"services,omitempty"`
	Upstreams      []string `json:"upstreams,omitempty"`
	ClientAccounts []string `json:"customers,omitempty"`
	Sites          []string `json:"sites,omitempty"`
	Blocks         []string `json:"blocks,omitempty"`
	Drains         []string `json:"drains,omitempty"`
}

// Region is a place with availability zones. Slots bounds the requests in
// flight in the whole region.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"zones"`
	Slots int      `json:"slots"`
}

// Link is one direction between two regions. Rate is in bytes per second, for
// all traffic.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	Rate int64  `json:"rate"`
}

// Name returns the name by which a link is withdrawn.
func (l Link) Name() string { return l.From + "/" + l.To }

// Service is what callers address. Shares maps a region to its weight.
type Service struct {
	Name    string         `json:"name"`
	Class   string         `json:"class"`
	Shares  map[string]int `json:"shares"`
	Cap     Cap            `json:"cap"`
	Retry   float64        `json:"retry"`
	Hedge   bool           `json:"hedge,omitempty"`
	Timeout Duration       `json:"timeout"`
	Minimum int64          `json:"minimum,omitempty"`
	Echo    bool           `json:"echo,omitempty"`
	Routes  []Route        `json:"routes,omitempty"`
}

// Cap bounds a shift: at most Fraction of the service's traffic may change its
// region in any span of length Every.
type Cap struct {
	Fraction float64  `json:"fraction"`
	Every    Duration `json:"every"`
}

// Route gives requests with this method, and a path that starts with Prefix, a
// class of their own.
type Route struct {
	Method string `json:"method"`
	Prefix string `json:"prefix"`
	Class  string `json:"class"`
}

// Upstream is one worker process of a service. Connections bounds what all
// hosts together may hold open to it.
type Upstream struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// ClientAccount is an organisation whose traffic is told apart. Hold says what
// happens to a request that the cap of a shift holds back: "refuse" or "stay".
type ClientAccount struct {
	Name string `json:"name"`
	Hold string `json:"hold"`
}

// Site is where a block of clients is served; it lies in a zone.
type Site struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Block assigns the clients in a prefix to a site.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// Drain takes a host, an upstream or a region out of new work for as long as it
// is defined. Kind is "host", "upstream" or "region". Gone states that the
// machine of a host does not exist any more, which frees its shares.
type Drain struct {
	Kind string `json:"kind"`
	Item string `json:"item"`
	Gone bool   `json:"gone,omitempty"`
}

// Name returns the name by which a drain is withdrawn.
func (d Drain) Name() string { return d.Kind + "/" + d.Item }

// Duration is a time.Duration that is written as text, such as "1500ms".
type Duration time.Duration

// MarshalText writes the form that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1500ms\" or \"60s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Read reads one note. Unknown fields, trailing data and notes above MaxBytes
// are errors of kind Invalid. Read checks the form only; planner checks the
// content.
func Read(r io.Reader) (*Note, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, classifier.BadRequest.Wrap(err, "read release note")
	}
	if len(raw) > MaxBytes {
		return nil, classifier.TooLarge.New("release note is larger than %d bytes: split it", MaxBytes)
	}
	n := new(Note)
	if err := parser.Parse(raw, n); err != nil {
		return nil, classifier.Invalid.Wrap(err, "release note")
	}
	if n.ID == "" {
		return nil, classifier.Invalid.New("release note: field \"id\" is empty: give the note a unique name")
	}
	return n, nil
}

// Encode returns the canonical form of the note, from which its digest is made.
func (n *Note) Encode() ([]byte, error) { return json.Marshal(n) }

// Decode reads an accepted note. Unlike Read it passes over unknown fields, which
// a newer host may have written; the chain then doesn't match and the note is
// refused with that reason.
func Decode(raw []byte) (*Note, error) {
	n := new(Note)
	if err := json.Unmarshal(raw, n); err != nil {
		return nil, classifier.Invalid.Wrap(err, "accepted release note")
	}
	return n, nil
}
