// Package soak runs chestnut-edge as separate processes on loopback and
// injects faults from outside them: proxies delay, stall or reset connections
// or stall only responses, and signals terminate, pause, kill and reload
// processes. It checks the guarantees to callers and backend servers while
// the faults are active.
package soak

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Mode is what a proxy does with its connections.
type Mode int

const (
	// PassThrough forwards all bytes.
	PassThrough Mode = iota
	// Delay forwards bytes late, by delayPerRead.
	Delay
	// Stall forwards nothing and keeps connections open.
	Stall
	// StallResponses forwards only the bytes of requests.
	StallResponses
	// StallRequests forwards only the bytes of responses.
	StallRequests
	// Reset resets open and new connections.
	Reset
)

// delayPerRead is the delay that Delay adds to each read, equal to several
// round trips between regions.
const delayPerRead = 300 * time.Millisecond

// stallPollInterval is how often stalled connections check the mode.
const stallPollInterval = 20 * time.Millisecond

// Proxy is a TCP proxy to one address that can inject connection faults.
type Proxy struct {
	Address  string // IP:port that the proxy listens on
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	conns  map[net.Conn]struct{}
}

// NewProxy listens on a free port of loopback and forwards connections to
// target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]struct{}{}}
	go p.serve()
	return p, nil
}

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != Reset {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

// SetTarget changes the address to which connections are forwarded, and resets those that
// are open.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	for c := range p.conns {
		resetConn(c)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Reset)
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Reset {
			resetConn(in)
			continue
		}
		go p.proxyConn(in)
	}
}

func (p *Proxy) proxyConn(in net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	// The target sees the address of the VM that opened the connection.
	from := &net.TCPAddr{IP: in.RemoteAddr().(*net.TCPAddr).IP}
	out, err := (&net.Dialer{LocalAddr: from}).Dial("tcp", target)
	if err != nil {
		resetConn(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(out, in, false) })
	both.Go(func() { p.forward(in, out, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// isReset reports whether the other side has reset a connection.
func isReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reset = err != nil && err != unix.EAGAIN
	})
	return err != nil || reset
}

// forward copies bytes until either connection ends. It forwards a TCP reset
// as a reset and an end of file as a close. As on a link that is cut, bytes that are held up
// are lost if their sender resets the connection, and arrive late if it closes it.
func (p *Proxy) forward(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		lost := false
		for mode := p.currentMode(); mode == Stall || mode == StallResponses && responses || mode == StallRequests && !responses; mode = p.currentMode() {
			time.Sleep(stallPollInterval)
			lost = lost || isReset(from)
		}
		if lost {
			resetConn(to)
			return
		}
		if p.currentMode() == Delay {
			time.Sleep(delayPerRead)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			if err.Error() == "EOF" {
				_ = to.Close()
			} else {
				resetConn(to)
			}
			return
		}
	}
}
