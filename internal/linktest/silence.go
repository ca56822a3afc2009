package linktest

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Silence makes a connection drop all that arrives, or ends that: as on a cut link, the other
// side's bytes stay unacknowledged, and are sent again. It fails if the connection is closed.
func Silence(c *net.TCPConn, on bool) error { return silence(c, on) }

// SilenceListener does the same to a listener, so that no connection can be opened.
func SilenceListener(l *net.TCPListener, on bool) error { return silence(l, on) }

func silence(c syscall.Conn, on bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = setFilter(int(fd), on) })
	if err != nil {
		return err
	}
	return failed
}

func setFilter(fd int, on bool) error {
	if !on {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); err != unix.ENOENT {
			return err
		}
		return nil
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
}
