package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"dandeliontrack.example/dandeliontrack/internal/standin/measurer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type measureCommand struct {
	JSON bool   `long:"json" description:"print the result as JSON"`
	SVG  string `long:"svg" description:"also write a chart of the latencies; the name ends in .svg" value-name:"FILE"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute runs the experiment and prints its result.
func (c *measureCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runMeasure(ctx, *c, os.Stdout, os.Stderr)
}

func runMeasure(ctx context.Context, c measureCommand, out, progress io.Writer) error {
	if c.SVG != "" && !strings.HasSuffix(c.SVG, ".svg") {
		return classifier.BadRequest.New("--svg %q: use a name that ends in .svg", c.SVG)
	}
	e, err := measurer.Read(c.Args.File)
	if err != nil {
		return err
	}
	r, err := measurer.New(e, func(text string) { fmt.Fprintln(progress, text) }).Run(ctx)
	if err != nil {
		return err
	}
	if c.SVG != "" {
		if err := r.SVG(c.SVG); err != nil {
			return err
		}
	}
	if !c.JSON {
		return classifier.Internal.Wrap(r.Table(out), "output")
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return classifier.Internal.Wrap(enc.Encode(r), "output")
}
