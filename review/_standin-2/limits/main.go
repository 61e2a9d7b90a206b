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
			r.Record("client: request %d (%s) on a kept connection gets %d, close %v, %v", i, kinds[i%len(kinds)], got.Status, got.Close, got.Err)
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
		r.Record("client: request %d (%s) on a new connection to %s gets %d", i, kinds[i%len(kinds)], h.Name, got.Status)
		if got.Status == http.StatusOK {
			fresh++
		}
	}
	r.Finish(tooLarge.Load()+tooLong.Load()+tooSlow.Load() > 0, "of %d requests that version r9 allows, sent %v after its acknowledgement on kept connections, %d got 413, %d got 431, %d got 408 and %d were served; %d of %d on new connections were served",
		len(clients), 2*config, tooLarge.Load(), tooLong.Load(), tooSlow.Load(), served.Load(), fresh, 2*len(r.Hosts))
}

// kinds are the requests that only the newer version allows.
var kinds = []string{"body of 96 KiB", "header of 10 KiB", "header that takes 1.5 s"}

// send sends request i of its kind.
func send(c *rig.Client, i int, prefix string, body []byte) rig.Result {
	id := fmt.Sprintf("%s-%02d", prefix, i)
	switch i % len(kinds) {
	case 0:
		return c.Do(http.MethodPost, rig.OrderPath+"2", id, deadline, "", body)
	case 1:
		return c.Do(http.MethodPost, rig.OrderPath+"3", id, deadline, "Cookie: session="+strings.Repeat("s", cookieBytes)+"\r\n", []byte("an order"))
	default:
		return sendSlowly(c, id)
	}
}

// sendSlowly sends a request whose header takes slowHeader to arrive.
func sendSlowly(c *rig.Client, id string) rig.Result {
	raw := rig.Format(http.MethodPost, rig.OrderPath+"3", id, deadline, "", []byte("an order"))
	end := time.Now().Add(slowHeader + deadline)
	_, _ = c.Conn.Write(raw[:20])
	time.Sleep(slowHeader)
	_, _ = c.Conn.Write(raw[20:])
	return c.Read(http.MethodPost, end)
}
