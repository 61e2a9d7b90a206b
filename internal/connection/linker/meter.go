package linker

import (
	"net"
	"sync"
	"sync/atomic"
)

// Counts holds numbers of messages and of bytes. Bytes are those of the TCP stream, TLS
// included.
type Counts struct {
	BytesIn, BytesOut, MessagesIn, MessagesOut uint64
}

type counter struct{ bytesIn, bytesOut, messagesIn, messagesOut atomic.Uint64 }

func (c *counter) counts() Counts {
	return Counts{c.bytesIn.Load(), c.bytesOut.Load(), c.messagesIn.Load(), c.messagesOut.Load()}
}

// trafficMeter counts the traffic with all hosts and with each host. A called host is
// identified by its listening address, a calling host by its IP address.
type trafficMeter struct {
	total counter
	mu    sync.Mutex
	peers map[string]*counter
}

func (m *trafficMeter) peer(name string) *counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.peers[name]
	if !ok {
		if m.peers == nil {
			m.peers = make(map[string]*counter)
		}
		c = new(counter)
		m.peers[name] = c
	}
	return c
}

// Counts returns the traffic of this host with all other hosts.
func (l *Linker) Counts() Counts { return l.traffic.total.counts() }

// PeerCounts returns the traffic with each host: by listening address for calls of this
// host, by IP address for calls to this host.
func (l *Linker) PeerCounts() map[string]Counts {
	l.traffic.mu.Lock()
	defer l.traffic.mu.Unlock()
	counts := make(map[string]Counts, len(l.traffic.peers))
	for name, c := range l.traffic.peers {
		counts[name] = c.counts()
	}
	return counts
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters  []*counter
	bytesRead atomic.Uint64 // on this connection only
}

// Read implements io.Reader.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(uint64(n))
	for _, m := range c.counters {
		m.bytesIn.Add(uint64(n))
	}
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, m := range c.counters {
		m.bytesOut.Add(uint64(n))
	}
	return n, err
}
