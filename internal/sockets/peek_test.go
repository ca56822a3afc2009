package sockets

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPeekTellsWhatAReadWouldReturn(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	is.Equal(Peek(near), Unknown)
	_, _ = near.Close(), far.Close()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	for _, reset := range []bool{false, true} {
		out, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		in, err := l.Accept()
		is.NoErr(err)
		is.Equal(Peek(in), Nothing)
		_, err = out.Write([]byte("a"))
		is.NoErr(err)
		await(t, in, Bytes)
		_, err = in.Read(make([]byte, 1))
		is.NoErr(err)
		is.Equal(Peek(in), Nothing)
		if reset {
			is.NoErr(out.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(out.Close())
		await(t, in, End)
		is.NoErr(in.Close())
		is.Equal(Peek(in), End)
	}
}

// await waits until a read of the connection would return what is wanted.
func await(t *testing.T, c net.Conn, want Pending) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); Peek(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("a read would return %d, not %d", Peek(c), want)
		}
	}
}
