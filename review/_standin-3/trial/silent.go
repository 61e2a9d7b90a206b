package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// longDeadline is that of the kind donor-query of the deployment baobab-porta.
	longDeadline = 20 * time.Second
	longBytes    = 1_500_000
	firstBytes   = 1_200_000
	// silence is how long the worker sends nothing in the middle of its answer. Work of 3.4 s
	// that takes four times as long lasts 13.6 s.
	silence = 11 * time.Second
)

// prepareSilent adds workers whose answer comes in two parts.
func prepareSilent(t *trial) error {
	t.configure(route{"r-download", "/lepu270/", "download", "huvo11a", longDeadline})
	pause := silence
	if !t.trouble {
		pause = 100 * time.Millisecond
	}
	return t.addWorkers("huvo11a", 1, func(w *worker, r *http.Request, c net.Conn) error {
		body := filler(longBytes)
		if _, err := c.Write(append([]byte(w.head(r, longBytes)), body[:firstBytes]...)); err != nil {
			return err
		}
		time.Sleep(pause)
		_, err := c.Write(body[firstBytes:])
		return err
	})
}

// runSilent sends SIGHUP to a host, and a request right after that.
func runSilent(t *trial) ([]string, error) {
	h := t.fleet.hosts[0]
	t.note("host %s: SIGHUP", h.name)
	reloaded := time.Now()
	if err := h.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	q := &request{id: "9c41d07be2a35f68", method: "GET", path: "/lepu270/2f", deadline: longDeadline}
	q.exchange(h, t.record)
	if q.sent.After(reloaded.Add(config)) || len(t.runsOf(q.id)) == 0 {
		return nil, fmt.Errorf("the request came too late or was not passed on: %s", q.describe())
	}
	if !q.whole && q.answered.Before(q.sent.Add(longDeadline-100*time.Millisecond)) {
		return []string{fmt.Sprintf("LOST: request %s, sent %.3f s after SIGHUP: %s", q.id, q.sent.Sub(reloaded).Seconds(), q.describe())}, nil
	}
	return nil, nil
}
