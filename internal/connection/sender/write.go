package sender

import (
	"bytes"
	"net"
	"net/http"
)

// maxCopiedBodyBytes is the size up to which a body is written together with its header, from
// one buffer. A longer one is written from its segments.
const maxCopiedBodyBytes = 16 << 10

// roundTripLong sends a request with a long body and reads the header of its response.
func (c *Conn) roundTripLong(r *Request, reused bool) (*http.Response, error) {
	var head bytes.Buffer
	writeRequest(&head, r)
	buffers := append(net.Buffers{head.Bytes()}, r.Body...)
	if n, err := buffers.WriteTo(c.conn); err != nil {
		return nil, c.writeError(n, err)
	}
	return c.readMatching(r, reused)
}
