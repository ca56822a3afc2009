package forward

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// startPeer starts a Server with the handler on loopback and returns the member
// to send to.
func startPeer(t *testing.T, handler pipeline.HandlerFunc) *snapshot.Member {
	t.Helper()
	return startServer(t, NewServer(ServerConfig{
		Publisher: snapshot.NewPublisher(snapshot.Identity{VM: "receiver"}),
		Now:       clock.Boot, Handler: handler, Lookup: handler, OnPeerRevision: func(string, uint64) {},
	}))
}

func newClient() *Client {
	return NewClient(Config{Self: snapshot.Identity{VM: "sender", Incarnation: "1"}, Now: clock.Boot, Log: slog.New(slog.DiscardHandler)})
}

func newRequest() *pipeline.Request {
	return &pipeline.Request{
		ID: "request-1", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{},
		Body: []byte("question"), Team: "team-1", Deadline: clock.Boot().Add(5 * time.Second),
		Snapshot: snapshot.NewPublisher(snapshot.Identity{VM: "sender"}).Load(),
	}
}

func TestHopSendsRequestAndVisitedVMs(t *testing.T) {
	is := is.New(t)
	member := startPeer(t, func(_ context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		is.Equal(req.VisitedVMs, []string{"sender"})
		is.Equal(req.Hop, pipeline.HopRegion)
		is.Equal(req.Sender, "1")
		body, err := io.ReadAll(req.RawBody)
		is.NoErr(err)
		w.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{}})
		_, err = w.Write(append([]byte("answer to "), body...))
		is.NoErr(err)
		return nil
	})
	out := &pipelinetest.Recorder{}
	refusal := newClient().SendPeer(context.Background(), newRequest(), pipeline.HopRegion, member, out)
	is.True(refusal == nil)
	is.Equal(out.Body.String(), "answer to question")
}

func TestRefusalIsUnchangedAfterHop(t *testing.T) {
	is := is.New(t)
	want := verdict.Busy(verdict.CodeOverloaded, "full", 3*time.Second)
	member := startPeer(t, func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal { return want })
	refusal := newClient().SendPeer(context.Background(), newRequest(), pipeline.HopOwner, member, &pipelinetest.Recorder{})
	is.Equal(refusal, want)
}

func TestInterruptedResponseIsReported(t *testing.T) {
	start := func(w pipeline.Response) {
		w.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{}})
		_, _ = io.WriteString(w, "half")
		w.Flush()
	}
	cases := map[string]pipeline.HandlerFunc{
		"refusal in the trailer": func(_ context.Context, _ *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			start(w)
			return verdict.Ambiguous(verdict.CodeAnswerCut, "cut", 0)
		},
		"broken stream": func(_ context.Context, _ *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			start(w)
			panic(http.ErrAbortHandler)
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refusal := newClient().SendPeer(context.Background(), newRequest(), pipeline.HopRegion, startPeer(t, handler), &pipelinetest.Recorder{})
			is.True(refusal != nil)
			is.Equal(refusal.Code, verdict.CodeAnswerCut)
			is.Equal(refusal.Verdict, verdict.MayHaveRun)
		})
	}
}

func TestUnreachablePeerGivesNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	member := &snapshot.Member{Identity: snapshot.Identity{VM: "gone"}, ForwardAddress: l.Addr().String()}
	is.NoErr(l.Close())
	refusal := newClient().SendPeer(context.Background(), newRequest(), pipeline.HopRegion, member, &pipelinetest.Recorder{})
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(refusal.RetryAfter > 0)
}

// A peer that accepts the request but never responds may have executed it. The
// hop ends when the request's context expires.
func TestUnresponsivePeerGivesMayHaveRun(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	member := startPeer(t, func(ctx context.Context, _ *pipeline.Request, _ pipeline.Response) *verdict.Refusal {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return verdict.Ambiguous(verdict.CodeCancelled, "gone", 0)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	refusal := newClient().SendPeer(ctx, newRequest(), pipeline.HopOwner, member, &pipelinetest.Recorder{})
	is.Equal(refusal.Verdict, verdict.MayHaveRun)
	is.Equal(refusal.Code, verdict.CodeDeadline)
}
