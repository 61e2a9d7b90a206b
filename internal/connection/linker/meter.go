package linker

import (
	"net"
	"sync"
	"sync/atomic"
)

// Counts are bytes on the wire above TCP, TLS included, and messages.
type Counts struct {
	BytesIn, BytesOut, MessagesIn, MessagesOut uint64
}

type counter struct{ in, out, received, sent atomic.Uint64 }

func (c *counter) counts() Counts {
	return Counts{c.in.Load(), c.out.Load(), c.received.Load(), c.sent.Load()}
}

// meter counts by address of a called host and by IP address of a calling one.
type meter struct {
	all   counter
	mu    sync.Mutex
	peers map[string]*counter
}

func (m *meter) of(name string) *counter {
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

// Counts returns what all hosts together sent and received.
func (l *Linker) Counts() Counts { return l.meter.all.counts() }

// PeerCounts returns the counts of each host: by listening address for calls of
// this host, by IP address for calls to this host.
func (l *Linker) PeerCounts() map[string]Counts {
	l.meter.mu.Lock()
	defer l.meter.mu.Unlock()
	counts := make(map[string]Counts, len(l.meter.peers))
	for name, c := range l.meter.peers {
		counts[name] = c.counts()
	}
	return counts
}

type countedConn struct {
	net.Conn
	counters []*counter
	arrived  atomic.Uint64
}

// Read reads from the connection and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.arrived.Add(uint64(n))
	for _, m := range c.counters {
		m.in.Add(uint64(n))
	}
	return n, err
}

// Write writes to the connection and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, m := range c.counters {
		m.out.Add(uint64(n))
	}
	return n, err
}
