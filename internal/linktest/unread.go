// Package linktest has what tests need to hold up and to cut connections.
package linktest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unreadBufferBytes is the size of an UnreadServer's receive buffer.
	unreadBufferBytes = 2048
	// UnreadBodyBytes is the size of a body that an UnreadServer's buffer doesn't hold.
	UnreadBodyBytes = 16 << 10
	// receiveTimeout bounds the wait for the rest of a request.
	receiveTimeout = 2 * time.Second
)

// UnreadServer accepts one connection and reads nothing from it at first. Its receive buffer
// holds only a part of a request, so that the rest stays with the sender, as it does while a
// link is cut.
type UnreadServer struct {
	Address  string
	accepted chan net.Conn
}

// StartUnreadServer starts an UnreadServer, which ends with the test.
func StartUnreadServer(t *testing.T) *UnreadServer {
	t.Helper()
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBufferBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	l, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &UnreadServer{Address: l.Addr().String(), accepted: make(chan net.Conn, 1)}
	go func() {
		conn, err := l.Accept()
		if err == nil {
			s.accepted <- conn
		}
	}()
	return s
}

// ReceivesRequest reads what arrives from now on, and reports whether that is a whole request.
func (s *UnreadServer) ReceivesRequest(t *testing.T) bool {
	t.Helper()
	conn := <-s.accepted
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}
