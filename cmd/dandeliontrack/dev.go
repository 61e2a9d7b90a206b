package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	devStartTimeout = 30 * time.Second
	devStopTimeout  = 4 * time.Second
	// devLookupTTL is how long callers may use a lookup, and so how long a host of
	// `dev` serves after its stop began. It is short, so that the command ends soon
	// after a signal.
	devLookupTTL = time.Second
)

type devCommand struct {
	Deployment string `long:"deployment" default:"sakdiphong" choice:"sakdiphong" choice:"campos" description:"which deployment to run"`
	Hosts      int    `long:"hosts" default:"8" description:"number of entry hosts, 1 to 12"`
	Tour       bool   `long:"tour" description:"run a fixed sequence of steps, print what was promised and seen, and stop"`
}

// Execute runs the deployment until a signal arrives or the tour has ended.
func (c *devCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runDev(ctx, *c, os.Stdout)
}

func runDev(ctx context.Context, c devCommand, out io.Writer) error {
	d, err := deployer.New(deployer.Options{Deployment: c.Deployment, Hosts: c.Hosts, Lifetime: devLookupTTL})
	if err != nil {
		return err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), devStopTimeout)
		defer cancel()
		// Hosts that stop at the same time wait for each other's shares. None of
		// them outlives the command, so a stop that is cut short is not an error.
		if err := d.Stop(stopCtx); err != nil && classifier.Of(err) != classifier.Stopping {
			fmt.Fprintf(out, "stop: %v\n", err)
		}
	}()
	begin := time.Now()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := d.Start(startCtx); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d hosts and %d upstreams steer after %v\n\n", c.Deployment, len(d.Hosts()), len(d.Plan().Upstreams()), time.Since(begin).Round(time.Millisecond))
	if c.Tour {
		return runTour(ctx, d, out)
	}
	printAddresses(d, out)
	<-ctx.Done()
	for _, b := range d.Breaches() {
		fmt.Fprintln(out, "broken promise", b)
	}
	return nil
}

func printAddresses(d *deployer.Deployer, out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "host\tzone\tcallers\toperators")
	for _, h := range d.Hosts() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", h.Name(), h.Zone(), h.Caller(), h.Operator())
	}
	// The error is ignored: out is a terminal or a file, and there is no other place
	// to report to.
	_ = w.Flush()
	h, u := d.Hosts()[0], d.Plan().Upstreams()[0]
	service := u.Service().Name()
	fmt.Fprintf(out, `
platform at %s

Try next:
  dandeliontrack lookup --to %s %s
  curl -i http://%s/s/%s/any/path
  curl http://%s/v1/status
  curl -X PUT -d '{"draining":true}' http://%s/faults    (upstream %s leaves)
  curl -X PUT -d '{"down":true}' http://%s/faults    (the store fails)
  dandeliontrack dev --deployment %s --tour
Stop with Ctrl-C.
`, d.PlatformAddress(), h.Caller(), service, h.Caller(), service, h.Operator(), u.Address(), u.Name(), d.PlatformAddress(), d.Name())
}

// brokenPromisesError returns the error of a tour in which n steps broke a promise. Its
// exit code is 1.
func brokenPromisesError(n int) error {
	return classifier.Internal.New("%d steps broke a promise", n)
}

// runTour runs the tour and prints a row for each step. It fails with kind Internal if a
// step broke a promise.
func runTour(ctx context.Context, d *deployer.Deployer, out io.Writer) error {
	broken := 0
	format := "%-13s | %-52s | %s | %s\n"
	fmt.Fprintf(out, format, "step", "promised", "seen", "kept")
	d.Tour(ctx, func(s deployer.Step) {
		kept := "yes"
		if !s.Kept {
			kept = "NO"
			broken++
		}
		fmt.Fprintf(out, format, s.Name, s.Promised, s.Seen, kept)
	})
	if broken > 0 {
		return brokenPromisesError(broken)
	}
	return nil
}
