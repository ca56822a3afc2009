package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// leastMemoryBytes is the memory of the smallest VM, and mostRequests the number of
	// requests for which it has descriptors, two for each.
	leastMemoryBytes = 184 << 20
	mostRequests     = 3900 / 2
)

// shortFields returns header fields of different names with the given size in all.
func shortFields(bytes int) string {
	var b strings.Builder
	for n := 36 * 36 * 36; b.Len() < bytes; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// Guards against issue 45 (LOST): servers that sent header fields without end took 1 MB of
// memory for each request, for as long as they withheld the rest.
func TestHeadThatIsHeldTakesLittleMemory(t *testing.T) {
	for name, head := range map[string]string{
		"short fields": "HTTP/1.1 200 OK\r\nId: 1\r\n" + shortFields(60<<10),
		"values":       "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A:\r\n", 15<<10),
		"one field":    "HTTP/1.1 200 OK\r\nId: 1\r\nA: " + strings.Repeat("x", 60<<10),
		"status line":  "HTTP/1.1 200 " + strings.Repeat("x", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(conn, head)
				_, _ = io.Copy(io.Discard, conn) // until the caller closes
			})
			p, before := newPool(), liveHeapBytes()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			const requests = 32
			var all sync.WaitGroup
			for range requests {
				all.Go(func() {
					request := call(address, "1")
					request.MaxIdle = -1 // a connection of its own
					_, err := p.Do(ctx, request)
					is.True(err != nil)
				})
			}
			time.Sleep(300 * time.Millisecond)
			if grown := liveHeapBytes() - before; grown > requests*leastMemoryBytes/2/mostRequests {
				t.Errorf("memory grew by %d bytes for %d requests", grown, requests)
			}
			all.Wait()
		})
	}
}

// A response whose header is below the limits is read, whatever follows in the same packet.
func TestHeadBelowTheLimitsIsRead(t *testing.T) {
	is := is.New(t)
	lines := strings.Repeat("\n", 3000)
	address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if req, _ := readRequest(r); req == nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+strings.Repeat("A: b\r\n", DefaultMaxHeadBytes/bytesPerHeadLine-8)+
				"B: "+strings.Repeat("x", DefaultMaxHeadBytes-4<<10)+"\r\nContent-Length: 3000\r\n\r\n"+lines)
		}
	})
	p := newPool()
	for range 3 {
		body, _, err := exchange(t, p, call(address, "1"))
		is.NoErr(err)
		is.Equal(body, lines)
	}
}
