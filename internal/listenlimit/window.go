package listenlimit

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

// windowKey is the key of a connection's *sockets.Window in the context of its requests.
type windowKey struct{}

// announceClose makes a server say in its response that it closes the connection, if the
// receive buffer has grown large for the body of the request: its memory is held until then.
func (p *Port) announceClose(server *http.Server) {
	nextContext, nextHandler := server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, raw)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if c := p.conns[remoteOf(raw)]; c != nil {
			ctx = context.WithValue(ctx, windowKey{}, c.window)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if window, _ := r.Context().Value(windowKey{}).(*sockets.Window); window != nil && r.ContentLength != 0 {
			// The server looks at its own request's body for whether it was read, so as to leave
			// the client time for the response before it resets the connection.
			r = r.WithContext(r.Context())
			r.Body = &windowBody{ReadCloser: r.Body, window: window, header: w.Header()}
		}
		nextHandler.ServeHTTP(w, r)
	})
}

// windowBody is the body of a request. It is read before the response begins.
type windowBody struct {
	io.ReadCloser
	window *sockets.Window
	header http.Header
}

// Read implements io.Reader.
func (b *windowBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.window.MustClose() {
		b.header.Set("Connection", "close")
	}
	return n, err
}

// CloseAfterBody returns a handler that closes the connection after a request with a body,
// which next doesn't read. Otherwise the HTTP server would wait for it before it responds.
func CloseAfterBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
