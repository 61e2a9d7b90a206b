package faulter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

// length is how long a fault lasts. A pause outlasts loans (30 s) where leases
// are to expire.
const (
	length    = 3 * time.Second
	longPause = 33 * time.Second
	// drainTime leaves room for a breach after the 3 s of the promise.
	drainTime = 8 * time.Second
	rest      = 2 * time.Second
)

// injection is the faults that begin when a step is reached.
type injection struct {
	faults []Fault
	step   Step
	again  bool // the same faults begin a second time when they have ended
}

// trial is one run of a fleet with one injection after the other.
type trial struct {
	plan []injection
	off  string // the mechanism that is switched off

	fleet *fleet
	mu    sync.Mutex
	armed *injection
	done  chan struct{} // closed when the faults of the armed injection ended

	breaches []checker.Breach
	answered map[string]int
	missed   []injection
}

// reached begins the faults that are armed for the step.
func (t *trial) reached(s Step, at *process) {
	t.mu.Lock()
	in, done := t.armed, t.done
	if in == nil || in.step != s {
		t.mu.Unlock()
		return
	}
	t.armed = nil
	t.mu.Unlock()
	begin := func() (all []func()) {
		for _, f := range in.faults {
			all = append(all, t.fleet.inject(f, at))
		}
		return all
	}
	finish := func(all []func()) {
		var wg sync.WaitGroup
		for _, end := range all {
			wg.Go(end)
		}
		wg.Wait()
	}
	all := begin()
	go func() {
		defer close(done)
		finish(all)
		if in.again {
			finish(begin())
		}
	}()
}

// cause makes the fleet reach the step and waits until the faults have ended.
func (t *trial) cause(in injection) {
	f := t.fleet
	done := make(chan struct{})
	t.mu.Lock()
	t.armed, t.done = &in, done
	t.mu.Unlock()
	switch in.step {
	case Publication, Spreading, Install, Shift:
		f.wg.Go(f.shift)
	case Drain:
		healed := f.drain(f.ups[3])
		f.reached(Drain, f.hosts[1].current().proc)
		f.wg.Go(healed)
	case Start, Stop:
		f.wg.Go(func() {
			f.hosts[2].leave()
			f.hosts[2].start()
		})
	}
	limit := time.After(90 * time.Second)
	select {
	case <-done:
	case <-limit:
		t.mu.Lock()
		missed := t.armed != nil
		t.armed = nil
		t.mu.Unlock()
		if missed {
			t.missed = append(t.missed, in)
			return
		}
		<-done
	}
	time.Sleep(rest)
}

// shift publishes a version that moves traffic to or from the first region.
func (f *fleet) shift() {
	f.mu.Lock()
	f.toggles++
	n := f.toggles
	f.mu.Unlock()
	for i := range f.hosts {
		if f.hosts[(n+i)%3].publish(&noter.Note{ID: fmt.Sprint("shift", n, i), Changed: noter.Items{Services: []noter.Service{f.service(1+3*(n%2), 4, 4)}}}) {
			return
		}
	}
}

// inject begins the fault at a process and returns the function that waits for
// its end and heals it.
func (f *fleet) inject(fault Fault, at *process) (end func()) {
	h := f.hosts[0]
	for _, o := range f.hosts {
		if at != nil && o.name == at.name {
			h = o
		}
	}
	if end := f.injectUpstreams(fault, f.in(h.place.Region)); end != nil {
		return end
	}
	return f.injectPlaces(fault, h)
}

// change sets faults of upstreams and returns the function that waits and takes
// them back.
func change(ups []*upstream, set func(w *worker.Faults)) func() {
	for _, u := range ups {
		u.ChangeFaults(set)
	}
	return func() {
		time.Sleep(length)
		for _, u := range ups {
			draining := u.Faults().Draining
			u.SetFaults(worker.Faults{Draining: draining})
		}
	}
}

