package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the stand-ins' errors.
var Errors = errorx.NewNamespace("standin")

// ErrListen means that a stand-in can't listen on its address.
var ErrListen = Errors.NewType("listen")

// readHeaderTimeout bounds the time in which a client must send its headers.
const readHeaderTimeout = 10 * time.Second

// Server serves a handler on a TCP address.
type Server struct {
	http *http.Server
	addr string
	done chan struct{}
}

// Serve starts a server for the handler on a TCP address, such as "127.0.0.1:0".
func Serve(addr string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listen on %s", addr)
	}
	s := &Server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		addr: l.Addr().String(),
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Addr returns the listen address as IP:port.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Close closes the listener and all connections abruptly, like a crash.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

// Closed reports whether the server has stopped.
func (s *Server) Closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
