package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["hostname"] = hostname }

// Times and counts of the case.
const (
	configBound    = 2500 * time.Millisecond
	hostnameOrders = 200
	hostnameWork   = 20 * time.Millisecond
)

// hostname lets the operator add a route for a host whose name has capitals, and clients use it.
func hostname(r *rig) (string, error) {
	for _, zone := range []string{"bkk-a", "cnx-a"} {
		for i := range 3 {
			if _, err := r.addWorker(fmt.Sprintf("i-%s-%d", zone, i), "orderbook", zone, uploadWorkSlots, hostnameWork); err != nil {
				return "", err
			}
		}
	}
	r.configure(3)
	if err := r.startHosts("bkk-a", "cnx-a"); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	name := "orders.example"
	if r.trouble {
		name = "Orders.Example"
	}
	r.configureHost(6, name)
	r.record("operator", "the store acknowledges r6, which adds a route for host %s", name)
	time.Sleep(configBound + time.Second)
	statuses := make(map[int]int)
	for n := range hostnameOrders {
		h := r.hosts[n%len(r.hosts)]
		c, err := dial(h.front())
		if err != nil {
			return "", err
		}
		id := fmt.Sprintf("order-%d", n)
		c.host = name
		r.record("client", "sends %s to %s at %s", id, name, h.name)
		a := answer{}
		if a.err = c.send(http.MethodPost, "/order/1", id, uploadDeadline, payload(smallBodyBytes), false); a.err == nil {
			a = c.read(http.MethodPost)
		}
		r.record("client", "%s gets %s", id, a.describe())
		statuses[a.status]++
		_ = c.Close()
	}
	r.record("check", "answers by status: %v", statuses)
	if statuses[http.StatusNotFound] > 0 {
		return fmt.Sprintf("%d of %d orders got 404 later than Config after the version with their route was acknowledged", statuses[http.StatusNotFound], hostnameOrders), nil
	}
	if statuses[http.StatusOK] < hostnameOrders/2 {
		return "", fmt.Errorf("few orders were served: %v", statuses)
	}
	return "", nil
}
