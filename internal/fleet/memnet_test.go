package fleet

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
)

// memNet is an in-memory network, so that tests can run on synctest's fake clock.
type memNet struct {
	mu        sync.Mutex
	next      int
	listeners map[string]*memListener
	conns     []memConn
	stalledAt int
	cut       func(from, to string) bool
}

type memConn struct {
	from, to string
	conn     net.Conn
}

func newMemNet() *memNet { return &memNet{listeners: map[string]*memListener{}} }

type memListener struct {
	network *memNet
	address memAddr
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// stallConn is a connection that can be made to lose all writes without an error.
type stallConn struct {
	net.Conn
	stalled atomic.Bool
	closed  atomic.Bool
}

func (c *stallConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *stallConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// stall makes the existing connections lose all writes.
func (n *memNet) stall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalledAt = len(n.conns)
	for _, c := range n.conns {
		c.conn.(*stallConn).stalled.Store(true)
	}
}

// replaced reports whether all stalled connections have been closed.
func (n *memNet) replaced() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[:n.stalledAt] {
		if !c.conn.(*stallConn).closed.Load() {
			return false
		}
	}
	return true
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

var errRefused = errors.New("connection refused")

// listen opens a listener; an empty address means an unused one.
func (n *memNet) listen(address string) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.next++
		address = "10.0.0.1:" + strconv.Itoa(n.next)
	}
	l := &memListener{network: n, address: memAddr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return l.address }

// dial connects from one address to another.
func (n *memNet) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	cut := n.cut != nil && n.cut(from, to)
	n.mu.Unlock()
	if cut {
		<-ctx.Done() // packets are lost, so the dial times out
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	near = &stallConn{Conn: near}
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns = append(n.conns, memConn{from, to, near})
	n.mu.Unlock()
	return near, nil
}

// setCut replaces the function that decides which connections are cut off, and
// closes the existing ones that now are. nil cuts none.
func (n *memNet) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for _, c := range n.conns {
		if cut != nil && cut(c.from, c.to) {
			_ = c.conn.Close()
		}
	}
}
