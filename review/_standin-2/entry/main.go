// Command entry lets another writer overwrite the entries of workers by ones that lack a field, and
// counts requests that a worker runs for a service to which it doesn't belong.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/review/_standin-2/rig"
)

const (
	duration = 13 * time.Second
	entries  = 6 // that another writer writes, one every 2 s
)

func main() {
	r := rig.New()
	r.Store.PutConfig(7, rig.DefaultLimits)
	var stock []*rig.Worker
	for zone := range rig.Zones {
		stock = append(stock, r.StartWorker("i-stock-"+zone, rig.Catalog, zone, 20*time.Millisecond, nil))
		r.StartWorker("i-order-"+zone, rig.Orderbook, zone, 60*time.Millisecond, nil)
	}
	r.StartHosts()
	time.Sleep(7 * time.Second)

	if r.Trouble {
		go func() {
			for n := range entries {
				w := stock[n%len(stock)]
				e := w.Entry()
				delete(e, "born")
				e["Info"].(map[string]any)["Service"] = rig.Orderbook
				raw, _ := json.Marshal(e)
				r.Store.Put("servers", "", w.ID, raw)
				r.Record("another writer: entry %s: %s", w.ID, raw)
				time.Sleep(2 * time.Second)
			}
		}()
	}
	var sent, served, foreign atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i, h := range append(r.Hosts, r.Hosts...) {
		wg.Go(func() {
			c := r.Connect(h)
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("order-%d-%04d", i, n)
				sent.Add(1)
				got := c.Do(http.MethodPost, fmt.Sprintf("%s%d", rig.OrderPath, n), id, 2500*time.Millisecond, "", []byte("an order"))
				if got.Status == http.StatusOK {
					served.Add(1)
				}
				for _, w := range stock {
					if w.Runs(id) > 0 {
						foreign.Add(1)
						r.Record("client: %s, sent on the route of %s to %s, was run by %s of %s and gets %d %q", id, rig.Orderbook, h.Name, w.ID, w.Service, got.Status, got.Body)
					}
				}
				if got.Status == 0 || got.Close {
					c = r.Connect(h)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	r.Finish(foreign.Load() > 0, "%d of %d requests on the route of %s were run by workers of %s; %d were served", foreign.Load(), sent.Load(), rig.Orderbook, rig.Catalog, served.Load())
}
