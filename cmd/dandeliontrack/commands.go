package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/runner"
	"dandeliontrack.example/dandeliontrack/internal/process/settler"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type command struct {
	name, short, long string
	data              any
}

var commands = []command{
	{"serve", "run one host", "Runs an entry host with the settings in a file until SIGTERM or SIGINT, then stops gracefully.", new(serveCommand)},
	{"check", "check settings and release notes", "Checks settings or release notes without running anything.", new(checkCommand)},
	{"publish", "put a release note into effect", "Publishes a release note through a host's operator address.", new(publishCommand)},
	{"lookup", "ask which hosts to use", "Asks a host which entry hosts a caller uses for a service.", new(lookupCommand)},
	{"stand-in", "run a stand-in of the platform and of upstreams", "Runs the fakes of the platform and of upstreams that a file describes.", new(standInCommand)},
}

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"JSON settings of the host" value-name:"FILE"`
}

// Execute runs the host.
func (c *serveCommand) Execute([]string) error {
	s, err := settler.Load(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return classifier.Invalid.Wrap(err, "log.level")
	}
	r, err := runner.New(s, logger.New(os.Stderr, level, s.Name))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return r.Run(ctx)
}

type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks each file. The first release note is checked on an empty
// configuration, each later one on the result of those before it.
func (c *checkCommand) Execute([]string) error {
	plan := new(planner.Plan)
	for _, file := range c.Args.Files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return classifier.Invalid.Wrap(err, "check")
		}
		plan, err = checkFile(plan, raw)
		if err != nil {
			return classifier.Of(err).Wrap(err, file)
		}
		fmt.Printf("%s: ok\n", file)
	}
	return nil
}

func checkFile(plan *planner.Plan, raw []byte) (*planner.Plan, error) {
	var probe map[string]json.RawMessage
	if err := json.Unmarshal(raw, &probe); err != nil {
		return nil, classifier.Invalid.Wrap(err, "not a JSON object")
	}
	if _, ok := probe["platform"]; ok {
		_, err := settler.Read(bytes.NewReader(raw))
		return plan, err
	}
	n, err := noter.Read(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	return plan.Apply(n)
}

type publishCommand struct {
	To   string `long:"to" required:"true" description:"operator address of a host" value-name:"ADDR"`
	JSON bool   `long:"json" description:"print the result as JSON"`
	Args struct {
		Note string `positional-arg-name:"NOTE" required:"1"`
	} `positional-args:"yes"`
}

// Execute publishes the note.
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
	client, err := api.NewClient("http://" + c.To)
	if err != nil {
		return classifier.BadRequest.Wrap(err, c.To)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	p, err := client.Publish(ctx, note)
	if err != nil {
		return remote(err)
	}
	fmt.Printf("%s: accepted as version %d\n", p.ID, p.Version)
	return nil
}

// remote gives an error that a host answered with the kind that it names.
func remote(err error) error {
	if refusal, ok := err.(*api.RefusalStatusCode); ok {
		kind, _ := classifier.Parse(refusal.Response.Kind)
		return kind.New("%s", refusal.Response.Message)
	}
	return classifier.Unreachable.Wrap(err, "host")
}

type lookupCommand struct {
	To     string `long:"to" required:"true" description:"caller address of a host" value-name:"ADDR"`
	Client string `long:"client" description:"IP address of the client" value-name:"IP"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" required:"1"`
	} `positional-args:"yes"`
}

// Execute prints the hosts in order.
func (c *lookupCommand) Execute([]string) error {
	client, err := api.NewClient("http://" + c.To)
	if err != nil {
		return classifier.BadRequest.Wrap(err, c.To)
	}
	params := api.LookupParams{Service: c.Args.Service}
	if c.Client != "" {
		params.Client = api.NewOptString(c.Client)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l, err := client.Lookup(ctx, params)
	if err != nil {
		return remote(err)
	}
	fmt.Printf("service %s, version %d, valid for %d s\n", l.Service, l.Version, l.Lifetime)
	for _, h := range l.Hosts {
		fmt.Printf("%s\t%s\t%s\n", h.Name, h.Address, h.Zone)
	}
	return nil
}
