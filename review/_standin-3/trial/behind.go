package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	behindDeadline = 4 * time.Second
	pipelined      = 8
	calmRequests   = 100
)

// errBrokenOff means that a worker broke off its answer.
var errBrokenOff = errors.New("it breaks off its answer")

// prepareBehind adds workers of which those of one service have long answers, and break one
// off in its middle.
func prepareBehind(t *trial) error {
	t.configure(
		route{"r-download", "/lepu270/", "download", "huvo11a", behindDeadline},
		route{"r-safe", "/xapu221/ny95/", "safe", "kafi81c", behindDeadline},
	)
	err := t.addWorkers("huvo11a", 1, func(w *worker, r *http.Request, c net.Conn) error {
		body := filler(longBytes)
		if _, err := c.Write(append([]byte(w.head(r, longBytes)), body[:firstBytes]...)); err != nil {
			return err
		}
		if strings.HasSuffix(r.URL.Path, "/broken") {
			time.Sleep(200 * time.Millisecond)
			if t.trouble {
				return errBrokenOff
			}
		}
		_, err := c.Write(body[firstBytes:])
		return err
	})
	if err != nil {
		return err
	}
	return t.addWorkers("kafi81c", 2, workFor(600*time.Millisecond))
}

// runBehind sends requests one by one, and then some at once on one kept connection, of which
// the first has the answer that is broken off.
func runBehind(t *trial) ([]string, error) {
	h := t.fleet.hosts[0]
	for i := range calmRequests {
		q := &request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "GET", path: "/lepu270/calm", deadline: behindDeadline}
		if q.exchange(h, t.record); !q.whole || !q.signed {
			return nil, fmt.Errorf("request %s before the disruption: %s", q.id, q.describe())
		}
	}
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2*behindDeadline + time.Second))
	br := bufio.NewReader(c)
	first := &request{id: "9c41d07be2a35000", method: "GET", path: "/xapu221/ny95/first", deadline: behindDeadline, host: h}
	if err := first.write(c); err != nil {
		return nil, err
	}
	if first.read(br); !first.whole || !first.signed {
		return nil, fmt.Errorf("first request of the connection: %s", first.describe())
	}
	t.note("request %s: %s; its connection is kept", first.id, first.describe())
	var requests []*request
	for i := range pipelined {
		q := &request{id: fmt.Sprintf("9c41d07be2a36%03d", i), method: "GET", path: fmt.Sprintf("/xapu221/ny95/%d", i), deadline: behindDeadline, host: h}
		if i == 0 {
			q.path = "/lepu270/broken"
		}
		if err := q.write(c); err != nil {
			return nil, err
		}
		t.note("request %s: sent on the kept connection", q.id)
		requests = append(requests, q)
	}
	for _, q := range requests {
		q.read(br)
		t.note("request %s: %s", q.id, q.describe())
	}
	time.Sleep(time.Second)
	var lost []string
	for _, q := range requests[1:] {
		runs := t.runsOf(q.id)
		if q.status == 0 && len(runs) > 0 && !errors.Is(runs[0].err, errBrokenOff) {
			lost = append(lost, q.id)
		}
	}
	if len(lost) > 3 {
		return []string{fmt.Sprintf("LOST: %d requests of a kept connection were passed on to sound workers and have no answer: %s", len(lost), strings.Join(lost, " "))}, nil
	}
	return nil, nil
}
