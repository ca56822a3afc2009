package httpapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const testBodyTimeout = 100 * time.Millisecond

// startCallers starts the callers' port over a handler that reads the body and
// answers after a while.
func startCallers(t *testing.T, answerAfter time.Duration) *httptest.Server {
	t.Helper()
	handler := pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		if _, err := io.ReadAll(req.RawBody); err != nil {
			return verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the body could not be read")
		}
		select {
		case <-ctx.Done():
			return verdict.Ambiguous(verdict.CodeCancelled, "cancelled", 0)
		case <-time.After(answerAfter):
		}
		w.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{}})
		return nil
	})
	server := httptest.NewServer(NewCallers(CallersConfig{
		Publisher: snapshot.NewPublisher(snapshot.Identity{VM: "entry-1"}), Now: clock.Boot,
		Handler: handler, Lookup: handler, KeyPrefix: func() string { return "prefix" }, BodyTimeout: testBodyTimeout,
	}))
	t.Cleanup(server.Close)
	return server
}

// With http.Server.ReadTimeout instead, the request is cancelled while its
// answer is on the way.
func TestLongAnswerOutlivesTheTimeForTheBody(t *testing.T) {
	is := is.New(t)
	server := startCallers(t, 3*testBodyTimeout)
	resp, err := http.Post(server.URL+wire.PathChatCompletions, "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestSlowBodyIsGivenUp(t *testing.T) {
	is := is.New(t)
	server := startCallers(t, 0)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nhalf", wire.PathChatCompletions)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400"))
}
