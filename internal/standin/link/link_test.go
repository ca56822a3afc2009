package link

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo starts a TCP echo server and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	port, err := l.Listen(Forward, echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	conn, err := net.Dial("tcp", port.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestDelayAndByteOrder(t *testing.T) {
	is := is.New(t)
	l := New(Config{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.05, Seed: 1})
	conn := dial(t, l)
	start := time.Now()
	sent := make([]byte, 300<<10)
	for i := range sent {
		sent[i] = byte(i * 7 / 3)
	}
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), string(sent))
	is.True(time.Since(start) >= 80*time.Millisecond) // two round trips: the handshake and the data
	is.Equal(l.Bytes(Forward), int64(len(sent)))
	is.Equal(l.Bytes(Backward), int64(len(sent)))
}

func TestBandwidthIsShared(t *testing.T) {
	is := is.New(t)
	l := New(Config{MegabitsPerSecond: 8}) // one megabyte per second
	now := time.Now()
	is.Equal(l.arrivalTime(Forward, 100_000, now), now.Add(100*time.Millisecond))
	is.Equal(l.arrivalTime(Forward, 100_000, now), now.Add(200*time.Millisecond))
	is.Equal(l.arrivalTime(Backward, 100_000, now), now.Add(100*time.Millisecond))
}

func TestBlackholeStallsUntilHeal(t *testing.T) {
	is := is.New(t)
	l := New(Config{})
	conn := dial(t, l)
	r := bufio.NewReader(conn)
	_, _ = conn.Write([]byte("one\n"))
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n")
	l.SetCut(CutBlackhole)
	_, _ = conn.Write([]byte("two\n"))
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = r.ReadString('\n')
	is.True(err != nil) // nothing is delivered
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	l.Heal()
	line, err = r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "two\n")
	l.SetCut(CutReset)
	_, err = r.ReadString('\n')
	is.True(err != nil)
}
