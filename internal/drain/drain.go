// Package drain shuts down an HTTP server without interrupting requests.
//
// While it drains, the server still accepts connections and requests. Its handler
// should ask callers to use other connections (Connection: close). Idle
// connections stay open for longer than the keep-alive time that was announced to
// callers. Requests in flight are completed; their own deadlines bound the drain.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// KeepAlive is how long callers may reuse an idle connection. It is announced
	// in the Keep-Alive header of each response.
	KeepAlive = 5 * time.Second
	// keepAliveMargin is how much longer the server keeps an idle connection
	// open, so that it is still open when a request sent in time arrives.
	keepAliveMargin = 3 * time.Second
	// pollInterval is how often a draining server checks its connections.
	pollInterval = 50 * time.Millisecond
)

// Server is an HTTP server that can be drained.
type Server struct {
	http *http.Server
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout time.Duration
	mu          sync.Mutex
	conns       map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// isIdle reports whether no request is in flight on the connection.
func (c connState) isIdle() bool { return c.state == http.StateIdle || c.state == http.StateNew }

// New returns a Server that wraps the given one. It adds a ConnState hook and a
// ConnContext hook, raises the idle timeout to the announced time and wraps its handler.
func New(server *http.Server) *Server { return NewWith(server, KeepAlive, keepAliveMargin) }

// NewWith is like New, but callers may reuse an idle connection for keepAlive,
// and the server closes it margin later.
func NewWith(server *http.Server, keepAlive, margin time.Duration) *Server {
	s := &Server{http: server, idleTimeout: keepAlive + margin, conns: map[net.Conn]connState{}}
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		s.trackConn(c, state)
		if next != nil {
			next(c, state)
		}
	}
	nextContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	server.IdleTimeout = max(server.IdleTimeout, s.idleTimeout)
	server.Handler = WithKeepAliveHeader(server.Handler, keepAlive)
	return s
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// WithKeepAliveHeader returns a handler that announces in the Keep-Alive header of
// HTTP/1 responses for how long callers may reuse an idle connection.
func WithKeepAliveHeader(next http.Handler, keepAlive time.Duration) http.Handler {
	value := "timeout=" + strconv.Itoa(int(keepAlive/time.Second))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			w.Header().Set("Keep-Alive", value)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state: state, since: time.Now()}
}

// Serve accepts connections on l until the server is drained or closed, and then
// returns nil.
func (s *Server) Serve(l net.Listener) error {
	l = listener{l}
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain waits for the requests in flight, closes each connection once its idle
// timeout has passed, and then stops accepting connections. Connections that
// never sent a request count as idle. If ctx ends first, Drain returns the
// context's error.
func (s *Server) Drain(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.closeIdle(s.idleTimeout) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return s.http.Shutdown(ctx)
}

// WaitIdle waits until no request is in flight, without closing connections. If ctx ends
// first, it returns the context's error.
func (s *Server) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.isBusy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// isBusy reports whether a request is in flight on any connection.
func (s *Server) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.conns {
		if !state.isIdle() {
			return true
		}
	}
	return false
}

// closeIdle closes the connections that were idle for at least the given time
// and returns the number of remaining connections. One from which a part of a request was
// read is not idle.
func (s *Server) closeIdle(idle time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c, state := range s.conns {
		accepted := connOf(c)
		if state.isIdle() && time.Since(state.since) >= idle && (accepted == nil || accepted.markClosing(idle)) {
			// The server drops the connection when its next read fails.
			_ = c.Close()
			delete(s.conns, c)
			continue
		}
		open++
	}
	return open
}
