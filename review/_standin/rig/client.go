package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status    int // 0 without a complete answer
	body      string
	signature string
	closing   bool
	err       error
}

// conn is a client's connection.
type conn struct {
	net.Conn
	br   *bufio.Reader
	host string // of its requests
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c), defaultHost}, nil
}

// defaultHost is the host of the routes that all versions have.
const defaultHost = "shop.example"

// head returns the head of a request up to its framing fields.
func head(host, method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nDandeliontrack-Request-Id: %s\r\nDandeliontrack-Deadline-Ms: %d\r\nCookie: Dandeliontrack-Affinity-Key=%d\r\n",
		method, path, host, id, deadline.Milliseconds(), len(id)%7)
}

// send writes a request. A body is sent in chunks if chunked is set.
func (c *conn) send(method, path, id string, deadline time.Duration, body []byte, chunked bool) error {
	_ = c.SetDeadline(time.Now().Add(deadline))
	h := head(c.host, method, path, id, deadline)
	if !chunked {
		if method != http.MethodGet {
			h += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		_, err := c.Write(append([]byte(h+"\r\n"), body...))
		return err
	}
	if _, err := io.WriteString(c, h+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	const chunkBytes = 32 << 10
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		chunk := fmt.Appendf(nil, "%x\r\n", n)
		chunk = append(append(chunk, body[:n]...), "\r\n"...)
		if _, err := c.Write(chunk); err != nil {
			return err
		}
		body = body[n:]
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// read reads one answer.
func (c *conn) read(method string) answer {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(raw), signature: resp.Header.Get("Dandeliontrack-Response-Signature"), closing: resp.Close}
}

// describe returns the answer for the record.
func (a answer) describe() string {
	if a.err != nil {
		return "no complete answer: " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.signature, len(a.body))
}

func payload(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n] }
