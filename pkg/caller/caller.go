// Package caller sends requests to services through dandeliontrack. It looks up at any
// entry host which hosts serve a service, caches the result for its lifetime, and
// retries on the next host if a host can't be reached or refuses a request that did not
// run.
//
//	c := caller.New([]string{"192.0.2.1:8080", "192.0.2.2:8080"}, nil)
//	req, err := http.NewRequest("GET", "/price/42", nil)
//	resp, err := c.Do("catalog", req)
//
// Only a request that provably did not run is retried. A request that must not run twice
// should carry an Idempotency-Key, with which the application can query the outcome after
// an error.
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

	"dandeliontrack.example/dandeliontrack/internal/connection/reporter"
	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// maxAttempts bounds how often a request is sent, including the first time.
	maxAttempts = 4
	// lookupTimeout bounds one lookup at one host.
	lookupTimeout = 2 * time.Second
	// maxRetryAfter bounds the delay requested by a Retry-After header.
	maxRetryAfter = 5 * time.Second
	// staleRouteTTL is how long an expired lookup result remains usable while no host
	// responds to lookups.
	staleRouteTTL = 5 * time.Minute
)

// Caller sends requests to services. It is safe for concurrent use.
type Caller struct {
	seeds  []string
	client *http.Client

	mu     sync.Mutex
	routes map[string]route
}

// route is a cached lookup result.
type route struct {
	hosts       []string
	version     int64
	freshUntil  time.Time // end of use without a new lookup
	usableUntil time.Time // end of use while lookups fail
}

// New returns a Caller that looks up hosts at the seeds, which are the addresses
// (host:port) of caller listeners of entry hosts. A nil transport means a new
// http.Transport, and another http.Transport is copied.
func New(seeds []string, transport http.RoundTripper) *Caller {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	}
	if t, ok := transport.(*http.Transport); ok {
		transport = reporter.New(t)
	}
	return &Caller{seeds: seeds, client: &http.Client{Transport: validator.New(transport)}, routes: make(map[string]route)}
}

// Hosts returns the addresses of the hosts that serve a service, in the order of
// preference. An error has the kind that the last host queried reported, or Unreachable.
func (c *Caller) Hosts(ctx context.Context, service string) ([]string, error) {
	now := time.Now()
	c.mu.Lock()
	r := c.routes[service]
	c.mu.Unlock()
	if now.Before(r.freshUntil) {
		return r.hosts, nil
	}
	updated, err := c.lookup(ctx, service, r)
	if err != nil {
		if now.Before(r.usableUntil) {
			return r.hosts, nil
		}
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes[service] = updated
	return updated.hosts, nil
}

// lookup queries the hosts of the previous result and then the seeds, until one returns
// hosts. It ignores results with an older configuration version than the previous one.
func (c *Caller) lookup(ctx context.Context, service string, previous route) (route, error) {
	err := classifier.Unreachable.New("no entry host is known")
	for _, address := range append(append([]string(nil), previous.hosts...), c.seeds...) {
		var r route
		r, err = c.queryHost(ctx, address, service)
		if err == nil && r.version >= previous.version && len(r.hosts) > 0 {
			return r, nil
		}
		if classifier.Of(err) == classifier.NotFound && err != nil {
			return r, err
		}
	}
	if err == nil {
		err = classifier.Unreachable.New("no entry host returned a current list of hosts")
	}
	return route{}, err
}

// queryHost performs one lookup at one host.
func (c *Caller) queryHost(ctx context.Context, address, service string) (route, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	client, err := api.NewClient("http://"+address, api.WithClient(c.client))
	if err != nil {
		return route{}, classifier.BadRequest.Wrap(err, address)
	}
	result, err := client.Lookup(ctx, api.LookupParams{Service: service})
	var refusal *api.RefusalStatusCode
	if stderrors.As(err, &refusal) {
		kind, _ := classifier.Parse(refusal.Response.Kind)
		return route{}, kind.New("%s", refusal.Response.Message)
	}
	if err != nil {
		return route{}, classifier.Unreachable.Wrap(err, address)
	}
	now := time.Now()
	r := route{version: result.Version, freshUntil: now.Add(time.Duration(result.Lifetime) * time.Second)}
	r.usableUntil = r.freshUntil.Add(staleRouteTTL)
	for _, h := range result.Hosts {
		r.hosts = append(r.hosts, h.Address)
	}
	return r, nil
}

// Do sends the request to the service. The URL of req holds only the path and the query.
// The request is retried on the next host only if it did not run, and if its body is
// empty or req.GetBody can provide it again. An error of the last attempt is of kind
// Failed; an error before the first attempt is that of Hosts. A response that isn't valid in
// HTTP/1.1 is such an error too, or one of reading its body if the trailer isn't.
// So is a body without a length whose connection failed.
//
// The response may be a refusal. The caller of Do must close its body.
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
		if attempt == maxAttempts-1 || !hasRepeatableBody(req) || !notRun(resp, err) || !waitBeforeRetry(ctx, resp, attempt) {
			break
		}
	}
	if err != nil {
		return nil, classifier.Failed.Wrap(err, service)
	}
	return resp, nil
}

// hasRepeatableBody reports whether the body of the request can be sent again.
func hasRepeatableBody(req *http.Request) bool {
	return req.Body == nil || req.Body == http.NoBody || req.GetBody != nil
}

// notRun reports whether the request provably did not run.
func notRun(resp *http.Response, err error) bool {
	var opErr *net.OpError
	if stderrors.As(err, &opErr) {
		return opErr.Op == "dial"
	}
	return err == nil && resp.StatusCode >= 500 && resp.Header.Get("Outcome") == classifier.NotRun.String()
}

// waitBeforeRetry waits as long as the Retry-After header of a refusal requests. It does
// not wait after a failed dial or the first refusal, since the next host may have
// capacity. Then it discards the refusal and returns true. If ctx would be done first, it
// returns false and leaves the refusal to be returned.
func waitBeforeRetry(ctx context.Context, resp *http.Response, attempt int) bool {
	if resp == nil {
		return ctx.Err() == nil
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || attempt == 0 {
		seconds = 0
	}
	wait := min(time.Duration(seconds)*time.Second, maxRetryAfter)
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
	// Refusals are small. Reading the body to its end lets the connection be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
	return true
}
