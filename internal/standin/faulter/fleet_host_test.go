package faulter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/runner"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/api"
)

// host is one entry host, which may be started several times.
type host struct {
	fleet    *fleet
	name     string
	place    delayer.Place
	index    int
	starting sync.Mutex

	// The fleet's lock guards what follows.
	life    *life
	starts  int
	away    int  // faults that keep it from being reached
	watched bool // the checker knows it as running
}

// life is one process of a host.
type life struct {
	proc    *process
	run     *runner.Runner
	stop    context.CancelFunc
	ended   chan struct{}
	planned bool // its stop is a planned one
}

func (h *host) address(port int) string { return fmt.Sprintf("10.2.%d.1:%d", h.index+1, port) }

// current returns the newest process of the host.
func (h *host) current() *life {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.life
}

// settings returns what the host is started with.
func (h *host) settings() *loader.Settings {
	s := &loader.Settings{
		Name: h.name, Region: h.place.Region, Zone: h.place.Zone,
		Caller:   loader.Listener{Listen: h.address(8080)},
		Operator: loader.Listener{Listen: h.address(8081)},
		Peer:     loader.Peer{Listen: h.address(8082), Plain: true},
		Platform: loader.Platform{Table: "http://" + platformAddress, Objects: "http://" + platformAddress, Hosts: "http://" + platformAddress},
		Stop:     loader.Stop{LookupTTL: noter.Duration(lifetime)},
	}
	if h.fleet.off == offDrain {
		s.Stop.HardTimeout = noter.Duration(time.Millisecond)
	}
	for _, o := range h.fleet.hosts {
		if o != h {
			s.Seeds = append(s.Seeds, o.address(8082))
		}
	}
	// Reading the settings fills in the defaults and checks them.
	raw, err := json.Marshal(s)
	if err == nil {
		s, err = loader.Read(bytes.NewReader(raw))
	}
	must(err)
	return s
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the host as a new process on its addresses, unless it runs.
func (h *host) start() {
	h.starting.Lock()
	defer h.starting.Unlock()
	f := h.fleet
	if l := h.current(); f.closing.Load() || l != nil && !l.hasEnded() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &life{proc: f.net.process(h.name, h.place), stop: stop, ended: make(chan struct{})}
	var err error
	l.run, err = runner.New(h.settings(), logger.New(logs{h, l}, zerolog.InfoLevel, h.name), runner.WithDial(l.proc.Dial), runner.WithListen(l.proc.Listen))
	must(err)
	f.tell(func(now time.Time) {
		h.life = l
		h.starts++
		h.watch(now)
	})
	f.reached(Start, l.proc)
	f.wg.Go(func() {
		defer close(l.ended)
		if err := l.run.Run(ctx); err != nil && !l.proc.isDead() {
			f.tell(func(now time.Time) { f.checker.CutOff(now, h.name, true, "the host ended: "+err.Error()) })
		}
	})
}

func (l *life) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// watch tells the checker whether the host runs and can be reached. The caller
// holds the fleet's lock.
func (h *host) watch(now time.Time) {
	on := h.away == 0 && !h.life.proc.isDead() && !h.life.hasEnded()
	if on == h.watched {
		return
	}
	h.watched = on
	if on {
		h.fleet.checker.Started(now, h.name)
	} else {
		h.fleet.checker.Stopped(h.name)
	}
}

// kill ends a process of the host as a fault.
func (h *host) kill(l *life) {
	l.proc.Kill()
	h.fleet.tell(h.watch)
	l.run.Abort()
	l.stop()
	<-l.ended
}

// die kills the host and starts it again after two thirds of a fault's length.
func (h *host) die() func() {
	l := h.current()
	l.proc.Kill()
	return func() {
		h.kill(l)
		time.Sleep(length * 2 / 3)
		h.start()
	}
}

// leave stops the host as planned and waits for its end.
func (h *host) leave() {
	f, l := h.fleet, h.current()
	f.tell(func(time.Time) { l.planned = true })
	f.reached(Stop, l.proc)
	l.stop()
	<-l.ended
	f.tell(func(now time.Time) {
		h.watch(now)
		for id, s := range f.open {
			// A caller on a silent connection is not told of the end.
			if s.address == h.address(8080) && !l.proc.isDead() && s.at.After(f.severed) {
				f.checker.CutOff(now, h.name, true, id)
			}
		}
	})
}

// logs reads the host's log.
type logs struct {
	h *host
	l *life
}

func (l logs) Write(line []byte) (int, error) {
	var e struct {
		Event    logger.Event `json:"event"`
		Version  uint64       `json:"version"`
		Requests []string     `json:"requests"`
	}
	if json.Unmarshal(line, &e) != nil {
		return len(line), nil
	}
	switch e.Event {
	case logger.VersionInstalled:
		if e.Version > 1 {
			// The host holds locks while it logs.
			go l.h.fleet.reached(Install, l.l.proc)
		}
	case logger.RequestsAborted:
		l.h.fleet.tell(func(now time.Time) {
			l.h.fleet.checker.CutOff(now, l.h.name, l.l.planned && !l.l.proc.isDead(), e.Requests...)
		})
	}
	return len(line), nil
}

// client returns an HTTP client of a process. It opens a connection for each
// request, because http.Transport sends requests again on connections it
// reused.
func (p *process) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: p.Dial, DisableKeepAlives: true, DisableCompression: true}}
}

// operator returns a client of the host's operator API.
func (h *host) operator() *api.Client {
	c, err := api.NewClient("http://"+h.address(8081), api.WithClient(h.fleet.net.process("operator", h.place).client()))
	must(err)
	return c
}

// publish publishes a note on top of the host's version and returns whether it
// was accepted.
func (h *host) publish(n *noter.Note) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	op := h.operator()
	if n.ID != "first" {
		s, err := op.Status(ctx)
		if err != nil {
			return false
		}
		n.Base = uint64(s.Version)
	}
	raw, err := json.Marshal(n)
	must(err)
	var note api.Note
	if err := json.Unmarshal(raw, &note); err != nil {
		panic(err)
	}
	p, err := op.Publish(ctx, note)
	if err != nil {
		return false
	}
	h.fleet.tell(func(now time.Time) { h.fleet.checker.Accepted(now, uint64(p.Version), p.Chain) })
	return true
}
