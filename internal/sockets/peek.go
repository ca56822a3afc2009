// Package sockets looks at connections without reading from them, and bounds what the kernel
// holds for them.
package sockets

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending is what a read of a connection would return.
type Pending uint8

const (
	// Unknown means that the connection has no socket to look at.
	Unknown Pending = iota
	// Nothing means that the other side has sent nothing more.
	Nothing
	// Bytes means that bytes have arrived.
	Bytes
	// End means that the other side has closed or reset the connection, or that it is closed
	// here.
	End
)

// Peek returns what a read of the connection would return now.
func Peek(c net.Conn) Pending {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return End
	}
	pending := End
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		for err == unix.EINTR {
			n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		}
		switch {
		case err == unix.EAGAIN:
			pending = Nothing
		case err == nil && n > 0:
			pending = Bytes
		}
	})
	if err != nil {
		return End
	}
	return pending
}

// Unsent returns the number of written bytes that the other side has not acknowledged, and
// whether that is known.
func Unsent(c net.Conn) (bytes int, known bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var failed error
	err = raw.Control(func(fd uintptr) { bytes, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return bytes, err == nil && failed == nil
}
