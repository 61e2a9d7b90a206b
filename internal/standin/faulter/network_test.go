package faulter

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
)

// process is what opens sockets: a host, an upstream, the platform or a client.
// Its connections can be held, as a paused process holds them, or closed.
type process struct {
	net   *network
	name  string
	place delayer.Place

	mu    sync.Mutex
	dead  bool
	gate  chan struct{} // closed while the process runs
	conns map[net.Conn]bool
	open  []*listener
}

// network is the memory in which processes listen and dial.
type network struct {
	delayer *delayer.Delayer

	mu        sync.Mutex
	listeners map[string]*listener
	processes []*process
}

func newNetwork(d delayer.Delays) *network {
	n := &network{delayer: delayer.New(d), listeners: make(map[string]*listener)}
	n.delayer.UseDial(n.connect)
	return n
}

func (n *network) process(name string, place delayer.Place) *process {
	gate := make(chan struct{})
	close(gate)
	p := &process{net: n, name: name, place: place, gate: gate, conns: make(map[net.Conn]bool)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes = append(n.processes, p)
	return p
}

type dialerKey struct{}

// connect opens a connection without delay.
func (n *network) connect(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	from, _ := ctx.Value(dialerKey{}).(*process)
	near, far := net.Pipe()
	accepted := l.owner.own(&conn{Conn: far, local: l.address, remote: &net.TCPAddr{IP: net.IPv4(10, 9, 9, 9), Port: 999}, peer: from})
	select {
	case l.queue <- accepted:
		return &conn{Conn: near, local: &net.TCPAddr{IP: net.IPv4(10, 9, 9, 9), Port: 999}, remote: l.address}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// conn is one end of a connection. Its owner's gate holds its bytes.
type conn struct {
	net.Conn
	owner         *process // nil inside a link
	peer          *process // the process that dialled, at the accepting end
	local, remote net.Addr
	closed        chan struct{}
	once          sync.Once
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil {
		c.owner.wait(c.closed)
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.owner.wait(c.closed)
	if len(b) == 0 {
		return 0, nil // a pipe would wake its reader
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		if c.closed != nil {
			close(c.closed)
		}
	})
	if c.owner != nil {
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
	}
	return c.Conn.Close()
}

func (p *process) own(c *conn) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.owner, c.closed = p, make(chan struct{})
	p.conns[c] = true
	if p.dead {
		_ = c.Conn.Close()
	}
	return c
}

// wait waits until the process runs or what waits is closed.
func (p *process) wait(closed <-chan struct{}) {
	if p == nil {
		return
	}
	for {
		p.mu.Lock()
		gate := p.gate
		p.mu.Unlock()
		select {
		case <-gate:
		default:
			select {
			case <-gate:
				continue
			case <-closed:
			}
		}
		return
	}
}

// Dial opens a connection of the process.
func (p *process) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.wait(ctx.Done())
	if p.isDead() {
		return nil, net.ErrClosed
	}
	c, err := p.net.delayer.Dialer(p.place)(context.WithValue(ctx, dialerKey{}, p), network, address)
	if err != nil {
		return nil, err
	}
	return p.own(&conn{Conn: c, local: c.LocalAddr(), remote: c.RemoteAddr()}), nil
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// Listen opens a listener of the process.
func (p *process) Listen(_, address string) (net.Listener, error) {
	tcp, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{owner: p, address: tcp, queue: make(chan net.Conn), closed: make(chan struct{})}
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	p.net.listeners[address] = l
	p.net.delayer.SetPlace(address, p.place)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = append(p.open, l)
	return l, nil
}

// Pause holds every byte of the process until the function that it returns is
// called. Its timers go on, which a pause of the whole process would stop.
func (p *process) Pause() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gate := make(chan struct{})
	p.gate = gate
	return func() { close(gate) }
}

// Kill closes all sockets of the process for good, as the kernel does when a
// process dies.
func (p *process) Kill() {
	p.mu.Lock()
	p.dead = true
	open := p.open
	var conns []net.Conn
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, l := range open {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// close ends all processes.
func (n *network) close() {
	n.mu.Lock()
	all := n.processes
	n.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
}

type listener struct {
	owner   *process
	address net.Addr
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		n := l.owner.net
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.listeners[l.address.String()] == l {
			delete(n.listeners, l.address.String())
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

// asDial reports whether the error is a dial that failed.
func asDial(err error, op **net.OpError) bool {
	return errors.As(err, op) && (*op).Op == "dial"
}
