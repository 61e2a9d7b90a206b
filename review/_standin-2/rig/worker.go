package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Exchange is one request at a worker.
type Exchange struct {
	Worker  *Worker
	Conn    net.Conn
	ID      string // of the request
	Request *http.Request
	Body    []byte
}

// Worker is one worker of a service. It registers itself and writes its entry every 1.5 s.
type Worker struct {
	ID, Service, Zone, Address string
	Born                       int64
	// Handle answers a request and reports whether the connection stays open. Nil means Answer
	// with a short body.
	Handle func(x *Exchange) bool
	Work   time.Duration

	rig     *Rig
	mu      sync.Mutex
	seq     int
	stopped bool
	runs    map[string]int // by the ID of the request
	paths   []string
}

// StartWorker starts a worker that has run for a while, so that it isn't cold.
func (r *Rig) StartWorker(id, service, zone string, work time.Duration, handle func(x *Exchange) bool) *Worker {
	l, err := net.Listen("tcp", "127.77.100.1:0")
	if err != nil {
		r.fail("worker: %v", err)
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Born: time.Now().Add(-time.Hour).UnixMilli(), Handle: handle, Work: work, rig: r, runs: make(map[string]int)}
	r.Record("worker %s of %s in %s at %s", id, service, zone, w.Address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	w.Beat()
	go func() {
		for {
			time.Sleep(1500 * time.Millisecond)
			w.mu.Lock()
			stopped := w.stopped
			w.mu.Unlock()
			if stopped {
				return
			}
			w.Beat()
		}
	}()
	return w
}

// Entry returns the worker's entry as it writes it next.
func (w *Worker) Entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"Address": w.Address, "born": w.Born,
		"Info":   map[string]any{"Service": w.Service, "Version": "v1", "Zone": w.Zone, "Slots": 9},
		"Status": map[string]any{"State": "ready", "Seq": w.seq, "ColdLeft": "0ms"},
	}
}

// Beat writes the entry.
func (w *Worker) Beat() {
	raw, _ := json.Marshal(w.Entry())
	w.rig.Store.Put("servers", "", w.ID, raw)
}

// StopBeats ends the writing of the entry.
func (w *Worker) StopBeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

// Runs returns how often the worker ran the request.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// RunCount returns the number of requests that the worker ran.
func (w *Worker) RunCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, k := range w.runs {
		n += k
	}
	return n
}

func (w *Worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x := &Exchange{Worker: w, Conn: c, ID: q.Header.Get("Dandeliontrack-Request-Id"), Request: q, Body: body}
		if e := q.Header.Get("Dandeliontrack-Expect-Instance"); e != "" && e != w.ID {
			w.rig.Record("worker %s (%s) answers 421 to request %s for %s", w.ID, w.Service, x.ID, e)
			x.Respond(http.StatusMisdirectedRequest, "Dandeliontrack-Instance-Id: "+w.ID+"\r\n", nil)
			continue
		}
		w.mu.Lock()
		w.runs[x.ID]++
		w.mu.Unlock()
		w.rig.Record("worker %s (%s) runs request %s %s %s, body of %d bytes", w.ID, w.Service, x.ID, q.Method, q.RequestURI, len(body))
		time.Sleep(w.Work)
		if w.Handle == nil {
			x.Answer(http.StatusOK, "", []byte("answer of "+w.Service+" to "+x.ID+"\n"))
		} else if !w.Handle(x) {
			return
		}
	}
}

// Answer sends the worker's signed answer, with further header lines.
func (x *Exchange) Answer(status int, lines string, body []byte) {
	x.Respond(status, lines+"Dandeliontrack-Response-Signature: "+x.Signature(body)+"\r\nDandeliontrack-Server-Load: 1,0,9\r\n", body)
}

// Signature returns the signature of an answer.
func (x *Exchange) Signature(body []byte) string {
	return fmt.Sprintf("%s.%s.%d", x.Worker.ID, x.ID, len(body))
}

// Respond sends an answer with the given header lines.
func (x *Exchange) Respond(status int, lines string, body []byte) {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nDandeliontrack-Request-Id: " + x.ID + "\r\n" + lines +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, _ = x.Conn.Write(append([]byte(head), body...))
}

// Client is one connection of a client to the front of a host. It records what it sends and gets.
type Client struct {
	Conn net.Conn
	br   *bufio.Reader
	rig  *Rig
	host string
}

// Connect opens a connection to a host.
func (r *Rig) Connect(h *Host) *Client {
	c, err := net.DialTimeout("tcp", h.Front, time.Second)
	if err != nil {
		r.fail("connect to %s: %v", h.Name, err)
	}
	return &Client{Conn: c, br: bufio.NewReaderSize(c, 4<<10), rig: r, host: h.Name}
}

// Format returns the bytes of a request.
func Format(method, path, id string, deadline time.Duration, lines string, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nDandeliontrack-Request-Id: %s\r\nDandeliontrack-Deadline-Ms: %d\r\n%s", method, path, HostName, id, deadline.Milliseconds(), lines)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return []byte(b.String())
}

// Result is what a client has got for a request.
type Result struct {
	Status    int // 0 if the connection ended without a response
	Signature string
	Body      []byte
	Close     bool
	Err       error // why the response is incomplete
}

// Read reads the next response, which is due for the request with the ID, until the deadline.
func (c *Client) Read(method, id string, deadline time.Time) Result {
	got := c.read(method, deadline)
	c.rig.Record("client: %s gets %d from %s, %d bytes, signature %q, close %v, error %v", id, got.Status, c.host, len(got.Body), got.Signature, got.Close, got.Err)
	return got
}

func (c *Client) read(method string, deadline time.Time) Result {
	_ = c.Conn.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Result{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Signature: resp.Header.Get("Dandeliontrack-Response-Signature"), Body: body, Close: resp.Close, Err: err}
}

// Send sends a request.
func (c *Client) Send(method, path, id string, deadline time.Duration, lines string, body []byte) error {
	c.rig.Record("client: %s is sent to %s: %s %s, body of %d bytes", id, c.host, method, path, len(body))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(deadline))
	_, err := c.Conn.Write(Format(method, path, id, deadline, lines, body))
	_ = c.Conn.SetWriteDeadline(time.Time{})
	return err
}

// SendSlowly sends a request whose header takes the given time to arrive.
func (c *Client) SendSlowly(method, path, id string, deadline, takes time.Duration, body []byte) error {
	c.rig.Record("client: %s is sent to %s within %v: %s %s, body of %d bytes", id, c.host, takes, method, path, len(body))
	raw := Format(method, path, id, deadline, "", body)
	if _, err := c.Conn.Write(raw[:20]); err != nil {
		return err
	}
	time.Sleep(takes)
	_, err := c.Conn.Write(raw[20:])
	return err
}

// Do sends a request and reads its response.
func (c *Client) Do(method, path, id string, deadline time.Duration, lines string, body []byte) Result {
	end := time.Now().Add(deadline)
	if err := c.Send(method, path, id, deadline, lines, body); err != nil {
		c.rig.Record("client: %s could not be sent: %v", id, err)
		return Result{Err: err}
	}
	return c.Read(method, id, end.Add(500*time.Millisecond))
}
