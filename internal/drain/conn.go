package drain

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

// conn is an accepted connection that knows when bytes were last read from it. The HTTP
// server counts a connection as idle until it has read and parsed a whole request header.
type conn struct {
	net.Conn
	mu sync.Mutex
	// receivedAt is when bytes were last read. closing means that the connection was
	// closed as idle, so that bytes that were read meanwhile are dropped.
	receivedAt time.Time
	closing    bool
}

// Read implements net.Conn. It returns no bytes of a connection that was closed as idle, so
// that no request is served whose caller can't get the response.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	c.receivedAt = time.Now()
	return n, err
}

// CloseWrite closes the sending side, which the HTTP server does if the connection can.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// markClosing reports whether no bytes were read for the given time, and if so has Read
// return none from then on.
func (c *conn) markClosing(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivedAt.IsZero() && time.Since(c.receivedAt) < idle {
		return false
	}
	c.closing = true
	return true
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// CallerLeft reports whether the caller has closed the connection on which the request with
// this context came; the context itself ends a moment later. It is false for requests that a
// Server of this package didn't accept.
func CallerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c != nil && sockets.Peek(c.Conn) == sockets.End
}

// connOf returns the accepted connection below c, or nil.
func connOf(c net.Conn) *conn {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	accepted, _ := c.(*conn)
	return accepted
}

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}
