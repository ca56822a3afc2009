package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// Sizes of the buffers of one connection, in each direction.
const (
	chunkBytes  = 16 << 10
	maxChunksInFlight = 512
)

// dialTimeout bounds the connection to the target, which is on loopback.
const dialTimeout = 5 * time.Second

// Port is an address at one end of a link. What connects to it is carried to
// the target at the other end.
type Port struct {
	link     *Link
	direction     Direction // direction of what the client sends
	listener net.Listener
	target   atomic.Pointer[string]
}

// Listen opens a port on loopback. What its clients send goes in direction d.
// The target may be set later.
func (l *Link) Listen(d Direction, target string) (*Port, error) {
	return l.ListenOn("127.0.0.1:0", d, target)
}

// ListenOn opens a port on an address.
func (l *Link) ListenOn(address string, d Direction, target string) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, standin.ErrListen.Wrap(err, "port of a link on %s", address)
	}
	p := &Port{link: l, direction: d, listener: listener}
	p.SetTarget(target)
	l.mu.Lock()
	l.ports = append(l.ports, p)
	l.mu.Unlock()
	go p.serve()
	return p, nil
}

// Addr returns the port's address as IP:port.
func (p *Port) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (p *Port) SetTarget(target string) { p.target.Store(&target) }

func (p *Port) close() { _ = p.listener.Close() }

func (p *Port) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.proxy(conn.(*net.TCPConn))
	}
}

// proxy joins a client's connection with the target.
func (p *Port) proxy(client *net.TCPConn) {
	c := &proxiedConn{client: client, done: make(chan struct{})}
	p.link.add(c)
	defer p.link.remove(c)
	defer c.reset()
	if p.link.currentCut() == CutReset || !p.link.waitWhileBlackholed(c.done) {
		return
	}
	conn, err := net.DialTimeout("tcp", *p.target.Load(), dialTimeout)
	if err != nil || !c.setServer(conn.(*net.TCPConn)) {
		return
	}
	// The client's connection was accepted at once; a real one would have
	// taken a round trip before its first byte.
	handshake := 2 * p.link.config.Delay
	var both sync.WaitGroup
	both.Go(func() { c.forward(p.link, p.direction, c.client, c.server, handshake) })
	both.Go(func() { c.forward(p.link, p.direction.opposite(), c.server, c.client, 0) })
	both.Wait()
}

func (l *Link) add(c *proxiedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Link) remove(c *proxiedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// proxiedConn is a connection of a client joined with one to the target.
type proxiedConn struct {
	client *net.TCPConn
	mu     sync.Mutex
	server *net.TCPConn
	done   chan struct{}
	closed bool
}

// setServer adds the connection to the target. It reports false when the pair has
// ended.
func (c *proxiedConn) setServer(server *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = server.Close()
		return false
	}
	c.server = server
	return true
}

// reset ends both connections with a TCP reset.
func (c *proxiedConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	for _, conn := range []*net.TCPConn{c.client, c.server} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// chunk is some bytes in the air. An empty one ends the direction.
type chunk struct {
	at   time.Time
	data []byte
}

// forward carries bytes in one direction until its end or the pair's.
func (c *proxiedConn) forward(l *Link, d Direction, from, to *net.TCPConn, first time.Duration) {
	air := make(chan chunk, maxChunksInFlight)
	go c.readChunks(l, d, from, air, first)
	for next := range air {
		if !c.waitUntil(next.at) || !l.waitWhileBlackholed(c.done) {
			return
		}
		if len(next.data) == 0 {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(next.data); err != nil {
			c.reset()
			return
		}
	}
}

// readChunks puts what the sender sends into the air.
func (c *proxiedConn) readChunks(l *Link, d Direction, from *net.TCPConn, air chan<- chunk, first time.Duration) {
	defer close(air)
	var last time.Time
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n == 0 && err != nil && !errors.Is(err, io.EOF) {
			c.reset()
			return
		}
		at := l.arrivalTime(d, n, time.Now()).Add(first)
		if at.Before(last) {
			at = last // TCP keeps the order
		}
		last, first = at, 0
		next := chunk{at: at, data: append([]byte(nil), buf[:n]...)}
		select {
		case air <- next:
		case <-c.done:
			return
		}
		if n == 0 {
			return
		}
	}
}

// waitUntil waits until an instant. It reports false when the pair ends first.
func (c *proxiedConn) waitUntil(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
