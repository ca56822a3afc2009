package clients

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// limits are what the process under test has, and the bounds of what it takes at its peak.
type limits struct {
	// memoryMb is the memory that the process is told to have, in MiB. It also bounds the
	// process and the bytes that it has received and not read.
	memoryMb int
	// maxRSSMb bounds the process alone.
	maxRSSMb int
	// descriptors is the number of descriptors of the process, and maxOpen the bound of those
	// that are open while a crowd is there: the others are for servers, VMs and the registry.
	descriptors, maxOpen int
	// oneCore pins the process to one core, as on the users' platform.
	oneCore bool
}

// connectionLimits are those of the tests with headers and connections.
var connectionLimits = limits{memoryMb: 72, maxRSSMb: 60, descriptors: 600, maxOpen: 525}

const (
	// crowdTime is how long a crowd stays.
	crowdTime = 3 * time.Second
	// reconnectPause is the pause of a client whose connection was closed.
	reconnectPause = 20 * time.Millisecond
	// trickleInterval is the interval between two bytes of a slow client.
	trickleInterval = time.Second
)

// crowd is a number of equal clients. Each sends first and then piece, until it has sent
// atOnce bytes; it then holds the connection and reads nothing.
type crowd struct {
	name        string
	port        string
	connections int
	first       string
	piece       string
	// atOnce is negative for clients that send pieces without end.
	atOnce int
	// last completes the request. Each client in wholeEvery sends it; zero means none.
	last       string
	wholeEvery int
	// refusals, if set, records the responses, and gives each request an ID of its own.
	refusals *refusals
	// connect, if set, is what each client does instead, again and again.
	connect func(ctx context.Context, address string)
	// trickles means that a client then sends a byte now and then.
	trickles bool
	// leaves means that a client closes the connection at once and opens the next one.
	leaves bool
}

const (
	endless = -1
	// line is a request line and the fields that every port needs.
	line = "GET /read/x HTTP/1.1\r\nHost: callers.example\r\n"
	// post is the start of a request of a route with a body.
	post = "POST /book/x HTTP/1.1\r\nHost: callers.example\r\nRequest-Id: c\r\nDeadline: 4000\r\n"
	// hop is the start of a request of another VM.
	hop = "POST /peer/v1/hop HTTP/1.1\r\nHost: x\r\n"
	// preface is the start of an HTTP/2 connection, with an empty SETTINGS frame.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	// ping is an HTTP/2 PING frame.
	ping = "\x00\x00\x08\x06\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	// hello is the start of a TLS ClientHello of 16 KB.
	hello = "\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03"
)

// longValue is a piece of a header field's value.
var longValue = strings.Repeat("x", 1<<10)

