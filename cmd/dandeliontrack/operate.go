package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"dandeliontrack.example/dandeliontrack/internal/connection/reporter"
	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	operatorCallTimeout = 15 * time.Second
	// rolloutPollInterval is the time between two queries of which hosts have a
	// version in force.
	rolloutPollInterval = 100 * time.Millisecond
)

// operatorTarget selects the host whose operator address a command calls.
type operatorTarget struct {
	To   string `long:"to" required:"true" description:"operator address of any host, as IP:PORT" value-name:"ADDR"`
	JSON bool   `long:"json" description:"print the answer as JSON"`
	tlsOptions
}

func (t operatorTarget) client() (*api.Client, error) { return t.newClient(t.To) }

// tlsOptions says whether and how a command uses TLS.
type tlsOptions struct {
	Authority string `long:"authority" description:"PEM file with the authorities of the listener's certificate; turns on TLS" value-name:"FILE"`
}

// newClient returns a client for the host at the address. Errors are of kind Invalid if
// the file of the authority is unusable, and BadRequest if the address is.
func (s tlsOptions) newClient(address string) (*api.Client, error) {
	if s.Authority == "" {
		client, err := api.NewClient("http://"+address, withTransport(http.DefaultTransport.(*http.Transport)))
		return client, classifier.BadRequest.Wrap(err, address)
	}
	raw, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, classifier.Invalid.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, classifier.Invalid.New("%s: no PEM certificate found: use the file of the authority that signed the listener's certificate", s.Authority)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	client, err := api.NewClient("https://"+address, withTransport(transport))
	return client, classifier.BadRequest.Wrap(err, address)
}

// withTransport returns an option to send calls with a copy of the transport and to refuse
// invalid or incomplete responses.
func withTransport(transport *http.Transport) api.ClientOption {
	return api.WithClient(&http.Client{Transport: validator.New(reporter.New(transport))})
}

// toClassifiedError returns the error of an API call with the kind that the host's
// response names, or with kind Unreachable if there was no such response.
func toClassifiedError(err error) error {
	var refusal *api.RefusalStatusCode
	if stderrors.As(err, &refusal) {
		kind, _ := classifier.Parse(refusal.Response.Kind)
		return kind.New("%s", refusal.Response.Message)
	}
	return classifier.Unreachable.Wrap(err, "host did not respond: check the address, or use another host")
}

type publishCommand struct {
	operatorTarget
	Wait time.Duration `long:"wait" default:"30s" description:"how long to wait until every live host has the version in force"`
	Args struct {
		Note string `positional-arg-name:"NOTE" required:"1" description:"release note, a JSON file"`
	} `positional-args:"yes"`
}

// Execute publishes the note and waits until it is in force on all live hosts, or c.Wait
// has passed.
func (c *publishCommand) Execute([]string) error {
	raw, err := os.ReadFile(c.Args.Note)
	if err != nil {
		return classifier.Invalid.Wrap(err, "publish")
	}
	if _, err := noter.Read(bytes.NewReader(raw)); err != nil {
		return classifier.Of(err).Wrap(err, c.Args.Note)
	}
	var note api.Note
	if err := json.Unmarshal(raw, &note); err != nil {
		return classifier.Invalid.Wrap(err, c.Args.Note)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+operatorCallTimeout)
	defer cancel()
	p, err := client.Publish(ctx, note)
	if err != nil {
		return c.publishError(err)
	}
	watcher := &rolloutWatcher{client: client, version: p.Version, progress: io.Discard, deadline: time.Now().Add(c.Wait)}
	if !c.JSON && term.IsTerminal(int(os.Stderr.Fd())) {
		watcher.progress = os.Stderr
	}
	pending, hosts, err := watcher.waitInForce(ctx)
	if err != nil {
		return err
	}
	return c.printResult(p, hosts, pending)
}

// publishError returns the error of a publication. If the connection was established
// and then failed, the host may have accepted the note, and the kind is Unconfirmed.
func (c *publishCommand) publishError(err error) error {
	var refusal *api.RefusalStatusCode
	var dial *net.OpError
	if stderrors.As(err, &refusal) || stderrors.As(err, &dial) && dial.Op == "dial" {
		return toClassifiedError(err)
	}
	return classifier.Unconfirmed.Wrap(err, "connection lost after the note was sent: publish the same note again")
}

