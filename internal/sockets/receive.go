package sockets

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

const (
	// unreadPerReceiveByte is the number of unread bytes for each byte of the size that a
	// receive buffer is given: the kernel doubles the size, for its own use, which packets that
	// are full don't need.
	unreadPerReceiveByte = 2
	// unsentBytes bounds the written bytes that an accepted connection holds before they are
	// sent. It limits no rate: those that were sent and not acknowledged don't count.
	unsentBytes = 16 << 10
)

// Buffers are the sizes of what the kernel holds for a listener.
type Buffers struct {
	// ReceiveBytes is the size of the receive buffer of each connection; zero means that the
	// kernel chooses it, up to megabytes.
	ReceiveBytes int
	// Backlog bounds the connections that have not been accepted; zero means the kernel's
	// default.
	Backlog int
}

// UnreadBytes returns the most bytes that a connection holds which have not been read.
func (b Buffers) UnreadBytes() int64 { return unreadPerReceiveByte * int64(b.ReceiveBytes) }

// Listen opens a TCP listener with the buffers.
func Listen(address string, b Buffers) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Not all systems know this option.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
		})
		return b.Control("", "", raw)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil || b.Backlog <= 0 {
		return l, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		var failed error
		if err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), b.Backlog) }); err == nil {
			err = failed
		}
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// Control gives a socket its receive buffer before it listens or connects, as the buffer decides
// what the other side may send at first. It is a net.Dialer's Control.
func (b Buffers) Control(_, _ string, raw syscall.RawConn) error {
	if b.ReceiveBytes <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.ReceiveBytes)
	})
	if err != nil {
		return err
	}
	return failed
}

const (
	// maxKeptBytes is the largest size of the receive buffer of a connection that may serve
	// further messages, and maxLastingBytes that of one which serves messages for as long as
	// its other side runs.
	maxKeptBytes, maxLastingBytes = 64 << 10, 32 << 10
	// maxReceiveBytes is the largest size of a receive buffer. It lets 2.5 MB/s or more arrive
	// over a round trip of 100 ms.
	maxReceiveBytes = 256 << 10
)

// Window is the receive buffer of a connection. It is small until a large message has begun to
// arrive, and then grows with what has arrived as far as the budget has memory. The memory
// is held until the connection ends, as what a connection may send can't be taken back. Nil
// means that the buffer keeps its size.
type Window struct {
	conn interface{ SetReadBuffer(bytes int) error }

	mu      sync.Mutex
	account *membudget.Account
	// size is that of the buffer, and received the number of bytes of the message so far.
	size, received, max int
	ended               bool
}

// NewWindow returns the window of a connection, or nil if the size of its buffer can't be set.
func NewWindow(c net.Conn, b Buffers, budget *membudget.Budget) *Window {
	conn, ok := c.(interface{ SetReadBuffer(bytes int) error })
	if !ok || b.ReceiveBytes <= 0 {
		return nil
	}
	return &Window{conn: conn, account: budget.Account(), size: b.ReceiveBytes, max: maxReceiveBytes}
}

// NewLastingWindow is like NewWindow for a connection to another process that lasts. It grows less,
// and never has to be closed.
func NewLastingWindow(c net.Conn, b Buffers, budget *membudget.Budget) *Window {
	w := NewWindow(c, b, budget)
	if w != nil {
		w.max = maxLastingBytes
	}
	return w
}

// Begin begins a message.
func (w *Window) Begin() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = 0
}

// Received records that n bytes of the message have been read.
func (w *Window) Received(n int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received += n
	for size := 2 * w.size; w.received >= size && size <= w.max && !w.ended; size *= 2 {
		if !w.account.TakeSpare(unreadPerReceiveByte*(size-w.size)) || w.conn.SetReadBuffer(size) != nil {
			return // without memory, or the connection has ended
		}
		w.size = size
	}
}

// MustClose reports whether the connection should serve no other message, as its buffer is
// large.
func (w *Window) MustClose() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size > maxKeptBytes
}

// End returns what the buffer held, after the connection was closed.
func (w *Window) End() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.account.Close()
}
