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
	{"status", "show the state of a host", "Shows the state of a host, the hosts it knows, the limits, the shifts and the upstreams, with what needs attention.", new(statusCommand)},
	{"explain", "show why a request was steered as it was", "Shows the decisions and attempts of one recent request on the host that served it.", new(explainCommand)},
	{"drain", "take something out of new work", "Takes a host, an upstream or a region out of new work on every host, or puts it back. Work in flight goes on.", new(drainCommand)},
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
	go abortOnSecond(ctx, r)
	return r.Run(ctx)
}

// abortOnSecond ends a graceful stop at the second signal.
func abortOnSecond(ctx context.Context, r *runner.Runner) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, syscall.SIGINT)
	<-again
	r.Abort()
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
