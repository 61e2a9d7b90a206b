// Package delayer adds the delay between places to connections over loopback.
// A Delayer gives each host a dial function. Connections that it opens carry
// every byte after the one-way delay between the two ends, and can be cut or
// silenced by pairs of places. Tests and `dev` use it; hosts only take a dial
// function.
package delayer

import (
	"context"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Place is where one end of a connection is. The place of a client is the zone
// nearest to it, with Client set.
type Place struct {
	Region string
	Zone   string
	Client bool
}

// Delays are the one-way delays between zones of a region, between regions,
// and between a client and its nearest zone.
type Delays struct {
	Zone   time.Duration
	Region time.Duration
	Client time.Duration
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pair is one direction between two regions.
type Pair struct{ From, To string }

// dialTimeout bounds a dial over a cut link, where nothing answers.
const dialTimeout = 30 * time.Second

// Delayer knows the places of addresses and the connections that it opened.
type Delayer struct {
	delays Delays
	dial   DialFunc
	mu     sync.Mutex
	places map[string]Place
	cut    map[Pair]bool
	bytes  map[Pair]*atomic.Int64
	links  map[*link]bool
}

// New returns a Delayer without places.
func New(d Delays) *Delayer {
	return &Delayer{
		delays: d,
		dial:   new(net.Dialer).DialContext,
		places: make(map[string]Place),
		cut:    make(map[Pair]bool),
		bytes:  make(map[Pair]*atomic.Int64),
		links:  make(map[*link]bool),
	}
}

// UseDial makes the Delayer open the real connections with dial instead of a
// net.Dialer. It must be called before the first dial.
func (d *Delayer) UseDial(dial DialFunc) { d.dial = dial }

// SetPlace says where the listener with this address is. Connections to other
// addresses are neither delayed nor counted.
func (d *Delayer) SetPlace(address string, p Place) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places[address] = p
}

// Delay returns the one-way delay between two places.
func (d *Delayer) Delay(a, b Place) time.Duration {
	var delay time.Duration
	if a.Client || b.Client {
		delay = d.delays.Client
	}
	switch {
	case a.Region != b.Region:
		delay += d.delays.Region
	case a.Zone != b.Zone:
		delay += d.delays.Zone
	}
	return delay
}

// Dialer returns the dial function of a process at this place.
func (d *Delayer) Dialer(from Place) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d.mu.Lock()
		to, known := d.places[address]
		isCut := known && d.cut[Pair{from.Region, to.Region}]
		d.mu.Unlock()
		if !known {
			return d.dial(ctx, network, address)
		}
		if isCut {
			if err := sleep(ctx, dialTimeout); err != nil {
				return nil, err
			}
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		delay := d.Delay(from, to)
		// The handshake takes one round trip before the caller may send.
		if err := sleep(ctx, 2*delay); err != nil {
			return nil, err
		}
		raw, err := d.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.open(raw, from, to, delay), nil
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// open puts a link between the caller and a connection.
func (d *Delayer) open(raw net.Conn, from, to Place, delay time.Duration) net.Conn {
	near, far := net.Pipe()
	l := &link{from: from, to: to, raw: raw, far: far}
	d.mu.Lock()
	d.links[l] = true
	there, back := d.counter(from, to), d.counter(to, from)
	d.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.carry(raw, far, delay, there) })
	wg.Go(func() { l.carry(far, raw, delay, back) })
	go func() {
		wg.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.links, l)
	}()
	return &conn{Conn: near, raw: raw}
}

// counter returns the byte counter of a direction. Traffic of clients and
// within a region is on no link between regions. The caller holds the lock.
func (d *Delayer) counter(from, to Place) *atomic.Int64 {
	if from.Region == to.Region || from.Client || to.Client {
		return new(atomic.Int64)
	}
	p := Pair{from.Region, to.Region}
	if d.bytes[p] == nil {
		d.bytes[p] = new(atomic.Int64)
	}
	return d.bytes[p]
}

// Bytes returns how many bytes were sent so far in each direction between
// regions.
func (d *Delayer) Bytes() map[Pair]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := make(map[Pair]int64, len(d.bytes))
	for p, n := range maps.All(d.bytes) {
		sent[p] = n.Load()
	}
	return sent
}

// Cut ends all traffic between two regions, or within one if they are equal:
// open connections go silent for good and dials time out, until Heal.
func (d *Delayer) Cut(a, b string) {
	d.mu.Lock()
	d.cut[Pair{a, b}], d.cut[Pair{b, a}] = true, true
	d.mu.Unlock()
	d.Silence(a, b)
}

// Heal lets new connections between two regions work again.
func (d *Delayer) Heal(a, b string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cut, Pair{a, b})
	delete(d.cut, Pair{b, a})
}

// Silence drops every later byte on the connections that are open between two
// regions. Neither end is told. Connections opened later work.
func (d *Delayer) Silence(a, b string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		if l.from.Region == a && l.to.Region == b || l.from.Region == b && l.to.Region == a {
			l.silent.Store(true)
		}
	}
}

// Open returns the number of delayed connections that are open.
func (d *Delayer) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.links)
}