// shortFields returns header fields of different names with the given size in all.
func shortFields(bytes int) string {
	var b strings.Builder
	for n := 36 * 36 * 36; b.Len() < bytes; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// commonCrowds are those of the callers' port of either program.
var commonCrowds = []crowd{
	{name: "header over the limit", port: "callers", connections: 500, first: line + "A: ", piece: longValue, atOnce: 34 << 10},
	{name: "header below the limit without an end", port: "callers", connections: 550, first: line + "A: ", piece: longValue, atOnce: 15 << 10},
	{name: "header of short fields without an end", port: "callers", connections: 400, first: line + shortFields(15<<10), atOnce: 0},
	{name: "header without an end", port: "callers", connections: 100, first: line + "A: ", piece: longValue, atOnce: endless},
	{name: "empty lines without an end", port: "callers", connections: 100, piece: strings.Repeat("\r\n", 512), atOnce: endless},
	{name: "silent connections", port: "callers", connections: 1200},
	{name: "a byte a second", port: "callers", connections: 800, first: line + "A: ", trickles: true},
	{name: "pipelined requests", port: "callers", connections: 100, piece: line + "Request-Id: c\r\nDeadline: 4000\r\n\r\n", atOnce: endless},
	{name: "HTTP/2", port: "callers", connections: 300, first: preface, piece: ping, atOnce: endless},
	{name: "TLS hello", port: "callers", connections: 700, first: hello, piece: longValue, atOnce: 15 << 10},
	{name: "connections that are closed at once", port: "callers", connections: 8, leaves: true},
}

// run has the crowd at the address until ctx ends.
func (c crowd) run(ctx context.Context, address string) {
	var all sync.WaitGroup
	for i := range c.connections {
		all.Go(func() {
			for ctx.Err() == nil {
				if c.connect != nil {
					c.connect(ctx, address)
				} else {
					c.hold(ctx, address, c.wholeEvery > 0 && i%c.wholeEvery == 0)
				}
				if !c.leaves {
					sleep(ctx, reconnectPause)
				}
			}
		})
	}
	all.Wait()
}

// hold opens one connection and holds it until it is closed or ctx ends. Whole means that it
// completes its request.
func (c crowd) hold(ctx context.Context, address string, whole bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if c.leaves {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	first, id := c.first, ""
	if c.refusals != nil {
		id = c.refusals.newID()
		first = strings.Replace(first, "Request-Id: c\r\n", "Request-Id: "+id+"\r\n", 1)
	}
	if _, err := io.WriteString(conn, first); err != nil {
		return
	}
	for sent := 0; c.atOnce == endless || sent < c.atOnce; sent += len(c.piece) {
		if _, err := io.WriteString(conn, c.piece); err != nil {
			return
		}
	}
	if whole {
		if _, err := io.WriteString(conn, c.last); err != nil {
			return
		}
	}
	for c.trickles {
		if !sleep(ctx, trickleInterval) {
			return
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
	}
	if c.isUnread() {
		<-ctx.Done()
		return
	}
	if c.refusals != nil {
		c.refusals.read(id, conn)
	}
	_, _ = io.Copy(io.Discard, conn) // until either side closes
}

// isUnread reports whether the clients read nothing of the responses to whole requests.
func (c crowd) isUnread() bool { return strings.HasPrefix(c.name, "unread") }

// sleep waits and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// target is a process under test.
type target struct {
	limits
	pid     int
	address func(port string) string
	// alive reports whether the process runs, and answered whether it serves one ordinary request.
	alive, answered func() bool
}

// usage is the highest use of memory and descriptors by a process so far.
type usage struct {
	// totalMb is that of the process and of the bytes that it has received and not read,
	// and unreadMb the part of the latter, in MiB.
	totalMb, unreadMb, descriptors int
}

// observe looks at the process until ctx ends.
func (u *usage) observe(ctx context.Context, p target) {
	for sleep(ctx, 20*time.Millisecond) {
		u.descriptors = max(u.descriptors, openDescriptors(p.pid))
		unread := platformtest.UnreadBytes(p.pid) >> 20
		if total := platformtest.ResidentBytes(p.pid, "VmRSS")>>20 + unread; total > u.totalMb {
			u.totalMb, u.unreadMb = total, unread
		}
	}
}

// withstand has a crowd at a process, and fails the test if the process ends, takes more
// than its memory or descriptors, or doesn't serve an ordinary request afterwards.
func withstand(t *testing.T, p target, c crowd) {
	t.Helper()
	waitUntil(t, "an ordinary request is served before", p.answered)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var observing sync.WaitGroup
	var most usage
	observing.Go(func() { most.observe(ctx, p) })
	c.run(ctx, p.address(c.port))
	observing.Wait()
	if !p.alive() {
		t.Fatal("the process has ended")
	}
	peak := platformtest.ResidentBytes(p.pid, "VmHWM") >> 20
	t.Logf("peak of %d MB, of %d MB with %d MB unread, and of %d descriptors", peak, most.totalMb, most.unreadMb, most.descriptors)
	if peak > p.maxRSSMb {
		t.Errorf("the process took %d MB; bound %d", peak, p.maxRSSMb)
	}
	if most.totalMb > p.memoryMb {
		t.Errorf("the process and its unread bytes took %d MB; bound %d", most.totalMb, p.memoryMb)
	}
	if most.descriptors > p.maxOpen {
		t.Errorf("the process had %d descriptors open; bound %d", most.descriptors, p.maxOpen)
	}
	waitUntil(t, "an ordinary request is served afterwards", p.answered)
}
