package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter counts the bytes of control connections, TLS included.
type Meter struct {
	Sent, Received, Writes atomic.Int64
}

// meteredConn counts bytes and sets deadlines for each read and write.
type meteredConn struct {
	net.Conn
	meter *Meter
	idle  time.Duration
}

var _ net.Conn = (*meteredConn)(nil)

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.idle))
	}
	n, err := c.Conn.Read(p)
	if c.meter != nil {
		c.meter.Received.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if c.meter != nil {
		c.meter.Sent.Add(int64(n))
		c.meter.Writes.Add(1)
	}
	return n, err
}

// Metered counts the bytes of a connection.
func Metered(conn net.Conn, meter *Meter) net.Conn { return &meteredConn{Conn: conn, meter: meter} }
