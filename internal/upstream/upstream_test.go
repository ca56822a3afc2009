package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// serve runs script for each connection and returns the address.
func serve(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveOn(t, l, script)
	return l.Addr().String()
}

// serveOn runs script for each connection that the listener accepts.
func serveOn(t *testing.T, l net.Listener, script func(n int, c net.Conn, r *bufio.Reader)) {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
}

func readRequest(r *bufio.Reader) (*http.Request, []byte) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil
	}
	body, _ := io.ReadAll(req.Body)
	return req, body
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(address, id string) *Call {
	return &Call{
		Address: address, Method: http.MethodPost, Target: "/p?q=%2F", Host: "h", Header: http.Header{"Id": {id}},
		Body: membudget.Segments{[]byte("body")}, MaxIdle: time.Minute,
		MatchResponse: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func newPool() *Pool { return NewPool(clock.Boot, time.Second) }

func exchange(t *testing.T, p *Pool, c *Call) (string, *Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e, err := p.Do(ctx, c)
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(e)
	e.Release()
	return string(body), e, err
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			req, body := readRequest(r)
			if req == nil {
				return
			}
			reply(c, req.Header.Get("Id"), fmt.Sprint(n, req.RequestURI, string(body)))
		}
	})
	p := newPool()
	for i := range 3 {
		body, e, err := exchange(t, p, call(address, fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(body, "0/p?q=%2Fbody") // the request target is sent unchanged
		is.Equal(e.Reused(), i > 0)
	}
	is.Equal(p.OpenConnections(), 1)
}

func TestStrayResponseIsSkippedAndConnectionClosed(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		reply(c, "another", "not yours")
		reply(c, req.Header.Get("Id"), "yours")
		_, _ = r.ReadByte()
	})
	p := newPool()
	body, _, err := exchange(t, p, call(address, "1"))
	is.NoErr(err)
	is.Equal(body, "yours")
	is.Equal(p.OpenConnections(), 0)
}

func TestIdleConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		reply(c, req.Header.Get("Id"), fmt.Sprint(n))
		if n == 0 {
			time.Sleep(30 * time.Millisecond)
			reply(c, "2", "late and unasked")
		}
		_, _ = r.ReadByte()
	})
	p := newPool()
	body, _, err := exchange(t, p, call(address, "1"))
	is.NoErr(err)
	is.Equal(body, "0")
	time.Sleep(100 * time.Millisecond)
	body, _, err = exchange(t, p, call(address, "2"))
	is.NoErr(err)
	is.Equal(body, "1") // on a new connection
}

func TestRequestOnBrokenConnectionIsNotRetried(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 10)
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for i := range 2 {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			requests <- req.Header.Get("Id")
			if i == 1 {
				return // closes without a response
			}
			reply(c, req.Header.Get("Id"), "ok")
		}
	})
	p := newPool()
	_, _, err := exchange(t, p, call(address, "1"))
	is.NoErr(err)
	_, _, err = exchange(t, p, call(address, "2"))
	is.True(errorx.IsOfType(err, ErrBroken)) // it may have been executed
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(requests), 2)
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	_ = l.Close()
	_, _, err = exchange(t, newPool(), call(address, "1"))
	is.True(errorx.IsOfType(err, ErrUnsent))
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	responses := map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunk":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nhalf",
		"no http":  "this is no answer\r\n\r\n",
		"head":     "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A: b\r\n", 20_000) + "\r\n",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, response)
			})
			p := newPool()
			if _, _, err := exchange(t, p, call(address, "1")); err == nil {
				t.Fatal("a truncated response was accepted as complete")
			}
			if p.OpenConnections() != 0 {
				t.Fatal("the connection was not closed")
			}
		})
	}
}

func TestUnframedResponseIsCompleteWhenConnectionCloses(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
	})
	body, _, err := exchange(t, newPool(), call(address, "1"))
	is.NoErr(err)
	is.Equal(body, "all of it")
}

func TestResponseBeforeEndOfLongBodyClosesConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		reply(c, "1", "too long")
		time.Sleep(200 * time.Millisecond)
	})
	p := newPool()
	long := call(address, "1")
	long.Body = membudget.Segments{bytes.Repeat([]byte("x"), 8<<20)}
	body, _, err := exchange(t, p, long)
	is.NoErr(err)
	is.Equal(body, "too long")
	is.Equal(p.OpenConnections(), 0) // the server does not read the rest of the body
}

