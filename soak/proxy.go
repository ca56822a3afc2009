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

	"github.com/chestnutspring/chestnutspring/internal/linktest"
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
	// Reset resets open and new connections.
	Reset
	// Cut loses the packets of open and new connections, CutRequests only those from the VM
	// and CutResponses only those from the other side; no connection can be opened
	// meanwhile. What is lost is sent again once the mode ends, unless its sender has given
	// up.
	Cut
	CutRequests
	CutResponses
)

// losesRequests reports whether the packets of the side that opens connections are lost, and
// losesResponses those of the other one.
func (m Mode) losesRequests() bool  { return m == Cut || m == CutRequests }
func (m Mode) losesResponses() bool { return m == Cut || m == CutResponses }

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
	// conns holds the connections, and whether they are those to the target.
	conns map[net.Conn]bool
}

// NewProxy listens on a free port of loopback and forwards connections to
// target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c, toTarget := range p.conns {
		p.applyLoss(c, toTarget)
	}
	// It fails only once the proxy has been closed.
	_ = linktest.SilenceListener(p.listener.(*net.TCPListener), mode.losesRequests() || mode.losesResponses())
	if mode != Reset {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

// applyLoss makes a connection lose what arrives if the mode says so. The caller holds the
// lock.
func (p *Proxy) applyLoss(c net.Conn, toTarget bool) {
	lost := p.mode.losesRequests()
	if toTarget {
		lost = p.mode.losesResponses()
	}
	// It fails only if the connection has been closed.
	_ = linktest.Silence(c.(*net.TCPConn), lost)
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
	p.conns[in], p.conns[out] = false, true
	p.applyLoss(in, false)
	p.applyLoss(out, true)
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

// forward copies bytes until either connection ends. It forwards a TCP reset
// as a reset and an end of file as a close.
func (p *Proxy) forward(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for mode := p.currentMode(); mode == Stall || mode == StallResponses && responses; mode = p.currentMode() {
			time.Sleep(stallPollInterval)
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
