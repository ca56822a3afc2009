package peer

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a VM that could not start again in the same process (seen in a test of issue
// 45, "address already in use"): if a connection came as the server ended, Serve returned
// before its listener was closed.
func TestServeClosesItsListenerBeforeItReturns(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	accepted := &endingListener{Listener: l}
	is.NoErr((&Server{}).Serve(ctx, accepted))
	again, err := net.Listen("tcp", address)
	is.NoErr(err)
	_ = again.Close()
	is.True(accepted.conn.closed)
}

// endingListener accepts one connection, as if it came as the server ended.
type endingListener struct {
	net.Listener
	conn closedConn
}

func (l *endingListener) Accept() (net.Conn, error) { return &l.conn, nil }

// closedConn records that it was closed.
type closedConn struct {
	net.Conn
	closed bool
}

func (c *closedConn) Close() error {
	c.closed = true
	return nil
}
