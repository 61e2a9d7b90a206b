package controller_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/controller"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/request/finder"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/api"
)

// targetNote describes 58 regions, 232 zones, 2,400 sites and the blocks.
func targetNote(blocks int) *noter.Note {
	n := &noter.Note{ID: "first"}
	shares := make(map[string]int)
	for r := range 58 {
		region := noter.Region{Name: fmt.Sprint("r", r), Slots: 1000}
		for z := range 4 {
			region.Zones = append(region.Zones, fmt.Sprintf("r%d-z%d", r, z))
		}
		n.Added.Regions = append(n.Added.Regions, region)
		shares[region.Name] = 1
		for to := range 58 {
			if to != r {
				n.Added.Links = append(n.Added.Links, noter.Link{From: region.Name, To: fmt.Sprint("r", to), Rate: 5e8})
			}
		}
	}
	n.Added.Services = []noter.Service{{Name: "s", Class: "lookup", Shares: shares, Cap: noter.Cap{Fraction: 0.1, Every: 1e9}, Timeout: 1e9}}
	for r := range 58 {
		n.Added.Upstreams = append(n.Added.Upstreams, noter.Upstream{
			Name: fmt.Sprint("u", r), Service: "s", Region: fmt.Sprint("r", r), Zone: fmt.Sprintf("r%d-z0", r),
			Address: fmt.Sprintf("10.0.0.%d:80", r), Slots: 6, Connections: 330,
		})
	}
	for s := range 2400 {
		n.Added.Sites = append(n.Added.Sites, noter.Site{Name: fmt.Sprint("site-", s), Zone: fmt.Sprintf("r%d-z%d", s%58, s/58%4)})
	}
	for i := range blocks {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(i)<<8+1<<28)
		n.Added.Blocks = append(n.Added.Blocks, noter.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4(a), 24), Site: fmt.Sprint("site-", i*7919%2400)})
	}
	return n
}

func targetServer(b *testing.B, blocks int) http.Handler {
	p, err := new(planner.Plan).Apply(targetNote(blocks))
	assert.NilError(b, err)
	h := new(holder.Holder)
	assert.NilError(b, h.Install(p))
	var hosts []finder.Host
	for i := range 58 * 4 * 24 {
		hosts = append(hosts, finder.Host{
			Name: fmt.Sprint("host-", i), Address: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
			Region: fmt.Sprint("r", i%58), Zone: fmt.Sprintf("r%d-z%d", i%58, i/58%4),
		})
	}
	f := new(finder.Finder)
	f.Install(hosts)
	s := &loader.Settings{Name: "host-0", Region: "r0", Zone: "r0-z0"}
	s.Stop.LookupTTL = noter.Duration(10 * time.Second)
	server, err := api.NewServer(controller.New(controller.Parts{Settings: s, Holder: h, Finder: f}))
	assert.NilError(b, err)
	return controller.WithRemote(server)
}

func usage(who int) time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(who, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ask makes n look-ups over one connection from a thread of its own, whose
// processor time it returns.
func ask(b *testing.B, address string, n, blocks int, seed uint64) time.Duration {
	const thread = 1 // RUSAGE_THREAD
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	conn, err := net.Dial("tcp", address)
	assert.Check(b, err)
	defer conn.Close()
	rng := rand.New(rand.NewPCG(seed, 1))
	answer, request := make([]byte, 8192), make([]byte, 0, 256)
	start := usage(thread)
	for range n {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], rng.Uint32N(uint32(max(blocks, 1)))<<8+1<<28)
		request = append(request[:0], "GET /v1/lookup/s?client="...)
		request = netip.AddrFrom4(a).AppendTo(request)
		request = append(request, " HTTP/1.1\r\nHost: h\r\n\r\n"...)
		_, err = conn.Write(request)
		assert.Check(b, err)
		size, err := conn.Read(answer)
		if err != nil || !bytes.HasPrefix(answer[:size], []byte("HTTP/1.1 200")) || answer[size-1] != '}' && answer[size-2] != '}' {
			b.Errorf("answer %q: %v", answer[:size], err)
			break
		}
	}
	return usage(thread) - start
}

// Look-ups over HTTP/1.1 with kept connections. The processor time of the
// clients' threads is subtracted as far as the threads are theirs alone.
func BenchmarkLookup(b *testing.B) {
	const clients = 8
	for _, blocks := range []int{1000, 1_700_000} {
		handler := targetServer(b, blocks)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			b.ReportAllocs()
			var wg sync.WaitGroup
			var mu sync.Mutex
			var client time.Duration
			start := usage(syscall.RUSAGE_SELF)
			for i := range clients {
				wg.Go(func() {
					t := ask(b, listener.Addr().String(), b.N/clients+1, blocks, uint64(i))
					mu.Lock()
					client += t
					mu.Unlock()
				})
			}
			wg.Wait()
			all := usage(syscall.RUSAGE_SELF) - start
			n := float64((b.N/clients + 1) * clients)
			b.ReportMetric(n/all.Seconds(), "lookups/s/core-both-ends")
			b.ReportMetric(n/(all-client).Seconds(), "lookups/s/core-server")
		})
		assert.NilError(b, server.Close())
	}
}
