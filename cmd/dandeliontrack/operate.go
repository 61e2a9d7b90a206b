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

	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	callTimeout = 15 * time.Second
	// followPeriod is the time between two looks at which hosts have a version
	// in force.
	followPeriod = 100 * time.Millisecond
)

// target is the host that a command talks to.
type target struct {
	To   string `long:"to" required:"true" description:"operator address of any host, as IP:PORT" value-name:"ADDR"`
	JSON bool   `long:"json" description:"print the answer as JSON"`
	security
}

func (t target) client() (*api.Client, error) { return t.connect(t.To) }

// security says whether a listener is reached by TLS.
type security struct {
	Authority string `long:"authority" description:"PEM file with the authorities of the listener's certificate; turns on TLS" value-name:"FILE"`
}

// connect returns a client of the host at the address.
func (s security) connect(address string) (*api.Client, error) {
	if s.Authority == "" {
		client, err := api.NewClient("http://" + address)
		return client, classifier.BadRequest.Wrap(err, address)
	}
	raw, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, classifier.Invalid.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, classifier.Invalid.New("%s: no certificate in PEM form: name the file of the authority that signed the listener's certificate", s.Authority)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	client, err := api.NewClient("https://"+address, api.WithClient(&http.Client{Transport: transport}))
	return client, classifier.BadRequest.Wrap(err, address)
}

// remote gives an error that a host answered with the kind that it names.
func remote(err error) error {
	var refusal *api.RefusalStatusCode
	if stderrors.As(err, &refusal) {
		kind, _ := classifier.Parse(refusal.Response.Kind)
		return kind.New("%s", refusal.Response.Message)
	}
	return classifier.Unreachable.Wrap(err, "the host does not answer: check the address, or ask another host")
}

type publishCommand struct {
	target
	Wait time.Duration `long:"wait" default:"30s" description:"how long to wait until every live host has the version in force"`
	Args struct {
		Note string `positional-arg-name:"NOTE" required:"1" description:"release note, a JSON file"`
	} `positional-args:"yes"`
}

// Execute publishes the note and waits until it is in force on all live hosts.
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
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+callTimeout)
	defer cancel()
	p, err := client.Publish(ctx, note)
	if err != nil {
		return c.outcome(err)
	}
	f := &follower{client: client, version: p.Version, progress: io.Discard, deadline: time.Now().Add(c.Wait)}
	if !c.JSON && term.IsTerminal(int(os.Stderr.Fd())) {
		f.progress = os.Stderr
	}
	missing, hosts, err := f.wait(ctx)
	if err != nil {
		return err
	}
	return c.report(p, hosts, missing)
}

// outcome gives the error of a publication. Only a host that could not be reached
// at all certainly did not accept the note.
func (c *publishCommand) outcome(err error) error {
	var refusal *api.RefusalStatusCode
	var dial *net.OpError
	if stderrors.As(err, &refusal) || stderrors.As(err, &dial) && dial.Op == "dial" {
		return remote(err)
	}
	return classifier.Unconfirmed.Wrap(err, "the connection broke after the note was sent: publish the same note again")
}

func (c *publishCommand) report(p *api.Publication, hosts int, missing []string) error {
	if c.JSON {
		err := printJSON(map[string]any{
			"id": p.ID, "version": p.Version, "chain": p.Chain, "repeated": p.Repeated, "hosts": hosts, "missing": missing,
		})
		if err != nil {
			return err
		}
	} else {
		word := "accepted"
		if p.Repeated {
			word = "was accepted before"
		}
		fmt.Printf("%s: %s as version %d, in force on %d of %d live hosts\n", p.ID, word, p.Version, hosts-len(missing), hosts)
	}
	if len(missing) > 0 {
		return classifier.Unconfirmed.New("version %d is accepted, but not yet reported in force by %s: look at their status", p.Version, strings.Join(missing, ", "))
	}
	return nil
}

// follower watches a version come into force.
type follower struct {
	client   *api.Client
	version  int64
	progress io.Writer
	deadline time.Time
}

// wait returns the live hosts without the version when all have it or the
// deadline has passed, and the number of live hosts.
func (f *follower) wait(ctx context.Context) (missing []string, hosts int, err error) {
	for {
		s, err := f.client.Status(ctx)
		if err != nil {
			return nil, 0, remote(err)
		}
		missing, hosts = f.missing(s)
		fmt.Fprintf(f.progress, "\rversion %d in force on %d of %d hosts", f.version, hosts-len(missing), hosts)
		if len(missing) == 0 || !time.Now().Before(f.deadline) {
			fmt.Fprintln(f.progress)
			return missing, hosts, nil
		}
		select {
		case <-ctx.Done():
			return missing, hosts, nil
		case <-time.After(followPeriod):
		}
	}
}

