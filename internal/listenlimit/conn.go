package listenlimit

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

const (
	// headerByteCost is the memory of a byte of a header that is being read, whose buffer grows
	// by doubling, and headerLineCost that of a line besides: a map entry, a slice and its
	// strings take 100 bytes, and as much is garbage until it is collected.
	headerByteCost, headerLineCost = 3, 256
	// parsedLineCost is the memory of a line of a header that has been read.
	parsedLineCost = 100
)

const (
	// minHoldTime is how long a connection may hold the memory of a header before it is closed
	// for another one. Without it, clients that connect again at once make more garbage than
	// is collected in time.
	minHoldTime = 250 * time.Millisecond
	// roomInterval is the time between two attempts to get memory for a header.
	roomInterval = 20 * time.Millisecond
)

// errNoMemory means that the headers and bodies in progress hold all the memory for them.
var errNoMemory = errors.New("no memory for the request header")

// conn is a bounded connection.
type conn struct {
	net.Conn
	port   *Port
	remote netip.AddrPort
	// awaiting is true while the header of a request is awaited or read.
	awaiting atomic.Bool
	// window is the receive buffer on a port with bodies, or nil.
	window *sockets.Window

	// The lock of the port guards these. since is when the connection was accepted or became
	// idle, and requested is true once it has sent a whole request.
	since              time.Time
	element            *list.Element
	in                 *list.List
	requested, removed bool

	// mu guards the account; held is what it holds, and received and lines are the bytes and
	// lines of the header so far.
	mu                    sync.Mutex
	account               *membudget.Account
	ended                 bool
	held, received, lines atomic.Int64
}

// Read implements net.Conn. While a header is awaited, its bytes are held by the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.port.kind.Messages {
		c.beginUse()
		c.window.Received(n)
		return n, err
	}
	if !c.awaiting.Load() {
		c.window.Received(n)
		return n, err
	}
	if !c.hold(p[:n]) {
		c.port.mu.Lock()
		c.port.refuse(byBytes)
		c.port.mu.Unlock()
		_ = c.Close()
		return 0, errNoMemory
	}
	return n, err
}

// beginUse counts a connection with messages as in use.
func (c *conn) beginUse() {
	if c.held.Load() > 0 {
		return
	}
	c.held.Store(1)
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.port.leaveList(c)
	c.requested = true
}

// hold takes the memory of bytes of a header, and closes older connections for it if need be.
func (c *conn) hold(p []byte) bool {
	lines := bytes.Count(p, []byte("\n"))
	cost := headerByteCost*len(p) + headerLineCost*lines
	c.received.Add(int64(len(p)))
	c.lines.Add(int64(lines))
	for began := time.Now(); !c.take(cost); {
		if c.port.makeRoom(c) {
			continue
		}
		if time.Since(began) >= c.port.HeaderTimeout {
			return false
		}
		time.Sleep(roomInterval)
	}
	return true
}

func (c *conn) take(cost int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && !c.account.Take(cost) {
		return false
	}
	c.held.Add(int64(cost))
	return true
}

// shrink leaves what a header holds that has been read, for as long as its request lasts.
func (c *conn) shrink() {
	parsed := c.received.Load() + parsedLineCost*c.lines.Load()
	c.release()
	c.take(int(parsed))
}

// release returns the memory of a request's header once the request has ended.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Close()
	c.held.Store(0)
	c.received.Store(0)
	c.lines.Store(0)
}

// end closes the connection, which the port has removed.
func (c *conn) end() {
	_ = c.Conn.Close()
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.release()
	c.window.End()
}

// Close implements net.Conn. It counts a connection that was closed as it was silent or idle.
func (c *conn) Close() error {
	err := c.Conn.Close()
	p := c.port
	p.mu.Lock()
	if !c.removed {
		age := time.Since(c.since)
		switch {
		case p.kind.Messages:
		case !c.requested && age >= p.HeaderTimeout:
			p.refuse(byTime)
		case c.in == &p.idle && age >= p.IdleTimeout:
			p.closed[byIdleTime].Inc(1)
		}
		p.remove(c)
	}
	p.mu.Unlock()
	c.end()
	return err
}

// CloseWrite closes the sending side, if the connection can.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn, for a look at what has arrived.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
