package runner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/process/runner"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

// site is one host with a platform and upstreams, over loopback.
type site struct {
	settings *loader.Settings
	runner   *runner.Runner
	platform *platformer.Platformer
	end      context.CancelFunc
	done     chan error
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(tb testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer l.Close()
	return l.Addr().String()
}

// newSite starts a host whose service "catalog" has the upstream handlers.
func newSite(tb testing.TB, upstreams ...http.Handler) *site {
	s := &site{platform: new(platformer.Platformer), done: make(chan error, 1)}
	store := httptest.NewServer(s.platform)
	tb.Cleanup(store.Close)
	text := fmt.Sprintf(`{"name":"h1","region":"bkk","zone":"bkk-a","caller":{"listen":%q},"operator":{"listen":%q},
		"peer":{"listen":%q,"plain":true},"platform":{"table":%[4]q,"objects":%[4]q,"hosts":%[4]q},
		"log":{"level":"disabled"},"stop":{"lifetime":"50ms"}}`,
		freeAddress(tb), freeAddress(tb), freeAddress(tb), store.URL)
	var err error
	s.settings, err = loader.Read(strings.NewReader(text))
	assert.NilError(tb, err)
	s.publish(tb, store.URL, upstreams)
	s.runner, err = runner.New(s.settings, logger.Logger{})
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	s.end = cancel
	go func() { s.done <- s.runner.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		s.runner.Abort()
	})
	for !s.runner.Ready() {
		time.Sleep(5 * time.Millisecond)
	}
	return s
}

func (s *site) publish(tb testing.TB, url string, upstreams []http.Handler) {
	n := &noter.Note{ID: "first", Added: noter.Items{
		Regions: []noter.Region{{Name: "bkk", Zones: []string{"bkk-a"}, Slots: 24 * 64}},
		Services: []noter.Service{{
			Name: "catalog", Class: "lookup", Shares: map[string]int{"bkk": 1},
			Cap: noter.Cap{Fraction: 0.1, Every: noter.Duration(time.Second)}, Timeout: noter.Duration(30 * time.Second),
		}},
	}}
	for i, h := range upstreams {
		up := httptest.NewServer(h)
		tb.Cleanup(up.Close)
		n.Added.Upstreams = append(n.Added.Upstreams, noter.Upstream{
			Name: fmt.Sprint("catalog-", i), Service: "catalog", Region: "bkk", Zone: "bkk-a",
			Address: up.Listener.Addr().String(), Slots: 24 * 8, Connections: 24 * 8,
		})
	}
	store := adapter.New(url, url, url, time.Second, nil)
	_, err := publisher.New(store, new(holder.Holder)).Publish(tb.Context(), n)
	assert.NilError(tb, err)
}

func (s *site) url(path string) string { return "http://" + s.settings.Caller.Listen + path }

// Guards against a stop that cuts off a request in flight, that keeps shares,
// or that never ends.
func TestStopFinishesWork(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	s := newSite(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			_, _ = io.WriteString(w, strings.Repeat("a", 1000))
			w.(http.Flusher).Flush()
			arrived <- true
			<-release
			_, _ = io.WriteString(w, strings.Repeat("b", 1000))
			return
		}
		_, _ = io.WriteString(w, "ready")
	}))
	body := make(chan string)
	go func() {
		resp, err := http.Get(s.url("/s/catalog/slow"))
		if err != nil {
			body <- err.Error()
			return
		}
		raw, _ := io.ReadAll(resp.Body)
		body <- string(raw)
	}()
	<-arrived
	s.end()
	for s.runner.Ready() {
		time.Sleep(time.Millisecond)
	}
	release <- true
	assert.Equal(t, <-body, strings.Repeat("a", 1000)+strings.Repeat("b", 1000))
	assert.NilError(t, <-s.done)
	store := httptest.NewServer(s.platform)
	defer store.Close()
	row, err := adapter.New(store.URL, store.URL, store.URL, time.Second, nil).Get(t.Context(), "ledger/bkk")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(row.Value), "h1"), "%s", row.Value)
}

// BenchmarkHost compares a small request through a host with the same request
// sent to the upstream directly, from the same clients in the same process.
func BenchmarkHost(b *testing.B) {
	var handler http.HandlerFunc = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"flight":0}`)
			return
		}
		_, _ = io.WriteString(w, "ready")
	}
	s := newSite(b, handler, handler, handler, handler)
	direct := httptest.NewServer(handler)
	b.Cleanup(direct.Close)
	for _, clients := range []int{1, 64} {
		for name, url := range map[string]string{"direct": direct.URL + "/x", "host": s.url("/s/catalog/x")} {
			b.Run(fmt.Sprintf("clients=%d/%s", clients, name), func(b *testing.B) { load(b, url, clients) })
		}
	}
}

func load(b *testing.B, url string, clients int) {
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	defer transport.CloseIdleConnections()
	times := make([][]time.Duration, clients)
	left := make(chan struct{}, b.N)
	for range b.N {
		left <- struct{}{}
	}
	close(left)
	done := make(chan error, clients)
	b.ResetTimer()
	for c := range clients {
		go func() {
			for range left {
				start := time.Now()
				if err := get(transport, url); err != nil {
					done <- err
					return
				}
				times[c] = append(times[c], time.Since(start))
			}
			done <- nil
		}()
	}
	for range clients {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func get(transport *http.Transport, url string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %s", resp.StatusCode, resp.Header.Get("Outcome"))
	}
	return nil
}
