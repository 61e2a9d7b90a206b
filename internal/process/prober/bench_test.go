package prober

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Bytes sent, and processor time of both ends, for each upstream and second.
func BenchmarkProbes(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"flight":3,"slots":6}`)
			return
		}
		fmt.Fprintln(w, "ready")
	}))
	defer server.Close()
	for _, size := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint("upstreams=", size), func(b *testing.B) {
			n := &noter.Note{ID: "first"}
			n.Added.Regions = []noter.Region{{Name: "r", Zones: []string{"r-a"}, Slots: 1000}}
			n.Added.Services = []noter.Service{{Name: "s", Class: "lookup", Shares: map[string]int{"r": 1}, Cap: noter.Cap{Fraction: 0.1, Every: 1e9}, Timeout: 1e9}}
			for i := range size {
				address := fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255)
				n.Added.Upstreams = append(n.Added.Upstreams, noter.Upstream{Name: fmt.Sprint("u", i), Service: "s", Region: "r", Zone: "r-a", Address: address, Slots: 6, Connections: 330})
			}
			plan, err := new(planner.Plan).Apply(n)
			assert.NilError(b, err)
			g := gauger.New(time.Now())
			g.Install(plan, time.Now())
			var bytes atomic.Int64
			transport := &http.Transport{MaxIdleConnsPerHost: 16, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, network, server.Listener.Addr().String())
				return counted{c, &bytes}, err
			}}
			defer transport.CloseIdleConnections()
			span := time.Duration(b.N) * 3 * time.Second
			ctx, cancel := context.WithTimeout(b.Context(), span)
			defer cancel()
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			New(transport, g, func(string) {}).Run(ctx, func() *planner.Plan { return plan })
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
			per := float64(size) * span.Seconds()
			b.ReportMetric(float64(bytes.Load())/per, "bytes/upstream/s")
			b.ReportMetric(float64(cpu)/1000/per, "cpu-us/upstream/s")
		})
	}
}
