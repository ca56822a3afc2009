package upstream

import (
	"context"
	"net"
)

// Reset closes a connection and discards the bytes that have not reached the other side. Close
// alone would still deliver them, with a request that was given up and sent elsewhere meanwhile.
// The error is that of closing the connection.
func Reset(c net.Conn) error {
	if lingers, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only if the connection is closed already.
		_ = lingers.SetLinger(0)
	}
	return c.Close()
}

// ResettingDialer opens connections whose Close is Reset. It suits the transport of net/http,
// which closes a connection when a request is given up, or after a whole response.
type ResettingDialer struct{ Dialer }

// DialContext implements Dialer.
func (d ResettingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return resettingConn{c}, nil
}

type resettingConn struct{ net.Conn }

// Close implements net.Conn.
func (c resettingConn) Close() error { return Reset(c.Conn) }
