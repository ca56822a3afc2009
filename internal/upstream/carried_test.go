package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// refuseFirst refuses the first request of each connection and writes that refusal again
// before it answers each later one with its number and that of the connection.
func refuseFirst(n int, c net.Conn, r *bufio.Reader) {
	refusal := ""
	for i := 0; ; i++ {
		req, _ := readRequest(r)
		if req == nil {
			return
		}
		if i == 0 {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nId: " + req.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, refusal)
			continue
		}
		_, _ = io.WriteString(c, refusal)
		reply(c, req.Header.Get("Id"), fmt.Sprint(n, "/", i))
	}
}

// callWithID returns a call whose connection carries its ID once.
func callWithID(address, id string) *Call {
	c := call(address, id)
	c.ID = id
	return c
}

// Guards against issue 54 (TWICE): a request came back to the connection on which it had been
// refused, and the copy of that refusal, which bears its ID, was believed.
func TestRequestDoesNotComeBackToAConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, refuseFirst)
	p := newPool()
	_, e, err := exchange(t, p, callWithID(address, "x"))
	is.NoErr(err)
	is.Equal(e.StatusCode, http.StatusServiceUnavailable)

	_, e, err = exchange(t, p, callWithID(address, "x"))
	is.NoErr(err)
	is.Equal(e.StatusCode, http.StatusServiceUnavailable) // the first request of another connection
	is.True(!e.Reused())
	is.Equal(e.PassedOver, 1)

	body, e, err := exchange(t, p, callWithID(address, "y"))
	is.NoErr(err)
	is.Equal(body, "1/1") // the copy of the refusal of x is skipped
	is.Equal(e.StrayResponses, 1)
	is.Equal(e.PassedOver, 0)
}

// Guards against issue 54: a request that ran was answered with 502, as the copies of several
// refusals came before its response.
func TestLateCopiesOfSeveralRefusalsAreSkipped(t *testing.T) {
	is := is.New(t)
	const refusals = 6
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		copies := ""
		for range refusals {
			req, _ := readRequest(r)
			refusal := "HTTP/1.1 503 Service Unavailable\r\nId: " + req.Header.Get("Id") + "\r\nContent-Length: 4\r\n\r\nfull"
			_, _ = io.WriteString(c, refusal)
			copies += refusal
		}
		req, _ := readRequest(r)
		_, _ = io.WriteString(c, copies)
		reply(c, req.Header.Get("Id"), "answer")
	})
	p := newPool()
	for n := range refusals {
		_, e, err := exchange(t, p, callWithID(address, strconv.Itoa(n)))
		is.NoErr(err)
		is.Equal(e.StatusCode, http.StatusServiceUnavailable)
	}
	body, e, err := exchange(t, p, callWithID(address, "x"))
	is.NoErr(err)
	is.Equal(body, "answer")
	is.Equal(e.StrayResponses, refusals)
	is.Equal(p.OpenConnections(), 0) // not used again
}

// Guards against a side effect of the fix: with one connection allowed, a request that it had
// carried could not be sent at all.
func TestConnectionThatHasCarriedARequestMakesRoomForAnother(t *testing.T) {
	is := is.New(t)
	address := serve(t, refuseFirst)
	p := newPool()
	for range 3 {
		c := callWithID(address, "x")
		c.MaxOpen = 1
		_, e, err := exchange(t, p, c)
		is.NoErr(err)
		is.Equal(e.StatusCode, http.StatusServiceUnavailable)
		is.Equal(p.OpenConnections(), 1)
	}
	busy, err := p.Do(t.Context(), callWithID(address, "y"))
	is.NoErr(err)
	defer busy.Abort()
	c := callWithID(address, "z")
	c.MaxOpen = 1
	_, err = p.Do(t.Context(), c)
	is.True(errorx.IsOfType(err, ErrUnsent)) // none of the connections is idle
}

func TestConnectionIsClosedOnceItRemembersTooManyIDs(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			reply(c, req.Header.Get("Id"), strconv.Itoa(n))
		}
	})
	p := newPool()
	for i := range 2*maxCarriedIDs + 1 {
		body, _, err := exchange(t, p, callWithID(address, strconv.Itoa(i)))
		is.NoErr(err)
		is.Equal(body, strconv.Itoa(i/maxCarriedIDs))
	}
	is.Equal(p.OpenConnections(), 1)
}
