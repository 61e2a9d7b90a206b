// Command soak sends random requests of all kinds through three hosts to workers that fail at
// random, while hosts are stopped, killed, suspended and restarted. It judges what clients and
// workers see: what ran twice, ran after a promise, was changed on the way, or was answered with
// other bytes. It is a search tool of the review, not a case.
package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandeliontrack.example/dandeliontrack/review/_standin-2/rig"
)

type sent struct {
	method, path, sum string
	unsafe            bool
	runs              atomic.Int32
	promised          atomic.Bool
	promisedAt        time.Time
}

var (
	requests sync.Map // *sent by ID
	broken   atomic.Int32
	counts   sync.Map
	r        *rig.Rig
)

func count(name string) {
	n, _ := counts.LoadOrStore(name, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func violation(format string, args ...any) {
	broken.Add(1)
	r.Record("VIOLATION "+format, args...)
	fmt.Printf("VIOLATION "+format+"\n", args...)
}

func sum(b []byte) string { h := sha256.Sum256(b); return hex.EncodeToString(h[:8]) }

func answerOf(service, id, bodySum string, size int) []byte {
	unit := []byte(service + " " + id + " " + bodySum + "\n")
	return bytes.Repeat(unit, size/len(unit)+1)
}

func handle(x *rig.Exchange) bool {
	v, ok := requests.Load(x.ID)
	if !ok {
		violation("worker %s runs %s, which no client sent", x.Worker.ID, x.ID)
		return false
	}
	s := v.(*sent)
	if s.method != x.Request.Method || s.path != x.Request.RequestURI || s.sum != sum(x.Body) {
		violation("worker %s gets %s changed: %s %s", x.Worker.ID, x.ID, x.Request.Method, x.Request.RequestURI)
	}
	if !strings.Contains(s.path, x.Worker.Service) {
		violation("worker %s of %s runs %s %s", x.Worker.ID, x.Worker.Service, x.ID, s.path)
	}
	p := rand.IntN(1000)
	if sound {
		p = 999
	}
	if p < 25 {
		if rand.IntN(2) == 0 {
			x.Respond(503, "Dandeliontrack-Not-Executed: 1\r\nDandeliontrack-Server-Load: 9,3,9\r\n", []byte("no"))
		} else {
			x.Respond(429, "Dandeliontrack-Not-Executed: 1\r\n", nil)
		}
		return true
	}
	if n := s.runs.Add(1); n > 1 && s.unsafe {
		violation("unsafe request %s runs %d times", x.ID, n)
	}
	if s.promised.Load() && s.unsafe {
		violation("unsafe request %s runs after its promise", x.ID)
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(40*time.Millisecond)))
	if sound && rand.IntN(20) == 0 {
		time.Sleep(1500 * time.Millisecond)
	}
	size := 200
	switch rand.IntN(20) {
	case 0:
		size = 70_000
	case 1:
		size = 1_500_000
	case 2:
		size = 300_000
	}
	body := answerOf(x.Worker.Service, x.ID, s.sum, size)
	sig := "Dandeliontrack-Response-Signature: " + x.Signature(body) + "\r\nDandeliontrack-Server-Load: 1,0,9\r\n"
	write := func(text string) { _, _ = x.Conn.Write([]byte(text)) }
	head := "HTTP/1.1 200 OK\r\nDandeliontrack-Request-Id: " + x.ID + "\r\n" + sig
	if p = rand.IntN(1000); sound {
		p = 999
	}
	if x.Request.Method == http.MethodHead { // states the length of a body that it doesn't send
		write(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		return true
	}
	if rand.IntN(30) == 0 { // answers without a body
		status := []int{http.StatusNoContent, http.StatusNotModified}[rand.IntN(2)]
		write(fmt.Sprintf("HTTP/1.1 %d x\r\nDandeliontrack-Request-Id: %s\r\n%s\r\n", status, x.ID, "Dandeliontrack-Response-Signature: "+x.Signature(nil)+"\r\n"))
		return true
	}
	switch {
	case p < 20:
		return false // answer lost
	case p < 40:
		_ = x.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case p < 60: // truncated
		write(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		_, _ = x.Conn.Write(body[:rand.IntN(len(body))])
		return false
	case p < 75: // truncated chunks
		write(head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n")
		_, _ = x.Conn.Write(body)
		write("\r\n")
		return false
	case p < 90:
		write("\x00\x01garbage HTTP/1.1 200 OK\r\n\r\n")
		return rand.IntN(2) == 0
	case p < 120: // extra answer
		x.Answer(200, "", body)
		if rand.IntN(2) == 0 {
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		}
		switch rand.IntN(4) {
		case 0:
			write("HTTP/1.1 200 OK\r\n" + sig + "Content-Length: 4\r\n\r\nxxxx") // without an ID
		case 1:
			write("xxxx garbage")
		case 2:
			write("HTTP/1.1 503 Service Unavailable\r\nDandeliontrack-Request-Id: " + x.ID + "\r\nDandeliontrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			x.Answer(200, "", body)
		}
		return true
	case p < 150: // ends with the connection
		write(head + "\r\n")
		_, _ = x.Conn.Write(body)
		return false
	case p < 165: // ends with the connection, reset
		write(head + "\r\n")
		_, _ = x.Conn.Write(body[:len(body)/2])
		time.Sleep(20 * time.Millisecond)
		_ = x.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case p < 195:
		write(head + "Transfer-Encoding: chunked\r\n\r\n")
		for b := body; len(b) > 0; {
			n := min(len(b), 1+rand.IntN(40000))
			write(strconv.FormatInt(int64(n), 16) + "\r\n" + string(b[:n]) + "\r\n")
			b = b[n:]
		}
		write("0\r\n\r\n")
		return true
	case p < 215:
		write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	case p < 235:
		x.Answer(500, "", body)
		return true
	case p < 245:
		x.Answer(200, "Connection: close\r\n", body)
		return false
	case p < 255:
		write("HTTP/1.0 200 OK\r\nDandeliontrack-Request-Id: " + x.ID + "\r\n" + sig + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		_, _ = x.Conn.Write(body)
		return true
	case p < 262:
		time.Sleep(3 * time.Second)
		x.Answer(200, "", body)
		return true
	case p < 280:
		x.Answer(404, "", body)
		return true
	}
	x.Answer(200, "Keep-Alive: timeout=10\r\n", body)
	return true
}

// sound means that workers don't fail, and that hosts only get SIGTERM.
var sound = os.Getenv("SOUND") != ""

var services = []string{rig.Catalog, rig.Orderbook, rig.Docvault}

var serial atomic.Int64

func newRequest(kind int) (raw []byte, id string, s *sent, service string) {
	id = fmt.Sprintf("q%06d", serial.Add(1))
	s = &sent{method: "GET"}
	prefix := rig.LookupPath
	service = rig.Catalog
	var body []byte
	switch kind {
	case 1:
		prefix, service = rig.PackPath, rig.Docvault
	case 2:
		prefix, service, s.method, s.unsafe = rig.OrderPath, rig.Orderbook, "POST", true
		n := []int{0, 10, 1000, 20_000, 200_000, 1_300_000}[rand.IntN(6)]
		body = bytes.Repeat([]byte("0123456789abcdef"), n/16)
	case 3:
		s.method = "POST"
		body = []byte("a safe request with a body")
	}
	if s.method == "GET" && rand.IntN(8) == 0 {
		s.method = "HEAD"
	}
	if s.unsafe && rand.IntN(3) == 0 {
		s.method = []string{"PUT", "DELETE", "PATCH"}[rand.IntN(3)]
	}
	s.path = fmt.Sprintf("%s%d/%s?q=%d", prefix, rand.IntN(50), service, rand.IntN(9))
	s.sum = sum(body)
	requests.Store(id, s)
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nDandeliontrack-Request-Id: %s\r\n", s.method, s.path, rig.HostName, id)
	if rand.IntN(10) > 0 {
		fmt.Fprintf(&b, "Dandeliontrack-Deadline-Ms: %d\r\n", 2500)
	}
	if rand.IntN(2) == 0 {
		fmt.Fprintf(&b, "Cookie: Dandeliontrack-Affinity-Key=%d\r\n", rand.IntN(30))
	}
	switch {
	case s.method == "GET" || s.method == "HEAD":
		b.WriteString("\r\n")
	case rand.IntN(3) == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for p := body; len(p) > 0; {
			n := min(len(p), 1+rand.IntN(50000))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, p[:n])
			p = p[n:]
		}
		b.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body)
	}
	return b.Bytes(), id, s, service
}

func judge(id string, s *sent, service string, got rig.Result, method string) {
	count(fmt.Sprintf("%s unsafe=%v %d complete=%v", service, s.unsafe, got.Status, got.Err == nil))
	if got.Status == 0 || got.Err != nil {
		return
	}
	if got.ID != id && got.ID != "" {
		violation("client: %s gets the answer of %s", id, got.ID)
	}
	switch {
	case method == http.MethodHead || got.Status == http.StatusNoContent:
		if got.Status < 300 && (got.Signature == "" || len(got.Body) > 0) {
			violation("client: %s %s gets %d with %d bytes, signature %q", method, id, got.Status, len(got.Body), got.Signature)
		}
	case got.Status < 300:
		unit := service + " " + id + " " + s.sum + "\n"
		if got.Signature == "" || len(got.Body) == 0 || len(got.Body)%len(unit) != 0 || string(bytes.Repeat([]byte(unit), len(got.Body)/len(unit))) != string(got.Body) {
			violation("client: %s gets %d with %d other bytes, signature %q", id, got.Status, len(got.Body), got.Signature)
		} else if parts := strings.Split(got.Signature, "."); parts[len(parts)-1] != strconv.Itoa(len(got.Body)) {
			violation("client: %s gets %d with %d bytes, signature %q", id, got.Status, len(got.Body), got.Signature)
		}
	case s.unsafe && (got.Status == 503 || got.Status == 429 || got.Status == 408 || got.Status == 421):
		if n := s.runs.Load(); n > 0 {
			violation("client: unsafe %s gets %d and has run %d times", id, got.Status, n)
		}
		s.promised.Store(true)
	}
}

func client(stop *atomic.Bool) {
	for !stop.Load() {
		h := r.Hosts[rand.IntN(len(r.Hosts))]
		conn, err := net.DialTimeout("tcp", h.Front, time.Second)
		if err != nil {
			count("connect failed")
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c := rig.NewClient(conn)
		for use := 0; use < 30 && !stop.Load(); use++ {
			n := 1
			if rand.IntN(4) == 0 {
				n = 1 + rand.IntN(10)
			}
			var out []byte
			type pending struct {
				id      string
				s       *sent
				service string
			}
			var list []pending
			for i := range n {
				kind := []int{0, 0, 1, 2, 2, 3}[rand.IntN(6)]
				if n > 1 && i < n-1 {
					kind = rand.IntN(2)
				}
				raw, id, s, service := newRequest(kind)
				out = append(out, raw...)
				list = append(list, pending{id, s, service})
			}
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			go func() {
				for len(out) > 0 {
					k := len(out)
					if rand.IntN(5) == 0 {
						k = min(k, 1+rand.IntN(30000))
					}
					if _, err := conn.Write(out[:k]); err != nil {
						return
					}
					out = out[k:]
				}
			}()
			if rand.IntN(40) == 0 { // leaves
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
				break
			}
			open := true
			for _, p := range list {
				if !open {
					count("unanswered")
					if sound && p.s.runs.Load() > 0 {
						r.Record("LOST? behind: %s at %s has run", p.id, h.Name)
						count("unanswered and run")
					}
					continue
				}
				got := c.Read(p.s.method, time.Now().Add(6*time.Second))
				judge(p.id, p.s, p.service, got, p.s.method)
				if os.IsTimeout(got.Err) {
					count("TIMEOUT of client")
					r.Record("client timeout %s at %s", p.id, h.Name)
				}
				if sound && got.Err != nil {
					r.Record("LOST? %s at %s: runs %d, status %d, bytes %d, %v, use %d", p.id, h.Name, p.s.runs.Load(), got.Status, len(got.Body), got.Err, use)
					count("LOST?")
				}
				open = got.Err == nil && !got.Close
			}
			if !open {
				break
			}
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		}
		conn.Close()
	}
}

func main() {
	r = rig.New()
	r.Quiet = true
	r.Store.PutConfig(7, rig.DefaultLimits)
	for i := range 12 {
		zone := []string{"bkk-a", "cnx-a", "hdy-a"}[i%3]
		r.StartWorker(fmt.Sprintf("i-%02d", i), services[(i/3)%3], zone, 0, handle)
	}
	r.StartHosts()
	time.Sleep(6500 * time.Millisecond)
	seconds, _ := strconv.Atoi(os.Args[1])
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { client(&stop) })
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		if os.Getenv("TROUBLE") == "0" {
			continue
		}
		h := r.Hosts[rand.IntN(len(r.Hosts))]
		action := rand.IntN(5)
		if sound {
			action = 0
		}
		switch action {
		case 0, 1:
			r.Record("SIGTERM to %s", h.Name)
			_ = h.Process.Signal(syscall.SIGTERM)
			select {
			case <-h.Done():
			case <-time.After(6 * time.Second):
				r.Record("%s still runs after the grace time", h.Name)
				count("killed after grace")
				h.Kill()
			}
			h.Start()
			h.AwaitReady()
		case 2:
			r.Record("SIGKILL to %s", h.Name)
			h.Kill()
			h.Start()
			h.AwaitReady()
		case 3:
			r.Record("suspend %s", h.Name)
			_ = h.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
			_ = h.Process.Signal(syscall.SIGCONT)
		case 4:
			mode := []string{"busy", "gone", "silent", "slow"}[rand.IntN(4)]
			r.Record("store %s", mode)
			r.Store.SetMode(mode)
			time.Sleep(time.Duration(500+rand.IntN(3500)) * time.Millisecond)
			r.Store.SetMode("")
		}
	}
	stop.Store(true)
	wg.Wait()
	counts.Range(func(k, v any) bool { fmt.Println(v.(*atomic.Int64).Load(), k); return true })
	_ = io.EOF
	_ = http.MethodGet
	r.Finish(broken.Load() > 0, "%d violations, %d requests", broken.Load(), serial.Load())
}
