package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drain = 2500 * time.Millisecond
	// orderDeadline and orderWork are those of the kind order-post of skp-gatehinge.
	orderDeadline = 2500 * time.Millisecond
	orderWork     = 480 * time.Millisecond
	// orderPause is the time between two orders to all hosts together.
	orderPause = 12 * time.Millisecond
	// leavers of the 14 workers leave, a share of 0.14.
	leavers = 2
	// lateBy is how much later the store performs a write whose answer was lost.
	lateBy = 5950 * time.Millisecond
	// reportAfter is when a worker reports that it drains, later than Stability after the
	// disruption of the store.
	reportAfter = 4050 * time.Millisecond
	// serveLonger is how long a worker serves on after Drain.
	serveLonger = 700 * time.Millisecond
)

// leaver is a worker that leaves. It registers itself as the case says.
type leaver struct {
	*worker
	l       net.Listener
	seq     int // of its next registration
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

var leaving []*leaver

func newLeaver(t *trial) error {
	t.workers++
	v := &leaver{seq: 1, conns: make(map[net.Conn]bool)}
	var err error
	v.worker, v.l, err = listenOnly(t.record, t.workers, "wuno96b", "bkk-a", v.work)
	if err == nil {
		leaving = append(leaving, v)
		v.beat(t, "ready")
	}
	return err
}

// work is the job of a worker that leaves: it says so in its answers.
func (v *leaver) work(w *worker, r *http.Request, c net.Conn) error {
	v.mu.Lock()
	v.conns[c] = true
	v.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	time.Sleep(orderWork)
	head := w.head(r, 5)
	if v.leaving.Load() {
		head = strings.Replace(head, "\r\n", "\r\nServer-Leaving: 1\r\n", 1)
	}
	_, err := io.WriteString(c, head+"done\n")
	return err
}

// beat registers the worker.
func (v *leaver) beat(t *trial, state string) {
	t.store.putJSON("servers", v.id, v.registration(state, v.seq))
	t.note("worker %s: the store has acknowledged %s, Seq %d", v.id, state, v.seq)
	v.seq++
}

// lose makes a registration that gets no answer and that the store performs late.
func (v *leaver) lose(t *trial) {
	entry, seq := v.registration("ready", v.seq), v.seq
	v.seq++
	t.note("worker %s: its write of ready, Seq %d, gets no answer", v.id, seq)
	time.AfterFunc(lateBy, func() {
		t.store.putJSON("servers", v.id, entry)
		t.note("worker %s: the store performs its write of ready, Seq %d, late", v.id, seq)
	})
}

// exit ends the worker, and with it the requests at which it works.
func (v *leaver) exit(t *trial) {
	t.store.put("servers", v.id, nil)
	t.note("worker %s: has left the store and ends", v.id)
	_ = v.l.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	for c := range v.conns {
		_ = c.Close()
	}
}

// prepareLate adds workers, and those that leave.
func prepareLate(t *trial) error {
	t.configure(route{"r-unsafe", "/xapu221/ny95/", "unsafe", "wuno96b", orderDeadline})
	if err := t.addWorkers("wuno96b", 2, workFor(orderWork)); err != nil {
		return err
	}
	for range leavers {
		if err := newLeaver(t); err != nil {
			return err
		}
	}
	return nil
}

// runLate lets workers drain and leave. The answer to one write of each was lost some seconds
// before, and the store performs that write late.
func runLate(t *trial) ([]string, error) {
	var requests []*request
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(orderPause):
			}
			q := &request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "POST", path: fmt.Sprintf("/xapu221/ny95/%d", i), body: []byte("order\n"), deadline: orderDeadline}
			requests = append(requests, q)
			wg.Go(func() { q.exchange(t.fleet.hosts[i%len(t.fleet.hosts)], t.record) })
		}
	})
	begun := time.Now()
	each := func(after time.Duration, f func(v *leaver)) {
		time.Sleep(time.Until(begun.Add(after)))
		for _, v := range leaving {
			f(v)
		}
	}
	if t.trouble {
		each(0, func(v *leaver) { v.lose(t) })
	}
	each(reportAfter-2*heartbeat, func(v *leaver) { v.beat(t, "ready") })
	each(reportAfter-heartbeat, func(v *leaver) { v.beat(t, "ready") })
	each(reportAfter, func(v *leaver) {
		v.leaving.Store(true)
		v.beat(t, "draining")
	})
	acknowledged := time.Now()
	each(reportAfter+heartbeat, func(v *leaver) { v.beat(t, "draining") })
	each(reportAfter+2*heartbeat, func(v *leaver) { v.beat(t, "draining") })
	each(reportAfter+drain+serveLonger, func(v *leaver) { v.exit(t) })
	close(stop)
	wg.Wait()
	var broken []string
	lost := 0
	for _, q := range requests {
		for _, r := range t.runsOf(q.id) {
			for _, v := range leaving {
				if r.worker != v.id || !q.sent.After(acknowledged.Add(drain)) {
					continue
				}
				broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent %.3f s after the acknowledgement, reached worker %s: %s", q.id, q.sent.Sub(acknowledged).Seconds(), v.id, q.describe()))
				if !q.signed {
					lost++
				}
			}
		}
	}
	t.note("%d requests reached the workers too late, %d of them were lost with these", len(broken), lost)
	return broken, nil
}
