package edge

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/linkuse"
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// ports holds the open listeners. directory and operators may be nil.
type ports struct {
	callers, ready, control, directory, hops, operators net.Listener
}

// listenAll opens all ports. A process that can't open the operators' port serves
// without it, as callers don't depend on it. The error is ErrListen.
func listenAll(s *Settings, bounds *listenlimit.Bounds, log *slog.Logger) (*ports, error) {
	p := &ports{}
	for _, port := range []struct {
		address  string
		into     *net.Listener
		bounds   listenlimit.Kind
		kind     linkuse.Kind
		optional bool
	}{
		{s.CallerListen, &p.callers, callerKind, linkuse.Callers, false}, {s.ReadyListen, &p.ready, readyKind, linkuse.Auxiliary, false},
		{s.ControlListen, &p.control, controlKind, linkuse.Records, false}, {s.DirectoryListen, &p.directory, directoryKind, linkuse.Auxiliary, false},
		{s.HopListen, &p.hops, hopKind(bounds.HeaderBytes), linkuse.Hops, false}, {s.OperatorListen, &p.operators, operatorKind, linkuse.Auxiliary, true},
	} {
		if port.address == "" {
			continue
		}
		l, err := sockets.Listen(port.address, bounds.Buffers(port.bounds))
		if err != nil && port.optional {
			log.Warn("operators' port unavailable; serving without it", "address", port.address, "error", err)
			continue
		}
		if err != nil {
			return nil, ErrListen.Wrap(err, "%s", port.address)
		}
		l = &loggedListener{Listener: l, log: log}
		if port.kind == linkuse.Hops {
			l = &hopListener{Listener: l, log: log}
		}
		*port.into = s.Meter.Listener(l, port.kind)
	}
	return p, nil
}

// hopSilence is how long another VM may acknowledge nothing before its hops end. It is shorter
// than the time after which that VM takes this one for lost and sends a request elsewhere.
const hopSilence = 2 * time.Second

// hopListener accepts the connections of other VMs. They end when the other VM falls silent, so
// that servers don't go on with requests that continue elsewhere.
type hopListener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener.
func (l *hopListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		if err := upstream.EndWhenSilent(tcp, hopSilence); err != nil {
			l.log.Warn("the hops of a VM that falls silent will not end", "remote", conn.RemoteAddr(), "error", err)
		}
	}
	return conn, err
}

// loggedListener logs the failures to accept a connection, such as a lack of descriptors,
// which the servers only retry.
type loggedListener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener.
func (l *loggedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("accepting a connection failed", "address", l.Addr(), "error", err)
	}
	return conn, err
}
