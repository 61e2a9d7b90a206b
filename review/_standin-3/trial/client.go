package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is one request of a client.
type request struct {
	id, method, path string
	body             []byte
	deadline         time.Duration

	host *host
	sent time.Time // when its last byte was written

	answered time.Time // when the answer or the connection ended
	status   int       // 0 without an answer
	signed   bool      // the answer is a worker's
	bytes    int64     // of the body, as far as it came
	whole    bool      // the answer is complete
	err      error     // why it isn't
}

// routeHost is the Host field of all requests.
const routeHost = "jepu9.example"

// write sends the request on a connection.
func (q *request) write(c net.Conn) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, routeHost, headerID, q.id, headerDeadline, q.deadline.Milliseconds())
	if q.body != nil {
		head += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	_, err := c.Write(append([]byte(head+"\r\n"), q.body...))
	q.sent = time.Now()
	return err
}

// read reads the answer to the request.
func (q *request) read(br *bufio.Reader) {
	defer func() { q.answered = time.Now() }()
	r, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		q.err = err
		return
	}
	q.status, q.signed = r.StatusCode, r.Header.Get(headerSignature) != ""
	q.bytes, q.err = io.Copy(io.Discard, r.Body)
	q.whole = q.err == nil
	if got := r.Header.Get(headerID); q.signed && got != q.id {
		q.err = fmt.Errorf("the answer has id %q", got)
	}
}

// describe returns what the client saw.
func (q *request) describe() string {
	took := q.answered.Sub(q.sent).Seconds()
	switch {
	case q.status == 0:
		return fmt.Sprintf("connection ends without an answer after %.3f s: %v", took, q.err)
	case !q.whole:
		return fmt.Sprintf("answer %d is cut off after %.3f s and %d bytes: %v", q.status, took, q.bytes, q.err)
	case q.signed:
		return fmt.Sprintf("answer %d of a worker after %.3f s, %d bytes, whole", q.status, took, q.bytes)
	default:
		return fmt.Sprintf("answer %d of the host itself after %.3f s", q.status, took)
	}
}

// exchange sends the request on a new connection to the host and reads its answer.
func (q *request) exchange(h *host, rec *record) {
	q.host = h
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		q.err, q.sent, q.answered = err, time.Now(), time.Now()
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	if err := q.write(c); err != nil {
		q.err, q.answered = err, time.Now()
		return
	}
	rec.note("request %s: sent to host %s, %d bytes of body", q.id, h.name, len(q.body))
	q.read(bufio.NewReader(c))
	rec.note("request %s: %s", q.id, q.describe())
}