func (c *publishCommand) printResult(p *api.Publication, hosts int, pending []string) error {
	if c.JSON {
		err := printJSON(map[string]any{
			"id": p.ID, "version": p.Version, "chain": p.Chain, "repeated": p.Repeated, "hosts": hosts, "missing": pending,
		})
		if err != nil {
			return err
		}
	} else {
		word := "accepted"
		if p.Repeated {
			word = "was accepted before"
		}
		fmt.Printf("%s: %s as version %d, in force on %d of %d live hosts\n", p.ID, word, p.Version, hosts-len(pending), hosts)
	}
	if len(pending) > 0 {
		return classifier.Unconfirmed.New("version %d is accepted, but not yet reported in force by %s: check their status", p.Version, strings.Join(pending, ", "))
	}
	return nil
}

// rolloutWatcher polls a host until a version is in force on all live hosts.
type rolloutWatcher struct {
	client   *api.Client
	version  int64
	progress io.Writer
	deadline time.Time
}

// waitInForce waits until all live hosts have the version in force, the deadline has
// passed or ctx is done. It returns the live hosts that lack the version and the number
// of live hosts.
func (f *rolloutWatcher) waitInForce(ctx context.Context) (pending []string, hosts int, err error) {
	for {
		s, err := f.client.Status(ctx)
		if err != nil {
			return nil, 0, toClassifiedError(err)
		}
		pending, hosts = f.pendingHosts(s)
		fmt.Fprintf(f.progress, "\rversion %d in force on %d of %d hosts", f.version, hosts-len(pending), hosts)
		if len(pending) == 0 || !time.Now().Before(f.deadline) {
			fmt.Fprintln(f.progress)
			return pending, hosts, nil
		}
		select {
		case <-ctx.Done():
			return pending, hosts, nil
		case <-time.After(rolloutPollInterval):
		}
	}
}

func (f *rolloutWatcher) pendingHosts(s *api.Status) (pending []string, hosts int) {
	hosts = 1
	if s.Version < f.version {
		pending = append(pending, s.Host)
	}
	for _, m := range s.Members {
		if m.State == detector.Left.String() || m.State == detector.Dead.String() {
			continue
		}
		hosts++
		if m.Version < f.version {
			pending = append(pending, m.Name)
		}
	}
	return pending, hosts
}

type statusCommand struct {
	operatorTarget
	All bool `long:"all" description:"show every limit and upstream, not only those that need attention"`
}

// Execute prints the state of a host and its view of the other hosts.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return toClassifiedError(err)
	}
	if c.JSON {
		return printJSON(s)
	}
	return c.printStatus(os.Stdout, s)
}

// limitDisplayThreshold is the used fraction of a limit above which status prints the
// limit without --all.
const limitDisplayThreshold = 0.75

func (c *statusCommand) printStatus(out io.Writer, s *api.Status) error {
	fmt.Fprintf(out, "host %s in %s: %s, version %d, store %s, %d requests in flight\n",
		s.Host, s.Zone.Or("?"), s.State, s.Version, s.Store.Or("?"), s.Requests)
	for _, w := range s.Waiting {
		fmt.Fprintf(out, "waiting for %s\n", w)
	}
	for _, d := range s.Drained {
		fmt.Fprintf(out, "drained: %s\n", d)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nhost\tstate\tversion\tzone\treason")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", m.Name, m.State, m.Version, m.Zone.Or(""), m.Reason.Or(""))
	}
	fmt.Fprintln(w, "\nlimit\ttotal\theld\tused\tlent\tborrowed")
	omitted := 0
	for _, l := range s.Limits {
		if !c.All && l.Used <= limitDisplayThreshold*l.Held && l.Borrowed.Or(0) == 0 && l.Lent.Or(0) == 0 {
			omitted++
		} else {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", l.Name, l.Total, l.Held, l.Used, l.Lent.Or(0), l.Borrowed.Or(0))
		}
	}
	if omitted > 0 {
		fmt.Fprintf(w, "%d limits below three quarters in use\n", omitted)
	}
	fmt.Fprintln(w, "\nservice\tregion\tweight now\ttarget")
	for _, shift := range s.Shifts {
		for _, weight := range shift.Weights {
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\n", shift.Service, weight.Region, weight.Effective, weight.Target)
		}
	}
	fmt.Fprintln(w, "\nupstream\tstate\tin flight\treason")
	omitted = 0
	for _, u := range s.Upstreams {
		if !c.All && u.State == "ready" {
			omitted++
		} else {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", u.Name, u.State, u.Flight, u.Reason.Or(""))
		}
	}
	if omitted > 0 {
		fmt.Fprintf(w, "%d upstreams ready\n", omitted)
	}
	return w.Flush()
}

