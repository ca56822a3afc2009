package upstream

import (
	"bufio"
	"io"
	"net"
	"strconv"
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

// answerAll answers each request with the number of its connection.
func answerAll(n int, conn net.Conn, r *bufio.Reader) {
	for {
		req, _ := readRequest(r)
		if req == nil {
			return
		}
		reply(conn, req.Header.Get("Id"), strconv.Itoa(n))
	}
}

func TestIdleTimeoutOfServersThatAnnounceNoneIsThatOfThePool(t *testing.T) {
	is := is.New(t)
	address := serve(t, answerAll)
	p, now := newPool(), clock.Boot()
	p.Now = func() clock.Instant { return now }
	p.IdleTimeout = 10 * time.Second
	for _, step := range []struct {
		idle time.Duration
		want string
	}{{0, "0"}, {9 * time.Second, "0"}, {11 * time.Second, "1"}} {
		now = now.Add(step.idle)
		body, _, err := exchange(t, p, call(address, "1"))
		is.NoErr(err)
		is.Equal(body, step.want)
	}
}

func TestNoMoreConnectionsAreKeptIdleThanAllowed(t *testing.T) {
	is := is.New(t)
	address := serve(t, answerAll)
	p := newPool()
	p.MaxIdlePerAddress = 2
	var inFlight []*Exchange
	for range 4 {
		e, err := p.Do(t.Context(), call(address, "1"))
		is.NoErr(err)
		inFlight = append(inFlight, e)
	}
	is.Equal(p.OpenConnections(), 4)
	for _, e := range inFlight {
		_, err := io.Copy(io.Discard, e)
		is.NoErr(err)
		e.Release()
	}
	is.Equal(p.OpenConnections(), 2)
}

func TestNegativeMaximumIdleTimeReusesNoConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, answerAll)
	p, now := newPool(), clock.Boot()
	p.Now = func() clock.Instant { return now }
	for i := range 3 {
		c := call(address, "1")
		c.MaxIdle = -1
		body, _, err := exchange(t, p, c)
		is.NoErr(err)
		is.Equal(body, strconv.Itoa(i))
	}
}
