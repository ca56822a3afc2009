package route

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/dispatch"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	// workTime is how long a copyingServers' request takes.
	workTime = time.Second
	// maxBothAtWork is how long two servers may work on a request.
	maxBothAtWork = 400 * time.Millisecond
)

// copyingServers refuse the request "refused". A connection's next request is run, and a copy of
// the refusal is written when the run begins. A run ends early if its connection does.
type copyingServers struct {
	mu   sync.Mutex
	work sync.WaitGroup
	// runs holds the begin and the end of each run.
	runs [][2]time.Time
}

func (s *copyingServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get(wire.HeaderRequestID) == "refused" {
		w.Header().Set(wire.HeaderRequestID, "refused")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	s.work.Add(1)
	defer s.work.Done()
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+wire.HeaderRequestID+": refused\r\nContent-Length: 0\r\n\r\n")
	// The sender sends nothing until it has the response.
	_ = conn.SetReadDeadline(began.Add(workTime))
	_, _ = conn.Read(make([]byte, 1))
	s.mu.Lock()
	s.runs = append(s.runs, [2]time.Time{began, time.Now()})
	s.mu.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+wire.HeaderRequestID+": "+r.Header.Get(wire.HeaderRequestID)+"\r\nContent-Length: 6\r\n\r\nanswer")
}

// bothAtWork returns the longest time for which two runs overlapped.
func (s *copyingServers) bothAtWork() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for i, a := range s.runs {
		for _, b := range s.runs[:i] {
			from, to := a[0], a[1]
			if b[0].After(from) {
				from = b[0]
			}
			if b[1].Before(to) {
				to = b[1]
			}
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}

// Guards against issue 54 (TWICE) in chestnut-gateway: a request ran at two servers at once, as the
// copy of the refusal of an earlier one was taken for a failure of the first.
func TestRequestDoesNotRunAtTwoServersBecauseOfTheCopyOfARefusal(t *testing.T) {
	is := is.New(t)
	servers := &copyingServers{}
	f := newFixture(func(set *objects.Set) {
		for _, name := range []string{"a1", "a2"} {
			server := httptest.NewServer(servers)
			t.Cleanup(server.Close)
			set.BackendServers[name].Spec.Address = strings.TrimPrefix(server.URL, "http://")
		}
		set.Services["desk"].Spec.Calls[0].NotRunStatuses = []int{http.StatusServiceUnavailable}
	})
	sender := dispatch.New(dispatch.Config{
		Now: f.now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Observe: func(health.Observation) {},
	})
	request := func(id string) *pipeline.Request {
		req := f.request(true)
		req.ID, req.Method, req.Path, req.Header = id, http.MethodPost, "/", http.Header{}
		return req
	}
	config := f.publisher.Load().Config
	for _, name := range []string{"a1", "a2"} {
		refusal := sender.SendBackend(t.Context(), request("refused"), config.BackendServers[name], &response{})
		is.Equal(refusal.Verdict, verdict.NotRun)
	}
	f.backend = func(ctx context.Context, server string, w pipeline.Response) *verdict.Refusal {
		return sender.SendBackend(ctx, request("run"), config.BackendServers[server], w)
	}
	f.peer = func(context.Context, string, pipeline.Response) *verdict.Refusal { return overloaded() }
	refusal, w := f.handle(request("run"))
	servers.work.Wait()
	is.True(servers.bothAtWork() <= maxBothAtWork)
	is.True(refusal == nil)
	is.Equal(w.body, "answer")
	is.Equal(len(servers.runs), 1)
}
