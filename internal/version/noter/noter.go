// Package noter decodes and encodes release notes. A release note is a JSON document
// that lists the items of the configuration which an operator adds, changes and
// withdraws, relative to a base version.
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

// MaxBytes is the size of the largest release note that Read accepts, in bytes.
const MaxBytes = 4 << 20

// Note is one release note. Base is the configuration version that it applies to.
type Note struct {
	ID        string `json:"id"`
	Base      uint64 `json:"base"`
	Added     Items  `json:"added"`
	Changed   Items  `json:"changed"`
	Withdrawn Names  `json:"withdrawn"`
}

// Items lists complete definitions of configuration items, grouped by type.
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

// Names lists the names of withdrawn items, grouped by type. The name of a link is
// "from/to", that of a block its prefix, and that of a drain "kind/item".
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

// Region is a geographical region with its availability zones. Slots is the maximum
// number of requests in flight in the whole region.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"zones"`
	Slots int      `json:"slots"`
}

// Link is the network link between two regions, in one direction. Rate bounds all
// traffic over it, in bytes per second.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	Rate int64  `json:"rate"`
}

// Name returns the name of the link in Names.
func (l Link) Name() string { return l.From + "/" + l.To }

// Service is a service that callers send requests to.
//
// Class is the class of GET and HEAD requests that match none of the Routes. Shares
// maps the name of a region to its weight in the traffic of the service. Retry is
// the retry budget as a fraction of requests, from 0 to 1; Hedge allows hedged
// requests. Timeout applies to requests that state none. Minimum is the rate that
// an admitted download reserves, in bytes per second. Echo states that the
// upstreams repeat the Request-Id in their responses.
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

// Cap limits the rate of a traffic shift: at most Fraction of the service's traffic
// may move to another region in any time window of length Every.
type Cap struct {
	Fraction float64  `json:"fraction"`
	Every    Duration `json:"every"`
}

// Route sets the class of requests with the method Method and a path that starts
// with Prefix.
type Route struct {
	Method string `json:"method"`
	Prefix string `json:"prefix"`
	Class  string `json:"class"`
}

// Upstream is one server process of a service. Slots and Connections bound the
// requests in flight and the open connections to it, from all hosts together.
type Upstream struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// ClientAccount is an organisation whose traffic is accounted for separately. Hold
// says what happens to a request that the cap of a shift does not let move to
// another region: "refuse" rejects it, "stay" serves it in the previous region as
// long as that still serves requests.
type ClientAccount struct {
	Name string `json:"name"`
	Hold string `json:"hold"`
}

// Site is the location that serves a block of client addresses. It is in an
// availability zone.
type Site struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Block assigns the client addresses in a prefix to a site.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// Drain keeps new requests away from a host, an upstream or a region for as long as
// it is defined. Kind is "host", "upstream" or "region", and Item is the name. Gone
// states that the machine of a host no longer exists, so its shares of the limits
// can be freed.
type Drain struct {
	Kind string `json:"kind"`
	Item string `json:"item"`
	Gone bool   `json:"gone,omitempty"`
}

// Name returns the name of the drain in Names.
func (d Drain) Name() string { return d.Kind + "/" + d.Item }

// Duration is a time.Duration whose JSON form is text, such as "1500ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler with the format of
// time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler with the format of
// time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1500ms\" or \"60s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Read decodes a note that an operator wrote. Its errors are of kind BadRequest if
// r fails, TooLarge above MaxBytes, and Invalid for malformed JSON, unknown fields,
// trailing data or an empty ID. Read checks the syntax only; package planner checks
// the content.
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

// Encode returns the canonical encoding of the note, which its digest is computed
// from.
func (n *Note) Encode() ([]byte, error) { return json.Marshal(n) }

// Decode decodes an accepted note. Unlike Read it ignores unknown fields, which a
// newer host may have written: the hash chain of the version then doesn't match, and
// the note is rejected for that reason. Malformed JSON is an error of kind Invalid.
func Decode(raw []byte) (*Note, error) {
	n := new(Note)
	if err := json.Unmarshal(raw, n); err != nil {
		return nil, classifier.Invalid.Wrap(err, "accepted release note")
	}
	return n, nil
}
