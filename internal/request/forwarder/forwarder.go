// Package forwarder carries one request from a caller to an upstream and its
// answer back.
package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Prefix starts the path of every forwarded request; the service name follows.
const Prefix = "/s/"

// Forwarder is an http.Handler for requests below Prefix.
type Forwarder struct {
	holder    *holder.Holder
	router    *router.Router
	transport http.RoundTripper
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Forwarder that reads the plan in force from the holder and
// opens connections with dial. A nil dial means a net.Dialer.
func New(h *holder.Holder, r *router.Router, dial DialFunc) *Forwarder {
	return &Forwarder{holder: h, router: r, transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	if err := f.forward(w, r, id); err != nil {
		Refuse(w, id, err)
	}
}

func (f *Forwarder) forward(w http.ResponseWriter, r *http.Request, id string) error {
	plan := f.holder.Plan()
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, Prefix), "/")
	s := plan.Service(name)
	if s == nil {
		return classifier.Unknown.New("service %q is not defined", name)
	}
	up, err := f.router.Choose(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Timeout())
	defer cancel()
	resp, err := f.send(ctx, r, up, "/"+path, id)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	head := w.Header()
	for k, v := range resp.Header {
		head[k] = v
	}
	head.Set("Request-Id", id)
	head.Set("Outcome", classifier.Ran.String())
	head.Set("Config-Version", strconv.FormatUint(plan.Version(), 10))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		// The status line is out, so only a broken stream can tell the caller.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (f *Forwarder) send(ctx context.Context, r *http.Request, up *planner.Upstream, path, id string) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+up.Address()+path, r.Body)
	if err != nil {
		return nil, classifier.BadRequest.Wrap(err, "request")
	}
	out.URL.RawQuery = r.URL.RawQuery
	out.ContentLength = r.ContentLength
	out.Header.Set("Request-Id", id)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set("Request-Timeout", time.Until(deadline).String())
	}
	resp, err := f.transport.RoundTrip(out)
	if err != nil {
		return nil, classifier.Failed.Wrap(err, up.Name())
	}
	return resp, nil
}

type refusal struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// Refuse answers a request with the kind of the error.
func Refuse(w http.ResponseWriter, id string, err error) {
	kind := classifier.Of(err)
	head := w.Header()
	head.Set("Content-Type", "application/json")
	head.Set("Request-Id", id)
	head.Set("Outcome", kind.Outcome().String())
	if kind.Retry() {
		head.Set("Retry-After", "1")
	}
	w.WriteHeader(kind.Status())
	// An error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(refusal{kind.String(), err.Error(), kind.Outcome().String(), id})
}
