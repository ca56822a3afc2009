// Package upstream is an HTTP/1.1 client with pooled connections. Unlike the client
// of net/http it reports whether any byte of a request was sent, matches responses
// to requests, and never sends a request a second time.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the default of Pool.IdleTimeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdleTimeout bounds the idle timeout that a server announces. A connection that the
	// server has closed holds its descriptor until then.
	maxIdleTimeout = time.Minute
	// idleMargin is how long before the server's announced idle timeout a
	// connection is discarded, so that no request is sent on a connection that the
	// server is closing.
	idleMargin = 700 * time.Millisecond
	// keepAliveProbeInterval is the interval of the TCP keep-alive probes that
	// detect a dead connection.
	keepAliveProbeInterval = time.Second
	// resetTime is the time in which a connection to a process that ends is reset.
	resetTime = 10 * time.Millisecond
	// userTimeout bounds how long sent bytes may go unacknowledged. It covers
	// several retransmissions over a lossy link.
	userTimeout = 3 * time.Second
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("upstream").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUnsent means that no byte of the request was sent.
	ErrUnsent = Errors.NewType("unsent", errorx.Temporary())
	// ErrNoConnection is an ErrUnsent: the attempt to connect failed.
	ErrNoConnection = ErrUnsent.NewSubtype("no_connection")
	// ErrRefused is an ErrNoConnection: no process listens at the address.
	ErrRefused = ErrNoConnection.NewSubtype("refused")
	// ErrExhausted is an ErrUnsent: this process has no descriptors or ports left. It says
	// nothing about the address.
	ErrExhausted = ErrUnsent.NewSubtype("exhausted")
	// ErrAtLimit is an ErrUnsent: as many connections to the address as the call allows are in
	// use. It says nothing about the address.
	ErrAtLimit = ErrUnsent.NewSubtype("at_limit")
	// ErrBroken means that the exchange failed after bytes may have been sent.
	ErrBroken = Errors.NewType("broken")
)

// Dialer opens connections. The error of a refused one wraps syscall.ECONNREFUSED.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns the dialer of a pool whose connections have the buffers and whose setup takes
// at most timeout.
func NewDialer(timeout time.Duration, buffers sockets.Buffers) Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: keepAliveProbes(),
		Control: func(network, address string, raw syscall.RawConn) error {
			if err := buffers.Control(network, address, raw); err != nil {
				return err
			}
			return setUserTimeout(raw, userTimeout)
		},
	}
}

// Pool is a pool of connections to many addresses.
type Pool struct {
	Dialer Dialer
	Now    clock.Clock
	// OnDial, if set, is called after each attempt to connect.
	OnDial func(err error)
	// MaxHeadBytes bounds the status line and header of a response.
	MaxHeadBytes int
	// IdleTimeout is the idle timeout of a connection whose server does not announce one.
	IdleTimeout time.Duration
	// ServersStateUnread means that the servers close a connection, and say so in the header
	// of the response, on which they have not read the whole body of a request.
	ServersStateUnread bool
	// Total bounds the connections of this pool and others together.
	Total *Total
	// MaxIdlePerAddress bounds the idle connections to an address; zero means no bound.
	MaxIdlePerAddress int

	buffers sockets.Buffers
	memory  *membudget.Budget

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	// head bounds the headers that reader reads.
	head   *headReader
	reader *bufio.Reader
	// window is the receive buffer.
	window *sockets.Window
	// idleSince and idleTimeout determine when an idle connection expires.
	idleSince   clock.Instant
	idleTimeout time.Duration
	reused      bool
	carried     carriedIDs
	closeOnce   sync.Once
}

// NewPool returns an empty pool whose connection setup takes at most dialTimeout.
func NewPool(now clock.Clock, dialTimeout time.Duration) *Pool {
	return &Pool{
		Dialer: NewDialer(dialTimeout, sockets.Buffers{}), Now: now, MaxHeadBytes: DefaultMaxHeadBytes, IdleTimeout: defaultIdleTimeout,
		idle: map[string][]*conn{}, open: map[string]int{},
	}
}

// SetBuffers sets the buffers of new connections, whose setup takes at most dialTimeout, and the
// budget for receive buffers that grow.
func (p *Pool) SetBuffers(dialTimeout time.Duration, b sockets.Buffers, memory *membudget.Budget) {
	p.Dialer, p.buffers, p.memory = NewDialer(dialTimeout, b), b, memory
}

// OpenConnections returns the number of connections to all addresses, including
// idle ones.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, k := range p.open {
		n += k
	}
	return n
}

// takeIdle returns the idle connection that was used last, of those that the call may use, or
// nil. It also returns the number of connections that were passed over as they had carried a
// request with the call's ID.
func (p *Pool) takeIdle(call *Call) (c *conn, passedOver int) {
	now := p.Now()
	for {
		c, passedOver = p.removeIdle(call, now)
		if c == nil {
			return nil, passedOver
		}
		if now.Sub(c.idleSince) > c.idleTimeout || !c.isReusable() {
			c.close()
			continue
		}
		c.reused = true
		return c, passedOver
	}
}

// removeIdle removes the connection that takeIdle returns from the pool, without looking at its
// idle timeout and whether it is open.
func (p *Pool) removeIdle(call *Call, now clock.Instant) (c *conn, passedOver int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[call.Address]
	for i, c := range slices.Backward(list) {
		switch {
		case now.Sub(c.idleSince) > call.MaxIdle:
			return nil, passedOver // the others were used earlier
		case c.carried.contains(call.ID):
			passedOver++
		default:
			p.idle[call.Address] = slices.Delete(list, i, i+1)
			return c, passedOver
		}
	}
	return nil, passedOver
}

