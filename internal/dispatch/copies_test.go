package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/linktest"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// idempotentRequests are a request for a stream and one for a whole response.
func idempotentRequests(id string) map[string]*pipeline.Request {
	stream, whole := streamRequest(), bookingRequest([]byte("{}"))
	whole.Idempotent, whole.Key = true, ""
	stream.ID, whole.ID = id, id
	return map[string]*pipeline.Request{"stream": stream, "whole response": whole}
}

// send sends a request, with a bound for the test, and returns the refusal and the body.
func send(t *testing.T, s *Sender, address string, req *pipeline.Request) (*verdict.Refusal, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var w pipelinetest.Recorder
	refusal := s.SendBackend(ctx, req, serverAt(address), &w)
	return refusal, w.Body.String()
}

// respond writes a complete response to the request of any kind.
func respond(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, completeStream(3))
}

// refuse writes a refusal that names the request.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against issue 54 (TWICE) in chestnut-gateway: a request was given up, and its connection
// kept, because of the copy of the refusal of an earlier request, and ran on at its server.
func TestRequestIsNotGivenUpForTheCopyOfTheRefusalOfAnother(t *testing.T) {
	for name, second := range idempotentRequests("request-2") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := linktest.StartCopyingServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(wire.HeaderRequestID) == "request-1" {
					refuse(w, r)
					return
				}
				respond(w, r)
			}, linktest.CopyRefusals)
			sender := newSender()
			refusal, _ := send(t, sender, server.Address, idempotentRequests("request-1")[name])
			is.Equal(refusal.Verdict, verdict.NotRun)
			refusal, body := send(t, sender, server.Address, second)
			is.True(refusal == nil)
			is.Equal(body, completeStream(3))
		})
	}
}

// Guards against issue 54 (TWICE) in chestnut-gateway: a request came back to the connection on
// which it had been refused, and was called not run because of the copy of that refusal while it ran.
func TestRequestIsNotRefusedByTheCopyOfItsOwnRefusal(t *testing.T) {
	for name, req := range idempotentRequests("request-1") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var arrivals atomic.Int32
			server := linktest.StartCopyingServer(t, func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) == 1 {
					refuse(w, r)
					return
				}
				respond(w, r)
			}, linktest.CopyRefusals)
			sender := newSender()
			refusal, _ := send(t, sender, server.Address, req)
			is.Equal(refusal.Verdict, verdict.NotRun)
			refusal, body := send(t, sender, server.Address, req)
			is.True(refusal == nil)
			is.Equal(body, completeStream(3))
			is.Equal(arrivals.Load(), int32(2))
		})
	}
}

// Guards against issue 54 in chestnut-gateway: a stream was cut, because the copy of a refusal to
// resume it was taken for a refusal of the last attempt.
func TestStreamIsResumedDespiteTheCopyOfARefusalToResumeIt(t *testing.T) {
	is := is.New(t)
	var resumes atomic.Int32
	server := linktest.StartCopyingServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
			_, _ = io.WriteString(w, strings.SplitAfter(completeStream(3), "\n\n")[0])
			panic(http.ErrAbortHandler)
		case resumes.Add(1) < maxResumes:
			refuse(w, r)
		default:
			respond(w, r)
		}
	}, linktest.CopyRefusals)
	refusal, body := send(t, newSender(), server.Address, streamRequest())
	is.True(refusal == nil)
	is.Equal(body, completeStream(3))
	is.Equal(resumes.Load(), int32(maxResumes))
}

// Guards against a request that runs on after chestnut-gateway gave it up: a response without an
// ID, which may be to any request, left its connection open.
func TestConnectionEndsWithAResponseThatNamesNoRequest(t *testing.T) {
	for name, req := range idempotentRequests("request-1") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				_, _ = io.Copy(io.Discard, conn)
				close(ended)
			}))
			defer server.Close()
			started := time.Now()
			refusal, _ := send(t, newSender(), server.Listener.Addr().String(), req)
			is.Equal(refusal.Verdict, verdict.MayHaveRun)
			is.Equal(refusal.Code, verdict.CodeBackendFailed)
			is.True(time.Since(started) < time.Second) // it doesn't wait for another response
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

// Guards against a request that is sent a second time by itself: http.Transport sends a GET again
// when a reused connection breaks.
func TestIdempotentRequestIsSentOnceWhenTheConnectionBreaks(t *testing.T) {
	is := is.New(t)
	server := startBreakingServer(t)
	sender := newSender()
	requests := []*pipeline.Request{idempotentRequests("request-1")["whole response"], idempotentRequests("request-2")["whole response"]}
	for i, path := range []string{"/warm", "/bookings"} {
		requests[i].Method, requests[i].Path, requests[i].Body = http.MethodGet, path, nil
	}
	refusal, _ := send(t, sender, server.Addr().String(), requests[0])
	is.True(refusal == nil)
	refusal, _ = send(t, sender, server.Addr().String(), requests[1])
	is.Equal(refusal.Verdict, verdict.MayHaveRun)
	is.Equal(server.executions.Load(), int32(1))
}

// Guards against the response to another request being relayed, for requests on pooled
// connections: the request waits for its own, which here never comes.
func TestResponseToAnotherRequestIsNotRelayedForIdempotentRequests(t *testing.T) {
	for name, req := range idempotentRequests("request-1") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := linktest.StartCopyingServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(wire.HeaderRequestID, "request-2")
				_, _ = io.WriteString(w, completeStream(3))
			}, linktest.CopyAll)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			var w pipelinetest.Recorder
			refusal := newSender().SendBackend(ctx, req, serverAt(server.Address), &w)
			is.Equal(refusal.Verdict, verdict.MayHaveRun)
			is.True(!w.Started())
		})
	}
}
