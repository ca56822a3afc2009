package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against issue 48 (TWICE): a request that its sender gave up, and sent elsewhere,
// reached the first server nevertheless, once its link came back.
func TestRequestThatIsGivenUpDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	// What doesn't fit into the server's buffer stays in that of its caller, as it does while
	// a link is cut.
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { is.NoErr(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048)) })
	}}
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	request := call(l.Addr().String(), "1")
	request.Method, request.Body = http.MethodPost, make([]byte, inlineBodyBytes)
	_, err = newPool().Do(ctx, request)
	is.True(err != nil)
	conn := <-accepted
	defer func() { _ = conn.Close() }()
	time.Sleep(100 * time.Millisecond)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
	received, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // not even the header arrives
	}
	_, err = io.Copy(io.Discard, received.Body)
	is.True(err != nil) // the request is incomplete
}
