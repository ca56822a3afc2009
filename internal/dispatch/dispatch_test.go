package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

func newSender() *Sender {
	return New(Config{
		Now: clock.Boot, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Observe: func(health.Observation) {},
	})
}

func serverAt(address string) *objects.BackendServer {
	return &objects.BackendServer{Name: "server-1", Spec: objects.BackendServerSpec{Address: address}}
}

func bookingRequest(body []byte) *pipeline.Request {
	return &pipeline.Request{
		ID: "request-1", Method: http.MethodPost, Path: "/bookings", Header: http.Header{},
		Body: body, Key: "key-1", Call: &objects.Call{NotRunStatuses: []int{503}},
		Deadline: clock.Boot().Add(10 * time.Second),
	}
}

// breakingServer responds to requests for /warm. It reads any other request and
// closes the connection without a response.
type breakingServer struct {
	net.Listener
	// executions counts the requests read without a response.
	executions atomic.Int32
}

func startBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &breakingServer{Listener: l}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/warm" {
			w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
			return
		}
		s.executions.Add(1)
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// A plain http.Transport sends a request with an Idempotency-Key and no body
// twice when a reused connection breaks. The first half of the test shows this;
// the second half checks that the Sender sends it once.
func TestBookingIsNotReplayedWhenTheConnectionBreaks(t *testing.T) {
	is := is.New(t)
	server := startBreakingServer(t)
	base := "http://" + server.Addr().String()

	client := &http.Client{Transport: &http.Transport{}}
	warm, err := client.Get(base + "/warm")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, warm.Body)
	_ = warm.Body.Close()
	naive, err := http.NewRequest(http.MethodPost, base+"/bookings", nil)
	is.NoErr(err)
	naive.Header.Set(wire.HeaderIdempotencyKey, "key-1")
	_, err = client.Do(naive)
	is.True(err != nil)
	is.Equal(server.executions.Load(), int32(2)) // the transport replayed the request

	for _, body := range [][]byte{nil, []byte(`{"slot":1}`)} {
		server.executions.Store(0)
		refusal := newSender().SendBackend(context.Background(), bookingRequest(body), serverAt(server.Addr().String()), &pipelinetest.Recorder{})
		is.Equal(refusal.Verdict, verdict.MayHaveRun)
		is.Equal(server.executions.Load(), int32(1)) // executed once
	}
}

func TestFailedConnectGivesNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	refusal := newSender().SendBackend(context.Background(), bookingRequest(nil), serverAt(address), &pipelinetest.Recorder{})
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(refusal.RetryAfter > 0)
}

func TestOnlyConfiguredStatusesGiveNotRun(t *testing.T) {
	for status, want := range map[int]verdict.Verdict{503: verdict.NotRun, 500: verdict.MayHaveRun, 429: verdict.MayHaveRun} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
			w.WriteHeader(status)
		}))
		refusal := newSender().SendBackend(context.Background(), bookingRequest(nil), serverAt(server.Listener.Addr().String()), &pipelinetest.Recorder{})
		is.Equal(refusal.Verdict, want)
		server.Close()
	}
}

func TestResponseToAnotherRequestIsNotRelayed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRequestID, "request-2")
		_, _ = io.WriteString(w, "somebody else's answer")
	}))
	defer server.Close()
	out := &pipelinetest.Recorder{}
	refusal := newSender().SendBackend(context.Background(), bookingRequest(nil), serverAt(server.Listener.Addr().String()), out)
	is.Equal(refusal.Code, verdict.CodeBackendFailed)
	is.True(!out.Started())
}

func TestTruncatedResponseIsRefused(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	out := &pipelinetest.Recorder{}
	refusal := newSender().SendBackend(context.Background(), bookingRequest(nil), serverAt(server.Listener.Addr().String()), out)
	is.Equal(refusal.Code, verdict.CodeAnswerCut)
	is.True(!out.Started())
}

// streamServer serves a stream of numbered events. It aborts the first response
// after the event breakAfter and, if canResume is set, serves the rest to GET
// requests with an offset.
type streamServer struct {
	events, breakAfter int
	broken             atomic.Bool
	cancelled          atomic.Bool
	canResume          bool
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.cancelled.Store(true)
		return
	}
	if r.Method == http.MethodGet && !s.canResume {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	for i := offset + 1; i <= s.events; i++ {
		if i > s.breakAfter && s.broken.CompareAndSwap(false, true) {
			// Send an incomplete event before the break.
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func completeStream(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token-%d\n\n", i, i)
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

func streamRequest() *pipeline.Request {
	return &pipeline.Request{
		ID: "request-1", Method: http.MethodPost, Path: wire.PathChatCompletions, Header: http.Header{},
		Body: []byte("{}"), Idempotent: true, Chat: pipeline.Chat{Stream: true},
		Deadline: clock.Boot().Add(10 * time.Second),
	}
}

func TestStreamBrokenAtEachOffsetIsComplete(t *testing.T) {
	const events = 6
	for breakAfter := 0; breakAfter < events; breakAfter++ {
		is := is.New(t)
		server := httptest.NewServer(&streamServer{events: events, breakAfter: breakAfter, canResume: true})
		out := &pipelinetest.Recorder{}
		refusal := newSender().SendBackend(context.Background(), streamRequest(), serverAt(server.Listener.Addr().String()), out)
		is.True(refusal == nil)
		is.Equal(out.Body.String(), completeStream(events))
		server.Close()
	}
}

func TestStreamThatCannotBeResumedIsReportedInterrupted(t *testing.T) {
	is := is.New(t)
	handler := &streamServer{events: 6, breakAfter: 3}
	server := httptest.NewServer(handler)
	defer server.Close()
	refusal := newSender().SendBackend(context.Background(), streamRequest(), serverAt(server.Listener.Addr().String()), &pipelinetest.Recorder{})
	is.Equal(refusal.Code, verdict.CodeAnswerCut)
	for !handler.cancelled.Load() {
		time.Sleep(time.Millisecond)
	}
}

// An attempt cancelled before its response starts, such as the losing attempt of
// a hedged request, must not continue at the engine.
func TestStreamCancelledBeforeResponseIsCancelledAtEngine(t *testing.T) {
	is := is.New(t)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			close(cancelled)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	refusal := newSender().SendBackend(ctx, streamRequest(), serverAt(server.Listener.Addr().String()), &pipelinetest.Recorder{})
	is.Equal(refusal.Code, verdict.CodeCancelled)
	<-cancelled
}
