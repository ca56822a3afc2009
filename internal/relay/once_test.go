package relay

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// tableWith returns a configuration with one route of the kind.
func tableWith(version uint64, kind ingress.Kind) *ingress.Table {
	return ingress.NewTable(version, []*ingress.Route{{
		Name: "book", Host: "a.example", Prefix: "/", Kind: kind, MaxAttempts: 3,
		TrafficSplit: []ingress.WeightedService{{Service: "desk", Weight: 1}},
	}}, []*ingress.Service{{Name: "desk"}}, ingress.Limits{})
}

// relayWith returns a relay with the configuration, and the function that replaces it.
func relayWith(table *ingress.Table) (*Relay, func(*ingress.Table)) {
	r := hopTransaction(3).Relay
	r.Table = func() *ingress.Table { return table }
	r.Peers, r.RetrySlack, r.RetryWindow = onePeer{}, 100, time.Minute
	r.budgets = serviceBudgets{slack: 100, window: time.Minute}
	r.ExitAt = func() clock.Instant { return 0 }
	return r, func(next *ingress.Table) { table = next }
}

// failed is the outcome of a send whose request may have run.
var failed = outcome{mayHaveArrived: true, broke: true}

// Guards against issue 48 (TWICE): a VM repeated a request that its entry had taken for one
// that runs once, as the VM's newer configuration allows repeats.
func TestRequestThatRunsOnceAtItsEntryIsNotRepeatedByAnotherVM(t *testing.T) {
	for _, test := range []struct {
		name      string
		kind      ingress.Kind
		once, may bool
	}{
		{"entry: once, here: safe", ingress.Safe, true, false},
		{"entry: safe, here: unsafe", ingress.Unsafe, false, false},
		{"both safe", ingress.Safe, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := relayWith(tableWith(8, test.kind))
			x, refusal := r.newTransaction(&Request{ID: "q", Host: "a.example", Path: "/", Entry: "vm-1", Once: test.once, AttemptsLeft: 2, Arrived: r.Now()}, &discardResponse{})
			is.Equal(refusal, nil)
			x.possibleRuns = 1
			is.Equal(x.mayRetry(&failed), test.may)
		})
	}
}

// Guards against the same at the entry itself, if the route's kind changes while the request
// is being served.
func TestRequestIsNotRepeatedOnceItsRouteIsUnsafe(t *testing.T) {
	is := is.New(t)
	r, replace := relayWith(tableWith(7, ingress.Safe))
	x, refusal := r.newTransaction(&Request{ID: "q", Host: "a.example", Path: "/", Arrived: r.Now()}, &discardResponse{})
	is.Equal(refusal, nil)
	x.possibleRuns = 1
	is.Equal(x.mayRetry(&failed), true)
	replace(tableWith(8, ingress.Unsafe))
	is.Equal(x.mayRetry(&failed), false)
}

// Guards against REFUSED in the same case: a server's 503, which doesn't say that the request
// hasn't run, was kept while the route was safe and relayed once it was unsafe.
func TestFailureOfAServerIsNotRelayedAsNotRunOnceTheRouteIsUnsafe(t *testing.T) {
	is := is.New(t)
	r, replace := relayWith(tableWith(7, ingress.Safe))
	x, refusal := r.newTransaction(&Request{ID: "q", Host: "a.example", Path: "/", Arrived: r.Now()}, &discardResponse{})
	is.Equal(refusal, nil)
	x.possibleRuns = 1
	x.fallback = &fallbackResponse{head: pipeline.Head{Status: http.StatusServiceUnavailable, Header: http.Header{}}}
	replace(tableWith(8, ingress.Unsafe))
	refusal = x.failureRefusal(t.Context(), &failed)
	is.True(refusal != nil)
	is.Equal(refusal.Verdict, verdict.MayHaveRun)
}

// Guards against the same where the other VM is of an earlier build: it gets one attempt, and
// is told that the request runs once.
func TestHopOfARequestThatRunsOnceHasOneAttempt(t *testing.T) {
	is := is.New(t)
	heads := make(chan hopHead, 1)
	server := quietServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		var head hopHead
		data, err := base64.StdEncoding.DecodeString(hr.Header.Get(headerHop))
		is.NoErr(err)
		is.NoErr(json.Unmarshal(data, &head))
		heads <- head
		writeHopRefusal(w, verdict.Busy(verdict.CodeOverloaded, "it is full", 0), 0, false)
	}))
	defer server.Close()
	for _, kind := range []ingress.Kind{ingress.Unsafe, ingress.Stream, ingress.Safe} {
		x := hopTransaction(3)
		x.route = &ingress.Route{Kind: kind, MaxAttempts: 3}
		x.Peers = onePeer{server.Listener.Addr().String()}
		x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
		x.sendToRegion(t.Context(), balance.Plan{Region: "west"})
		head := <-heads
		is.Equal(head.Once, kind != ingress.Safe)
		is.Equal(head.AttemptsLeft == 1, kind != ingress.Safe)
	}
}

// Guards against a refusal that contradicts itself: it states that the request hasn't run, and
// that it ran.
func TestRefusalOfARequestThatRanIsNoEvidence(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(3)
	server := quietServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRan, "1")
		w.Header().Set(wire.HeaderRefusal, encodeRefusal(verdict.Busy(verdict.CodeOverloaded, "it is full", 0)))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	x.Peers = onePeer{server.Listener.Addr().String()}
	x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
	out := x.sendToRegion(t.Context(), balance.Plan{Region: "west"})
	is.Equal(out.notRun, false)
	is.Equal(x.possibleRuns, 1)
}
