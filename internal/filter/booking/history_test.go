package bookingfilter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// keyState is the state of one key in the model.
type keyState struct {
	ran, closed bool
	// answer is the sequence number of the run.
	answer string
}

// keyEvent is an operation on one key: a run at a backend server, or the result
// of an attempt.
type keyEvent struct {
	key     string
	run     bool
	verdict verdict.Verdict
	answer  string
}

// keyModel is the specification of a key: it runs at most once, and never after
// it is closed.
func keyModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			partitions := map[string][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(keyEvent).key
				partitions[key] = append(partitions[key], op)
			}
			var list [][]porcupine.Operation
			for _, partition := range partitions {
				list = append(list, partition)
			}
			return list
		},
		Init:              func() any { return keyState{} },
		Step:              func(state, _, output any) (bool, any) { return stepKey(state.(keyState), output.(keyEvent)) },
		DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
	}
}

func stepKey(s keyState, e keyEvent) (bool, any) {
	switch {
	case e.run:
		return !s.ran && !s.closed, keyState{ran: true, answer: e.answer}
	case e.verdict == verdict.Ran:
		return s.ran && s.answer == e.answer, s
	case e.verdict == verdict.NotRun:
		return !s.ran, keyState{closed: true}
	default:
		return true, s
	}
}

// historyRun drives concurrent attempts against three gateways.
type historyRun struct {
	random  *rand.Rand
	start   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
	runs    atomic.Int64
	clients atomic.Int64
	// background waits for the deliveries of duplicated messages.
	background sync.WaitGroup
}

func (h *historyRun) record(client int, began time.Time, e keyEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, porcupine.Operation{
		ClientId: client, Input: keyEvent{key: e.key}, Output: e,
		Call: began.Sub(h.start).Nanoseconds(), Return: time.Since(h.start).Nanoseconds(),
	})
}

// draw returns a random number in [0, n) from the seeded source.
func (h *historyRun) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// execute simulates a backend server that refuses the request, or runs it and
// may lose the answer.
func (h *historyRun) execute(_ context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	if req.BeforeSend != nil {
		if refusal := req.BeforeSend(); refusal != nil {
			return refusal
		}
	}
	if h.draw(4) == 0 {
		return verdict.Busy(verdict.CodeOverloaded, "refused", time.Second)
	}
	began := time.Now()
	answer := fmt.Sprint(h.runs.Add(1))
	h.record(int(h.clients.Add(1)), began, keyEvent{key: req.Key, run: true, answer: answer})
	if h.draw(4) == 0 {
		return verdict.Ambiguous(verdict.CodeBackendFailed, "the connection broke", time.Second)
	}
	w.Start(pipeline.Head{Status: http.StatusCreated})
	_, _ = w.Write([]byte(answer))
	return nil
}

// route returns the owner's backend handler: it executes the request locally, or
// sends it over a region hop that is delivered twice.
func (h *historyRun) route(net *network, receiver *gateway) pipeline.HandlerFunc {
	return func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		if h.draw(2) == 0 {
			refusal := h.execute(ctx, req, w)
			if refusal == nil || refusal.Verdict != verdict.NotRun || h.draw(2) == 0 {
				return refusal
			}
		}
		if refusal := req.BeforeSend(); refusal != nil {
			return refusal
		}
		member := req.Snapshot.Members[receiver.snapshot.Self.VM]
		h.background.Go(func() { _ = net.SendPeer(ctx, req, pipeline.HopRegion, member, &answerSink{}) })
		return net.SendPeer(ctx, req, pipeline.HopRegion, member, w)
	}
}

// attempt sends a booking to a gateway. Every fifth caller, on average, may cancel.
func (h *historyRun) attempt(client int, g *gateway, key string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if h.draw(5) == 0 {
		time.AfterFunc(time.Duration(h.draw(200))*time.Microsecond, cancel)
	}
	began, sink := time.Now(), &answerSink{}
	refusal := g.handler.Handle(ctx, g.newRequest(key, "slot 7"), sink)
	event := keyEvent{key: key, verdict: verdict.Ran, answer: string(sink.body)}
	if refusal != nil {
		event.verdict = refusal.Verdict
	}
	if refusal != nil && refusal.Verdict == verdict.Ran {
		return // The answer was evicted, so it can't be compared with the run.
	}
	h.record(client, began, event)
}

// TestHistoriesOfConcurrentAttempts checks histories of concurrent attempts at
// the owner and at another entry against the model of a key. The histories
// include refusals, lost answers, duplicated hops and cancellations by callers.
func TestHistoriesOfConcurrentAttempts(t *testing.T) {
	const (
		seeds          = 20
		keysPerSeed    = 25
		attemptsPerKey = 6
	)
	for seed := range uint64(seeds) {
		h := &historyRun{random: rand.New(rand.NewPCG(seed, 0)), start: time.Now()}
		net, list := newGateways("a", "b", "c")
		owner, entry, receiver := list[0], list[1], list[2]
		owner.backend = h.route(net, receiver)
		receiver.backend = h.execute
		h.clients.Store(attemptsPerKey)
		var wait sync.WaitGroup
		for i := range keysPerSeed {
			key := fmt.Sprintf("%s~%d", owner.issuer.Prefix(), i)
			for client := range attemptsPerKey {
				g := []*gateway{owner, entry}[client%2]
				wait.Go(func() { h.attempt(client, g, key) })
			}
		}
		wait.Wait()
		h.background.Wait()
		h.mu.Lock()
		result, info := porcupine.CheckOperationsVerbose(keyModel(), h.history, time.Minute)
		h.mu.Unlock()
		if result != porcupine.Ok {
			t.Fatalf("seed %d: %v; %d partial linearizations", seed, result, len(info.PartialLinearizations()))
		}
	}
}
