package promises

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
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

// responseBuffer takes an answer in memory.
type responseBuffer struct {
	bytes.Buffer
	started bool
}

func (b *responseBuffer) Start(pipeline.Head) { b.started = true }
func (b *responseBuffer) Flush()              {}
func (b *responseBuffer) Started() bool       { return b.started }

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// startPeer serves a handler in the place of another gateway. The handler may
// close the connection of a request with breakConn.
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

// breakConn closes the connection that a request came on.
func breakConn(r *http.Request) { _ = r.Context().Value(connKey{}).(net.Conn).Close() }

func newForwardClient() *forward.Client {
	return forward.NewClient(forward.Config{
		Self: snapshot.Identity{VM: "sender", Incarnation: "1"}, Now: clock.Boot, Log: slog.New(slog.DiscardHandler),
	})
}

// newHop returns a request as the owner of its key sends it on.
func newHop(id string, body []byte) *pipeline.Request {
	return &pipeline.Request{
		ID: id, Snapshot: snapshot.NewPublisher(snapshot.Identity{VM: "sender"}).Load(), Hop: pipeline.HopEntry,
		Method: http.MethodPost, Path: "/bookings", Service: &objects.Service{Name: "spot-desk"}, Header: http.Header{},
		Team: unrestrictedTeam, Key: "a.b.0.c~" + id, Body: body, Deadline: clock.Boot().Add(defaultTimeout),
	}
}

// pairTimeout is how long a request waits for another to cross answers with.
const pairTimeout = 5 * time.Millisecond

// No caller gets the answer to another request when another gateway answers
// requests in pairs, each with the other's answer, or with its own twice.
func TestPromiseCrossedAnswersOfGatewaysAreRefused(t *testing.T) {
	const requests = 200
	pairs := make(chan string)
	peer := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		other := r.Header.Get(wire.HeaderRequestID)
		select { // Two requests that are here at once get each other's answer.
		case pairs <- other:
			other = "the partner of " + other
		case other = <-pairs:
		case <-time.After(pairTimeout):
		}
		w.Header().Set(wire.HeaderRequestID, other)
		w.Header().Set(wire.HeaderVerdict, verdict.Ran.String())
		_, _ = io.WriteString(w, "answer to "+other)
	})
	client := newForwardClient()
	var own, refused atomic.Int64
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
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
	all.Wait()
	t.Logf("%d got their own answer, %d were told that theirs was lost", own.Load(), refused.Load())
	if refused.Load() == 0 {
		t.Error("no answers were crossed")
	}
}
