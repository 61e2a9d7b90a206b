package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkRequest compares a request to an upstream with one through a host,
// both on keep-alive loopback connections. Caller and upstream are plain loops
// over bytes, so that most of the difference is the host. Run with -cpu 4.
func BenchmarkRequest(b *testing.B) {
	for _, callers := range []int{1, 64} {
		for _, through := range []string{"direct", "host"} {
			b.Run(through+"/callers="+strconv.Itoa(callers), func(b *testing.B) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				defer l.Close()
				go acceptAll(l)
				address, path := l.Addr().String(), "/x"
				if through == "host" {
					address, path = benchHost(b, address), "/s/prices/x"
				}
				measure(b, address, path, callers)
			})
		}
	}
}

func benchHost(b *testing.B, upstream string) string {
	b.Helper()
	g := &testHost{network: network{loopback: true}}
	startHost(b, g, "127.0.0.1:1", upstream)
	g.f.options.Recorder = nil
	return g.host
}

func acceptAll(l net.Listener) {
	for c, err := l.Accept(); err == nil; c, err = l.Accept() {
		go answerAll(c)
	}
}

// answerAll echoes the Request-Id and 128 bytes.
func answerAll(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	body := bytes.Repeat([]byte("x"), 128)
	for {
		var id, out []byte
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				break
			}
			if v, ok := bytes.CutPrefix(line, []byte("Request-Id: ")); ok {
				id = append(id[:0], v...)
			}
		}
		out = append(out, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 128\r\nRequest-Id: "...)
		out = append(append(append(out, id...), "\r\n"...), body...)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func measure(b *testing.B, address, path string, callers int) {
	b.Helper()
	request := []byte("GET " + path + " HTTP/1.1\r\nHost: host\r\nRequest-Id: r1\r\nRequest-Timeout: 1500ms\r\n\r\n")
	took := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	used := cpu()
	for i := range callers {
		wg.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for range b.N/callers + 1 {
				start := time.Now()
				if _, err := c.Write(request); err != nil {
					b.Error(err)
					return
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Error(err, resp)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				took[i] = append(took[i], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	used = cpu() - used
	all := slices.Sorted(slices.Values(slices.Concat(took...)))
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "µs-median")
	b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(used.Microseconds())/float64(len(all)), "cpu-µs/req")
}

// cpu returns the processor time of the process, which depends less on other
// load of the machine than the time on the clock.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
