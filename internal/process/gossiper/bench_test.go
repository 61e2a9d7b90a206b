package gossiper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/connection/linker"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/process/spreader"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// node is a host with the membership protocol and the distribution of configuration
// versions, wired as in package runner.
type node struct {
	gossiper *gossiper.Gossiper
	spreader *spreader.Driver
	linker   *linker.Linker
	h        holder.Holder
	pub      *publisher.Publisher
}

func (n *node) handle(ctx context.Context, e *framer.Envelope) (response *framer.Envelope, err error) {
	n.gossiper.MergeUpdates(e)
	if e.GetPing() != nil || e.GetPingRequest() != nil {
		response, err = n.gossiper.Handle(ctx, e)
	} else {
		response, err = n.spreader.Handle(ctx, e)
	}
	if err != nil {
		return nil, err
	}
	return n.gossiper.AttachUpdates(e, response), nil
}

func newNode(tb testing.TB, i int, listener net.Listener, seeds []string, store *platformer.Platformer) *node {
	n, address := new(node), listener.Addr().String()
	var err error
	n.linker, err = linker.New(loader.Peer{Plain: true}, n.handle)
	assert.NilError(tb, err)
	// The names are as long as those in a large fleet.
	self := &framer.Member{
		Name: fmt.Sprintf("region-%02d-zone-%d-host-%04d", i%58, i%4, i), Address: address, Caller: address, Operator: address,
		Region: fmt.Sprintf("region-%02d", i%58), Zone: fmt.Sprintf("region-%02d-zone-%d", i%58, i%4), Incarnation: uint64(time.Now().UnixNano()), Ready: true,
	}
	n.gossiper = gossiper.New(self, n.linker, func() []string { return seeds })
	n.pub = publisher.New(adapter.New("http://p", "http://p", "http://p", time.Second, store), &n.h)
	n.spreader = spreader.NewDriver(self.Name, address, &n.h, n.gossiper, n.pub, rand.New(rand.NewPCG(uint64(i), 1)))
	n.h.OnInstall(func(p *planner.Plan) { n.gossiper.SetVersion(p.Version()) })
	return n
}

// run runs the node until ctx ends, and updates the spreader's peers when the
// membership changes.
func (n *node) run(ctx context.Context, listener net.Listener) {
	var wg sync.WaitGroup
	changed := make(chan struct{}, 1)
	n.gossiper.OnChange(func(*framer.Member) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	wg.Go(func() { _ = n.linker.Serve(listener) })
	wg.Go(func() { n.gossiper.Run(ctx) })
	wg.Go(func() { n.spreader.Run(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
			n.spreader.SetPeers(n.gossiper.Neighbours(), len(n.gossiper.Members())+1)
		}
	}
	_ = n.linker.Close()
	wg.Wait()
}

func startFleet(tb testing.TB, hosts int) []*node {
	store := new(platformer.Platformer)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var fleet []*node
	var listeners []net.Listener
	// All hosts are seeds, as in the platform's list. With one seed, hosts that start
	// together take minutes until all have discovered each other.
	var seeds []string
	for range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		listeners, seeds = append(listeners, listener), append(seeds, listener.Addr().String())
	}
	for i, listener := range listeners {
		n := newNode(tb, i, listener, seeds, store)
		fleet = append(fleet, n)
		wg.Go(func() { n.run(ctx, listener) })
	}
	tb.Cleanup(func() { cancel(); wg.Wait() })
	return fleet
}

// usage is what a fleet has sent and the CPU time of the process.
type usage struct {
	messages, bytes uint64
	cpu             time.Duration
}

func usageOf(fleet []*node) (c usage) {
	for _, n := range fleet {
		s := n.linker.Counts()
		c.messages += s.MessagesOut
		c.bytes += s.BytesOut
	}
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	c.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return c
}

func reportPerHost(b *testing.B, before, after usage, per float64, unit string) {
	b.ReportMetric(float64(after.messages-before.messages)/per, "messages/host/"+unit)
	b.ReportMetric(float64(after.bytes-before.bytes)/per, "bytes/host/"+unit)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/per, "cpu-us/host/"+unit)
}

// publish publishes the version after the given one.
func publish(b *testing.B, fleet []*node, version uint64) {
	added := noter.Items{ClientAccounts: []noter.ClientAccount{{Name: fmt.Sprint("c", version), Hold: "stay"}}}
	_, err := fleet[version%uint64(len(fleet))].pub.Publish(b.Context(), &noter.Note{ID: fmt.Sprint("n", version), Base: version, Added: added})
	assert.NilError(b, err)
}

// awaitMembership waits until all nodes have discovered each other, and until the
// updates about the start are no longer transmitted.
func awaitMembership(fleet []*node) {
	for _, n := range fleet {
		for len(n.gossiper.Members()) < len(fleet)-1 {
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Updates about the start are transmitted for a while after it: 15 s suffice for
	// up to 64 hosts.
	time.Sleep(15 * time.Second)
}

// BenchmarkFleet measures the messages and bytes sent, and the CPU time, of membership
// and of the distribution of versions over plaintext loopback links: without changes,
// and with one new version per second. The CPU time includes the stand-in of the
// store, which runs in the same process.
func BenchmarkFleet(b *testing.B) {
	const window = 10
	for _, hosts := range []int{4, 8, 16, 32, 64, 128} {
		fleet := startFleet(b, hosts)
		awaitMembership(fleet)
		version := uint64(0)
		for _, unit := range []string{"s", "version"} {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, unit), func(b *testing.B) {
				before := usageOf(fleet)
				for range b.N * window {
					if unit == "version" {
						publish(b, fleet, version)
						version++
					}
					time.Sleep(time.Second)
				}
				reportPerHost(b, before, usageOf(fleet), float64(b.N*window*hosts), unit)
			})
		}
	}
}
