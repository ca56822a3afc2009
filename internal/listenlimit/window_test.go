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

// Guards against connections that keep the memory of a large receive buffer while they are idle,
// and against ones that are closed without having said so.
func TestConnectionOfALargeBodyEndsWithItsResponse(t *testing.T) {
	is := is.New(t)
	b := (&Settings{}).Resolve(0, 0)
	p := New(b, membudget.New(b.PendingBytes), slog.New(slog.DiscardHandler), tally.NoopScope).Port(Kind{Name: "callers", Share: 1, Bodies: true})
	l, err := sockets.Listen("127.0.0.1:0", b.Buffers(p.kind))
	is.NoErr(err)
	server := p.Apply(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(w, "ok")
	})})
	go func() { _ = server.Serve(p.Listener(l)) }()
	defer func() { _ = server.Close() }()
	post := func(bytesOfBody int, chunked bool) *http.Response {
		var body io.Reader = bytes.NewReader(make([]byte, bytesOfBody))
		if chunked {
			body = struct{ io.Reader }{body}
		}
		response, err := http.Post("http://"+l.Addr().String(), "", body)
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
