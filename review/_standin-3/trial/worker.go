package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID        = "Dandeliontrack-Request-Id"
	headerSignature = "Dandeliontrack-Response-Signature"
	headerExpect    = "Dandeliontrack-Expect-Instance"
	headerDeadline  = "Dandeliontrack-Deadline-Ms"
	heartbeat       = 1500 * time.Millisecond
	workerSlots     = 9
)

// job is what a worker does with one request, after it has read the head. It reports an error
// if the connection has failed. The body of the request is read by the job.
type job func(w *worker, r *http.Request, c net.Conn) error

// worker is a stand-in for a worker of a service. It registers itself in the store.
type worker struct {
	number                     int
	id, service, zone, address string
	job                        job
	record                     *record
	running                    atomic.Int64
	born                       int64
}

// newWorker serves a worker on a free port and registers it in the store until the end of the
// process.
func newWorker(s *store, rec *record, number int, service, zone string, j job) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		number: number, id: fmt.Sprintf("i-%08x", 0x3a91c200+number), service: service, zone: zone, address: l.Addr().String(),
		job: j, record: rec, born: time.Now().UnixMilli(),
	}
	go w.serve(l)
	go w.register(s)
	return w, nil
}

// listenOnly serves a worker that the case itself registers.
func listenOnly(rec *record, number int, service, zone string, j job) (*worker, net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	w := &worker{
		number: number, id: fmt.Sprintf("i-%08x", 0x3a91c200+number), service: service, zone: zone, address: l.Addr().String(),
		job: j, record: rec, born: time.Now().UnixMilli(),
	}
	go w.serve(l)
	return w, l, nil
}

// register writes the registration of the worker every heartbeat.
func (w *worker) register(s *store) {
	for seq := 1; ; seq++ {
		s.putJSON("servers", w.id, w.registration("ready", seq))
		time.Sleep(heartbeat)
	}
}

// registration returns the entry of the worker.
func (w *worker) registration(state string, seq int) map[string]any {
	return map[string]any{
		"Address": w.address, "born": w.born,
		"Info":   map[string]any{"Service": w.service, "Version": "v1", "Zone": w.zone, "Slots": workerSlots},
		"Status": map[string]any{"State": state, "Seq": seq, "ColdLeft": "0ms"},
	}
}

func (w *worker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

// serveConn serves one request at a time.
func (w *worker) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 4<<10)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nDandeliontrack-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", headerID, r.Header.Get(headerID), w.id)
			return
		}
		id := r.Header.Get(headerID)
		w.running.Add(1)
		w.record.runBegins(id, w.id)
		err = w.job(w, r, c)
		w.running.Add(-1)
		w.record.runEnds(id, w.id, err)
		if err != nil {
			return
		}
	}
}

// head returns the head of a success with a body of n bytes.
func (w *worker) head(r *http.Request, n int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%d\r\nDandeliontrack-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n",
		headerID, r.Header.Get(headerID), headerSignature, w.id, n, w.running.Load(), workerSlots, n)
}

// answer writes a success with a body.
func (w *worker) answer(r *http.Request, c net.Conn, body []byte) error {
	_, err := c.Write(append([]byte(w.head(r, len(body))), body...))
	return err
}

// workFor reads the request's body at once, works for a time, and answers.
func workFor(d time.Duration) job {
	return func(w *worker, r *http.Request, c net.Conn) error {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		time.Sleep(d)
		return w.answer(r, c, []byte("done\n"))
	}
}

// filler returns n bytes.
func filler(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + i%26)
	}
	return out
}

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	started time.Time

	mu    sync.Mutex
	out   io.Writer
	runs  map[string][]*run
	notes int
}

// run is one run of a request at a worker.
type run struct {
	worker       string
	begun, ended time.Time // ended is zero while it runs
	err          error     // why it ended before its end
}

func newRecord(out io.Writer) *record {
	return &record{started: time.Now(), out: out, runs: make(map[string][]*run)}
}

// note writes a line with the time.
func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(format, args...)
}

func (rec *record) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(rec.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(rec.out, line)
}

func (rec *record) runBegins(id, worker string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[id] = append(rec.runs[id], &run{worker: worker, begun: time.Now()})
	rec.write("request %s: worker %s begins to work on it", id, worker)
}

func (rec *record) runEnds(id, worker string, err error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, r := range rec.runs[id] {
		if r.worker == worker && r.ended.IsZero() {
			r.ended, r.err = time.Now(), err
		}
	}
	if err != nil {
		rec.write("request %s: worker %s can't go on: %v", id, worker, err)
		return
	}
	rec.write("request %s: worker %s has answered", id, worker)
}

// runsOf returns copies of the runs of a request.
func (rec *record) runsOf(id string) []run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out []run
	for _, r := range rec.runs[id] {
		out = append(out, *r)
	}
	return out
}
