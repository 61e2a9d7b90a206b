package deployer

import (
	"net/netip"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/parser"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Description is a stand-in file: the platform and the upstreams of a
// deployment. The delays and the zone of the platform's store are used by a
// Deployer; the command stand-in adds no delay.
type Description struct {
	Platform  string              `json:"platform"`
	Zone      string              `json:"zone,omitempty"`
	Faults    platformer.Faults   `json:"faults,omitzero"`
	Delays    Delays              `json:"delays,omitzero"`
	Hosts     []adapter.HostEntry `json:"hosts"`
	Upstreams []Upstream          `json:"upstreams"`
}

// Delays are the one-way delays between the zones of a region, between regions,
// and between a client and its nearest zone.
type Delays struct {
	Zone   noter.Duration `json:"zone,omitempty"`
	Region noter.Duration `json:"region,omitempty"`
	Client noter.Duration `json:"client,omitempty"`
}

// Upstream is a stand-in of an upstream and where it listens.
type Upstream struct {
	Listen string `json:"listen"`
	worker.Settings
}

// Describe reads and checks a stand-in file. The error is of kind Invalid and
// names the field and the remedy.
func Describe(raw []byte) (*Description, error) {
	d := new(Description)
	if err := parser.Parse(raw, d); err != nil {
		return nil, classifier.Invalid.Wrap(err, "stand-in file")
	}
	return d, d.Check()
}

func invalid(format string, args ...any) error { return classifier.Invalid.New(format, args...) }

// Check reports the first field that is wrong, as an error of kind Invalid.
func (d *Description) Check() error {
	addresses := make(map[string]string)
	if err := checkAddress(addresses, "platform", d.Platform); err != nil {
		return err
	}
	if min(d.Delays.Zone, d.Delays.Region, d.Delays.Client) < 0 {
		return invalid("field \"delays\": a delay is negative: use durations from 0, such as \"1.5ms\"")
	}
	if min(d.Faults.Delay, d.Faults.Lag) < 0 || d.Faults.Lose < 0 {
		return invalid("field \"faults\": a value is negative: use values from 0")
	}
	if err := d.checkHosts(); err != nil {
		return err
	}
	if len(d.Upstreams) == 0 {
		return invalid("field \"upstreams\" is empty: describe at least one upstream")
	}
	names := make(map[string]bool)
	for _, u := range d.Upstreams {
		if err := u.Check(); err != nil {
			return err
		}
		if names[u.Name] {
			return invalid("upstream %q is described twice: rename or remove one", u.Name)
		}
		names[u.Name] = true
		if err := checkAddress(addresses, "upstream \""+u.Name+"\": listen", u.Listen); err != nil {
			return err
		}
	}
	return nil
}

func (d *Description) checkHosts() error {
	names, addresses := make(map[string]bool), make(map[string]string)
	for _, h := range d.Hosts {
		if h.Name == "" || h.Zone == "" {
			return invalid("host %q: field \"name\" or \"zone\" is empty: name the host and its availability zone", h.Name)
		}
		if names[h.Name] {
			return invalid("host %q is listed twice: rename or remove one", h.Name)
		}
		names[h.Name] = true
		if h.State != "live" && h.State != "leaving" {
			return invalid("host %q: field \"state\" is %q: use \"live\" or \"leaving\"", h.Name, h.State)
		}
		if err := checkAddress(addresses, "host \""+h.Name+"\": address", h.Address); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(seen map[string]string, field, address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return invalid("field %s is %q: use an IP address and a port such as \"127.0.0.1:9000\"", field, address)
	}
	if other, ok := seen[address]; ok && ap.Port() != 0 {
		return invalid("field %s: %s is also used by field %s: use different ports", field, address, other)
	}
	seen[address] = field
	return nil
}