// injectUpstreams is inject for faults of the upstreams of a region, and returns
// nil for others.
func (f *fleet) injectUpstreams(fault Fault, ups []*upstream) func() {
	switch fault {
	case MeasurementsLag:
		return change(f.ups, func(w *worker.Faults) { w.Lag = noter.Duration(length) })
	case MeasurementsMislead:
		return change(f.ups, func(w *worker.Faults) { w.Mislead = true })
	case UpstreamSheds:
		return change(ups, func(w *worker.Faults) { w.Shed = true })
	case UpstreamDrains:
		return f.drain(ups[1])
	case UpstreamCold:
		for _, u := range f.ups {
			u.Restart()
		}
		return func() { time.Sleep(length) }
	case AnswerLate:
		return change(ups, func(w *worker.Faults) { w.Late = noter.Duration(3 * time.Second) })
	case AnswerCrossed:
		return change(ups, func(w *worker.Faults) { w.Crossed = true })
	case AnswerShort:
		return change(ups, func(w *worker.Faults) { w.Short = 1000 })
	default:
		return nil
	}
}

// injectPlaces is inject for faults of hosts, places and the platform.
func (f *fleet) injectPlaces(fault Fault, h *host) func() {
	switch fault {
	case MeasurementsStop:
		f.setStall(true)
		return func() {
			time.Sleep(length)
			f.setStall(false)
		}
	case ProcessDies:
		return h.die()
	case ProcessPauses:
		return f.hold(length, []*process{h.current().proc})
	case LeaseExpires:
		return f.hold(longPause, []*process{h.current().proc})
	case RegionFails:
		return f.cut(h.place.Region)
	case RegionsSplit:
		return f.cut("")
	case ZoneFails:
		return f.hold(length, f.inZone(h.place.Zone))
	case StoreDown:
		return f.store(func(p *platformer.Platformer) { p.SetDown(true) })
	case StoreSlow:
		return f.store(func(p *platformer.Platformer) { p.SetDelay(1500 * time.Millisecond) })
	case StoreAnswerLost:
		return f.store(func(p *platformer.Platformer) { p.LoseAnswers(4) })
	case HostListLags:
		return f.store(func(p *platformer.Platformer) { p.SetFaults(platformer.Faults{Lag: noter.Duration(time.Minute)}) })
	case TwoOperators:
		return f.publishTwice()
	default: // ConnectionsSilent
		f.tell(func(now time.Time) { f.severed = now })
		for i, a := range regions {
			for _, b := range regions[i:] {
				f.net.delayer.Silence(a, b)
			}
		}
		return func() {
			time.Sleep(length)
			// Callers may have used their silent connections until now.
			f.tell(func(now time.Time) { f.severed = now })
		}
	}
}

func (f *fleet) in(region string) (ups []*upstream) {
	for _, u := range f.ups {
		if u.region == region {
			ups = append(ups, u)
		}
	}
	return ups
}

func (f *fleet) inZone(zone string) (all []*process) {
	for _, h := range f.hosts {
		if h.place.Zone == zone {
			all = append(all, h.current().proc)
		}
	}
	for _, u := range f.ups {
		if u.proc.place.Zone == zone {
			all = append(all, u.proc)
		}
	}
	return all
}

func (f *fleet) setStall(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stall = on
}

func (f *fleet) store(set func(*platformer.Platformer)) func() {
	set(f.platform)
	return func() {
		time.Sleep(length)
		f.platform.SetFaults(platformer.Faults{})
	}
}

// hold pauses processes. A host that no byte leaves can't follow versions, so
// the checker takes it for stopped until then.
func (f *fleet) hold(d time.Duration, all []*process) func() {
	var resume []func()
	for _, p := range all {
		resume = append(resume, p.Pause())
		f.unreachable(p.name, true)
	}
	return func() {
		time.Sleep(d)
		for i, p := range all {
			resume[i]()
			f.unreachable(p.name, false)
		}
	}
}

