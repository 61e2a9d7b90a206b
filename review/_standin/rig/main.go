// Command rig runs one case of the review: it starts the project's program as separate
// processes on loopback, plays the platform, the workers and the clients, and checks one rule.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// rig is one run of a case.
type rig struct {
	root, binary, dir string
	trouble           bool
	begun             time.Time
	store             *store
	hosts             []*host
	workers           []*worker

	mu     sync.Mutex
	log    *os.File
	pids   *os.File // of the started processes, for run.sh
	causes map[*exec.Cmd]string
	runs   map[string]int // runs by request ID
}

// record writes a line to the record of the run.
func (r *rig) record(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.log, "%9.3f s  %-10s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *rig) setCause(cmd *exec.Cmd, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.causes[cmd] = cause
}

func (r *rig) causeOf(cmd *exec.Cmd) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.causes[cmd]
}

func (r *rig) stopAll() {
	for _, h := range r.hosts {
		h.stop()
	}
}

// startHosts starts hosts in the given zones and waits until all of them are ready.
func (r *rig) startHosts(zoneOf ...string) error {
	var err error
	if r.hosts, err = newHosts(r, zoneOf); err != nil {
		return err
	}
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		allReady := true
		for _, h := range r.hosts {
			allReady = allReady && h.ready()
		}
		if allReady {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("hosts are not ready")
		}
	}
}

// scenarios are the cases by name. Each reports what broke the rule, or "".
var scenarios = map[string]func(r *rig) (broken string, err error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for the record of the run")
	pidsPath := flag.String("pids", os.DevNull, "file for the IDs of the started processes")
	flag.Parse()
	scenario, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	log, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.Close()
	pids, err := os.OpenFile(*pidsPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer pids.Close()
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &rig{
		root: absolute, binary: filepath.Join(absolute, "target/dandeliontrack"), dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		begun: time.Now(), log: log, pids: pids, causes: make(map[*exec.Cmd]string), runs: make(map[string]int),
	}
	if r.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return r.play(scenario)
}

func (r *rig) play(scenario func(r *rig) (string, error)) int {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenario(r)
		done <- result{broken, err}
	}()
	out := result{err: fmt.Errorf("interrupted")}
	select {
	case out = <-done:
	case <-interrupted:
	case <-time.After(maxRunTime):
		out.err = fmt.Errorf("the case took too long")
	}
	r.stopAll()
	switch {
	case out.err != nil:
		r.record("check", "the case could not run: %v", out.err)
		fmt.Println("the case could not run:", out.err)
		return exitNotRun
	case out.broken != "":
		r.record("check", "broken: %s", out.broken)
		fmt.Println("broken:", out.broken)
		return exitBroken
	}
	r.record("check", "held")
	fmt.Println("held")
	return exitHeld
}
