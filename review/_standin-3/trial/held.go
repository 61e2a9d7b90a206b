package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heldTimeout and heldDeadline are the route's timeout and the deadline of the kind
	// stock-lookup of the deployment skp-gatehinge-grown.
	heldTimeout  = 2500 * time.Millisecond
	heldDeadline = 10 * time.Second
	heldRequests = 300
	// silentWorkers of the 24 workers, a share of 0.125, fall silent in 4 of 10 answers.
	silentWorkers = 3
)

// prepareHeld adds workers of which some fall silent in the middle of long answers.
func prepareHeld(t *trial) error {
	t.configure(route{"r-safe", "/lepu270/", "safe", "huvo11a", heldTimeout})
	var answers atomic.Int64
	return t.addWorkers("huvo11a", 4, func(w *worker, r *http.Request, c net.Conn) error {
		body := filler(longBytes)
		if _, err := c.Write(append([]byte(w.head(r, longBytes)), body[:firstBytes]...)); err != nil {
			return err
		}
		if t.trouble && w.number <= silentWorkers && answers.Add(1)%10 < 4 {
			time.Sleep(heldDeadline)
		}
		_, err := c.Write(body[firstBytes:])
		return err
	})
}

// runHeld sends requests to all hosts.
func runHeld(t *trial) ([]string, error) {
	var requests []*request
	var wg sync.WaitGroup
	for i := range heldRequests {
		q := &request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "GET", path: fmt.Sprintf("/lepu270/%d", i), deadline: heldDeadline}
		requests = append(requests, q)
		wg.Go(func() { q.exchange(t.fleet.hosts[i%len(t.fleet.hosts)], t.record) })
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	longer, late, cutOff := 0, 0, 0
	for _, q := range requests {
		if len(t.runsOf(q.id)) == 0 {
			continue
		}
		took := q.answered.Sub(q.sent)
		if took > heldTimeout {
			longer++
		}
		if took > heldTimeout+500*time.Millisecond {
			late++
			if !q.whole {
				cutOff++
			}
		}
	}
	t.note("%d requests lasted longer than the timeout of their route, %d of them by over 0.5 s, and %d of these never got their whole answer", longer, late, cutOff)
	if late >= 8 && 4*late > longer {
		return []string{fmt.Sprintf("CONFIG: of %d requests that lasted longer than their route's timeout, %d had no final answer 0.5 s after it, and %d never got one", longer, late, cutOff)}, nil
	}
	return nil, nil
}
