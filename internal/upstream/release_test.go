package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// maxReleaseTime is how long the end of an exchange may take if the server withholds
// the rest of the body.
const maxReleaseTime = 200 * time.Millisecond

// Guards against review/3 (CONFIG): a refusal whose announced body did not end held its
// request for good, as the rest was read without any bound.
func TestReleaseDoesNotWaitForTheRestOfABody(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "a part": "abc", "a byte now and then": "slow"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			closed := make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer close(closed)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 1000\r\n\r\n%s", body)
				for body == "slow" {
					time.Sleep(20 * time.Millisecond)
					if _, err := conn.Write([]byte("x")); err != nil {
						return
					}
				}
				_, _ = reader.ReadByte() // until the caller closes
			}()
			p := NewPool(clock.Boot, time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			x, err := p.Do(ctx, &Call{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"})
			is.NoErr(err)
			began := time.Now()
			x.Release()
			is.True(time.Since(began) < maxReleaseTime)
			is.Equal(p.OpenConnections(), 0)
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection to the server stays open")
			}
		})
	}
}

// A short body that is there with the header, or right after it, leaves the connection
// reusable.
func TestReleaseKeepsConnectionAfterShortBody(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\nabc")
		time.Sleep(5 * time.Millisecond)
		_, _ = fmt.Fprint(conn, "def")
		time.Sleep(time.Second)
		_ = conn.Close()
	}()
	p := NewPool(clock.Boot, time.Second)
	x, err := p.Do(t.Context(), &Call{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"})
	is.NoErr(err)
	x.Release()
	is.Equal(p.OpenConnections(), 1)
	c, _ := p.takeIdle(&Call{Address: l.Addr().String(), MaxIdle: time.Minute})
	is.True(c != nil)
}

// Guards against a 502 that quotes what a server sent, which may be another caller's.
func TestErrorsDoNotQuoteWhatAServerSent(t *testing.T) {
	for _, sent := range []string{"secret of another caller\r\n\r\n", "HTTP/1.1 secret\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret of another\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n"} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			if conn, err := l.Accept(); err == nil {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprint(conn, sent)
				_ = conn.Close()
			}
		}()
		_, err = NewPool(clock.Boot, time.Second).Do(t.Context(), &Call{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"})
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "secret"))
		_ = l.Close()
	}
}
