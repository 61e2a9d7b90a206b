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

// node is a host with membership and spreading of versions, wired as in runner.
type node struct {
	gossip *gossiper.Gossiper
	spread *spreader.Driver
	link   *linker.Linker
	h      holder.Holder
	pub    *publisher.Publisher
}

func (n *node) answer(ctx context.Context, e *framer.Envelope) (answer *framer.Envelope, err error) {
	n.gossip.MergeUpdates(e)
	if e.GetPing() != nil || e.GetPingRequest() != nil {
		answer, err = n.gossip.Handle(ctx, e)
	} else {
		answer, err = n.spread.Handle(ctx, e)
	}
	if err != nil {
		return nil, err
	}
	return n.gossip.AttachUpdates(e, answer), nil
}

func newNode(tb testing.TB, i int, listener net.Listener, seeds []string, store *platformer.Platformer) *node {
	n, address := new(node), listener.Addr().String()
	var err error
	n.link, err = linker.New(loader.Peer{Plain: true}, n.answer)
	assert.NilError(tb, err)
	// The lengths of the names are those of a large fleet.
	self := &framer.Member{
		Name: fmt.Sprintf("region-%02d-zone-%d-host-%04d", i%58, i%4, i), Address: address, Caller: address, Operator: address,
		Region: fmt.Sprintf("region-%02d", i%58), Zone: fmt.Sprintf("region-%02d-zone-%d", i%58, i%4), Incarnation: uint64(time.Now().UnixNano()), Ready: true,
	}
	n.gossip = gossiper.New(self, n.link, func() []string { return seeds })
	n.pub = publisher.New(adapter.New("http://p", "http://p", "http://p", time.Second, store), &n.h)
	n.spread = spreader.NewDriver(self.Name, address, &n.h, n.gossip, n.pub, rand.New(rand.NewPCG(uint64(i), 1)))
	n.h.OnInstall(func(p *planner.Plan) { n.gossip.SetVersion(p.Version()) })
	return n
}

// run runs the node. Its neighbours follow the membership.
func (n *node) run(ctx context.Context, listener net.Listener) {
	var wg sync.WaitGroup
	dirty := make(chan struct{}, 1)
	n.gossip.OnChange(func(*framer.Member) {
		select {
		case dirty <- struct{}{}:
		default:
		}
	})
	wg.Go(func() { _ = n.link.Serve(listener) })
	wg.Go(func() { n.gossip.Run(ctx) })
	wg.Go(func() { n.spread.Run(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-dirty:
			n.spread.SetPeers(n.gossip.Neighbours(), len(n.gossip.Members())+1)
		}
	}
	_ = n.link.Close()
	wg.Wait()
}

func startFleet(tb testing.TB, hosts int) []*node {
	store := new(platformer.Platformer)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var fleet []*node
	var listeners []net.Listener
	// All hosts are seeds, as with the platform's list. With one seed, hosts
	// that start together don't all learn of each other for minutes.
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

type cost struct {
	messages, bytes uint64
	cpu             time.Duration
}

func spent(fleet []*node) (c cost) {
	for _, n := range fleet {
		s := n.link.Counts()
		c.messages += s.MessagesOut
		c.bytes += s.BytesOut
	}
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	c.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return c
}

func report(b *testing.B, before, after cost, per float64, unit string) {
	b.ReportMetric(float64(after.messages-before.messages)/per, "messages/host/"+unit)
	b.ReportMetric(float64(after.bytes-before.bytes)/per, "bytes/host/"+unit)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/per, "cpu-us/host/"+unit)
}

// publish publishes the version that follows the one given.
func publish(b *testing.B, fleet []*node, version uint64) {
	added := noter.Items{ClientAccounts: []noter.ClientAccount{{Name: fmt.Sprint("c", version), Hold: "stay"}}}
	_, err := fleet[version%uint64(len(fleet))].pub.Publish(b.Context(), &noter.Note{ID: fmt.Sprint("n", version), Base: version, Added: added})
	assert.NilError(b, err)
}

func settle(fleet []*node) {
	for _, n := range fleet {
		for len(n.gossip.Members()) < len(fleet)-1 {
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Updates about the start are passed on for a while: 15 s are enough up to 64
	// hosts.
	time.Sleep(15 * time.Second)
}

// Messages and bytes sent, and processor time, of membership and spreading over
// plain loopback links: while nothing changes, and with a version a second. The
// stand-in of the store runs in the same process.
func BenchmarkFleet(b *testing.B) {
	const window = 10
	for _, hosts := range []int{4, 8, 16, 32, 64, 128} {
		fleet := startFleet(b, hosts)
		settle(fleet)
		version := uint64(0)
		for _, unit := range []string{"s", "version"} {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, unit), func(b *testing.B) {
				before := spent(fleet)
				for range b.N * window {
					if unit == "version" {
						publish(b, fleet, version)
						version++
					}
					time.Sleep(time.Second)
				}
				report(b, before, spent(fleet), float64(b.N*window*hosts), unit)
			})
		}
	}
}
