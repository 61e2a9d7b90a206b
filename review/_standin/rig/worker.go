package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a worker writes its registration.
const heartbeat = 1500 * time.Millisecond

// worker is a sound worker: it runs up to slots requests at once, queues three times as many,
// and rejects the others. It serves one request at a time on a connection.
type worker struct {
	rig               *rig
	id, service, zone string
	slots             int
	work              time.Duration
	listener          net.Listener
	born              int64
	seq               atomic.Int64
	running, waiting  atomic.Int64
	room              chan struct{}
	answer            func(w *worker, q *arrival) // writes the answer instead of the usual one
	mu                sync.Mutex
	state             string
	silent            bool
}

// arrival is a request at a worker.
type arrival struct {
	conn    net.Conn
	request *http.Request
	id      string
	body    []byte
	gone    <-chan struct{}
}

func (r *rig) addWorker(id, service, zone string, slots int, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{rig: r, id: id, service: service, zone: zone, slots: slots, work: work, listener: l, born: time.Now().UnixMilli(), room: make(chan struct{}, slots), state: "ready"}
	r.workers = append(r.workers, w)
	w.register()
	go func() {
		for range time.Tick(heartbeat) {
			w.register()
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *worker) register() {
	w.mu.Lock()
	state, silent := w.state, w.silent
	w.mu.Unlock()
	if silent {
		return
	}
	w.rig.store.put("servers", w.id, map[string]any{
		"Address": w.listener.Addr().String(), "born": w.born,
		"Info":   map[string]any{"Service": w.service, "Zone": w.zone, "Version": "v1", "Slots": w.slots},
		"Status": map[string]any{"State": state, "Seq": w.seq.Add(1), "ColdLeft": "0ms"},
	})
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		q := &arrival{conn: c, request: request, id: request.Header.Get("Dandeliontrack-Request-Id"), body: body}
		if !w.handle(q, br) {
			return
		}
	}
}

// handle answers one request, and reports whether the connection stays open.
func (w *worker) handle(q *arrival, br *bufio.Reader) bool {
	switch {
	case q.request.Header.Get("Dandeliontrack-Expect-Instance") != w.id:
		return w.reject(q, http.StatusMisdirectedRequest)
	case q.id == "":
		return w.reject(q, http.StatusBadRequest)
	case w.waiting.Load() >= int64(3*w.slots):
		return w.reject(q, http.StatusServiceUnavailable)
	}
	deadline := time.Now().Add(30 * time.Second)
	if ms, err := strconv.Atoi(q.request.Header.Get("Dandeliontrack-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	w.waiting.Add(1)
	select {
	case w.room <- struct{}{}:
		w.waiting.Add(-1)
	case <-time.After(time.Until(deadline)):
		w.waiting.Add(-1)
		return w.reject(q, http.StatusServiceUnavailable)
	}
	w.running.Add(1)
	defer func() { <-w.room; w.running.Add(-1) }()
	w.rig.countRun(w, q)
	if w.answer != nil {
		w.answer(w, q)
		return true
	}
	time.Sleep(w.work)
	return w.write(q, http.StatusOK, w.bodyFor(q))
}

// bodyFor returns the answer's body: the request as the worker saw it.
func (w *worker) bodyFor(q *arrival) []byte {
	sum := sha256.Sum256(q.body)
	return fmt.Appendf(nil, "%s %s %s %d %s", q.id, q.request.Method, q.request.RequestURI, len(q.body), hex.EncodeToString(sum[:8]))
}

func (w *worker) reject(q *arrival, status int) bool {
	w.rig.record(w.id, "rejects %s with %d", q.id, status)
	_, err := fmt.Fprintf(q.conn, "HTTP/1.1 %d %s\r\nDandeliontrack-Request-Id: %s\r\nDandeliontrack-Not-Executed: 1\r\nDandeliontrack-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), q.id, w.id)
	return err == nil
}

func (w *worker) write(q *arrival, status int, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nDandeliontrack-Request-Id: %s\r\nDandeliontrack-Response-Signature: signed-%s\r\nDandeliontrack-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), q.id, q.id, w.running.Load(), w.waiting.Load(), w.slots, len(body))
	_, err := q.conn.Write(append([]byte(head), body...))
	return err == nil
}

// countRun records that a worker begins to run a request.
func (r *rig) countRun(w *worker, q *arrival) {
	r.mu.Lock()
	r.runs[q.id]++
	n := r.runs[q.id]
	r.mu.Unlock()
	r.record(w.id, "runs %s, %s %s, %d bytes, run %d", q.id, q.request.Method, q.request.RequestURI, len(q.body), n)
}

func (r *rig) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
