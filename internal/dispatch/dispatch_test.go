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

// breakingServer reads a whole request on each connection and closes it. On
// the first connection it answers one request before that.
type breakingServer struct {
	net.Listener
	runs atomic.Int32
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
		s.runs.Add(1)
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// The first half shows that the trap is real: a plain http.Transport carries
// out an empty request twice when a reused connection breaks.
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
	is.Equal(server.runs.Load(), int32(2)) // the transport replayed the request

	for _, body := range [][]byte{nil, []byte(`{"slot":1}`)} {
		server.runs.Store(0)
		refusal := newSender().SendBackend(context.Background(), bookingRequest(body), serverAt(server.Addr().String()), &pipelinetest.Recorder{})
		is.Equal(refusal.Verdict, verdict.MayHaveRun)
		is.Equal(server.runs.Load(), int32(1)) // carried out once
	}
}

func TestBookingThatCouldNotBeSentDidNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	refusal := newSender().SendBackend(context.Background(), bookingRequest(nil), serverAt(address), &pipelinetest.Recorder{})
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(refusal.RetryAfter > 0)
}

func TestStatusMeansNotRunOnlyWhereItIsPublished(t *testing.T) {
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

func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
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

func TestTruncatedWholeAnswerIsRefused(t *testing.T) {
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

// streamServer serves a stream of numbered events and breaks it once after
// each of the given events.
type streamServer struct {
	events, cutAt int
	cut           atomic.Bool
	cancelled     atomic.Bool
	canResume     bool
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
		if i > s.cutAt && s.cut.CompareAndSwap(false, true) {
			// Half of the next event goes out before the break.
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func wholeStream(events int) string {
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

func TestStreamCutAtEachOffsetIsWhole(t *testing.T) {
	const events = 6
	for cutAt := 0; cutAt < events; cutAt++ {
		is := is.New(t)
		server := httptest.NewServer(&streamServer{events: events, cutAt: cutAt, canResume: true})
		out := &pipelinetest.Recorder{}
		refusal := newSender().SendBackend(context.Background(), streamRequest(), serverAt(server.Listener.Addr().String()), out)
		is.True(refusal == nil)
		is.Equal(out.Body.String(), wholeStream(events))
		server.Close()
	}
}

func TestStreamThatCannotBeResumedIsReportedCut(t *testing.T) {
	is := is.New(t)
	handler := &streamServer{events: 6, cutAt: 3}
	server := httptest.NewServer(handler)
	defer server.Close()
	refusal := newSender().SendBackend(context.Background(), streamRequest(), serverAt(server.Listener.Addr().String()), &pipelinetest.Recorder{})
	is.Equal(refusal.Code, verdict.CodeAnswerCut)
	for !handler.cancelled.Load() {
		time.Sleep(time.Millisecond)
	}
}

// An attempt that is given up before its answer begins, such as the loser of a
// hedge, must not go on at the engine.
func TestStreamGivenUpBeforeItsAnswerIsCancelled(t *testing.T) {
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
	ctx, giveUp := context.WithCancel(context.Background())
	go func() {
		<-arrived
		giveUp()
	}()
	refusal := newSender().SendBackend(ctx, streamRequest(), serverAt(server.Listener.Addr().String()), &pipelinetest.Recorder{})
	is.Equal(refusal.Code, verdict.CodeCancelled)
	<-cancelled
}