func (f *follower) missing(s *api.Status) (missing []string, hosts int) {
	hosts = 1
	if s.Version < f.version {
		missing = append(missing, s.Host)
	}
	for _, m := range s.Members {
		if m.State == detector.Left.String() || m.State == detector.Dead.String() {
			continue
		}
		hosts++
		if m.Version < f.version {
			missing = append(missing, m.Name)
		}
	}
	return missing, hosts
}

type statusCommand struct {
	target
	All bool `long:"all" description:"show every limit and upstream, not only those that need attention"`
}

// Execute prints the state of a host and what it knows of the others.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return remote(err)
	}
	if c.JSON {
		return printJSON(s)
	}
	return c.print(os.Stdout, s)
}

// attention is the part of a limit in use from which status shows it unasked.
const attention = 0.75

func (c *statusCommand) print(out io.Writer, s *api.Status) error {
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
	quiet := 0
	for _, l := range s.Limits {
		if !c.All && l.Used <= attention*l.Held && l.Borrowed.Or(0) == 0 && l.Lent.Or(0) == 0 {
			quiet++
		} else {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", l.Name, l.Total, l.Held, l.Used, l.Lent.Or(0), l.Borrowed.Or(0))
		}
	}
	if quiet > 0 {
		fmt.Fprintf(w, "%d limits below three quarters in use\n", quiet)
	}
	fmt.Fprintln(w, "\nservice\tregion\tweight now\ttarget")
	for _, shift := range s.Shifts {
		for _, weight := range shift.Weights {
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\n", shift.Service, weight.Region, weight.Effective, weight.Target)
		}
	}
	fmt.Fprintln(w, "\nupstream\tstate\tin flight\treason")
	quiet = 0
	for _, u := range s.Upstreams {
		if !c.All && u.State == "ready" {
			quiet++
		} else {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", u.Name, u.State, u.Flight, u.Reason.Or(""))
		}
	}
	if quiet > 0 {
		fmt.Fprintf(w, "%d upstreams ready\n", quiet)
	}
	return w.Flush()
}

type explainCommand struct {
	target
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"1" description:"from the answer's Request-Id header"`
	} `positional-args:"yes"`
}

// Execute prints why a recent request was steered as it was.
func (c *explainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	e, err := client.Explain(ctx, api.ExplainParams{ID: c.Args.Request})
	if err != nil {
		return remote(err)
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
	target
	Kind string `long:"kind" choice:"host" choice:"upstream" choice:"region" description:"what the name is of, if it is not clear from the name"`
	Undo bool   `long:"undo" description:"take it back into new work"`
	Gone bool   `long:"gone" description:"state that the machine of a host does not exist any more, which frees its shares"`
	Args struct {
		Name string `positional-arg-name:"HOST|UPSTREAM|REGION" required:"1"`
	} `positional-args:"yes"`
}

// kind finds out what the name is of.
func (c *drainCommand) kind(ctx context.Context, client *api.Client) (string, error) {
	if c.Kind != "" {
		return c.Kind, nil
	}
	s, err := client.Status(ctx)
	if err != nil {
		return "", remote(err)
	}
	kinds := make(map[string]bool)
	kinds["host"] = s.Host == c.Args.Name
	for _, m := range s.Members {
		kinds["host"] = kinds["host"] || m.Name == c.Args.Name
	}
	for _, u := range s.Upstreams {
		kinds["upstream"] = kinds["upstream"] || u.Name == c.Args.Name
	}
	for _, shift := range s.Shifts {
		for _, w := range shift.Weights {
			kinds["region"] = kinds["region"] || w.Region == c.Args.Name
		}
	}
	found := ""
	for _, kind := range []string{"host", "upstream", "region"} {
		if !kinds[kind] {
			continue
		}
		if found != "" {
			return "", classifier.BadRequest.New("%q is a %s and a %s: say which with --kind", c.Args.Name, found, kind)
		}
		found = kind
	}
	if found == "" {
		return "", classifier.NotFound.New("no host, upstream or region is called %q: correct the name, or give --kind for a host that is gone", c.Args.Name)
	}
	return found, nil
}

// Execute takes something out of new work, on every host.
func (c *drainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	kind, err := c.kind(ctx, client)
	if err != nil {
		return err
	}
	d, err := client.Drain(ctx, &api.Drain{
		Kind: api.DrainKind(kind), Name: c.Args.Name, Undo: api.NewOptBool(c.Undo), Gone: api.NewOptBool(c.Gone),
	})
	if err != nil {
		return remote(err)
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
