package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// startUnframedServer starts a server whose JSON responses have neither a length nor
// chunks.
func startUnframedServer(t *testing.T, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against the cause of incident inc1 in the gateway: an engine's or service's
// JSON that ended early with its connection was delivered as complete.
func TestUnframedJSONThatEndsEarlyIsRefused(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		is := is.New(t)
		req := bookingRequest([]byte("{}"))
		req.Idempotent = idempotent
		var w pipelinetest.Recorder
		refusal := newSender().SendBackend(context.Background(), req, serverAt(startUnframedServer(t, `{"slot": "cop`)), &w)
		is.True(refusal != nil)
		is.Equal(refusal.Verdict, verdict.MayHaveRun)
		is.True(!w.Started())

		refusal = newSender().SendBackend(context.Background(), req, serverAt(startUnframedServer(t, `{"slot": "copper"}`)), &w)
		is.True(refusal == nil)
	}
}
