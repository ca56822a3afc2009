package upstream

import "net"

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
