package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/process/conductor"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/watcher"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
	"dandeliontrack.example/dandeliontrack/platform"
)

const (
	// softMemoryLimitFraction is the fraction of the process's memory limit above
	// which the garbage collector runs more often instead of letting the heap grow.
	softMemoryLimitFraction = 0.7
	// gcPercent is the heap growth in percent that starts a garbage collection.
	gcPercent = 100
)

type entryCommand struct {
	Settings string `long:"settings" description:"settings file of the platform; the default is the file that the environment names" value-name:"FILE"`
	Level    string `long:"level" default:"info" description:"lowest level that is logged" value-name:"LEVEL"`
}

// Execute runs the host until it has stopped.
func (c *entryCommand) Execute([]string) error {
	// Registered first, because by default the signal ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsPathEnv)
	}
	s, store, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return classifier.Invalid.Wrap(err, "level")
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitFraction * float64(s.MemoryLimit)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop() // after the log is written, since a further signal ends the process then
	out := logger.NewBuffer(os.Stdout)
	defer out.Close()
	host, err := conductor.New(s, platform.New(store, new(net.Dialer).DialContext), logger.New(out, level, s.Name))
	if err != nil {
		return err
	}
	go watcher.New(path).Run(ctx, hup, func() { reloadSettings(path, host) })
	return host.Run(ctx)
}

// reloadSettings reads the settings file again and applies what can change while the
// host runs. Invalid settings change nothing.
func reloadSettings(path string, host *conductor.Conductor) {
	s, _, err := platform.ReadSettings(path)
	host.Reload(s, err)
}
