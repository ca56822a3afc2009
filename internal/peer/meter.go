package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter counts the bytes and writes of control connections, including the TLS
// overhead.
type Meter struct {
	Sent, Received, Writes atomic.Int64
}

// meteredConn counts bytes and sets a deadline for each read and write.
type meteredConn struct {
	net.Conn
	meter *Meter
	// readTimeout bounds each read. Zero means no limit.
	readTimeout time.Duration
}

var _ net.Conn = (*meteredConn)(nil)

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
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

// Metered returns conn with its bytes counted by meter and each write bounded by
// a timeout.
func Metered(conn net.Conn, meter *Meter) net.Conn { return &meteredConn{Conn: conn, meter: meter} }
