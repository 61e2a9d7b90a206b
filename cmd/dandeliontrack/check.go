package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/parser"
	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks each file. The first release note is applied to an empty
// configuration, each later one to the result of those before it.
func (c *checkCommand) Execute([]string) error { return checkFiles(c.Args.Files, os.Stdout) }

func checkFiles(files []string, out io.Writer) error {
	plan := new(planner.Plan)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return classifier.Invalid.Wrap(err, "check")
		}
		plan, err = checkFile(plan, raw)
		if err != nil {
			return classifier.Of(err).Wrap(err, file)
		}
		fmt.Fprintf(out, "%s: ok\n", file)
	}
	return nil
}

// checkFile checks a settings file, a stand-in file or a release note, and returns
// the plan with the note applied. It tells them apart by the field "platform": an
// object in settings, an address in a stand-in file, absent from a release note.
func checkFile(plan *planner.Plan, raw []byte) (*planner.Plan, error) {
	var fields map[string]json.RawMessage
	if err := parser.Parse(raw, &fields); err != nil {
		return nil, err
	}
	platform, ok := fields["platform"]
	switch {
	case ok && len(platform) > 0 && platform[0] == '"':
		_, err := deployer.Describe(raw)
		return plan, err
	case ok:
		_, err := loader.Read(bytes.NewReader(raw))
		return plan, err
	}
	n, err := noter.Read(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	return plan.Apply(n)
}
