package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against exit codes that differ from those in docs/errors.md and in --help.
func TestExitCodesMatchErrorKinds(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.json")
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"help":                {[]string{"--help"}, 0},
		"no command":          {nil, classifier.BadRequest.ExitCode()},
		"unknown command":     {[]string{"fly"}, classifier.BadRequest.ExitCode()},
		"unknown option":      {[]string{"check", "--fly", "x"}, classifier.BadRequest.ExitCode()},
		"check without files": {[]string{"check"}, classifier.BadRequest.ExitCode()},
		"check missing file":  {[]string{"check", missing}, classifier.Invalid.ExitCode()},
		"serve missing file":  {[]string{"serve", "--settings", missing}, classifier.Invalid.ExitCode()},
		"stand-in missing":    {[]string{"stand-in", "--file", missing}, classifier.Invalid.ExitCode()},
		"publish missing":     {[]string{"publish", "--to", "127.0.0.1:1", missing}, classifier.Invalid.ExitCode()},
		"publish unreachable": {[]string{"publish", "--to", "127.0.0.1:1", "../../examples/campos/first.json"}, classifier.Unreachable.ExitCode()},
		"lookup unreachable":  {[]string{"lookup", "--to", "127.0.0.1:1", "catalog"}, classifier.Unreachable.ExitCode()},
		"measure missing":     {[]string{"measure", missing}, classifier.Invalid.ExitCode()},
		"measure wrong chart": {[]string{"measure", "--svg", "x.png", "../../examples/measure/campos-calm.json"}, classifier.BadRequest.ExitCode()},
		"dev unknown":         {[]string{"dev", "--deployment", "nowhere"}, classifier.BadRequest.ExitCode()},
		"dev too many hosts":  {[]string{"dev", "--hosts", "13"}, classifier.BadRequest.ExitCode()},
	} {
		t.Run(name, func(t *testing.T) {
			var stderr bytes.Buffer
			assert.Equal(t, run(c.args, new(bytes.Buffer), &stderr), c.want, stderr.String())
		})
	}
}

// Guards against a command or an option without a help text.
func TestEveryCommandAndOptionHasHelp(t *testing.T) {
	for _, c := range newCommands() {
		var stdout bytes.Buffer
		assert.Equal(t, run([]string{c.name, "--help"}, &stdout, new(bytes.Buffer)), 0)
		assert.Assert(t, c.short != "" && len(c.long) > len(c.short), c.name)
		for line := range strings.Lines(stdout.String()) {
			if fields := strings.Fields(line); len(fields) > 0 && strings.HasPrefix(fields[0], "--") {
				assert.Assert(t, len(fields) > 1, "%s: no description: %s", c.name, line)
			}
		}
	}
}

// Guards against a `dev` that prints addresses before the hosts are ready, or that does
// not end after a signal.
func TestDevPrintsAddressesWhenReadyAndStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	out := &matchWriter{text: "Ctrl-C", onMatch: cancel}
	assert.NilError(t, runDev(ctx, devCommand{Deployment: "campos", Hosts: 1}, out))
	assert.Assert(t, strings.Contains(out.String(), "dandeliontrack lookup --to 127.20.1.1:"), out.String())
}

// Guards against stand-ins that open sockets although their file is invalid.
func TestStandInChecksFileBeforeListening(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	correct := write("correct.json", `{"platform":"127.0.0.1:0","hosts":[],"upstreams":[{"name":"u","listen":"127.0.0.2:0","slots":1,"time":"1ms","size":1}]}`)
	out := &matchWriter{text: "1 upstreams", onMatch: cancel}
	assert.NilError(t, runStandIns(ctx, correct, out))
	wrong := write("wrong.json", `{"platform":"127.0.0.1:0","hosts":[],"upstreams":[]}`)
	err := runStandIns(t.Context(), wrong, out)
	assert.Equal(t, classifier.Of(err), classifier.Invalid)
}

// matchWriter calls onMatch on each write after which its content contains text.
type matchWriter struct {
	bytes.Buffer
	text    string
	onMatch func()
}

// Write implements io.Writer.
func (w *matchWriter) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	if strings.Contains(w.String(), w.text) {
		w.onMatch()
	}
	return n, err
}
