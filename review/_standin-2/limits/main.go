// Command limits raises limits of the configuration while clients keep their connections open,
// and sends requests that only the newer version allows: with a longer body, with a longer header,
// or with a header that takes longer to arrive.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/review/_standin-2/rig"
)

const (
	connections = 6 // for each host, a third for each limit
	bodyBytes   = 96 << 10
	config      = 2500 * time.Millisecond // bound Config
	deadline    = 2500 * time.Millisecond
	slowHeader  = 1500 * time.Millisecond
	cookieBytes = 10 << 10
)

func main() {
	r := rig.New()
	old := rig.DefaultLimits
	old.MaxBodyBytes, old.HeaderTimeout, old.MaxHeaderBytes = 64<<10, "1000ms", 8<<10
	if r.Trouble {
		r.Store.PutConfig(7, old)
	} else {
		r.Store.PutConfig(7, rig.DefaultLimits)
	}
	for zone := range rig.Zones {
		r.StartWorker("i-order-"+zone, rig.Orderbook, zone, 20*time.Millisecond, nil)
	}
	r.StartHosts()

	var clients []*rig.Client
	for _, h := range r.Hosts {
		for range connections {
			clients = append(clients, r.Connect(h))
		}
	}
	for i, c := range clients {
		id := fmt.Sprintf("first-%02d", i)
		got := c.Do(http.MethodPost, rig.OrderPath+"1", id, deadline, "", []byte("an order"))
		if got.Status != http.StatusOK || got.Err != nil || got.Close {
			r.Fail("request %s before the change: status %d, close %v, %v", id, got.Status, got.Close, got.Err)
		}
	}
	r.Record("%d connections have had a response each and stay open", len(clients))
	time.Sleep(2 * time.Second)
	if r.Trouble {
		r.Store.PutConfig(9, rig.DefaultLimits)
	}
	time.Sleep(2 * config) // no request is sent earlier than twice the bound after the acknowledgement

	body := bytes.Repeat([]byte("order line\n"), bodyBytes/11)
	var wg sync.WaitGroup
	var tooLarge, tooLong, tooSlow, served atomic.Int64
	for i, c := range clients {
		wg.Go(func() {
			got := send(c, i, "kept", body)
			switch got.Status {
			case http.StatusRequestEntityTooLarge:
				tooLarge.Add(1)
			case http.StatusRequestHeaderFieldsTooLarge:
				tooLong.Add(1)
			case http.StatusRequestTimeout:
				tooSlow.Add(1)
			case http.StatusOK:
				served.Add(1)
			}
		})
	}
	wg.Wait()
	fresh := 0
	for i, h := range append(r.Hosts, r.Hosts...) {
		got := send(r.Connect(h), i, "fresh", body)
		if got.Status == http.StatusOK {
			fresh++
		}
	}
	r.Finish(tooLarge.Load()+tooLong.Load()+tooSlow.Load() > 0, "of %d requests that version r9 allows, sent %v after its acknowledgement on kept connections, %d got 413, %d got 431, %d got 408 and %d were served; %d of %d on new connections were served",
		len(clients), 2*config, tooLarge.Load(), tooLong.Load(), tooSlow.Load(), served.Load(), fresh, 2*len(r.Hosts))
}

// send sends request i, which only the newer version allows: its body, its header or the time that its
// header takes is over the older limit.
func send(c *rig.Client, i int, prefix string, body []byte) rig.Result {
	switch i % 3 {
	case 0:
		return c.Do(http.MethodPost, rig.OrderPath+"2", fmt.Sprintf("%s-%02d-long-body", prefix, i), deadline, "", body)
	case 1:
		cookie := "Cookie: session=" + strings.Repeat("s", cookieBytes) + "\r\n"
		return c.Do(http.MethodPost, rig.OrderPath+"3", fmt.Sprintf("%s-%02d-long-header", prefix, i), deadline, cookie, []byte("an order"))
	default:
		id := fmt.Sprintf("%s-%02d-slow-header", prefix, i)
		end := time.Now().Add(slowHeader + deadline)
		if err := c.SendSlowly(http.MethodPost, rig.OrderPath+"4", id, deadline, slowHeader, []byte("an order")); err != nil {
			return rig.Result{Err: err}
		}
		return c.Read(http.MethodPost, id, end)
	}
}
