package drain

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener is an in-memory listener. Unlike TCP connections, its connections
// work with the fake clock of synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// get sends a request over the connection and returns the response status.
func get(t *testing.T, c net.Conn, path string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://gateway"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(c); err != nil {
		t.Fatalf("writing the request failed: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		t.Fatalf("reading the response failed: %v", err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const slowRequest = 20 * time.Second

func startServer(l net.Listener) *Server {
	server := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slowRequest)
		}
		w.WriteHeader(http.StatusOK)
	})})
	go func() { _ = server.Serve(l) }()
	return server
}

func TestDrainCompletesRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		server := startServer(l)
		conn := l.dial()
		status := make(chan int)
		go func() { status <- get(t, conn, "/slow") }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- server.Drain(context.Background()) }()
		is.Equal(<-status, http.StatusOK)
		_ = conn.Close()
		is.NoErr(<-drained)
	})
}

// TestIdleConnectionIsReusableWhileDraining checks that callers can reuse an idle
// connection for the announced keep-alive time after the drain has begun.
// http.Server.Shutdown alone closes it immediately, so that the next request
// fails.
func TestIdleConnectionIsReusableWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		server := startServer(l)
		conn := l.dial()
		is.Equal(get(t, conn, "/"), http.StatusOK)
		drained := make(chan error, 1)
		go func() { drained <- server.Drain(context.Background()) }()
		time.Sleep(KeepAlive - time.Millisecond)
		is.Equal(get(t, conn, "/"), http.StatusOK)
		started := time.Now()
		is.NoErr(<-drained) // the connection stays idle
		is.True(time.Since(started) >= KeepAlive)
	})
}

func TestDrainReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		server := startServer(l)
		conn := l.dial()
		go func() { _ = get(t, conn, "/slow") }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.Equal(server.Drain(ctx), context.DeadlineExceeded)
		time.Sleep(slowRequest)
		_ = l.Close()
		_ = conn.Close()
	})
}
