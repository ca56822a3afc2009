package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// logBuffer holds log lines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// loggedRelay returns a relay with its log and counters.
func loggedRelay() (*Relay, *logBuffer, tally.TestScope) {
	r, lines, scope := hopTransaction(1).Relay, &logBuffer{}, tally.NewTestScope("", nil)
	r.Log, r.Metrics = slog.New(slog.NewTextHandler(lines, nil)), NewMetrics(scope)
	return r, lines, scope
}

// cuts returns the number of responses that were counted as cut for the reason.
func cuts(scope tally.TestScope, reason cutReason) int64 {
	if c := scope.Snapshot().Counters()["request.cut+reason="+string(reason)]; c != nil {
		return c.Value()
	}
	return 0
}

// Guards against issue 45: the log did not tell why a response ended early.
func TestReasonOfACutResponseIsLogged(t *testing.T) {
	stopped, stop := context.WithCancelCause(context.Background())
	stop(errVMStops)
	left, leave := context.WithCancel(context.Background())
	leave()
	late, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	for want, test := range map[cutReason]struct {
		ctx      context.Context
		write    error
		sentToVM bool
	}{
		cutByStop: {ctx: stopped}, cutByCaller: {ctx: left}, cutByDeadline: {ctx: late}, cutByServer: {}, cutByHop: {sentToVM: true},
		cutByWriteLimit: {ctx: left, write: os.ErrDeadlineExceeded},
	} {
		t.Run(string(want), func(t *testing.T) {
			is := is.New(t)
			r, lines, scope := loggedRelay()
			x := hopTransaction(1)
			x.sentToVM = test.sentToVM
			out := NewWriter(httptest.NewRecorder())
			x.Relay, x.w = r, out
			ctx := test.ctx
			if ctx == nil {
				ctx = t.Context()
			}
			refusal := verdict.Ambiguous(verdict.CodeAnswerCut, "the answer broke off", 0)
			is.Equal(x.cutReason(ctx, refusal), cutReason("")) // it has not begun
			out.Start(pipeline.Head{Status: http.StatusOK})
			out.recordError(test.write)
			x.cut = x.cutReason(ctx, refusal)
			is.Equal(x.cut, want)
			r.recordResult(x, refusal)
			is.True(strings.Contains(lines.String(), "request=q "))
			is.True(strings.Contains(lines.String(), "cut="+string(want)))
			is.Equal(cuts(scope, want), int64(1))
		})
	}
}

// Guards against issue 45: a short response that was lost when the connection was flushed
// counted as served, as the handler had ended before.
func TestResponseThatIsNotDeliveredIsLogged(t *testing.T) {
	is := is.New(t)
	r, lines, scope := loggedRelay()
	server := quietServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
		writeRefusal(w, verdict.Busy(verdict.CodeDeadline, "late", 0))
		r.finish(NewWriter(w), "q1")
	}))
	defer server.Close()
	_, err := http.Get(server.URL)
	is.True(err != nil)
	is.True(strings.Contains(lines.String(), "request=q1 cut=write-deadline"))
	is.Equal(cuts(scope, cutByWriteLimit), int64(1))
}

// panickingTable returns a table function that panics from the second call on, when the
// request has been read.
func panickingTable() func() *ingress.Table {
	calls := 0
	return func() *ingress.Table {
		if calls++; calls > 1 {
			panic("no table")
		}
		return nil
	}
}

// Guards against issue 45: a panic in a handler closed the connection without an answer, and
// showed at debug level only.
func TestPanicIsLoggedAndItsRequestRefused(t *testing.T) {
	is := is.New(t)
	r, lines, scope := loggedRelay()
	r.Protocol = deadlineProtocol{deadline: time.Minute}
	r.Leaving = func() bool { return false }
	r.Refusing = r.Leaving
	r.Table = panickingTable()
	server := quietServer(r.CallerHandler())
	defer server.Close()
	resp, err := http.Get(server.URL + "/a/x")
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(len(body), 0)
	is.True(strings.Contains(lines.String(), `level=ERROR msg="request ended by a fault in the program" request=q panic="no table"`))
	is.Equal(cuts(scope, cutByPanic), int64(1))
}

// A panic after the response has begun cuts it, so that it doesn't look complete.
func TestPanicAfterTheResponseHasBegunCutsIt(t *testing.T) {
	is := is.New(t)
	r, _, _ := loggedRelay()
	server := quietServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out, id := NewWriter(w), "q1"
		defer r.refuseAfterPanic(out, &id)
		out.Start(pipeline.Head{Status: http.StatusOK})
		_, _ = out.Write([]byte("half"))
		out.Flush()
		panic(errors.New("half an answer"))
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against requests that stay in flight, and keep their memory, after a panic.
func TestRequestThatPanickedIsNotInFlight(t *testing.T) {
	is := is.New(t)
	r, _, _ := loggedRelay()
	r.Protocol = deadlineProtocol{deadline: time.Minute}
	r.Leaving = func() bool { return false }
	r.Refusing = r.Leaving
	r.ExitAt = func() clock.Instant { return 0 }
	r.Peers, r.budgets.window = onePeer{}, time.Second
	route := &ingress.Route{Name: "r", Kind: ingress.Stream, Host: "h", Prefix: "/", Timeout: 10_000 * time.Hour, MaxAttempts: 1, TrafficSplit: []ingress.WeightedService{{Service: "writer", Weight: 1}}}
	r.Table = func() *ingress.Table { return ingress.NewTable(7, []*ingress.Route{route}, nil, ingress.Limits{}) }
	server := quietServer(r.CallerHandler())
	defer server.Close()
	resp, err := http.Get(server.URL + "/a/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	r.inFlight.mu.Lock()
	defer r.inFlight.mu.Unlock()
	is.Equal(len(r.inFlight.requests), 0)
}
