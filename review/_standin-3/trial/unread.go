package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The kind source-upload of the deployment bildkern-wien: the largest body on its sheet, its
// deadline and its work.
const (
	uploadBytes    = 360_000
	uploadDeadline = 3 * time.Second
	uploadWork     = 680 * time.Millisecond
	// unreadTime is how long the slow worker lets the body of a request wait.
	unreadTime = 2 * time.Second
	uploads    = 3
)

// prepareUnread adds workers that read a body slowly: they have the head, and read on after
// unreadTime. Without the disruption they read it at once and take as long in all.
func prepareUnread(t *trial) error {
	t.configure(route{"r-upload", "/fiti832/ti23/", "upload", "mewa77k", uploadDeadline})
	return t.addWorkers("mewa77k", 1, func(w *worker, r *http.Request, c net.Conn) error {
		if t.trouble {
			time.Sleep(unreadTime)
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return fmt.Errorf("%d bytes of the body have arrived: %w", n, err)
		}
		if !t.trouble {
			time.Sleep(unreadTime)
		}
		time.Sleep(uploadWork)
		return w.answer(r, c, []byte("stored\n"))
	})
}

// runUnread sends uploads to one host, and SIGTERM to it while their workers are at work.
func runUnread(t *trial) ([]string, error) {
	h := t.fleet.hosts[0]
	var requests []*request
	var wg sync.WaitGroup
	for i := range uploads {
		q := &request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "POST", path: fmt.Sprintf("/fiti832/ti23/%d", i), body: filler(uploadBytes), deadline: uploadDeadline}
		requests = append(requests, q)
		wg.Go(func() { q.exchange(h, t.record) })
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	t.note("host %s: SIGTERM", h.name)
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	wg.Wait()
	var broken []string
	for _, q := range requests {
		runs := t.runsOf(q.id)
		if len(runs) == 0 || q.sent.After(stopped) {
			return nil, fmt.Errorf("request %s was not at a worker when the host was stopped: %s", q.id, q.describe())
		}
		r := runs[len(runs)-1]
		limit := q.sent.Add(min(uploadDeadline, 3*time.Second) - 100*time.Millisecond)
		// What the rule excuses: an end by the deadline or the route's timeout, a worker that broke
		// off (these don't), and one at work in the last sixth of Grace.
		if (!q.whole || !q.signed) && q.answered.Before(limit) && r.begun.Before(q.answered) && q.answered.Before(stopped.Add(grace*5/6)) {
			broken = append(broken, fmt.Sprintf("LOST: request %s, %.3f s after SIGTERM and while its worker was at work: %s", q.id, q.answered.Sub(stopped).Seconds(), q.describe()))
		}
	}
	return broken, nil
}
