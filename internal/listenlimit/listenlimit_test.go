package listenlimit

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// ports are those of a process with bodies on most of its connections.
var ports = []Kind{{Name: "callers", Share: 0.8, Bodies: true}, {Name: "control", Share: 0.1, Messages: true}, {Name: "ready", Share: 0.1}}

// Guards against bounds that each hold but exceed the memory or the descriptors of a VM
// together, unread bytes included.
func TestAllBoundsTogetherFitTheVM(t *testing.T) {
	for _, vm := range []struct {
		memoryMb    int64
		descriptors int
	}{{144, 3075}, {160, 4100}, {184, 4100}, {284, 4100}, {424, 10250}, {536, 8192}} {
		is := is.New(t)
		b := (&Settings{}).Resolve(vm.memoryMb<<20, vm.descriptors, ports...)
		t.Logf("%d MB, %d descriptors: %d connections, receive buffers of %d KB, %d MB pending, %d MB unread, %d MB at most, soft limit %d MB", vm.memoryMb, vm.descriptors,
			b.Connections, b.ReceiveBytes>>10, b.PendingBytes>>20, b.UnreadMemory()>>20, b.MostMemory()>>20, b.MemoryLimit(vm.memoryMb<<20)>>20)
		is.True(b.MostMemory() <= vm.memoryMb<<20)
		is.True(b.Connections <= vm.descriptors*3/4)                           // a quarter is for servers, VMs and the registry
		is.True(b.Connections+b.Outgoing <= vm.descriptors)                    //
		is.True(b.Connections >= 1500)                                         // a normal VM has some hundreds
		is.True(b.PendingBytes >= 2*4<<20)                                     // bodies within the operators' limits
		is.True(b.HeaderBytes > 16<<10 && b.HeaderTimeout > 3*time.Second)     // so are headers
		is.True(b.IdleTimeout > 15*time.Second && b.BodyTimeout > time.Second) // and idle clients
		is.Equal(b.PerAddress, 0)                                              // all clients may be behind one address
	}
}

// The same for any machine on which the process fits without requests.
func TestAllBoundsTogetherFitAnyVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory, descriptors := rapid.Int64Range(48, 4096).Draw(t, "MB")<<20, rapid.IntRange(200, 20_000).Draw(t, "descriptors")
		b := (&Settings{}).Resolve(memory, descriptors, ports...)
		if b.Connections > minConnections && b.MostMemory() > memory {
			t.Fatalf("%d bytes of %d", b.MostMemory(), memory)
		}
		if b.MemoryLimit(memory)+b.UnreadMemory() > memory {
			t.Fatalf("soft limit of %d beside %d unread of %d", b.MemoryLimit(memory), b.UnreadMemory(), memory)
		}
		if b.Connections+b.Outgoing > descriptors {
			t.Fatalf("%d connections of %d", b.Connections+b.Outgoing, descriptors)
		}
	})
}

func TestUnknownMemoryAndDescriptorsAreBounded(t *testing.T) {
	is := is.New(t)
	b := (&Settings{}).Resolve(0, 0)
	is.Equal(b.Connections, maxDefaultConnections)
	is.Equal(b.PendingBytes, int64(defaultPendingBytes))
	is.Equal(len((&Settings{MaxConnections: 1}).Check()), 1)
	is.Equal(len((&Settings{MaxHeaderBytes: -1}).Check()), 1)
	is.Equal(len((&Settings{}).Check()), 0)
}

// bounded is an HTTP server behind a port.
type bounded struct {
	t       *testing.T
	port    *Port
	address string
	log     lockedBuffer
	// proceed lets a request to /wait end.
	proceed chan struct{}
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// entries returns the number of connections that the port counts, and of the entries for them.
func (s *bounded) entries() (count, entries int) {
	s.port.mu.Lock()
	defer s.port.mu.Unlock()
	return s.port.count, len(s.port.conns) + len(s.port.perAddress) + s.port.fresh.Len() + s.port.idle.Len()
}

func (s *bounded) count() int {
	count, _ := s.entries()
	return count
}

func serve(t *testing.T, b Bounds, kind Kind) *bounded {
	t.Helper()
	s := &bounded{t: t, proceed: make(chan struct{})}
	s.port = New(b, membudget.New(b.PendingBytes), slog.New(slog.NewTextHandler(&s.log, nil)), tally.NoopScope).Port(kind)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := s.port.Apply(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-s.proceed
		}
		_, _ = io.WriteString(w, "ok")
	})})
	go func() { _ = server.Serve(s.port.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	s.address = l.Addr().String()
	return s
}

// dial opens a connection, sends the text and waits until the server has it.
func (s *bounded) dial(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text)
	time.Sleep(20 * time.Millisecond)
	return conn
}

