package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Guards against descriptors that a faulty server holds: it announced an idle timeout of
// years, and the connections that it closed were kept for as long.
func TestConnectionsWithALongIdleTimeoutAreClosed(t *testing.T) {
	for _, timeout := range []string{"4000000000", "9223372036", "9223372036854775807"} {
		is := is.New(t)
		address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if req, _ := readRequest(r); req != nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout="+timeout+"\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		p, now := newPool(), clock.Boot()
		p.Now = func() clock.Instant { return now }
		_, _, err := exchange(t, p, call(address, "1"))
		is.NoErr(err)
		is.Equal(p.OpenConnections(), 1)
		now = now.Add(maxIdleTimeout + time.Second)
		p.CloseExpired()
		is.Equal(p.OpenConnections(), 0)
	}
}

// poolWithClock returns a pool and the time that it sees.
func poolWithClock() (*Pool, *clock.Instant) {
	p, now := newPool(), clock.Boot()
	p.Now = func() clock.Instant { return now }
	return p, &now
}

// answerAll answers each request with the number of its connection.
func answerAll(n int, c net.Conn, r *bufio.Reader) {
	for {
		req, _ := readRequest(r)
		if req == nil {
			return
		}
		reply(c, req.Header.Get("Id"), fmt.Sprint(n))
	}
}

// Guards against a side effect of the fix of issue 54: a request that passed over the connections
// used last left an older one in front of them, so that the next requests found none that had
// been used lately enough, opened more connections, and at the limit weren't sent.
func TestConnectionUsedLastStaysFirstAfterARequestPassedItOver(t *testing.T) {
	is := is.New(t)
	address := serve(t, answerAll)
	p, now := poolWithClock()
	// Connection 0 is used first, and connection 1 much later by x.
	first, err := p.Do(t.Context(), callWithID(address, "a"))
	is.NoErr(err)
	second, err := p.Do(t.Context(), callWithID(address, "x"))
	is.NoErr(err)
	_, err = io.ReadAll(first)
	is.NoErr(err)
	first.Release()
	*now = now.Add(time.Second)
	_, err = io.ReadAll(second)
	is.NoErr(err)
	second.Release()

	recent := func(id string) *Call {
		c := callWithID(address, id)
		c.MaxIdle, c.MaxOpen = 800*time.Millisecond, 3
		return c
	}
	x, err := p.Do(t.Context(), recent("x")) // opens connection 2
	is.NoErr(err)
	defer x.Abort()
	is.True(!x.Reused())
	y, err := p.Do(t.Context(), recent("y"))
	is.NoErr(err) // connection 1 was used just now
	is.True(y.Reused())
	y.Abort()
}

// Guards against a request that isn't sent, and counts against its server, although all
// connections are idle: those that were idle for too long for it weren't replaced.
func TestIdleConnectionThatIsTooOldMakesRoomAtTheLimit(t *testing.T) {
	is := is.New(t)
	address := serve(t, answerAll)
	p, now := poolWithClock()
	_, _, err := exchange(t, p, callWithID(address, "a"))
	is.NoErr(err)
	*now = now.Add(time.Second)
	c := callWithID(address, "b")
	c.MaxIdle, c.MaxOpen = 800*time.Millisecond, 1
	_, _, err = exchange(t, p, c)
	is.NoErr(err)
	is.Equal(p.OpenConnections(), 1)
}
