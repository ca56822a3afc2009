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

// warmID is the id of a request that leaves a connection to be used again.
const warmID = "warm"

// breakingPeer runs each request and breaks its connection unanswered.
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
		if r.Header.Get(wire.HeaderTarget) == "" || runs.Load()%2 == 0 {
			breakConn(r)
		}
		panic(http.ErrAbortHandler) // Resets the stream of HTTP/2.
	})
	return peer, runs
}

// The transport of net/http sends a booking a second time on its own when a
// reused connection breaks. The hop between gateways never does, whether the
// connection or the stream breaks, with a body or without.
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
			t.Fatalf("the trap is gone: %d runs, error %v", runs.Load(), err)
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
			t.Errorf("%d runs, %v", runs.Load()-i, refusal)
		}
	}
}

// A region hop that is delivered several times, also at once, runs once at the
// receiving gateway, and only the owner of the key may send it.
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
	// A receiver that has just started takes little work from other regions.
	eventually(t, restartTimeout, "a hop is taken", func() bool { return deliver(owner.Name, b.newKeys(t, owner, 1)[0]) == nil })
	const copies = 4
	keys := b.newKeys(t, owner, 12)
	var all sync.WaitGroup
	for _, k := range keys {
		for range copies {
			all.Go(func() { _ = deliver(owner.Name, k) })
		}
	}
	all.Wait()
	ran, total := executions(bed), 0
	for _, k := range keys {
		if refusal := deliver(owner.Name, k); refusal == nil || refusal.Code != verdict.CodeDuplicateHop {
			t.Errorf("%s was taken again: %v", k.key, refusal)
		}
		if ran[k.key] > 1 {
			t.Errorf("%s was carried out %d times", k.key, ran[k.key])
		}
		total += ran[k.key]
	}
	if total == 0 {
		t.Error("no hop was taken, so that nothing was shown")
	}
	forged := b.newKeys(t, owner, 1)[0]
	if refusal := deliver(bed.GatewaysOf("saemangeum")[0].Name, forged); refusal == nil || executions(bed)[forged.key] != 0 {
		t.Errorf("another gateway than the owner sent the key on: %v", refusal)
	}
}
