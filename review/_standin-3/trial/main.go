// Command trial plays one case of the review in processes and judges it by what the clients
// and workers have seen.
//
//	trial CASE BINARY RECORD
//
// BINARY is the program of the deploy file. The environment variable TROUBLE=0 leaves the
// disruption out. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trial is one play of a case.
type trial struct {
	*record
	store   *store
	fleet   *fleet
	trouble bool
	workers int
}

// play is a case: it prepares workers and the configuration, and runs once all hosts are
// ready. It returns the ways in which the rule was broken.
type play struct {
	prepare func(t *trial) error
	run     func(t *trial) ([]string, error)
}

var plays = map[string]play{
	"unread": {prepareUnread, runUnread},
	"silent": {prepareSilent, runSilent},
	"held":   {prepareHeld, runHeld},
	"late":   {prepareLate, runLate},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: trial CASE BINARY RECORD")
		os.Exit(2)
	}
	broken, err := runTrial(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		fmt.Println("the rule was broken:")
		for _, b := range broken {
			fmt.Println("  " + b)
		}
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func runTrial(name, binary, recordPath string) ([]string, error) {
	p, ok := plays[name]
	if !ok {
		return nil, fmt.Errorf("no case %q", name)
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	t := &trial{record: newRecord(out), trouble: os.Getenv("TROUBLE") != "0", fleet: new(fleet)}
	defer func() { t.fleet.stop() }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	t.note("case %s, with the disruption: %v", name, t.trouble)
	if t.store, err = newStore(); err != nil {
		return nil, err
	}
	if err := p.prepare(t); err != nil {
		return nil, err
	}
	fleet, err := startFleet(binary, dir, t.store.address, t.record)
	t.fleet = fleet
	if err != nil {
		return nil, err
	}
	t.note("all hosts are ready")
	time.Sleep(stability + time.Second)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := p.run(t)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		for _, b := range r.broken {
			t.note("broken: %s", b)
		}
		t.note("end: %d times broken, error: %v", len(r.broken), r.err)
		return r.broken, r.err
	case <-interrupted:
		return nil, fmt.Errorf("interrupted")
	case <-time.After(90 * time.Second):
		return nil, fmt.Errorf("takes too long")
	}
}

// addWorkers starts workers of a service in all zones.
func (t *trial) addWorkers(service string, perZone int, j job) error {
	for _, zone := range hostZones[:6] {
		for range perZone {
			t.workers++
			if _, err := newWorker(t.store, t.record, t.workers, service, zone, j); err != nil {
				return err
			}
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// configure writes the configuration.
func (t *trial) configure(routes ...route) {
	var out, services []map[string]any
	known := make(map[string]bool)
	for _, r := range routes {
		out = append(out, map[string]any{
			"Name": r.name, "Host": routeHost, "Prefix": r.prefix, "RouteType": r.kind, "Timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"TargetLatency": "1200ms", "Priority": 1, "Service": r.service, "MaxAttempts": 2, "Sticky": false,
		})
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"Name": r.service, "HealthPath": "/healthz", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 3.8})
		}
	}
	t.store.putJSON("op", "config", map[string]any{
		"Version": "r7", "Routes": out, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
}
