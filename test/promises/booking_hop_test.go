package promises

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// breakingPeer runs each request and breaks its connection unanswered.
func breakingPeer(t *testing.T) (*snapshot.Member, *atomic.Int64) {
	t.Helper()
	runs := new(atomic.Int64)
	peer := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
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
		var body []byte
		if i%4 > 1 {
			body = []byte("slot 7")
		}
		refusal := client.SendPeer(context.Background(), newHop("1", body), pipeline.HopRegion, peer, &answerBuffer{})
		if refusal == nil || refusal.Verdict != verdict.MayHaveRun || runs.Load() != i+1 {
			t.Errorf("%d runs, %v", runs.Load()-i, refusal)
		}
	}
}
