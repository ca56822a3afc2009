// Package linkuse measures how much of a machine's network link a process uses, and for
// what.
package linkuse

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// Kind is a kind of traffic.
type Kind uint8

// The kinds of traffic.
const (
	// Callers is traffic with callers, Hops with other VMs for requests, and Servers with
	// backend servers for requests.
	Callers Kind = iota
	Hops
	Servers
	// Reports is traffic for the load reports of backend servers, Records for the records
	// that VMs exchange, and Registry with the platform's registry.
	Reports
	Records
	Registry
	// Auxiliary is traffic for readiness, the directory and operators.
	Auxiliary

	kinds
)

// Kinds returns all kinds of traffic.
func Kinds() []Kind {
	list := make([]Kind, kinds)
	for i := range list {
		list[i] = Kind(i)
	}
	return list
}

// String returns the kind's name in metrics and log lines.
func (k Kind) String() string {
	return [kinds]string{"callers", "hops", "servers", "reports", "records", "registry", "auxiliary"}[k]
}

const (
	// segmentBytes is the largest payload of a TCP segment on the link, in bytes, and
	// headerBytes the size of its headers of TCP, IP and the link.
	segmentBytes = 1448
	headerBytes  = 66
	// handshakeBytes is what setting up and closing a connection moves each way, in bytes.
	handshakeBytes = 4 * headerBytes
)

// Meter counts the bytes that a process moves, by kind of traffic. A nil Meter counts none.
type Meter struct {
	counters [kinds]counter
}

// counter counts the bytes of one kind, in either direction and with the estimated headers.
type counter struct {
	sent, received, connections atomic.Int64
}

// Bytes are numbers of bytes by direction, with the estimated headers of their packets.
type Bytes struct{ Sent, Received int64 }

// Total returns the bytes of a kind so far.
func (m *Meter) Total(kind Kind) Bytes {
	if m == nil {
		return Bytes{}
	}
	c := &m.counters[kind]
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// Connections returns the number of connections of a kind so far.
func (m *Meter) Connections(kind Kind) int64 {
	if m == nil {
		return 0
	}
	return m.counters[kind].connections.Load()
}

// Conn returns a connection whose bytes are counted.
func (m *Meter) Conn(c net.Conn, kind Kind) net.Conn {
	if m == nil {
		return c
	}
	counts := &m.counters[kind]
	counts.connections.Add(1)
	counts.sent.Add(handshakeBytes)
	counts.received.Add(handshakeBytes)
	if tcp, ok := c.(*net.TCPConn); ok {
		return &tcpConn{TCPConn: tcp, counter: counts}
	}
	return &conn{Conn: c, counter: counts}
}

// addSent counts the bytes of one write, and the acknowledgements that they cause.
func (c *counter) addSent(n int) {
	if n <= 0 {
		return
	}
	segments := int64((n + segmentBytes - 1) / segmentBytes)
	c.sent.Add(int64(n) + segments*headerBytes)
	c.received.Add((segments + 1) / 2 * headerBytes)
}

// addReceived counts the bytes of one read, and the acknowledgements that they cause.
func (c *counter) addReceived(n int) {
	if n <= 0 {
		return
	}
	segments := int64((n + segmentBytes - 1) / segmentBytes)
	c.received.Add(int64(n) + segments*headerBytes)
	c.sent.Add((segments + 1) / 2 * headerBytes)
}

// tcpConn is a TCP connection whose bytes are counted.
type tcpConn struct {
	*net.TCPConn
	*counter
}

// Read implements net.Conn.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.addReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *tcpConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.addSent(n)
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *tcpConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo implements io.WriterTo.
func (c *tcpConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// conn is a connection of another type whose bytes are counted.
type conn struct {
	net.Conn
	*counter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.addReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.addSent(n)
	return n, err
}

// SetLinger sets what a close does with bytes that have not reached the other side, if the
// connection below can.
func (c *conn) SetLinger(seconds int) error {
	if lingers, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingers.SetLinger(seconds)
	}
	return nil
}

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(l net.Listener, kind Kind) net.Listener {
	return &listener{Listener: l, meter: m, kind: kind}
}

type listener struct {
	net.Listener
	meter *Meter
	kind  Kind
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c, l.kind), nil
}

// ContextDialer opens connections.
type ContextDialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer returns a dialer whose connections are counted.
func (m *Meter) Dialer(d ContextDialer, kind Kind) ContextDialer {
	return &dialer{ContextDialer: d, meter: m, kind: kind}
}

type dialer struct {
	ContextDialer
	meter *Meter
	kind  Kind
}

// DialContext implements ContextDialer.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.ContextDialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.meter.Conn(c, d.kind), nil
}
