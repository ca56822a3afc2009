package drain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against issue 45 (LOST): while a server drained, it closed a connection as idle from
// which it was reading a request, as net/http counts it as idle until the whole header is
// parsed. On a VM with little processor time that lasts.
func TestConnectionWithPartOfARequestIsNotClosedAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		server := startServer(l)
		conn := l.dial()
		is.Equal(get(t, conn, "/"), http.StatusOK)
		drained := make(chan error, 1)
		go func() { drained <- server.Drain(context.Background()) }()
		time.Sleep(KeepAlive - time.Millisecond)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
		is.NoErr(err)
		time.Sleep(KeepAlive) // beyond the idle timeout
		_, err = io.WriteString(conn, "Host: gateway\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_ = conn.Close()
		is.NoErr(<-drained)
	})
}

// lateConn returns bytes from Read only once it is told to.
type lateConn struct {
	net.Conn
	arrive chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	<-c.arrive
	return copy(p, "GET / HTTP/1.1\r\n"), nil
}

// Guards against the same in the moment in which bytes are read and the connection is closed:
// the request is not served, so that it hasn't run although its caller gets no response.
func TestBytesReadFromAClosedConnectionAreDropped(t *testing.T) {
	is := is.New(t)
	late := &lateConn{arrive: make(chan struct{})}
	c := &conn{Conn: late}
	read := make(chan error)
	go func() {
		n, err := c.Read(make([]byte, 64))
		if n > 0 {
			err = errors.New("bytes were returned")
		}
		read <- err
	}()
	is.True(c.markClosing(time.Second))
	close(late.arrive)
	is.True(errors.Is(<-read, net.ErrClosed))
}

func TestConnectionIsIdleAgainSomeTimeAfterItsLastBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		late := &lateConn{arrive: make(chan struct{})}
		close(late.arrive)
		c := &conn{Conn: late}
		_, err := c.Read(make([]byte, 64))
		is.NoErr(err)
		is.Equal(c.markClosing(time.Second), false)
		time.Sleep(time.Second)
		is.True(c.markClosing(time.Second))
	})
}
