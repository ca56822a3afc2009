package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Guards against many requests on one connection, each of which holds memory.
func TestRequestsAboveTheLimitAreRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	proceed, entered := make(chan struct{}), make(chan struct{}, 2)
	handler := pipeline.HandlerFunc(func(_ context.Context, _ *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		entered <- struct{}{}
		<-proceed
		w.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{}})
		return nil
	})
	s := NewServer(ServerConfig{
		Publisher: snapshot.NewPublisher(snapshot.Identity{VM: "receiver"}), Now: clock.Boot, Handler: handler, Lookup: handler,
		OnPeerRevision: func(string, uint64) {}, MaxRequests: 1,
	})
	member := startServer(t, s)
	client := newClient()
	first := make(chan *verdict.Refusal, 1)
	go func() {
		first <- client.SendPeer(context.Background(), newRequest(), pipeline.HopRegion, member, &pipelinetest.Recorder{})
	}()
	<-entered
	refusal := client.SendPeer(context.Background(), newRequest(), pipeline.HopRegion, member, &pipelinetest.Recorder{})
	is.True(refusal != nil)
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(refusal.RetryAfter > 0)
	close(proceed)
	is.Equal(<-first, nil)
	is.Equal(client.SendPeer(context.Background(), newRequest(), pipeline.HopRegion, member, &pipelinetest.Recorder{}), nil)
}

// Guards against senders that withhold a body for as long as they like.
func TestBodyIsReadUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	result := make(chan error, 1)
	member := startPeer(t, func(_ context.Context, req *pipeline.Request, _ pipeline.Response) *verdict.Refusal {
		_, err := io.ReadAll(req.RawBody)
		result <- err
		return verdict.Busy(verdict.CodeOverloaded, "", 0)
	})
	body, rest := io.Pipe()
	defer func() { _ = rest.Close() }()
	req, err := http.NewRequest(http.MethodPost, "http://"+member.ForwardAddress+wire.PathForward, body)
	is.NoErr(err)
	for name, value := range map[string]string{
		wire.HeaderRequestTarget: "POST /x", wire.HeaderTimeout: "200", wire.HeaderVisitedVMs: "sender", wire.HeaderRequestID: "1", wire.HeaderHop: string(pipeline.HopRegion),
	} {
		req.Header.Set(name, value)
	}
	go func() {
		if resp, err := newClient().http.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	select {
	case err := <-result:
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	case <-time.After(10 * time.Second):
		t.Fatal("the body is still read")
	}
}

// startServer starts an HTTP/2 server and returns it as a member.
func startServer(t *testing.T, s *Server) *snapshot.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, HTTP2: ServerHTTP2(), Handler: s}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return &snapshot.Member{Identity: snapshot.Identity{VM: "receiver"}, ForwardAddress: l.Addr().String()}
}
