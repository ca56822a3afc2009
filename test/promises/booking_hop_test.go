package promises

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/forward"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// warmID is the ID of a request that opens a connection for reuse.
const warmID = "warm"

// breakingPeer starts a peer that executes each request and then breaks the
// connection or the stream without a response. It returns the peer and the
// number of executions.
func breakingPeer(t *testing.T) (*snapshot.Member, *atomic.Int64) {
	t.Helper()
	runs := new(atomic.Int64)
	peer := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/warm" || r.Header.Get(wire.HeaderRequestID) == warmID {
			w.Header().Set(wire.HeaderRequestID, warmID)
			w.Header().Set(wire.HeaderVerdict, verdict.Ran.String())
			return
		}
		runs.Add(1)
		if r.Header.Get(wire.HeaderRequestTarget) == "" || runs.Load()%2 == 0 {
			breakConn(r)
		}
		panic(http.ErrAbortHandler) // Resets the HTTP/2 stream.
	})
	return peer, runs
}

// The transport of net/http replays a booking by itself when a reused
// connection breaks. The client for hops between gateways never does, whether
// the connection or the stream breaks, with or without a body.
func TestPromiseHopIsNeverReplayed(t *testing.T) {
	peer, runs := breakingPeer(t)
	naive := &http.Client{Transport: &http.Transport{}}
	for _, body := range [][]byte{nil, []byte("slot 7")} {
		runs.Store(0)
		warm, err := naive.Get("http://" + peer.ForwardAddress + "/warm")
		if err != nil {
			t.Fatal(err)
		}
		_ = warm.Body.Close()
		req, err := http.NewRequest(http.MethodPost, "http://"+peer.ForwardAddress+wire.PathForward, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(wire.HeaderIdempotencyKey, "a.b.0.c~naive")
		if _, err := naive.Do(req); err == nil || runs.Load() != 2 {
			t.Fatalf("net/http did not replay the request, so the test is inconclusive: %d runs, error %v", runs.Load(), err)
		}
	}

	client := newForwardClient()
	const hops = 8
	for i := range int64(hops) {
		runs.Store(i)
		if refusal := client.SendPeer(context.Background(), newHop(warmID, nil), pipeline.HopRegion, peer, &responseBuffer{}); refusal != nil {
			t.Fatal(refusal)
		}
		var body []byte
		if i%4 > 1 {
			body = []byte("slot 7")
		}
		refusal := client.SendPeer(context.Background(), newHop("1", body), pipeline.HopRegion, peer, &responseBuffer{})
		if refusal == nil || refusal.Verdict != verdict.MayHaveRun || runs.Load() != i+1 {
			t.Errorf("%d runs, refusal %v, want 1 run and a refusal with verdict may-have-run", runs.Load()-i, refusal)
		}
	}
}

// A region hop that is delivered several times, also concurrently, runs at most
// once at the receiving gateway. The receiver accepts it only from the key's
// owner.
func TestPromiseDuplicatedHopRunsOnce(t *testing.T) {
	bed := startBed(t, nil)
	b := newBookingRecorder(t, bed)
	owner, receiver := bed.GatewaysOf("busan")[0], bed.GatewaysOf("jeju")[0]
	to := &snapshot.Member{Identity: snapshot.Identity{VM: receiver.Name}, ForwardAddress: receiver.ForwardAddress()}
	deliver := func(sender string, k bookingAttempt) *verdict.Refusal {
		client := forward.NewClient(forward.Config{Self: snapshot.Identity{VM: sender}, Now: clock.Boot, Log: slog.New(slog.DiscardHandler)})
		hop := newHop(k.key, []byte(k.body))
		hop.Team, hop.Key = k.team, k.key
		return client.SendPeer(context.Background(), hop, pipeline.HopRegion, to, &responseBuffer{})
	}
	// A receiver that has just started accepts few requests from other regions.
	eventually(t, restartTimeout, "the receiver accepts a hop", func() bool { return deliver(owner.Name, b.newKeys(t, owner, 1)[0]) == nil })
	const copies = 4
	keys := b.newKeys(t, owner, 12)
	var wg sync.WaitGroup
	for _, k := range keys {
		for range copies {
			wg.Go(func() { _ = deliver(owner.Name, k) })
		}
	}
	wg.Wait()
	ran, total := executions(bed), 0
	for _, k := range keys {
		if refusal := deliver(owner.Name, k); refusal == nil || refusal.Code != verdict.CodeDuplicateHop {
			t.Errorf("repeated hop of %s was not refused as a duplicate: %v", k.key, refusal)
		}
		if ran[k.key] > 1 {
			t.Errorf("%s was executed %d times", k.key, ran[k.key])
		}
		total += ran[k.key]
	}
	if total == 0 {
		t.Error("no hop was accepted, so the test is inconclusive")
	}
	forged := b.newKeys(t, owner, 1)[0]
	if refusal := deliver(bed.GatewaysOf("saemangeum")[0].Name, forged); refusal == nil || executions(bed)[forged.key] != 0 {
		t.Errorf("the receiver accepted a hop from a gateway that does not own the key: %v", refusal)
	}
}