// putIdle adds the connection to the idle ones, or closes it if they are as many as allowed.
func (p *Pool) putIdle(c *conn) {
	if !p.addIdle(c) {
		c.close()
	}
}

func (p *Pool) addIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxIdlePerAddress > 0 && len(p.idle[c.address]) >= p.MaxIdlePerAddress {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// dial opens a connection for the call. Its error is ErrAtLimit, or ErrExhausted or
// ErrNoConnection if the attempt failed.
func (p *Pool) dial(ctx context.Context, call *Call) (*conn, error) {
	address := call.Address
	if !p.reserve(call) {
		return nil, ErrAtLimit.New("%d connections to %s are in use", call.MaxOpen, address)
	}
	if !p.Total.Take() {
		p.uncount(address)
		return nil, ErrExhausted.New("all %d connections to other processes are in use", p.Total.max)
	}
	raw, err := p.Dialer.DialContext(ctx, "tcp", address)
	if isExhausted(err) {
		p.closeIdle(func(*conn, clock.Instant) bool { return true })
		raw, err = p.Dialer.DialContext(ctx, "tcp", address)
	}
	if p.OnDial != nil {
		p.OnDial(err)
	}
	if err != nil {
		p.decrementOpen(address)
		if isExhausted(err) {
			return nil, ErrExhausted.New("%v", err)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrRefused.New("%v", err)
		}
		return nil, ErrNoConnection.New("%v", err)
	}
	c := &conn{Conn: raw, pool: p, address: address, window: sockets.NewWindow(raw, p.buffers, p.memory)}
	c.head = &headReader{r: c}
	c.reader = bufio.NewReaderSize(c.head, readBufferBytes)
	return c, nil
}

// reserve counts a connection that is about to be opened. If the call's maximum is open, it
// closes the one that has been idle for longest, and returns false if none is idle.
func (p *Pool) reserve(call *Call) bool {
	p.mu.Lock()
	var replaced *conn
	if call.MaxOpen > 0 && p.open[call.Address] >= call.MaxOpen {
		list := p.idle[call.Address]
		if len(list) == 0 {
			p.mu.Unlock()
			return false
		}
		replaced = list[0]
		p.idle[call.Address] = slices.Delete(list, 0, 1)
	}
	p.open[call.Address]++
	p.mu.Unlock()
	if replaced != nil {
		replaced.close()
	}
	return true
}

// isExhausted reports whether an attempt to connect failed because this process, or its
// machine, has no descriptors, ports or memory left for sockets.
func isExhausted(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Probe opens a connection to the address and closes it again. Its error is ErrExhausted, or
// ErrNoConnection if the address accepts none, or resets it at once: the listener of a
// process that is being killed may accept one after its other connections have ended.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, &Call{Address: address})
	if err != nil {
		return err
	}
	defer c.close() // nothing was sent
	if err := c.SetReadDeadline(time.Now().Add(resetTime)); err != nil {
		return ErrNoConnection.New("%v", err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrNoConnection.New("connection closed at once: %v", err)
	}
	return nil
}

// EndWhenSilent makes an accepted connection fail once its other side has acknowledged nothing
// for the time, also if nothing is being sent.
func EndWhenSilent(c *net.TCPConn, silence time.Duration) error {
	if err := c.SetKeepAliveConfig(keepAliveProbes()); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, silence)
}

// keepAliveProbes returns the probes that show whether the other side of an idle connection is
// there. The user timeout decides when it isn't.
func keepAliveProbes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveProbeInterval, Interval: keepAliveProbeInterval, Count: 2}
}

// setUserTimeout bounds how long sent bytes may go unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// decrementOpen counts a connection as closed.
func (p *Pool) decrementOpen(address string) {
	p.Total.Give()
	p.uncount(address)
}

func (p *Pool) uncount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// oldestIdle returns the connection that has been idle for longest, or nil, and since when.
func (p *Pool) oldestIdle() (oldest *conn, since clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince < since) {
			oldest, since = list[0], list[0].idleSince
		}
	}
	return oldest, since
}

// forget removes an idle connection, and reports whether it was still idle.
func (p *Pool) forget(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	p.idle[c.address] = slices.Delete(list, i, i+1)
	return true
}

// CloseExpired closes idle connections whose idle timeout has passed. It is called
// about once per second.
func (p *Pool) CloseExpired() {
	p.closeIdle(func(c *conn, now clock.Instant) bool { return now.Sub(c.idleSince) > c.idleTimeout })
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.closeIdle(func(c *conn, _ clock.Instant) bool { return c.address == address })
}

func (p *Pool) closeIdle(selected func(*conn, clock.Instant) bool) {
	now := p.Now()
	var closing []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if selected(c, now) {
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

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.window.Received(n)
	return n, err
}

func (c *conn) close() { c.closeWith(c.Conn.Close) }

// reset closes the connection of a request that is given up.
func (c *conn) reset() { c.closeWith(func() error { return Reset(c.Conn) }) }

func (c *conn) closeWith(end func() error) {
	c.closeOnce.Do(func() {
		_ = end()
		c.window.End()
		c.pool.decrementOpen(c.address)
	})
}

// isReusable reports whether the connection is open and has no bytes to read. Bytes
// that arrive while no request is in flight belong to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	pending := sockets.Peek(c.Conn)
	return pending == sockets.Nothing || pending == sockets.Unknown
}
