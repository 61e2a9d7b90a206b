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
	// memoryShare is the part of the memory limit from which the collector works
	// harder instead of letting the heap grow.
	memoryShare = 0.7
	// heapGrowth is the collector's target in percent.
	heapGrowth = 100
)

type entryCommand struct {
	Settings string `long:"settings" description:"settings file of the platform; the default is the file that the environment names" value-name:"FILE"`
	Level    string `long:"level" default:"info" description:"lowest level that is logged" value-name:"LEVEL"`
}

// Execute runs the host.
func (c *entryCommand) Execute([]string) error {
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
	debug.SetGCPercent(heapGrowth)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	out := logger.NewBuffer(os.Stdout)
	defer out.Close()
	host, err := conductor.New(s, platform.New(store, new(net.Dialer).DialContext), logger.New(out, level, s.Name))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go watcher.New(path).Run(ctx, hup, func() { reload(path, host) })
	return host.Run(ctx)
}

// reload puts changed settings in force, as far as they can change while the
// host runs. Wrong ones change nothing.
func reload(path string, host *conductor.Conductor) {
	s, _, err := platform.ReadSettings(path)
	host.Reload(s, err)
}
