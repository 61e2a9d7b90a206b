// Package measurer runs experiments: open-loop load and faults against a whole
// deployment on loopback, once with the product's hosts and once with hosts
// that follow the rules of package naive, over the same stand-ins and delays.
package measurer

import (
	"os"
	"slices"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/parser"
	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// The bounds of an experiment. They keep a run from taking a shared machine for
// long.
const (
	MaxTime    = 60 * time.Second
	MaxRepeats = 5
	// MaxArrivals bounds the requests of one run, because the checker keeps
	// every request in memory.
	MaxArrivals = 60000
)

// Experiment is an experiment file.
type Experiment struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	// Hosts is the number of entry hosts; zero means deployer.DefaultHosts.
	Hosts   int     `json:"hosts,omitempty"`
	Seed    uint64  `json:"seed,omitempty"`
	Repeats int     `json:"repeats,omitempty"`
	Phases  []Phase `json:"phases"`
	Faults  []Fault `json:"faults,omitempty"`
}

// Phase is a time of constant load.
type Phase struct {
	For   noter.Duration `json:"for"`
	Loads []Load         `json:"loads"`
}

// Load is the load of one service. Arrivals are a Poisson process.
type Load struct {
	Service string `json:"service"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Size is the size of an answer in bytes; zero means the upstream's own.
	Size int64 `json:"size,omitempty"`
	// Speed is the bytes per second at which each answer is sent; zero means the
	// upstream's own.
	Speed int64 `json:"speed,omitempty"`
	// Keyed gives every request an Idempotency-Key. It needs the class once.
	Keyed bool `json:"keyed,omitempty"`
}

// The kinds of Fault.
const (
	StoreDown  = "store-down"
	StoreUp    = "store-up"
	RegionLost = "region-lost" // the region's upstreams and hosts answer nobody
	RegionBack = "region-back"
	Drain      = "drain"     // an upstream announces that it leaves
	Silence    = "silence"   // the open connections between two regions carry no byte any more
	HostLost   = "host-lost" // an entry host ends without notice
	Cold       = "cold"      // all upstreams of a service in a region start anew
	Note       = "note"      // a release note of the deployment's examples is published
)

// Fault is an event at a time after the beginning of the load.
type Fault struct {
	At   noter.Duration `json:"at"`
	Kind string         `json:"kind"`
	// Name is the region, upstream, host number (from 1), service or note.
	Name string `json:"name,omitempty"`
	// To is the other region of silence, or the region of cold.
	To string `json:"to,omitempty"`
}

// Read reads and checks an experiment file. An error is of kind Invalid.
func Read(name string) (*Experiment, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, classifier.Invalid.Wrap(err, "experiment")
	}
	return Parse(raw)
}

// Parse decodes and checks an experiment. An error is of kind Invalid and names
// the field and the remedy.
func Parse(raw []byte) (*Experiment, error) {
	e := new(Experiment)
	if err := parser.Parse(raw, e); err != nil {
		return nil, classifier.Invalid.Wrap(err, "experiment file")
	}
	if e.Repeats == 0 {
		e.Repeats = 1
	}
	if e.Hosts == 0 {
		e.Hosts = deployer.DefaultHosts
	}
	return e, e.check()
}

func invalid(format string, args ...any) error { return classifier.Invalid.New(format, args...) }

// Time returns how long the load lasts.
func (e *Experiment) Time() time.Duration {
	sum := time.Duration(0)
	for _, p := range e.Phases {
		sum += time.Duration(p.For)
	}
	return sum
}

func (e *Experiment) check() error {
	if e.Name == "" {
		return invalid("field \"name\" is empty: name the experiment")
	}
	if e.Repeats < 1 || e.Repeats > MaxRepeats {
		return invalid("field \"repeats\" is %d: use 1 to %d", e.Repeats, MaxRepeats)
	}
	d, err := deployer.New(deployer.Options{Deployment: e.Deployment, Hosts: e.Hosts})
	if err != nil {
		return classifier.Invalid.Wrap(err, "field \"deployment\" or \"hosts\"")
	}
	if err := e.checkPhases(d.Plan()); err != nil {
		return err
	}
	for _, f := range e.Faults {
		if f.At < 0 || time.Duration(f.At) > e.Time() {
			return invalid("fault %q: field \"at\" is %v: use a time within the %v of load", f.Kind, time.Duration(f.At), e.Time())
		}
		if err := e.checkFault(f, d); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) checkPhases(p *planner.Plan) error {
	if len(e.Phases) == 0 {
		return invalid("field \"phases\" is empty: describe at least one phase")
	}
	count, total := 0.0, time.Duration(0)
	for _, ph := range e.Phases {
		length := time.Duration(ph.For)
		// The sum is bounded at each step, so that it can't overflow.
		if length <= 0 || length > MaxTime || total+length > MaxTime {
			return invalid("field \"for\" is %v: use a positive duration, and at most %v for all phases", length, MaxTime)
		}
		total += length
		for _, l := range ph.Loads {
			s := p.Service(l.Service)
			if s == nil {
				return invalid("load: service %q is not in deployment %q: use one of its services", l.Service, e.Deployment)
			}
			if l.Rate <= 0 || min(l.Size, l.Speed) < 0 {
				return invalid("load of %q: rate is %v, size %d, speed %d: use a positive rate, and size and speed from 0", l.Service, l.Rate, l.Size, l.Speed)
			}
			if l.Keyed && s.Class() != planner.AtMostOnce {
				return invalid("load of %q: field \"keyed\" needs a service of class once: remove it", l.Service)
			}
			count += l.Rate * length.Seconds()
		}
	}
	if count > MaxArrivals {
		return invalid("%.0f requests in all: lower the rates to at most %d requests", count, MaxArrivals)
	}
	return nil
}

func (e *Experiment) checkFault(f Fault, d *deployer.Deployer) error {
	p, known := d.Plan(), false
	switch f.Kind {
	case StoreDown, StoreUp:
		known = f.Name == ""
	case RegionLost, RegionBack:
		known = p.Region(f.Name) != nil
	case Drain:
		known = p.Upstream(f.Name) != nil
	case Silence:
		known = p.Region(f.Name) != nil && p.Region(f.To) != nil
	case Cold:
		known = p.Service(f.Name) != nil && p.Region(f.To) != nil
	case HostLost:
		known = slices.Contains(hostNumbers(e.Hosts), f.Name)
	case Note:
		_, err := d.Note(f.Name)
		known = err == nil
	default:
		return invalid("fault kind %q is not known: use one of docs/measurements.md", f.Kind)
	}
	if !known {
		return invalid("fault %q: name %q or to %q is not in deployment %q: name something that is", f.Kind, f.Name, f.To, e.Deployment)
	}
	return nil
}
