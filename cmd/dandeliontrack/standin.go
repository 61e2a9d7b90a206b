package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type standInCommand struct {
	File string `long:"file" required:"true" description:"JSON description of the stand-ins" value-name:"FILE"`
}

// Execute runs the stand-ins until a signal arrives.
func (c *standInCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runStandIns(ctx, c.File, os.Stdout)
}

// runStandIns runs the stand-ins that a file describes until ctx is done. It opens no
// socket if the file is invalid.
func runStandIns(ctx context.Context, file string, out io.Writer) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return classifier.Invalid.Wrap(err, "stand-in")
	}
	d, err := deployer.Describe(raw)
	if err != nil {
		return classifier.Of(err).Wrap(err, file)
	}
	p := new(platformer.Platformer)
	p.SetHosts(d.Hosts)
	p.SetFaults(d.Faults)
	servers := map[string]*http.Server{d.Platform: {Handler: p, ReadHeaderTimeout: 5 * time.Second}}
	for _, u := range d.Upstreams {
		servers[u.Listen] = worker.NewFrom(u.Settings).Server()
	}
	g, ctx := errgroup.WithContext(ctx)
	listeners := make(map[string]net.Listener, len(servers))
	for address := range servers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close()
			}
			return classifier.Invalid.Wrap(err, "listen")
		}
		listeners[address] = l
	}
	for address, s := range servers {
		g.Go(func() error {
			<-ctx.Done()
			return s.Close()
		})
		g.Go(func() error {
			if err := s.Serve(listeners[address]); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
	}
	fmt.Fprintf(out, "platform at %s, %d upstreams; set faults with PUT /faults at any of them\n", d.Platform, len(d.Upstreams))
	return g.Wait()
}