func TestExpiredConnectionIsReplacedAndMaxOpenBoundsDials(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 1\r\n\r\n%d", req.Header.Get("Id"), n)
		}
	})
	p := newPool()
	_, _, err := exchange(t, p, call(address, "1"))
	is.NoErr(err)
	time.Sleep(400 * time.Millisecond) // longer than the announced 1 s minus idleMargin
	body, _, err := exchange(t, p, call(address, "2"))
	is.NoErr(err)
	is.Equal(body, "1")
	busy, err := p.Do(t.Context(), call(address, "3"))
	is.NoErr(err)
	defer busy.Abort()
	full := call(address, "4")
	full.MaxOpen, full.MaxIdle = 1, 0
	_, _, err = exchange(t, p, full)
	is.True(errorx.IsOfType(err, ErrUnsent))
	is.Equal(p.OpenConnections(), 1)
}

func TestContextCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Do(ctx, call(address, "1"))
	is.True(errorx.IsOfType(err, ErrBroken))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed")
	}
}

// endless sends the chunk again and again until the connection is closed or a
// minute has passed.
func endless(c net.Conn, chunk string, pause time.Duration) {
	data := []byte(chunk) // converted once, so that the server makes no garbage
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(pause) {
		if _, err := c.Write(data); err != nil {
			return
		}
	}
}

// liveHeapBytes returns the size of the heap without garbage.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestBytesWithoutEndAreBounded covers servers in trouble that send bytes which are
// no answer until the caller closes, on several connections at once. Those in a
// head fail the exchange at once, those in a body end with the caller's deadline;
// neither takes memory.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	line := strings.Repeat("x", 4096)
	for name, c := range map[string]struct {
		start, repeat string
		pause         time.Duration
		untilDeadline bool
	}{
		"no head":                     {"", line, 0, false},
		"lines that are no head":      {"", "no answer\r\n", 0, false},
		"a status line":               {"HTTP/1.1 200 ", line, 0, false},
		"a header field":              {ok + "A: ", line, 0, false},
		"header fields":               {ok, "A: " + line + "\r\n", 0, false},
		"informational responses":     {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0, false},
		"answers of other requests":   {"", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx", 0, false},
		"another's body":              {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", line, 0, false},
		"a chunk's size":              {ok + "Transfer-Encoding: chunked\r\n\r\n", line, 0, false},
		"a trailer":                   {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line + "\r\n", 0, false},
		"a slow head":                 {"", "x", 20 * time.Millisecond, true},
		"a body without length":       {ok + "\r\n", line, 0, true},
		"chunks":                      {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + line + "\r\n", 0, true},
		"a slow body":                 {ok + "\r\n", "x", 20 * time.Millisecond, true},
		"a body longer than its size": {ok + "Content-Length: 4096\r\n\r\n" + line + line, line, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(conn, c.start)
				endless(conn, c.repeat, c.pause)
			})
			p := newPool()
			before := liveHeapBytes()
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
					defer cancel()
					started := time.Now()
					request := call(address, "1")
					request.MaxIdle = -1 // a connection of its own
					e, err := p.Do(ctx, request)
					if err == nil {
						_, err = io.Copy(io.Discard, e)
						e.Release()
					}
					if err == nil {
						t.Error("the bytes were accepted as an answer")
					}
					if took := time.Since(started); took > 2*time.Second || !c.untilDeadline && ctx.Err() != nil {
						t.Errorf("took %v", took)
					}
				})
			}
			time.Sleep(300 * time.Millisecond) // the bytes have come for a while
			if grown := liveHeapBytes() - before; grown > 4<<20 {
				t.Errorf("memory grew by %d bytes", grown)
			}
			wg.Wait()
			// A connection on which the excess arrives only now is not reused.
			time.Sleep(50 * time.Millisecond)
			if c, _ := p.takeIdle(&Call{Address: address, MaxIdle: time.Minute}); c != nil {
				t.Error("a connection with unread bytes is reused")
			}
			if n := p.OpenConnections(); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}
