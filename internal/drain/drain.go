// Package drain ends an HTTP server without cutting off a request.
//
// The server goes on taking new work for a published time while its answers
// ask callers to use other connections. Idle connections stay open for longer
// than callers were told that they may use them. Work in flight is finished;
// its own deadline bounds it.
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
	// KeepAlive is how long callers may use an idle connection. Each answer
	// says so in the header Keep-Alive.
	KeepAlive = 5 * time.Second
	// keepAliveMargin is how much longer the server keeps an idle connection
	// open, so that a request that was sent in time meets an open one.
	keepAliveMargin = 3 * time.Second
	// pollInterval is how often a draining server looks at its connections.
	pollInterval = 50 * time.Millisecond
)

// Server is an HTTP server that can be drained.
type Server struct {
	http *http.Server
	// idleTimeout is how long a connection may be idleTimeout before it is closed.
	idleTimeout time.Duration
	mu          sync.Mutex
	conns       map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a server around the given one. It sets the server's hooks and
// idle timeout.
func New(server *http.Server) *Server { return NewWith(server, KeepAlive, keepAliveMargin) }

// NewWith is New for a server whose callers may use an idle connection for
// keepAlive, and that closes it margin later.
func NewWith(server *http.Server, keepAlive, margin time.Duration) *Server {
	s := &Server{http: server, idleTimeout: keepAlive + margin, conns: map[net.Conn]connState{}}
	server.ConnState = s.trackConn
	server.IdleTimeout = s.idleTimeout
	server.Handler = withKeepAliveHeader(server.Handler, keepAlive)
	return s
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// withKeepAliveHeader tells callers how long they may use an idle connection.
func withKeepAliveHeader(next http.Handler, keepAlive time.Duration) http.Handler {
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

// Serve serves until the server is drained. It returns nil then.
func (s *Server) Serve(l net.Listener) error {
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

// Drain waits until every connection has ended its work, closes connections
// that were idle for longer than callers may use them, and then stops
// accepting. Connections that never sent a request count as idle. It returns
// early, with the context's error, when ctx ends.
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

// closeIdle closes the connections that were idle for at least the given time
// and returns how many others there are.
func (s *Server) closeIdle(idle time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c, state := range s.conns {
		isIdle := state.state == http.StateIdle || state.state == http.StateNew
		if isIdle && time.Since(state.since) >= idle {
			// The server drops the connection when its next read fails.
			_ = c.Close()
			delete(s.conns, c)
			continue
		}
		open++
	}
	return open
}
