// Package caller sends requests through dandeliontrack. It asks any entry host
// which hosts to use for a service, caches the answer for its lifetime, and
// goes to the next host when one can't be reached or refuses a request that
// did not run.
//
//	c := caller.New([]string{"192.0.2.1:8080", "192.0.2.2:8080"}, nil)
//	req, err := http.NewRequest("GET", "/price/42", nil)
//	resp, err := c.Do("catalog", req)
//
// Only a request that provably did not run is sent again. A request that must
// not be repeated should carry an Idempotency-Key, with which the application
// can ask for the outcome again after an error.
package caller

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	maxAttempts   = 4
	lookupTimeout = 2 * time.Second
	// maxWait bounds the wait that a Retry-After header asks for.
	maxWait = 5 * time.Second
	// grace is how long an expired answer is still used when no host answers a
	// look-up.
	grace = 5 * time.Minute
)

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	seeds  []string
	client *http.Client

	mu     sync.Mutex
	routes map[string]route
}

// route is a cached look-up.
type route struct {
	hosts   []string
	version int64
	fresh   time.Time // until when it is used without asking again
	usable  time.Time // until when it is used if nobody answers
}

// New returns a Caller that asks the seeds, which are caller addresses of
// entry hosts. A nil transport means a new http.Transport.
func New(seeds []string, transport http.RoundTripper) *Caller {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	}
	return &Caller{seeds: seeds, client: &http.Client{Transport: transport}, routes: make(map[string]route)}
}

// Hosts returns the addresses of the hosts to use for a service, in order.
func (c *Caller) Hosts(ctx context.Context, service string) ([]string, error) {
	now := time.Now()
	c.mu.Lock()
	r := c.routes[service]
	c.mu.Unlock()
	if now.Before(r.fresh) {
		return r.hosts, nil
	}
	fresh, err := c.lookup(ctx, service, r)
	if err != nil {
		if now.Before(r.usable) {
			return r.hosts, nil
		}
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes[service] = fresh
	return fresh.hosts, nil
}

// lookup asks the hosts of the last answer and then the seeds. An answer from
// an older configuration than the last one is not taken.
func (c *Caller) lookup(ctx context.Context, service string, last route) (route, error) {
	err := classifier.Unreachable.New("no entry host is known")
	for _, address := range append(append([]string(nil), last.hosts...), c.seeds...) {
		var r route
		r, err = c.ask(ctx, address, service)
		if err == nil && r.version >= last.version && len(r.hosts) > 0 {
			return r, nil
		}
		if classifier.Of(err) == classifier.NotFound && err != nil {
			return r, err
		}
	}
	if err == nil {
		err = classifier.Unreachable.New("no entry host answers with a current list")
	}
	return route{}, err
}

func (c *Caller) ask(ctx context.Context, address, service string) (route, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	client, err := api.NewClient("http://"+address, api.WithClient(c.client))
	if err != nil {
		return route{}, classifier.BadRequest.Wrap(err, address)
	}
	l, err := client.Lookup(ctx, api.LookupParams{Service: service})
	var refusal *api.RefusalStatusCode
	if stderrors.As(err, &refusal) {
		kind, _ := classifier.Parse(refusal.Response.Kind)
		return route{}, kind.New("%s", refusal.Response.Message)
	}
	if err != nil {
		return route{}, classifier.Unreachable.Wrap(err, address)
	}
	now := time.Now()
	r := route{version: l.Version, fresh: now.Add(time.Duration(l.Lifetime) * time.Second)}
	r.usable = r.fresh.Add(grace)
	for _, h := range l.Hosts {
		r.hosts = append(r.hosts, h.Address)
	}
	return r, nil
}

// Do sends the request to the service. The URL of req holds the path and the
// query only. The request is sent again, to the next host, only if it did not
// run and if its body is empty or can be had again from req.GetBody.
//
// The caller closes the body of the response, which may be a refusal.
func (c *Caller) Do(service string, req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	hosts, err := c.Hosts(ctx, service)
	if err != nil {
		return nil, err
	}
	var resp *http.Response
	for attempt := range maxAttempts {
		out := req.Clone(ctx)
		out.URL.Scheme, out.URL.Host = "http", hosts[attempt%len(hosts)]
		out.URL.Path = "/s/" + service + req.URL.Path
		if attempt > 0 && req.GetBody != nil {
			if out.Body, err = req.GetBody(); err != nil {
				return nil, classifier.BadRequest.Wrap(err, "body")
			}
		}
		resp, err = c.client.Do(out)
		if attempt == maxAttempts-1 || !repeatable(req) || !notRun(resp, err) || !pause(ctx, resp, attempt) {
			break
		}
	}
	if err != nil {
		return nil, classifier.Failed.Wrap(err, service)
	}
	return resp, nil
}

func repeatable(req *http.Request) bool {
	return req.Body == nil || req.Body == http.NoBody || req.GetBody != nil
}

// notRun reports whether the request provably did not run.
func notRun(resp *http.Response, err error) bool {
	var op *net.OpError
	if stderrors.As(err, &op) {
		return op.Op == "dial"
	}
	return err == nil && resp.StatusCode >= 500 && resp.Header.Get("Outcome") == classifier.NotRun.String()
}

// pause waits before the next attempt: not after a failed dial or the first
// refusal, since the next host may have room, otherwise as long as Retry-After
// says. It drops the refusal, and reports false if the
// context ends before, in which case the refusal is kept.
func pause(ctx context.Context, resp *http.Response, attempt int) bool {
	if resp == nil {
		return ctx.Err() == nil
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || attempt == 0 {
		seconds = 0
	}
	wait := min(time.Duration(seconds)*time.Second, maxWait)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	// The refusal is small; reading it keeps the connection usable.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
	return true
}
