// Package loader loads and validates the JSON settings of a host, so that invalid settings
// are rejected before the host opens a socket.
package loader

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/process/parser"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Settings holds the settings of one host.
type Settings struct {
	Name     string   `json:"name"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Caller   Listener `json:"caller"`
	Operator Listener `json:"operator"`
	Peer     Peer     `json:"peer"`
	Seeds    []string `json:"seeds,omitempty"`
	Platform Platform `json:"platform"`
	Log      Log      `json:"log"`
	Limits   Limits   `json:"limits"`
	Stop     Stop     `json:"stop"`
}

// Listener is an address that a host listens on. Certificate and Key are the names of PEM
// files; with both the listener uses TLS.
type Listener struct {
	Listen      string `json:"listen"`
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
}

// Peer is the listener for other hosts. Unless Plain is set, it uses mutual TLS and needs
// the files Certificate, Key and Authority.
type Peer struct {
	Listen      string `json:"listen"`
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	Authority   string `json:"authority,omitempty"`
	Plain       bool   `json:"plain,omitempty"`
}

// Platform holds the URLs of the platform's services and the timeout of calls to them.
type Platform struct {
	Table   string         `json:"table"`
	Objects string         `json:"objects"`
	Hosts   string         `json:"hosts"`
	Timeout noter.Duration `json:"timeout,omitempty"`
}

// Log configures logging. Level is the name of a zerolog level.
type Log struct {
	Level string `json:"level,omitempty"`
}

// Limits bounds what a caller may send and how much is queued. MaxQueued is the number of
// requests that wait for each service.
type Limits struct {
	MaxHeaderBytes int            `json:"headers,omitempty"`
	MaxBodyBytes   int64          `json:"body,omitempty"`
	MaxQueued      int            `json:"queue,omitempty"`
	HeaderTimeout  noter.Duration `json:"header,omitempty"`
	IdleTimeout    noter.Duration `json:"idle,omitempty"`
}

// Stop configures a graceful stop. LookupTTL is how long callers may use a cached lookup.
// Requests that still run after HardTimeout are aborted; if it is 0, the host waits for
// all of them.
type Stop struct {
	LookupTTL   noter.Duration `json:"lifetime,omitempty"`
	HardTimeout noter.Duration `json:"hard,omitempty"`
}

// Defaults of omitted settings.
const (
	defaultMaxHeaderBytes  = 32 << 10
	defaultMaxBodyBytes    = 8 << 20
	defaultMaxQueued       = 256
	defaultPlatformTimeout = 2 * time.Second
	defaultHeaderTimeout   = 5 * time.Second
	defaultIdleTimeout     = 60 * time.Second
	defaultLookupTTL       = 10 * time.Second
)

// Load reads and validates the settings in a file. Its errors are of kind Invalid; they name
// the file and the field and say how to correct it.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, classifier.Invalid.Wrap(err, "settings")
	}
	defer f.Close()
	s, err := Read(f)
	if err != nil {
		return nil, classifier.Invalid.Wrap(err, path)
	}
	return s, nil
}

// Read reads settings, sets the defaults of omitted ones and validates the result. Its
// errors are of kind Invalid.
func Read(r io.Reader) (*Settings, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, classifier.Invalid.Wrap(err, "read settings")
	}
	s := new(Settings)
	if err := parser.Parse(raw, s); err != nil {
		return nil, classifier.Invalid.Wrap(err, "settings")
	}
	s.setDefaults()
	return s, s.Check()
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.Log.Level, zerolog.InfoLevel.String())
	setDefault(&s.Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.Limits.MaxQueued, defaultMaxQueued)
	setDefault(&s.Limits.HeaderTimeout, noter.Duration(defaultHeaderTimeout))
	setDefault(&s.Limits.IdleTimeout, noter.Duration(defaultIdleTimeout))
	setDefault(&s.Platform.Timeout, noter.Duration(defaultPlatformTimeout))
	setDefault(&s.Stop.LookupTTL, noter.Duration(defaultLookupTTL))
}

// Check returns an error of kind Invalid for the first invalid setting.
func (s *Settings) Check() error {
	for _, f := range []struct{ field, value string }{{"name", s.Name}, {"region", s.Region}, {"zone", s.Zone}} {
		if f.value == "" {
			return invalid("field %q is empty: name the host, its region and its availability zone", f.field)
		}
	}
	for _, f := range []func() error{s.checkAddresses, s.checkTLS, s.checkPlatform, s.checkLimits} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []struct{ field, value string }{
		{"caller.listen", s.Caller.Listen},
		{"operator.listen", s.Operator.Listen},
		{"peer.listen", s.Peer.Listen},
	}
	for i, seed := range s.Seeds {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("seeds[%d]", i), seed})
	}
	seen := make(map[string]string)
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a.value)
		if err != nil {
			return invalid("field %q is %q: use an IP address and a port such as \"192.0.2.7:8080\"", a.field, a.value)
		}
		if other, ok := seen[a.value]; ok && ap.Port() != 0 {
			return invalid("field %q: %s is also used by field %q: use different ports", a.field, a.value, other)
		}
		seen[a.value] = a.field
	}
	return nil
}

func (s *Settings) checkTLS() error {
	for field, l := range map[string]Listener{"caller": s.Caller, "operator": s.Operator} {
		if (l.Certificate == "") != (l.Key == "") {
			return invalid("field %q: \"certificate\" and \"key\" go together: give both or neither", field)
		}
	}
	p := s.Peer
	if !p.Plain && (p.Certificate == "" || p.Key == "" || p.Authority == "") {
		return invalid("field \"peer\": give \"certificate\", \"key\" and \"authority\", or set \"plain\" to true in a network that only hosts can access")
	}
	if p.Plain && (p.Certificate != "" || p.Key != "" || p.Authority != "") {
		return invalid("field \"peer\": \"plain\" is true, but TLS files are given: remove one of the two")
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	for field, url := range map[string]string{"platform.table": s.Platform.Table, "platform.objects": s.Platform.Objects, "platform.hosts": s.Platform.Hosts} {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return invalid("field %q is %q: use a URL such as \"http://192.0.2.9:9000\"", field, url)
		}
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		return invalid("field \"log.level\" is %q: use trace, debug, info, warn, error or disabled", s.Log.Level)
	}
	return nil
}

func (s *Settings) checkLimits() error {
	for field, value := range map[string]int64{
		"limits.headers": int64(s.Limits.MaxHeaderBytes), "limits.body": s.Limits.MaxBodyBytes,
		"limits.queue": int64(s.Limits.MaxQueued), "limits.header": int64(s.Limits.HeaderTimeout),
		"limits.idle": int64(s.Limits.IdleTimeout), "platform.timeout": int64(s.Platform.Timeout),
		"stop.lifetime": int64(s.Stop.LookupTTL),
	} {
		if value < 1 {
			return invalid("field %q is below 1: leave it out for the default or give a value above 0", field)
		}
	}
	if s.Stop.HardTimeout < 0 {
		return invalid("field \"stop.hard\" is negative: leave it out to wait for all requests")
	}
	return nil
}

func invalid(format string, args ...any) error { return classifier.Invalid.New(format, args...) }
