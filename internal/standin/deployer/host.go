package deployer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"path"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/examples"
	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/runner"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// poll is how often a state is looked at that is waited for.
const poll = 20 * time.Millisecond

// Host is one entry host of a deployment.
type Host struct {
	deployer *Deployer
	settings *loader.Settings
	client   *api.Client
	mu       sync.Mutex
	runner   *runner.Runner
	killed   bool
	cancel   context.CancelFunc
	done     chan struct{}
	err      error
}

// makeHost reads the settings of a host and gives it free ports. It notes the
// new peer address under the old one.
func (d *Deployer) makeHost(name string, addresses map[string]string) (*Host, error) {
	raw, err := examples.FS.ReadFile(path.Join(d.options.Deployment, name+".json"))
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "examples")
	}
	s, err := loader.Read(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	place := delayer.Place{Region: s.Region, Zone: s.Zone}
	for _, listen := range []*string{&s.Caller.Listen, &s.Operator.Listen, &s.Peer.Listen} {
		address, err := d.free(*listen)
		if err != nil {
			return nil, err
		}
		addresses[*listen] = address
		*listen = address
		d.delayer.SetPlace(address, place)
	}
	base := "http://" + d.description.Platform
	s.Platform.Table, s.Platform.Objects, s.Platform.Hosts = base, base, base
	if d.options.Lifetime > 0 {
		s.Stop.LookupTTL = noter.Duration(d.options.Lifetime)
	}
	client, err := api.NewClient("http://"+s.Operator.Listen, api.WithClient(&http.Client{Transport: new(http.Transport), Timeout: 30 * time.Second}))
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "client")
	}
	return &Host{deployer: d, settings: s, client: client}, nil
}

// Name returns the host's name.
func (h *Host) Name() string { return h.settings.Name }

// Region returns the host's region.
func (h *Host) Region() string { return h.settings.Region }

// Zone returns the host's availability zone.
func (h *Host) Zone() string { return h.settings.Zone }

// Caller returns the address for callers.
func (h *Host) Caller() string { return h.settings.Caller.Listen }

// Operator returns the address for operators.
func (h *Host) Operator() string { return h.settings.Operator.Listen }

// Status asks the host for its status.
func (h *Host) Status(ctx context.Context) (*api.Status, error) { return h.client.Status(ctx) }

// Client returns a client of the host's operator address, without delay.
func (h *Host) Client() *api.Client { return h.client }

// Start starts a host that was stopped, and returns once it is ready.
func (h *Host) Start(ctx context.Context) error {
	if err := h.start(ctx); err != nil {
		return err
	}
	h.deployer.SetHostState(h.Name(), "live")
	return nil
}

func (h *Host) start(ctx context.Context) error {
	d := h.deployer
	level := zerolog.InfoLevel
	r, err := runner.New(h.settings, logger.New(&lines{deployer: d, host: h}, level, h.Name()),
		runner.WithDial(d.delayer.Dialer(delayer.Place{Region: h.Region(), Zone: h.Zone()})),
		runner.WithListen(d.listen))
	if err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.mu.Lock()
	h.runner, h.killed, h.cancel, h.done, h.err = r, false, cancel, done, nil
	h.mu.Unlock()
	go func() {
		defer close(done)
		err := r.Run(run)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.err = err
	}()
	// The first version can be published only once a host answers, so an
	// answer is enough here; WaitVersion waits for the rest.
	for {
		if _, err := h.Status(ctx); err == nil {
			break
		}
		select {
		case <-done:
			return classifier.Internal.Wrap(h.failure(), "host "+h.Name())
		case <-ctx.Done():
			return classifier.NotReady.Wrap(ctx.Err(), "host "+h.Name())
		case <-time.After(poll):
		}
	}
	d.Check(func(c *checker.Checker) { c.Started(time.Now(), h.Name()) })
	return nil
}

func (h *Host) failure() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// Stop stops the host gracefully and returns when it has ended. At the end of ctx
// the stop is cut short, which is an error of kind Stopping.
func (h *Host) Stop(ctx context.Context) error {
	h.mu.Lock()
	cancel, done, r := h.cancel, h.done, h.runner
	h.mu.Unlock()
	if cancel == nil {
		return nil
	}
	h.deployer.SetHostState(h.Name(), "leaving")
	h.deployer.Check(func(c *checker.Checker) { c.Stopped(h.Name()) })
	cancel()
	select {
	case <-done:
		return h.failure()
	case <-ctx.Done():
		r.Abort()
		<-done
		return classifier.Stopping.Wrap(ctx.Err(), "host "+h.Name())
	}
}

// Kill ends the host at once, cutting off what is in flight, and returns when it
// has ended. The platform's list still names it.
func (h *Host) Kill(ctx context.Context) error {
	h.mu.Lock()
	r, cancel, done := h.runner, h.cancel, h.done
	h.killed = true
	h.mu.Unlock()
	if cancel == nil {
		return nil
	}
	h.deployer.Check(func(c *checker.Checker) { c.Stopped(h.Name()) })
	cancel()
	r.Abort()
	select {
	case <-done:
		// The error names what was cut off, as was wanted.
		return nil
	case <-ctx.Done():
		return classifier.Stopping.Wrap(ctx.Err(), "host "+h.Name())
	}
}

func (h *Host) planned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.killed
}

// lines receives the log lines of one host. It feeds work that a stop cut off.
type lines struct {
	deployer *Deployer
	host     *Host
}

// Write implements io.Writer. A zerolog.Logger writes one line at a time.
func (l *lines) Write(p []byte) (int, error) {
	var event struct {
		Event    logger.Event `json:"event"`
		Requests []string     `json:"requests"`
	}
	if err := json.Unmarshal(p, &event); err == nil && event.Event == logger.RequestsAborted {
		ids := event.Requests
		if len(ids) == 0 {
			ids = []string{"requests that the host doesn't name"}
		}
		l.deployer.Check(func(c *checker.Checker) { c.CutOff(time.Now(), l.host.Name(), l.host.planned(), ids...) })
	}
	if out := l.deployer.options.Log; out != nil {
		l.deployer.mu.Lock()
		defer l.deployer.mu.Unlock()
		return out.Write(p)
	}
	return len(p), nil
}