type explainCommand struct {
	operatorTarget
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"1" description:"from the answer's Request-Id header"`
	} `positional-args:"yes"`
}

// Execute prints the routing decisions and attempts of a recent request.
func (c *explainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	e, err := client.Explain(ctx, api.ExplainParams{ID: c.Args.Request})
	if err != nil {
		return toClassifiedError(err)
	}
	if c.JSON {
		return printJSON(e)
	}
	fmt.Printf("request %s: service %s, class %s, version %d, host %s\n", e.Request, e.Service, e.Class, e.Version, e.Host.Or("?"))
	outcome := e.Outcome
	if kind := e.Kind.Or(""); kind != "" {
		outcome += " (" + kind + ")"
	}
	fmt.Printf("status %d, outcome %s, after %s\n", e.Status.Or(0), outcome, e.Elapsed.Or("?"))
	if tightest := e.Tightest.Or(""); tightest != "" {
		fmt.Printf("tightest limit: %s\n", tightest)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nat\tstep\tregion\tupstream\treason")
	for _, s := range e.Steps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.At, s.What, s.Region.Or(""), s.Upstream.Or(""), s.Reason.Or(""))
	}
	return w.Flush()
}

type drainCommand struct {
	operatorTarget
	Kind string `long:"kind" choice:"host" choice:"upstream" choice:"region" description:"what the name is of, if it is not clear from the name"`
	Undo bool   `long:"undo" description:"take it back into new work"`
	Gone bool   `long:"gone" description:"state that the machine of a host does not exist any more, which frees its shares"`
	Args struct {
		Name string `positional-arg-name:"HOST|UPSTREAM|REGION" required:"1"`
	} `positional-args:"yes"`
}

// resolveKind returns the kind of the named thing: host, upstream or region. Errors are
// of kind NotFound if there is none of the name, and BadRequest if there are several.
func (c *drainCommand) resolveKind(ctx context.Context, client *api.Client) (string, error) {
	if c.Kind != "" {
		return c.Kind, nil
	}
	s, err := client.Status(ctx)
	if err != nil {
		return "", toClassifiedError(err)
	}
	matches := make(map[string]bool)
	matches["host"] = s.Host == c.Args.Name
	for _, m := range s.Members {
		matches["host"] = matches["host"] || m.Name == c.Args.Name
	}
	for _, u := range s.Upstreams {
		matches["upstream"] = matches["upstream"] || u.Name == c.Args.Name
	}
	for _, shift := range s.Shifts {
		for _, w := range shift.Weights {
			matches["region"] = matches["region"] || w.Region == c.Args.Name
		}
	}
	found := ""
	for _, kind := range []string{"host", "upstream", "region"} {
		if !matches[kind] {
			continue
		}
		if found != "" {
			return "", classifier.BadRequest.New("%q is a %s and a %s: select one with --kind", c.Args.Name, found, kind)
		}
		found = kind
	}
	if found == "" {
		return "", classifier.NotFound.New("no host, upstream or region is named %q: correct the name, or use --kind for a host that is gone", c.Args.Name)
	}
	return found, nil
}

// Execute drains a host, an upstream or a region on every host, or ends the drain.
func (c *drainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	kind, err := c.resolveKind(ctx, client)
	if err != nil {
		return err
	}
	d, err := client.Drain(ctx, &api.Drain{
		Kind: api.DrainKind(kind), Name: c.Args.Name, Undo: api.NewOptBool(c.Undo), Gone: api.NewOptBool(c.Gone),
	})
	if err != nil {
		return toClassifiedError(err)
	}
	if c.JSON {
		return printJSON(d)
	}
	if c.Undo {
		fmt.Printf("%s %s takes new work again\n", d.Kind, d.Name)
		return nil
	}
	fmt.Printf("%s %s gets no new work\n", d.Kind, d.Name)
	for _, w := range d.Waiting {
		fmt.Printf("still running: %s\n", w)
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return classifier.Internal.Wrap(e.Encode(v), "print")
}
