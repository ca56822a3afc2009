package linkuse

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

func TestBytesAreCountedByKindWithTheirHeaders(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counted := m.Listener(l, Callers)
	defer func() { _ = counted.Close() }()
	conn, err := m.Dialer(&net.Dialer{}, Hops).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	accepted, err := counted.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	const size = 4000 // three segments
	_, err = conn.Write(make([]byte, size))
	is.NoErr(err)
	_, err = io.ReadFull(accepted, make([]byte, size))
	is.NoErr(err)
	is.Equal(m.Total(Hops), Bytes{Sent: handshakeBytes + size + 3*headerBytes, Received: handshakeBytes + 2*headerBytes})
	is.True(m.Total(Callers).Received >= handshakeBytes+size+3*headerBytes) // the reads may be more
	is.Equal(m.Connections(Hops), int64(1))
	is.Equal(m.Total(Records), Bytes{})
}

// Connections that are counted must still be reset, peeked at and half closed.
func TestCountedConnectionKeepsItsMethods(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	conn, err := m.Dialer(&net.Dialer{}, Servers).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, ok := conn.(interface{ SetLinger(int) error })
	is.True(ok)
	_, ok = conn.(syscall.Conn)
	is.True(ok)
	_, ok = conn.(interface{ CloseWrite() error })
	is.True(ok)
	pipe, _ := net.Pipe()
	_, ok = m.Conn(pipe, Servers).(syscall.Conn)
	is.Equal(ok, false) // it has no socket to look at
}

func TestNilMeterCountsNothing(t *testing.T) {
	is := is.New(t)
	var m *Meter
	pipe, _ := net.Pipe()
	is.Equal(m.Conn(pipe, Callers), pipe)
	is.Equal(m.Total(Callers), Bytes{})
	is.Equal(NewWindow(m).Add(clock.Instant(time.Second)).Sum, Bytes{})
}

func TestWindowReturnsRatesSinceTheLastCall(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	w := NewWindow(m)
	start := clock.Instant(time.Hour)
	is.Equal(w.Add(start).Over, time.Duration(0)) // nothing to compare with
	m.counters[Records].sent.Add(5000)
	m.counters[Callers].sent.Add(1000)
	m.counters[Callers].received.Add(3000)
	r := w.Add(start.Add(2 * time.Second))
	is.Equal(r.Sum, Bytes{Sent: 3000, Received: 1500})
	is.Equal(r.Kinds[Records], Bytes{Sent: 2500})
	is.Equal(r.LogAttrs(), []any{"sentKBps", int64(3), "receivedKBps", int64(1), "callersSent", int64(0), "callersReceived", int64(1), "recordsSent", int64(2), "recordsReceived", int64(0)})
	is.Equal(w.Add(start.Add(3*time.Second)).Sum, Bytes{})
}
