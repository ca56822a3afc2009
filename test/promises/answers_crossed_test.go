package promises

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/forward"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// responseBuffer is a pipeline response writer that keeps the response in
// memory.
type responseBuffer struct {
	bytes.Buffer
	started bool
}

func (b *responseBuffer) Start(pipeline.Head) { b.started = true }
func (b *responseBuffer) Flush()              {}
func (b *responseBuffer) Started() bool       { return b.started }

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// startPeer starts a server that acts as another gateway and handles requests
// with handler, which may close a request's connection with breakConn.
func startPeer(t *testing.T, handler http.HandlerFunc) *snapshot.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: handler, Protocols: protocols, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return &snapshot.Member{Identity: snapshot.Identity{VM: "peer"}, ForwardAddress: l.Addr().String()}
}

// breakConn closes the connection on which the request arrived.
func breakConn(r *http.Request) { _ = r.Context().Value(connKey{}).(net.Conn).Close() }

func newForwardClient() *forward.Client {
	return forward.NewClient(forward.Config{
		Self: snapshot.Identity{VM: "sender", Incarnation: "1"}, Now: clock.Boot, Log: slog.New(slog.DiscardHandler),
	})
}

// newHop returns a request as the owner of its idempotency key would forward
// it.
func newHop(id string, body []byte) *pipeline.Request {
	return &pipeline.Request{
		ID: id, Snapshot: snapshot.NewPublisher(snapshot.Identity{VM: "sender"}).Load(), Hop: pipeline.HopEntry,
		Method: http.MethodPost, Path: "/bookings", Service: &objects.Service{Name: "spot-desk"}, Header: http.Header{},
		Team: unrestrictedTeam, Key: "a.b.0.c~" + id, Body: body, Deadline: clock.Boot().Add(defaultTimeout),
	}
}

// pairTimeout is how long a request waits for a second one to swap responses
// with.
const pairTimeout = 5 * time.Millisecond

// No caller receives the response to another request when a faulty peer swaps
// the responses of concurrent requests.
func TestPromiseSwappedPeerResponsesAreRejected(t *testing.T) {
	const requests = 200
	pairs := make(chan string)
	peer := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		other := r.Header.Get(wire.HeaderRequestID)
		if !isAnsweredCorrectly(other) {
			select { // Two concurrent requests get each other's response.
			case pairs <- other:
				other = "the partner of " + other
			case other = <-pairs:
			case <-time.After(pairTimeout):
			}
		}
		w.Header().Set(wire.HeaderRequestID, other)
		w.Header().Set(wire.HeaderVerdict, verdict.Ran.String())
		_, _ = io.WriteString(w, "answer to "+other)
	})
	client := newForwardClient()
	var own, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			id := fmt.Sprint("request ", i)
			out := &responseBuffer{}
			refusal := client.SendPeer(context.Background(), newHop(id, nil), pipeline.HopRegion, peer, out)
			switch {
			case refusal == nil && out.String() == "answer to "+id:
				own.Add(1)
			case refusal != nil && !out.started && refusal.Verdict == verdict.MayHaveRun:
				refused.Add(1)
			default:
				t.Errorf("%s got %q, refusal %v", id, out.String(), refusal)
			}
		})
	}
	wg.Wait()
	t.Logf("%d received their own response, %d were refused with may-have-run", own.Load(), refused.Load())
	if refused.Load() == 0 {
		t.Error("no responses were swapped, so the test is inconclusive")
	}
	if own.Load() < requests/4 {
		t.Errorf("%d requests were served, want at least the %d that the peer answered correctly", own.Load(), requests/4)
	}
}

// isAnsweredCorrectly reports whether the peer never swaps the response to the
// request: it doesn't for each fourth one.
func isAnsweredCorrectly(id string) bool {
	n, err := strconv.Atoi(strings.TrimPrefix(id, "request "))
	return err == nil && n%4 == 0
}
