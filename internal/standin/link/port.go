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

// Buffers of one connection in each direction.
const (
	chunkBytes        = 16 << 10
	maxChunksInFlight = 512
)

// dialTimeout bounds the connection to the target, which is on loopback.
const dialTimeout = 5 * time.Second

// Port is a listening address at one end of a link. Connections to it are
// forwarded to a target at the other end.
type Port struct {
	link      *Link
	direction Direction // of the bytes that clients send
	listener  net.Listener
	target    atomic.Pointer[string]
}

// Listen opens a port on a free port number of loopback. The bytes that its
// clients send go in direction d. The target may be set later.
func (l *Link) Listen(d Direction, target string) (*Port, error) {
	return l.ListenOn("127.0.0.1:0", d, target)
}

// ListenOn is like Listen with a given listen address.
func (l *Link) ListenOn(address string, d Direction, target string) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, standin.ErrListen.Wrap(err, "listen for a link on %s", address)
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

// proxy connects a client to the target and forwards bytes in both directions.
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
	// The proxy has accepted the client's connection immediately. A real TCP
	// handshake takes a round trip before the first byte.
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

// proxiedConn is a client's connection and the connection to its target.
type proxiedConn struct {
	client *net.TCPConn
	mu     sync.Mutex
	server *net.TCPConn
	done   chan struct{}
	closed bool
}

// setServer sets the connection to the target. It closes the connection and
// returns false if c was reset meanwhile.
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

// reset closes both connections with a TCP reset.
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

// chunk is bytes in flight with their arrival time. An empty chunk is the end of
// the direction's data.
type chunk struct {
	at   time.Time
	data []byte
}

// forward forwards bytes in one direction until its end or the reset of c. The
// first chunk gets the additional delay firstDelay.
func (c *proxiedConn) forward(l *Link, d Direction, from, to *net.TCPConn, firstDelay time.Duration) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go c.readChunks(l, d, from, inFlight, firstDelay)
	for next := range inFlight {
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

// readChunks reads from a connection and adds the chunks to inFlight.
func (c *proxiedConn) readChunks(l *Link, d Direction, from *net.TCPConn, inFlight chan<- chunk, firstDelay time.Duration) {
	defer close(inFlight)
	var last time.Time
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n == 0 && err != nil && !errors.Is(err, io.EOF) {
			c.reset()
			return
		}
		at := l.arrivalTime(d, n, time.Now()).Add(firstDelay)
		if at.Before(last) {
			at = last // TCP preserves the order of bytes
		}
		last, firstDelay = at, 0
		next := chunk{at: at, data: append([]byte(nil), buf[:n]...)}
		select {
		case inFlight <- next:
		case <-c.done:
			return
		}
		if n == 0 {
			return
		}
	}
}

// waitUntil waits until a point in time. It returns false if c is reset first.
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
