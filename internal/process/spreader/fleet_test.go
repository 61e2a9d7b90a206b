package spreader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/connection/linker"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// delayed adds the one-way delay between regions to both directions. Host i is
// in region i mod 3.
type delayed struct {
	next   Caller
	region int
	index  map[string]int
	delay  time.Duration
}

func (d *delayed) Call(ctx context.Context, to string, e *framer.Envelope) (*framer.Envelope, error) {
	wait := d.delay
	if d.index[to]%3 == d.region {
		wait = 0
	}
	time.Sleep(wait)
	reply, err := d.next.Call(ctx, to, e)
	time.Sleep(wait)
	return reply, err
}

// farStore adds the delay of a region that the store isn't in, both ways.
type farStore struct {
	next  http.RoundTripper
	delay time.Duration
}

func (f farStore) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(f.delay)
	resp, err := f.next.RoundTrip(req)
	time.Sleep(f.delay)
	return resp, err
}

type member struct {
	h      *holder.Holder
	pub    *publisher.Publisher
	driver *Driver
	link   *linker.Linker
}

// fleet is a number of hosts in this process with plain links over loopback
// sockets.
type fleet struct {
	members   []*member
	installed chan uint64 // one entry for each installation
}

func newFleet(tb testing.TB, hosts int, delay time.Duration) *fleet {
	tb.Helper()
	f := &fleet{installed: make(chan uint64, 1<<16)}
	store := new(platformer.Platformer)
	var listeners []net.Listener
	var addresses []string
	index := make(map[string]int)
	for i := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
		index[l.Addr().String()] = i
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range hosts {
		m := &member{h: new(holder.Holder)}
		rt := farStore{store, delay}
		if i%3 == 0 {
			rt.delay = 0
		}
		last := uint64(0)
		m.h.OnInstall(func(p *planner.Plan) {
			if p.Version() <= last {
				tb.Errorf("host %d goes from version %d to %d", i, last, p.Version())
			}
			last = p.Version()
			f.installed <- last
		})
		m.pub = publisher.New(adapter.New("http://p", "http://p", "http://p", time.Second, rt), m.h)
		link, err := linker.New(loader.Peer{Plain: true}, func(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
			return m.driver.Handle(ctx, e)
		})
		assert.NilError(tb, err)
		m.link = link
		caller := &delayed{link, i % 3, index, delay}
		m.driver = NewDriver(fmt.Sprint("h", i), addresses[i], m.h, caller, m.pub, rand.New(rand.NewPCG(uint64(i), 1)))
		m.driver.SetPeers(ring(i, addresses), hosts)
		f.members = append(f.members, m)
	}
	for i, m := range f.members {
		wg.Go(func() { _ = m.link.Serve(listeners[i]) })
		wg.Go(func() { m.driver.Run(ctx) })
	}
	tb.Cleanup(func() {
		cancel()
		for _, m := range f.members {
			assert.NilError(tb, m.link.Close())
		}
		wg.Wait()
	})
	return f
}

// await waits until all hosts have installed the version.
func (f *fleet) await(tb testing.TB, version uint64) {
	tb.Helper()
	timeout := time.After(time.Minute)
	for slices.ContainsFunc(f.members, func(m *member) bool { return m.h.Plan().Version() < version }) {
		select {
		case <-f.installed:
		case <-timeout:
			tb.Fatalf("version %d is not in force everywhere after 1 min", version)
		}
	}
}

func (f *fleet) messages() (n, bytes uint64) {
	for _, m := range f.members {
		c := m.link.Counts()
		n += c.MessagesIn
		bytes += c.BytesIn
	}
	return n, bytes
}

func entryOf(f *fleet, version uint64) holder.Entry {
	e, _ := f.members[0].h.Entry(version)
	return e
}

// Guards against a publication that doesn't reach all hosts over real sockets,
// or that costs more than a few messages per host and neighbour.
func TestTwelveHostsOverSockets(t *testing.T) {
	f := newFleet(t, 12, 0)
	for v := range uint64(20) {
		_, err := f.members[v%12].pub.Publish(t.Context(), accountNote(fmt.Sprint("c", v), v))
		assert.NilError(t, err)
		f.await(t, v+1)
	}
	e, err := f.members[5].driver.Entry(t.Context(), 7, entryOf(f, 7).Chain)
	assert.NilError(t, err)
	assert.Equal(t, e.Chain, entryOf(f, 7).Chain)
	n, _ := f.messages()
	neighbours := uint64(len(ring(0, make([]string, 12))))
	assert.Assert(t, neighbours > 0)
	// A version costs a host at most one push and one repetition for each
	// neighbour, a call is two messages, and the digests of the seconds
	// that the test may take come on top.
	assert.Assert(t, n < 20*12*8*2*2+12*digestFanout*2*60, "%d messages", n)
	assert.Equal(t, f.members[0].h.Plan().Chain(), f.members[11].h.Plan().Chain())
}

// The time from the call of Publish until the version is in force on all of 12
// hosts in three regions 55 ms apart. The store is in one of them, and all
// hosts publish in turn.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, 12, 55*time.Millisecond)
	time.Sleep(4 * time.Second)
	var times []time.Duration
	n, bytes := f.messages()
	for v := uint64(0); b.Loop(); v++ {
		start := time.Now()
		_, err := f.members[v%12].pub.Publish(b.Context(), accountNote(fmt.Sprint("c", v), v))
		assert.NilError(b, err)
		f.await(b, v+1)
		times = append(times, time.Since(start))
	}
	n2, bytes2 := f.messages()
	b.ReportMetric(float64(n2-n)/float64(12*len(times)), "messages/host/version")
	b.ReportMetric(float64(bytes2-bytes)/float64(12*len(times)), "bytes/host/version")
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99-ms")
}

// Bytes and messages per host and second while nothing changes.
func BenchmarkIdle(b *testing.B) {
	for _, hosts := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := newFleet(b, hosts, 0)
			// The window begins and ends between two rounds of digests.
			time.Sleep(4500 * time.Millisecond)
			n, bytes := f.messages()
			start := time.Now()
			for b.Loop() {
				time.Sleep(10 * time.Second)
			}
			n2, bytes2 := f.messages()
			per := float64(hosts) * time.Since(start).Seconds()
			b.ReportMetric(float64(n2-n)/per, "messages/host/s")
			b.ReportMetric(float64(bytes2-bytes)/per, "bytes/host/s")
		})
	}
}

// Virtual time from the acceptance until the version is in force everywhere,
// and calls per host, with a one-way delay of 55 ms between any two hosts: the
// slope over the number of hosts.
func BenchmarkSpread(b *testing.B) {
	for _, hosts := range []int{12, 48, 192, 768} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var span time.Duration
			calls, versions := 0, 0
			w := newWorld(b, 1, hosts)
			w.fixed = 55 * time.Millisecond
			w.run(8 * time.Second)
			for b.Loop() {
				w.run(time.Second)
				start, before := w.now, w.calls
				assert.Assert(b, w.publish(w.names[versions*7%hosts]) > 0)
				for _, ok := w.agree(); !ok; _, ok = w.agree() {
					w.run(5 * time.Millisecond)
				}
				span += w.now.Sub(start)
				calls += w.calls - before
				versions++
			}
			b.ReportMetric(float64(span.Milliseconds())/float64(versions), "virtual-ms")
			b.ReportMetric(float64(calls)/float64(versions*hosts), "calls/host/version")
		})
	}
}
