package listenlimit

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

// logInterval is the least time between two log lines of a port.
const logInterval = time.Second

// headerSlop is the number of bytes by which net/http lets a header exceed its limit.
const headerSlop = 4096

// Kind is what a port is for.
type Kind struct {
	Name string
	// Share is the port's share of the connections.
	Share float64
	// Bodies means that the requests on the port have bodies that are read.
	Bodies bool
	// BufferBytes is what each connection holds in buffers beside those of HTTP/1.
	BufferBytes int
	// Messages means that the connections don't carry HTTP/1 requests one after another, so
	// that a connection counts as in use from its first byte.
	Messages bool
	// HeaderBytes bounds a request header instead of the setting, if it isn't zero.
	HeaderBytes int
	// KeepAlive is for how long a client may expect that an idle connection stays open.
	KeepAlive time.Duration
}

// receives reports whether the port receives bodies or messages.
func (k Kind) receives() bool { return k.Bodies || k.Messages }

// Connections returns the most connections of the port.
func (k Kind) Connections(b *Bounds) int { return max(1, int(k.Share*float64(b.Connections))) }

// limit is the name of a bound in metrics and log lines.
type limit string

const (
	byConnections limit = "connections"
	byAddress     limit = "address"
	byBytes       limit = "bytes"
	byHeader      limit = "header"
	byTime        limit = "header_time"
	byIdleTime    limit = "idle_time"
)

// Limiter gives the ports of a process their bounds.
type Limiter struct {
	Bounds
	// Windows holds the memory of receive buffers that grow, and Control that of the messages
	// of other VMs.
	Windows, Control *membudget.Budget
	budget           *membudget.Budget
	log              *slog.Logger
	scope            tally.Scope
}

// New returns a limiter. The budget holds the headers, and the bodies that the process reads.
func New(bounds Bounds, budget *membudget.Budget, log *slog.Logger, scope tally.Scope) *Limiter {
	return &Limiter{Bounds: bounds, Windows: membudget.New(bounds.WindowBytes), Control: membudget.New(bounds.ControlBytes), budget: budget, log: log, scope: scope.SubScope("listen")}
}

// Port is a port with its bounds.
type Port struct {
	*Limiter
	kind Kind
	max  int
	// closed counts the connections that were closed at a limit.
	closed map[limit]tally.Counter
	open   tally.Gauge

	mu    sync.Mutex
	conns map[netip.AddrPort]*conn
	// fresh are the connections that have sent no whole request, by age, and idle those that
	// have sent one and have none in progress, by the time of that.
	fresh, idle list.List
	perAddress  map[netip.Addr]int
	count       int
	// loggedAt is the time of the last log line, and unlogged the number of connections that
	// were closed since.
	loggedAt time.Time
	unlogged int
}

// Port returns the bounds of a port.
func (l *Limiter) Port(kind Kind) *Port {
	p := &Port{
		Limiter: l, kind: kind, max: kind.Connections(&l.Bounds), closed: map[limit]tally.Counter{},
		conns: map[netip.AddrPort]*conn{}, perAddress: map[netip.Addr]int{},
	}
	scope := l.scope.Tagged(map[string]string{"port": kind.Name})
	p.open = scope.Gauge("connections")
	for _, by := range []limit{byConnections, byAddress, byBytes, byHeader, byTime, byIdleTime} {
		p.closed[by] = scope.Tagged(map[string]string{"limit": string(by)}).Counter("closed_connections")
	}
	return p
}

// Apply sets the bounds of an HTTP server of the port. It keeps a hook of the server for the
// state of its connections.
func (p *Port) Apply(server *http.Server) *http.Server {
	server.MaxHeaderBytes, server.ReadHeaderTimeout = p.headerBytes(), p.HeaderTimeout
	server.IdleTimeout = p.IdleTimeout
	if p.kind.Messages {
		return server
	}
	if p.kind.Bodies {
		p.announceClose(server)
	}
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		p.setState(c, state)
		if next != nil {
			next(c, state)
		}
	}
	return server
}

func (p *Port) headerBytes() int {
	if p.kind.HeaderBytes > 0 {
		return p.kind.HeaderBytes
	}
	return p.HeaderBytes
}

// Listener returns a listener whose connections are bounded.
func (p *Port) Listener(l net.Listener) net.Listener { return &listener{Listener: l, port: p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener. It closes connections above a limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.add(raw); c != nil {
			return c, nil
		}
	}
}

