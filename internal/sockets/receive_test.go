package sockets

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// connect returns the sides of a connection to a listener with the buffers.
func connect(t *testing.T, b Buffers) (client, server net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// unread returns the bytes that a connection has received and not read.
func unread(t *testing.T, c net.Conn) int64 {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		t.Fatal(err)
	}
	return int64(n)
}

// fill writes pieces until the other side takes no more.
func fill(c net.Conn, piece int) {
	for err := error(nil); err == nil; {
		_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = c.Write(make([]byte, piece))
	}
}

// Guards against connections that hold megabytes which nobody has read.
func TestUnreadBytesAreBounded(t *testing.T) {
	for _, size := range []int{4 << 10, 8 << 10, 32 << 10} {
		for _, piece := range []int{100, 1 << 10, 64 << 10} {
			is := is.New(t)
			b := Buffers{ReceiveBytes: size, Backlog: 16}
			client, server := connect(t, b)
			for range 3 {
				fill(client, piece)
				n := unread(t, server)
				is.True(n > 0)
				is.True(n <= b.UnreadBytes())
				_, err := io.CopyN(io.Discard, server, n/2)
				is.NoErr(err)
			}
		}
	}
}

func TestWindowGrowsWithALargeMessageWhileThereIsMemory(t *testing.T) {
	is := is.New(t)
	b := Buffers{ReceiveBytes: 8 << 10}
	client, server := connect(t, b)
	budget := membudget.New(4 << 20)
	w := NewWindow(server, b, budget)
	go func() { _, _ = io.Copy(client, io.LimitReader(zeros{}, 2<<20)) }()
	buffer := make([]byte, 16<<10)
	for total := 0; total < 1<<20; {
		n, err := server.Read(buffer)
		is.NoErr(err)
		total += n
		w.Received(n)
		is.True(w.size <= max(b.ReceiveBytes, total))
		is.True(budget.Held() <= unreadPerReceiveByte*int64(total))
	}
	is.Equal(w.size, maxReceiveBytes)
	is.Equal(budget.Held(), int64(unreadPerReceiveByte*(maxReceiveBytes-8<<10)))
	is.True(w.MustClose())
	w.End()
	is.Equal(budget.Held(), int64(0))
}

func TestWindowKeepsItsSizeWithoutSpareMemory(t *testing.T) {
	is := is.New(t)
	b := Buffers{ReceiveBytes: 8 << 10}
	_, server := connect(t, b)
	w := NewWindow(server, b, membudget.New(64<<10))
	w.Received(1 << 20)
	is.True(w.size <= 32<<10)
	is.True(!w.MustClose())
	near, _ := net.Pipe()
	is.Equal(NewWindow(near, b, nil), nil) // has no buffer
	var none *Window
	is.True(!none.MustClose())
	none.Begin()
	none.End()
}

// zeros is a reader of zero bytes without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
