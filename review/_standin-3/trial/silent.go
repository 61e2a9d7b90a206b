package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// longDeadline is that of the kind donor-query of the deployment baobab-porta.
	longDeadline = 20 * time.Second
	longBytes    = 1_500_000
	firstBytes   = 1_200_000
	// silence is how long a worker sends nothing in the middle of one answer in longWork. Of the
	// donor-queries 0.03 take seven times as long as the mean of 3.4 s, which is 23.8 s.
	silence        = 11 * time.Second
	longWork       = 34
	silentRequests = 102
)

// prepareSilent adds workers whose answer comes in two parts.
func prepareSilent(t *trial) error {
	t.configure(route{"r-download", "/lepu270/", "download", "huvo11a", longDeadline})
	var answers atomic.Int64
	return t.addWorkers("huvo11a", 3, func(w *worker, r *http.Request, c net.Conn) error {
		body := filler(longBytes)
		if _, err := c.Write(append([]byte(w.head(r, longBytes)), body[:firstBytes]...)); err != nil {
			return err
		}
		if answers.Add(1)%longWork == 0 && t.trouble {
			time.Sleep(silence)
		}
		_, err := c.Write(body[firstBytes:])
		return err
	})
}

// runSilent sends SIGHUP to a host, and requests right after that.
func runSilent(t *trial) ([]string, error) {
	h := t.fleet.hosts[0]
	t.note("host %s: SIGHUP", h.name)
	reloaded := time.Now()
	if err := h.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	var requests []*request
	var wg sync.WaitGroup
	for i := range silentRequests {
		q := &request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "GET", path: fmt.Sprintf("/lepu270/%d", i), deadline: longDeadline}
		requests = append(requests, q)
		wg.Go(func() { q.exchange(h, t.record) })
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	var broken []string
	for _, q := range requests {
		runs := t.runsOf(q.id)
		if q.sent.After(reloaded.Add(config)) || len(runs) == 0 {
			continue
		}
		if !q.whole && q.answered.Before(q.sent.Add(longDeadline-100*time.Millisecond)) {
			broken = append(broken, fmt.Sprintf("LOST: request %s, sent %.3f s after SIGHUP: %s", q.id, q.sent.Sub(reloaded).Seconds(), q.describe()))
		}
	}
	return broken, nil
}