// isClosed reports whether the server has closed the connection.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := conn.Read(make([]byte, 4096))
	if n, ok := err.(net.Error); ok && n.Timeout() {
		return false
	}
	return err != nil
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n"

func limits(connections int) Bounds {
	s := Settings{}
	b := s.Resolve(0, 0)
	b.Connections = connections
	return b
}

func TestOldestSilentConnectionIsClosedFirst(t *testing.T) {
	is := is.New(t)
	s := serve(t, limits(3), Kind{Name: "callers", Share: 1})
	waiting := s.dial("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	first, second := s.dial(""), s.dial(get)
	third := s.dial("")
	is.True(isClosed(first))
	is.True(!isClosed(third))
	s.dial("")
	is.True(isClosed(second)) // part of a header is no request
	close(s.proceed)
	body, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	is.NoErr(err)
	text, err := io.ReadAll(io.LimitReader(body.Body, 2))
	is.NoErr(err)
	is.Equal(string(text), "ok")
	is.Equal(strings.Count(s.log.String(), "connections closed at a limit"), 1) // one line a second
}

func TestConnectionsWithARequestAreKept(t *testing.T) {
	is := is.New(t)
	s := serve(t, limits(2), Kind{Name: "callers", Share: 1})
	defer close(s.proceed)
	for range 2 {
		s.dial("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	is.True(isClosed(s.dial("")))
	is.Equal(s.count(), 2)
}

func TestIdleConnectionIsClosedOnlyAfterItsAnnouncedTime(t *testing.T) {
	is := is.New(t)
	s := serve(t, limits(1), Kind{Name: "callers", Share: 1, KeepAlive: 300 * time.Millisecond})
	idle := s.dial(get + "\r\n")
	is.True(isClosed(s.dial("")))
	time.Sleep(300 * time.Millisecond)
	is.True(!isClosed(s.dial("")))
	_, _ = idle.Read(make([]byte, 4096)) // the response
	is.True(isClosed(idle))
}

func TestConnectionsOfOneAddressAreBounded(t *testing.T) {
	is := is.New(t)
	b := limits(100)
	b.PerAddress = 2
	s := serve(t, b, Kind{Name: "callers", Share: 1})
	first := s.dial("")
	s.dial("")
	s.dial("")
	is.True(isClosed(first))
	is.Equal(s.count(), 2)
}

func TestHeadersWithoutAnEndShareTheMemory(t *testing.T) {
	is := is.New(t)
	b := limits(100)
	b.PendingBytes = 64 << 10
	s := serve(t, b, Kind{Name: "callers", Share: 1})
	long := get + "A: " + strings.Repeat("x", 12<<10)
	first := s.dial(long)
	for range 4 {
		s.dial(long)
	}
	time.Sleep(2 * minHoldTime)
	is.True(isClosed(first))
	is.True(s.port.budget.Held() <= b.PendingBytes+int64(s.count())*membudget.FreeBytes)
	ordinary := s.dial(get + "\r\n") // has its free bytes
	resp, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestMemoryOfAHeaderIsReturnedAfterItsRequest(t *testing.T) {
	is := is.New(t)
	s := serve(t, limits(100), Kind{Name: "callers", Share: 1})
	conn := s.dial(get + "A: " + strings.Repeat("x", 12<<10) + "\r\n\r\n")
	is.Equal(s.port.budget.Held(), int64(0))
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond)
	count, entries := s.entries()
	is.Equal(count, 0)
	is.Equal(entries, 0)
}

func TestHeadersThatAreTooLargeOrLateAreCounted(t *testing.T) {
	is := is.New(t)
	b := limits(100)
	b.HeaderTimeout = 100 * time.Millisecond
	scope := tally.NewTestScope("", nil)
	s := serve(t, b, Kind{Name: "callers", Share: 1})
	s.port.closed = map[limit]tally.Counter{}
	for _, by := range []limit{byHeader, byTime} {
		s.port.closed[by] = scope.Counter(string(by))
	}
	s.dial(get + "A: " + strings.Repeat("x", b.HeaderBytes+headerSlop))
	s.dial("")
	s.dial(get)
	s.dial(get + "\r\n") // is served
	time.Sleep(300 * time.Millisecond)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["header+"].Value(), int64(1))
	is.Equal(counters["header_time+"].Value(), int64(2))
}

func TestConnectionWithMessagesIsInUseFromItsFirstByte(t *testing.T) {
	is := is.New(t)
	p := New(limits(2), nil, slog.New(slog.DiscardHandler), tally.NoopScope).Port(Kind{Name: "control", Share: 1, Messages: true})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := p.Listener(raw)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	s := &bounded{t: t, address: raw.Addr().String()}
	used, silent := s.dial("x"), s.dial("")
	s.dial("")
	is.True(!isClosed(used))
	is.True(isClosed(silent))
}
