package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/platformer"
	"dandeliontrack.example/dandeliontrack/internal/process/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type standInCommand struct {
	File string `long:"file" required:"true" description:"JSON description of the stand-ins" value-name:"FILE"`
}

type standInFile struct {
	Platform  string            `json:"platform"`
	Hosts     []adapter.Entry   `json:"hosts"`
	Upstreams []standInUpstream `json:"upstreams"`
}

type standInUpstream struct {
	Name   string         `json:"name"`
	Listen string         `json:"listen"`
	Slots  int            `json:"slots"`
	Time   noter.Duration `json:"time"`
	Size   int            `json:"size"`
}

// Execute runs the stand-ins until a signal.
func (c *standInCommand) Execute([]string) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return classifier.Invalid.Wrap(err, "stand-in")
	}
	var f standInFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return classifier.Invalid.Wrap(err, c.File)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	p := new(platformer.Platformer)
	p.SetHosts(f.Hosts)
	handlers := map[string]http.Handler{f.Platform: p}
	for _, u := range f.Upstreams {
		handlers[u.Listen] = worker.New(u.Name, u.Slots, time.Duration(u.Time), u.Size)
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return classifier.Invalid.Wrap(err, "listen")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		g.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
		g.Go(func() error {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
	}
	return g.Wait()
}
