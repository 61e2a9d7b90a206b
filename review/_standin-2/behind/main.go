// Command behind sends requests of safe routes behind a long download on one connection, and
// counts those that a sound worker has run and that get no answer because the worker of the
// download broke off.
package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/review/_standin-2/rig"
)

const (
	packBytes   = 2 << 20
	rounds      = 100 // downloads
	brokenOff   = 2   // of them, 0.02
	behind      = 6   // requests of a safe route behind each
	allowedLost = 3
)

func main() {
	r := rig.New()
	r.Store.PutConfig(7, rig.DefaultLimits)
	var packs atomic.Int64
	body := make([]byte, packBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	lookups := make(map[string]*rig.Worker)
	for zone := range rig.Zones {
		lookups[zone] = r.StartWorker("i-stock-"+zone, rig.Catalog, zone, 100*time.Millisecond, nil)
		r.StartWorker("i-pack-"+zone, rig.Docvault, zone, 50*time.Millisecond, func(x *rig.Exchange) bool {
			n := packs.Add(1)
			if !r.Trouble || n%(rounds/brokenOff) != 0 {
				x.Answer(http.StatusOK, "", body)
				return true
			}
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nDandeliontrack-Request-Id: %s\r\nDandeliontrack-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n", x.ID, x.Signature(body), len(body))
			_, _ = x.Conn.Write(append([]byte(head), body[:2*packBytes/3]...))
			time.Sleep(150 * time.Millisecond)
			r.Record("worker %s breaks off its answer to %s", x.Worker.ID, x.ID)
			return false
		})
	}
	r.StartHosts()
	time.Sleep(7 * time.Second)

	lost, served, brokenDownloads := 0, 0, 0
	for round := range rounds {
		h := r.Hosts[round%len(r.Hosts)]
		c := r.Connect(h)
		deadline := 2500 * time.Millisecond
		first := fmt.Sprintf("pack-%02d", round)
		end := time.Now().Add(deadline)
		_ = c.Send(http.MethodGet, rig.PackPath+fmt.Sprint(round), first, deadline, "", nil)
		var ids []string
		for i := range behind {
			id := fmt.Sprintf("stock-%02d-%d", round, i)
			ids = append(ids, id)
			_ = c.Send(http.MethodGet, fmt.Sprintf("%s%d-%d", rig.LookupPath, round, i), id, deadline, "", nil)
		}
		got := c.Read(http.MethodGet, first, end)
		broken := got.Err != nil
		if broken {
			brokenDownloads++
		}
		for _, id := range ids {
			var answer rig.Result
			if !broken {
				answer = c.Read(http.MethodGet, id, end)
			}
			run := 0
			for _, w := range lookups {
				run += w.Runs(id)
			}
			switch {
			case answer.Status != 0 && answer.Err == nil:
				served++
			case run > 0:
				lost++
				r.Record("client: %s has no answer (%v), and a sound worker ran it", id, answer.Err)
			default:
				r.Record("client: %s has no answer and did not reach a worker", id)
			}
		}
		c.Conn.Close()
	}
	r.Finish(lost > allowedLost, "%d requests that a sound worker ran got no answer before their connection ended (allowed: %d); %d were answered; %d of %d downloads were broken off", lost, allowedLost, served, brokenDownloads, rounds)
}
