// Package upstream exchanges HTTP/1.1 requests over kept connections, with
// what a gateway must know that net/http's client hides: whether any byte of a
// request was sent, which answer belongs to which request, and that nothing is
// ever sent a second time.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// defaultIdle is how long a connection is kept whose server states no
	// idle time.
	defaultIdle = 2 * time.Second
	// idleMargin is how much sooner than the server's stated idle time a
	// connection is given up, so that no request meets a closing one.
	idleMargin = 700 * time.Millisecond
	// keepAliveProbe is the interval of the probes that find a connection
	// that went silent.
	keepAliveProbe = time.Second
	// userTimeout bounds how long sent bytes may go unacknowledged. It covers
	// several retransmissions over a lossy link.
	userTimeout = 3 * time.Second
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("upstream").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUnsent says that no byte of the request was sent.
	ErrUnsent = Errors.NewType("unsent", errorx.Temporary())
	// ErrBroken says that the exchange broke after bytes were sent.
	ErrBroken = Errors.NewType("broken")
)

// Pool keeps connections to many addresses.
type Pool struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	Now         clock.Clock
	// OnDial, if set, is told of each attempt to connect.
	OnDial func(err error)

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	// in counts down the bytes that may still be read.
	in     *io.LimitedReader
	reader *bufio.Reader
	// idleSince and idleFor bound its next use.
	idleSince clock.Instant
	idleFor   time.Duration
	reused    bool
	closeOnce sync.Once
}

// NewPool returns an empty pool.
func NewPool(now clock.Clock, dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, Now: now, idle: map[string][]*conn{}, open: map[string]int{}}
}

// OpenConnections returns the number of connections to all addresses, idle ones included.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, k := range p.open {
		n += k
	}
	return n
}

// take returns an idle connection that was used within maxIdle, or nil.
func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	now := p.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		age := now.Sub(c.idleSince)
		if age > c.idleFor || !c.quiet() {
			c.close()
			continue
		}
		if age > maxIdle {
			p.put(c)
			return nil
		}
		c.reused = true
		return c
	}
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// dial opens a connection. Its error is ErrUnsent.
func (p *Pool) dial(ctx context.Context, address string, maxOpen int) (*conn, error) {
	p.mu.Lock()
	if maxOpen > 0 && p.open[address] >= maxOpen {
		p.mu.Unlock()
		return nil, ErrUnsent.New("%d connections to %s are open", maxOpen, address)
	}
	p.open[address]++
	p.mu.Unlock()
	dialer := net.Dialer{
		Timeout: p.DialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: 2},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if p.OnDial != nil {
		p.OnDial(err)
	}
	if err != nil {
		p.release(address)
		return nil, ErrUnsent.New("%v", err)
	}
	c := &conn{Conn: raw, pool: p, address: address}
	c.in = &io.LimitedReader{R: raw}
	c.reader = bufio.NewReaderSize(c.in, readBufferBytes)
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// CloseExpired closes idle connections whose time has passed. It is called about once
// a second.
func (p *Pool) CloseExpired() {
	p.closeIdle(func(c *conn, now clock.Instant) bool { return now.Sub(c.idleSince) > c.idleFor })
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.closeIdle(func(c *conn, _ clock.Instant) bool { return c.address == address })
}

func (p *Pool) closeIdle(old func(*conn, clock.Instant) bool) {
	now := p.Now()
	var closing []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if old(c, now) {
				closing = append(closing, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		c.pool.release(c.address)
	})
}

// quiet reports whether the connection is open and has nothing to be read.
// Bytes that arrive while no request is out belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
