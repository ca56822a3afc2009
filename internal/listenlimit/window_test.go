package listenlimit

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

// bodyServer starts a server on a port with bodies and returns the port and its address.
func bodyServer(t *testing.T, handler http.HandlerFunc) (*Port, string) {
	t.Helper()
	b := (&Settings{}).Resolve(0, 0)
	p := New(b, membudget.New(b.PendingBytes), slog.New(slog.DiscardHandler), tally.NoopScope).Port(Kind{Name: "callers", Share: 1, Bodies: true})
	l, err := sockets.Listen("127.0.0.1:0", b.Buffers(p.kind))
	if err != nil {
		t.Fatal(err)
	}
	server := p.Apply(&http.Server{Handler: handler})
	go func() { _ = server.Serve(p.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return p, l.Addr().String()
}

// Guards against refusals that callers don't receive, as the connection is reset while they
// send the body.
func TestCallerThatSendsOnReceivesTheRefusal(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"body not read": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		},
		"body read in part": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 300<<10)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := bodyServer(t, handler)
			for range 20 {
				response, err := http.Post("http://"+address, "", struct{ io.Reader }{bytes.NewReader(make([]byte, 4<<20))})
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
			}
		})
	}
}

// Guards against connections that keep the memory of a large receive buffer while they are idle,
// and against ones that are closed without having said so.
func TestConnectionOfALargeBodyEndsWithItsResponse(t *testing.T) {
	is := is.New(t)
	p, address := bodyServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})
	post := func(bytesOfBody int, chunked bool) *http.Response {
		var body io.Reader = bytes.NewReader(make([]byte, bytesOfBody))
		if chunked {
			body = struct{ io.Reader }{body}
		}
		response, err := http.Post("http://"+address, "", body)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response
	}
	for _, chunked := range []bool{false, true} {
		is.True(!post(100, chunked).Close)
		is.True(!post(100<<10, chunked).Close)
		is.True(post(4<<20, chunked).Close)
		is.True(!post(100, chunked).Close) // on another connection
	}
	http.DefaultClient.CloseIdleConnections()
	for end := time.Now().Add(10 * time.Second); p.Windows.Held() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the server sees the end of the connections
	}
}