// unreachable tells the checker whether the host can be reached.
func (f *fleet) unreachable(name string, on bool) {
	f.tell(func(now time.Time) {
		for _, h := range f.hosts {
			if h.name == name && h.life != nil {
				h.away += map[bool]int{true: 1, false: -1}[on]
				h.watch(now)
			}
		}
	})
}

// cut cuts a region off, clients and upstreams in it included, or all regions
// from each other.
func (f *fleet) cut(region string) func() {
	var pairs [][2]string
	for i, a := range regions {
		for _, b := range regions[i:] {
			if region == a || region == b || region == "" && a != b {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	f.tell(func(now time.Time) { f.severed = now })
	for _, p := range pairs {
		f.net.delayer.Cut(p[0], p[1])
	}
	f.setApart(region, true)
	return func() {
		time.Sleep(length)
		for _, p := range pairs {
			f.net.delayer.Heal(p[0], p[1])
		}
		f.setApart(region, false)
		// What was sent during the cut is lost with its connection.
		f.tell(func(now time.Time) { f.severed = now })
	}
}

// setApart tells the checker which hosts a cut of the region keeps from others.
func (f *fleet) setApart(region string, apart bool) {
	for _, h := range f.hosts {
		if region == "" && h.index > 0 || region == h.place.Region || region == regions[0] {
			f.unreachable(h.name, apart)
		}
	}
}

// drain announces that an upstream leaves, and takes it back later.
func (f *fleet) drain(u *upstream) func() {
	f.tell(func(now time.Time) { f.checker.Draining(now, u.Name()) })
	u.SetDraining(true)
	return func() {
		time.Sleep(drainTime)
		f.tell(func(time.Time) { f.checker.Returned(u.Name()) })
		u.SetDraining(false)
	}
}

// publishTwice lets two operators publish on top of the same version.
func (f *fleet) publishTwice() func() {
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() {
			f.hosts[i].publish(&noter.Note{ID: fmt.Sprint("rival", i, time.Now().UnixNano()), Changed: noter.Items{Services: []noter.Service{f.service(1+i, 4, 4)}}})
		})
	}
	return both.Wait
}

// script starts the fleet, causes the faults under traffic, and ends with a
// version that has to be in force everywhere.
func (t *trial) script() {
	f := t.fleet
	f.platform.SetHosts(f.entries(""))
	f.hosts[0].start()
	for !f.hosts[0].publish(f.first()) {
		time.Sleep(500 * time.Millisecond)
	}
	f.hosts[1].start()
	f.hosts[2].start()
	f.waitReady()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	life, end := context.WithCancel(context.Background())
	defer end()
	f.wg.Go(func() { f.observe(life) })
	for i := range f.hosts {
		f.wg.Go(func() { f.traffic(ctx, i) })
	}
	time.Sleep(rest)
	for _, in := range t.plan {
		t.cause(in)
	}
	f.waitReady()
	f.shift()
	time.Sleep(rest)
	cancel()
	time.Sleep(checker.DefaultBounds.Spread + time.Second)
	for i := 0; f.flying() > 0 && i < 60; i++ {
		time.Sleep(time.Second)
	}
	end()
	f.tell(func(now time.Time) { f.checker.Finish(now) })
}

// waitReady waits until all hosts take work, or 40 s: the fault may go on.
func (f *fleet) waitReady() {
	for range 400 {
		ready := true
		for _, h := range f.hosts {
			ready = ready && h.current().run.Ready()
		}
		if ready {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fleet) flying() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// run runs the trial within a bubble.
func (t *trial) run() {
	t.fleet = newFleet(t.reached, t.off)
	t.script()
	f := t.fleet
	t.breaches, t.answered = f.checker.Breaches(), f.answered
	f.closing.Store(true)
	for _, h := range f.hosts {
		h.kill(h.current())
	}
	f.net.close()
	f.wg.Wait()
}
