package deployer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Request is a request of a caller.
type Request struct {
	Method        string
	Service       string
	Path          string
	Key           string
	ClientAccount string
	Body          []byte
	// Timeout is sent as Request-Timeout; zero sends none.
	Timeout time.Duration
}

// Answer is what the caller got.
type Answer struct {
	ID      string
	Status  int
	Outcome string
	// Kind is the error kind of a refusal.
	Kind string
	// Upstream is the upstream that says it served the request.
	Upstream string
	Bytes    int64
	// Digest is the SHA-256 of the body in hexadecimal, Want what the answer
	// says it has to be.
	Digest  string
	Want    string
	Elapsed time.Duration
	// Err says that the answer ended in error.
	Err error
}

// Whole reports whether the answer has status 200 and a body that arrived
// complete and with the right digest.
func (a Answer) Whole() bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Want != "" && a.Digest == a.Want
}

// client returns the HTTP client of callers near a zone.
func (d *Deployer) client(zone string) *http.Client {
	p := d.place(zone)
	p.Client = true
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[zone]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{DialContext: d.delayer.Dialer(p), MaxIdleConnsPerHost: 64, DisableCompression: true}}
		d.clients[zone] = c
	}
	return c
}

// Call sends a request to a host from a caller near it, reads the answer, and
// feeds both to the checker.
func (d *Deployer) Call(ctx context.Context, h *Host, r Request) Answer {
	return d.CallAt(ctx, h.Caller(), h.Zone(), r)
}

// CallAt is Call for an address in a zone that need not be a host's.
func (d *Deployer) CallAt(ctx context.Context, address, zone string, r Request) Answer {
	a := Answer{ID: uuid.NewString()}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+"/s/"+r.Service+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.GetBody = nil
	for k, v := range map[string]string{"Request-Id": a.ID, "Idempotency-Key": r.Key, "Customer": r.ClientAccount} {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	if r.Timeout > 0 {
		req.Header.Set("Request-Timeout", r.Timeout.String())
	}
	start := time.Now()
	once := true
	if s := d.plan.Service(r.Service); s != nil {
		once = s.ClassOf(r.Method, r.Path) == planner.AtMostOnce
	}
	d.Check(func(c *checker.Checker) {
		c.Sent(checker.Sent{At: start, ID: a.ID, Service: r.Service, ClientAccount: r.ClientAccount, Key: r.Key, Once: once})
	})
	echo := d.receive(req, d.client(zone), &a)
	end := time.Now()
	a.Elapsed = end.Sub(start)
	d.Check(func(c *checker.Checker) {
		c.Answered(checker.Answered{
			At: end, ID: a.ID, Status: a.Status, Outcome: a.Outcome, Echo: echo,
			Digest: a.Digest, Want: a.Want, Broken: a.Err != nil,
		})
	})
	return a
}

// maxRefusal bounds the body that is read for the kind of a refusal.
const maxRefusal = 64 << 10

func (*Deployer) receive(req *http.Request, client *http.Client, a *Answer) (echo string) {
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return ""
	}
	defer resp.Body.Close()
	a.Status, a.Outcome, a.Upstream = resp.StatusCode, resp.Header.Get("Outcome"), resp.Header.Get("Served-By")
	if resp.StatusCode == http.StatusOK {
		a.Want = want(resp.Header.Get("Repr-Digest"))
	}
	h := sha256.New()
	if resp.StatusCode >= http.StatusBadRequest {
		var refusal struct {
			Kind string `json:"kind"`
		}
		// An answer of an upstream is not JSON and has no kind.
		_ = json.NewDecoder(io.LimitReader(resp.Body, maxRefusal)).Decode(&refusal)
		a.Kind = refusal.Kind
	}
	a.Bytes, a.Err = io.Copy(h, resp.Body)
	a.Digest = hex.EncodeToString(h.Sum(nil))
	return resp.Header.Get("Request-Id")
}

// want returns the SHA-256 that a Repr-Digest field gives, in hexadecimal.
func want(field string) string {
	_, text, _ := strings.Cut(field, "sha-256=:")
	text, _, _ = strings.Cut(text, ":")
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return ""
	}
	return hex.EncodeToString(raw)
}