func remoteOf(c net.Conn) netip.AddrPort {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// add returns the bounded connection, or closes it and returns nil if it is above a limit
// and no other one may be closed in its place.
func (p *Port) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, port: p, remote: remoteOf(raw), since: time.Now(), account: p.budget.Account()}
	c.awaiting.Store(!p.kind.Messages)
	switch {
	case p.kind.Messages:
		c.window = sockets.NewLastingWindow(raw, p.Buffers(p.kind), p.Windows)
	case p.kind.Bodies:
		c.window = sockets.NewWindow(raw, p.Buffers(p.kind), p.Windows)
	}
	address := c.remote.Addr()
	p.mu.Lock()
	var replaced *conn
	by := byAddress
	if p.PerAddress > 0 && p.perAddress[address] >= p.PerAddress {
		replaced = p.oldest(func(o *conn) bool { return o.remote.Addr() == address })
		if replaced == nil {
			p.refuse(by)
			p.mu.Unlock()
			_ = raw.Close()
			return nil
		}
	} else if by = byConnections; p.count >= p.max {
		if replaced = p.oldest(func(*conn) bool { return true }); replaced == nil {
			p.refuse(by)
			p.mu.Unlock()
			_ = raw.Close()
			return nil
		}
	}
	if replaced != nil {
		p.remove(replaced)
		p.refuse(by)
	}
	p.conns[c.remote] = c
	p.perAddress[address]++
	p.count++
	c.element, c.in = p.fresh.PushBack(c), &p.fresh
	p.open.Update(float64(p.count))
	p.mu.Unlock()
	if replaced != nil {
		replaced.end()
	}
	return c
}

// oldest returns the oldest connection that matches and has sent no whole request, or else the
// one that has been idle for longest, and for longer than its client may expect, or nil. The
// caller holds the lock.
func (p *Port) oldest(matches func(*conn) bool) *conn {
	for e := p.fresh.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); matches(c) {
			return c
		}
	}
	for e := p.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if time.Since(c.since) <= p.kind.KeepAlive {
			return nil
		}
		if matches(c) {
			return c
		}
	}
	return nil
}

// remove takes a connection from the port. The caller holds the lock.
func (p *Port) remove(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	p.leaveList(c)
	if p.conns[c.remote] == c {
		delete(p.conns, c.remote)
	}
	address := c.remote.Addr()
	if p.perAddress[address]--; p.perAddress[address] <= 0 {
		delete(p.perAddress, address)
	}
	p.count--
	p.open.Update(float64(p.count))
}

// leaveList takes a connection from its list. The caller holds the lock.
func (p *Port) leaveList(c *conn) {
	if c.in != nil {
		c.in.Remove(c.element)
		c.in = nil
	}
}

// refuse counts and logs a connection that is closed at a limit. The caller holds the lock.
func (p *Port) refuse(by limit) {
	p.closed[by].Inc(1)
	p.unlogged++
	if time.Since(p.loggedAt) < logInterval {
		return
	}
	// The lock isn't held across the write of the line.
	go p.log.Warn("connections closed at a limit", "port", p.kind.Name, "limit", string(by), "closed", p.unlogged,
		"connections", p.count, "maxConnections", p.max, "withoutRequest", p.fresh.Len(), "idle", p.idle.Len(),
		"pendingBytes", p.budget.Held(), "maxPendingBytes", p.PendingBytes)
	p.loggedAt, p.unlogged = time.Now(), 0
}

// setState follows the state of a server's connection.
func (p *Port) setState(raw net.Conn, state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[remoteOf(raw)]
	if c == nil {
		return
	}
	p.leaveList(c)
	if state == http.StateActive {
		// net/http also reports this state when a header was too large or late.
		switch {
		case c.received.Load() >= int64(p.headerBytes()+headerSlop):
			p.refuse(byHeader)
		case !c.requested && time.Since(c.since) >= p.HeaderTimeout:
			p.refuse(byTime)
		}
	}
	c.requested = true
	if state == http.StateActive {
		c.window.Begin()
		c.awaiting.Store(false)
		c.shrink()
		return
	}
	c.since = time.Now()
	c.element, c.in = p.idle.PushBack(c), &p.idle
	c.release()
	c.awaiting.Store(true)
}

// makeRoom closes the oldest other connection that holds the memory of a header without
// having sent a whole request, and reports whether there was one.
func (p *Port) makeRoom(needed *conn) bool {
	p.mu.Lock()
	c := p.oldest(func(o *conn) bool {
		return o != needed && o.held.Load() > membudget.FreeBytes && time.Since(o.since) >= minHoldTime
	})
	if c != nil {
		p.remove(c)
		p.refuse(byBytes)
	}
	p.mu.Unlock()
	if c == nil {
		return false
	}
	c.end()
	return true
}
