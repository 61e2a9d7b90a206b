package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/runner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type command struct {
	name, short, long string
	data              any
}

// newCommands returns all commands. Their exit codes are those of docs/errors.md: 0
// for success, otherwise the code of the error's kind.
func newCommands() []command {
	return []command{
		{"serve", "run one host", "Runs an entry host with the settings in a file. SIGTERM or SIGINT begins a graceful stop: the host leaves the look-ups, finishes what is in flight and exits with 0. Wrong settings exit with 2 before a socket opens.", new(serveCommand)},
		{"entry", "run one host on the users' platform", "Runs an entry host whose routes and upstreams come from the platform's store. SIGTERM or SIGINT begins a graceful stop, SIGHUP reads the settings again. Wrong settings exit with 2 before a socket opens.", new(entryCommand)},
		{"check", "check settings, release notes and stand-in files", "Checks files without running anything. Release notes are applied in the order given, the first one to an empty configuration. Prints a line for each correct file. The first wrong one ends the command with the line, the field and the remedy, and exits with 2, or with 4 for a note on another base version.", new(checkCommand)},
		{"publish", "put a release note into effect", "Publishes a release note through a host's operator address and waits until every live host reports it in force. Exits with 2 if the note is wrong, 4 if another publication came first, 6 if the host or the store can't be reached, and 8 if it isn't known whether the note was accepted or in force everywhere; the same note can then be published again.", new(publishCommand)},
		{"status", "show the state of a host", "Shows the state of a host, the hosts it knows, the limits, the shifts and the upstreams, with what needs attention. Exits with 6 if the host can't be reached.", new(statusCommand)},
		{"explain", "show why a request was steered as it was", "Shows the decisions and attempts of one recent request on the host that served it. Exits with 3 if that host does not know the request.", new(explainCommand)},
		{"drain", "take something out of new work", "Takes a host, an upstream or a region out of new work on every host, or puts it back. Work in flight goes on. Exits with 3 if there is no such thing, and as publish otherwise.", new(drainCommand)},
		{"lookup", "ask which hosts to use", "Asks a host which entry hosts a caller uses for a service, and prints them in order. Exits with 3 if the service is unknown and 6 if the host can't be reached.", new(lookupCommand)},
		{"stand-in", "run stand-ins of the platform and of upstreams", "Runs the stand-ins that a file describes until SIGTERM or SIGINT. Faults are in the file or set with PUT /faults. A wrong file exits with 2 before a socket opens.", new(standInCommand)},
		{"dev", "run a whole deployment in one process", "Runs a deployment on loopback with stand-ins of the platform and of all upstreams, and prints its addresses and what to try next, until SIGTERM or SIGINT. With --tour, runs a fixed sequence of steps instead, prints what was promised and seen for each, and exits with 1 if a promise was broken.", new(devCommand)},
		{"measure", "run an experiment", "Runs an experiment file: load and faults against a whole deployment on loopback, once with the product's hosts and once with naive ones, and prints both side by side. See docs/measurements.md and examples/measure. Broken promises are part of the result and don't change the exit code. Exits with 2 if the file is wrong or missing, and with 6 if it is interrupted.", new(measureCommand)},
	}
}

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"JSON settings of the host" value-name:"FILE"`
}

// Execute runs the host until it has stopped.
func (c *serveCommand) Execute([]string) error {
	s, err := loader.Load(c.Settings)
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
	go abortOnSecondSignal(ctx, r)
	return r.Run(ctx)
}

// abortOnSecondSignal aborts a graceful stop on the next signal after ctx is done.
func abortOnSecondSignal(ctx context.Context, r *runner.Runner) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, syscall.SIGINT)
	<-again
	r.Abort()
}

type lookupCommand struct {
	To     string `long:"to" required:"true" description:"caller address of a host" value-name:"ADDR"`
	Client string `long:"client" description:"IP address of the client" value-name:"IP"`
	tlsOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"1"`
	} `positional-args:"yes"`
}

// Execute looks up the hosts for a service and prints them in order of preference.
func (c *lookupCommand) Execute([]string) error {
	client, err := c.newClient(c.To)
	if err != nil {
		return err
	}
	params := api.LookupParams{Service: c.Args.Service}
	if c.Client != "" {
		params.Client = api.NewOptString(c.Client)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l, err := client.Lookup(ctx, params)
	if err != nil {
		return toClassifiedError(err)
	}
	fmt.Printf("service %s, version %d, valid for %d s\n", l.Service, l.Version, l.Lifetime)
	for _, h := range l.Hosts {
		fmt.Printf("%s\t%s\t%s\n", h.Name, h.Address, h.Zone)
	}
	return nil
}