// Lookup asks a host which hosts a client uses for a service.
func (d *Deployer) Lookup(ctx context.Context, h *Host, service, client string) (*api.Lookup, error) {
	c, err := api.NewClient("http://"+h.Caller(), api.WithClient(d.client(h.Zone())))
	if err != nil {
		return nil, classifier.Internal.Wrap(err, "client")
	}
	params := api.LookupParams{Service: service}
	if client != "" {
		params.Client = api.NewOptString(client)
	}
	return c.Lookup(ctx, params)
}

// Publish publishes a note through a host and feeds its acceptance.
func (d *Deployer) Publish(ctx context.Context, h *Host, n *noter.Note) (*api.Publication, error) {
	note, err := encode[api.Note](n)
	if err != nil {
		return nil, err
	}
	p, err := h.client.Publish(ctx, note)
	if err != nil {
		return nil, err
	}
	d.Check(func(c *checker.Checker) { c.Accepted(time.Now(), uint64(p.Version), p.Chain) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if next, err := d.latest().Apply(n); err == nil {
		d.plans = append(d.plans, next)
	}
	return p, nil
}

// latest returns the newest plan that was published. The caller holds the lock.
func (d *Deployer) latest() *planner.Plan {
	if len(d.plans) == 0 {
		return new(planner.Plan)
	}
	return d.plans[len(d.plans)-1]
}

// Version returns the version that was published last.
func (d *Deployer) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest().Version()
}

// WaitVersion waits until every host that runs is ready and has at least the
// version in force.
func (d *Deployer) WaitVersion(ctx context.Context, version uint64) error {
	for _, h := range d.hosts {
		for {
			s, err := h.Status(ctx)
			if err == nil && s.Version >= int64(version) && s.State == api.StatusStateReady {
				break
			}
			select {
			case <-ctx.Done():
				return classifier.NotReady.Wrap(ctx.Err(), "host "+h.Name())
			case <-time.After(poll):
			}
		}
	}
	return nil
}

// Drain announces that an upstream leaves and feeds the first sign.
func (d *Deployer) Drain(upstream string) {
	d.Check(func(c *checker.Checker) { c.Draining(time.Now(), upstream) })
	d.workers[upstream].SetDraining(true)
}

// Return ends the drain of an upstream.
func (d *Deployer) Return(upstream string) {
	d.Check(func(c *checker.Checker) { c.Returned(upstream) })
	d.workers[upstream].SetDraining(false)
}

// The periods at which the state of the hosts and the bytes on the links are
// fed.
const (
	samplePeriod = 250 * time.Millisecond
	linkWindow   = time.Second
)

// sample feeds the checker until ctx ends.
func (d *Deployer) sample(ctx context.Context) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	before, since := d.delayer.Bytes(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range d.hosts {
			d.sampleHost(ctx, h)
		}
		if now := time.Now(); now.Sub(since) >= linkWindow {
			sent := d.delayer.Bytes()
			d.feedLinks(now, now.Sub(since), before, sent)
			before, since = sent, now
		}
	}
}

func (d *Deployer) feedLinks(at time.Time, length time.Duration, before, sent map[delayer.Pair]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.latest().Links() {
		p := delayer.Pair{From: l.From().Name(), To: l.To().Name()}
		d.checker.Window(checker.Window{At: at, Length: length, From: p.From, To: p.To, Bytes: sent[p] - before[p], Rate: l.Rate()})
	}
}

func (d *Deployer) sampleHost(ctx context.Context, h *Host) {
	// The version is read before the answer leaves the host, so the time is
	// taken afterwards for the bound and the order stays that of the answers.
	s, err := h.Status(ctx)
	if err != nil {
		return
	}
	at := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checker.InForce(checker.InForce{At: at, Host: h.Name(), Version: uint64(s.Version), Chain: s.Chain})
	for _, shift := range s.Shifts {
		service := d.latest().Service(shift.Service)
		if service == nil {
			continue
		}
		shares := make(map[string]float64, len(shift.Weights))
		for _, w := range shift.Weights {
			shares[w.Region] = w.Effective
		}
		d.checker.Weights(checker.Weights{
			At: at, Host: h.Name(), Service: shift.Service, Shares: shares,
			Fraction: service.ShiftCapFraction(), Every: service.ShiftCapWindow(),
		})
	}
}
