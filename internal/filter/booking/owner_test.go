package bookingfilter_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// checkRefusal checks the fields of a refusal that callers act on.
func checkRefusal(t *testing.T, refusal *verdict.Refusal, code verdict.Code, v verdict.Verdict) {
	t.Helper()
	if refusal == nil || refusal.Code != code || refusal.Verdict != v {
		t.Fatalf("got %v, want %s (%s)", refusal, code, v)
	}
}

func TestNotRunClosesTheKey(t *testing.T) {
	is := is.New(t)
	_, list := newGateways("a", "b")
	owner, entry := list[0], list[1]
	owner.backend = func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal {
		return verdict.Busy(verdict.CodeOverloaded, "full", time.Second)
	}
	key := owner.issuer.Prefix() + "~one"
	_, refusal := entry.book(key, "slot 7")
	checkRefusal(t, refusal, verdict.CodeOverloaded, verdict.NotRun)
	is.Equal(refusal.RetryAfter, time.Second)

	// A delayed attempt arrives after capacity is available again.
	owner.backend = func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal {
		t.Fatal("a closed key ran")
		return nil
	}
	_, refusal = owner.book(key, "slot 7")
	checkRefusal(t, refusal, verdict.CodeKeyClosed, verdict.NotRun)
}

// TestEarlyRefusalIsTrue checks the refusals of filters before the booking
// filter: the verdict is "not run" only if the key is closed.
func TestEarlyRefusalIsTrue(t *testing.T) {
	is := is.New(t)
	_, list := newGateways("a", "b")
	owner, entry := list[0], list[1]
	refuse := func(g *gateway, key string) *verdict.Refusal {
		g.early = verdict.Refuse(http.StatusGatewayTimeout, verdict.CodeDeadline, "too late")
		defer func() { g.early = nil }()
		_, refusal := g.book(key, "slot 7")
		return refusal
	}
	key := owner.issuer.Prefix() + "~one"
	checkRefusal(t, refuse(entry, key), verdict.CodeDeadline, verdict.MayHaveRun)
	sink, refusal := owner.book(key, "slot 7")
	is.Equal(refusal, nil)
	is.Equal(string(sink.body), "booked slot 7")
	checkRefusal(t, refuse(owner, key), verdict.CodeDeadline, verdict.MayHaveRun)

	other := owner.issuer.Prefix() + "~two"
	checkRefusal(t, refuse(owner, other), verdict.CodeDeadline, verdict.NotRun)
	_, refusal = entry.book(other, "slot 8")
	checkRefusal(t, refusal, verdict.CodeKeyClosed, verdict.NotRun)
}

func TestDifferentContentIsRefused(t *testing.T) {
	_, list := newGateways("a", "b")
	owner, entry := list[0], list[1]
	key := owner.issuer.Prefix() + "~one"
	if _, refusal := owner.book(key, "slot 7"); refusal != nil {
		t.Fatal(refusal)
	}
	for _, change := range []func(*pipeline.Request){
		func(r *pipeline.Request) { r.Body = []byte("slot 8") },
		func(r *pipeline.Request) { r.Team = "rivals" },
		func(r *pipeline.Request) { r.Path = "/boats" },
		func(r *pipeline.Request) { r.Target = "slot-desk" },
	} {
		for _, g := range []*gateway{owner, entry} {
			req, sink := g.newRequest(key, "slot 7"), &answerSink{}
			change(req)
			checkRefusal(t, g.handler.Handle(context.Background(), req, sink), verdict.CodeKeyMismatch, verdict.NotRun)
			if sink.started {
				t.Fatal("a request with different content got the answer")
			}
		}
	}
}

// TestRefusalsForKeysOfOtherOwners checks the refusals of an entry for keys that
// it doesn't own.
func TestRefusalsForKeysOfOtherOwners(t *testing.T) {
	net, list := newGateways("a", "b")
	owner, entry := list[0], list[1]
	key := owner.issuer.Prefix() + "~one"

	_, refusal := entry.book("no key at all", "slot 7")
	checkRefusal(t, refusal, verdict.CodeKeyMalformed, verdict.NotRun)
	_, refusal = entry.book("a.inc-a.0.0000000000000000~one", "slot 7")
	checkRefusal(t, refusal, verdict.CodeKeyMalformed, verdict.NotRun)
	_, refusal = entry.book("gone.inc.0.0000000000000000~one", "slot 7")
	checkRefusal(t, refusal, verdict.CodeOwnerGone, verdict.MayHaveRun)

	net.broken["a"] = true
	_, refusal = entry.book(key, "slot 7")
	checkRefusal(t, refusal, verdict.CodeOwnerUnreachable, verdict.MayHaveRun)
	if refusal.Final || refusal.RetryAfter == 0 {
		t.Fatal("an unreachable owner was treated as removed")
	}
	net.broken["a"] = false
	restarted := owner.snapshot.Self
	restarted.Incarnation = "inc-2"
	newGateway(net, restarted, map[string]*snapshot.Member{})
	_, refusal = entry.book(key, "slot 7")
	checkRefusal(t, refusal, verdict.CodeOwnerGone, verdict.MayHaveRun)
	if !refusal.Final {
		t.Fatal("the refusal for a restarted owner is not final")
	}
}

// startBooking sends a booking in the background. disconnect cancels
// the request of the caller.
func startBooking(g *gateway, key string) (disconnect func(), result <-chan *verdict.Refusal) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *verdict.Refusal, 1)
	req := g.newRequest(key, "slot 7")
	go func() { done <- g.handler.Handle(ctx, req, &answerSink{}) }()
	return cancel, done
}

func TestQueuedBookingIsClosedWhenCallerCancels(t *testing.T) {
	_, list := newGateways("a")
	owner := list[0]
	queued := make(chan struct{})
	var send func() *verdict.Refusal
	owner.backend = func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		send = req.BeforeSend
		close(queued)
		<-ctx.Done() // The queue drops the request.
		return verdict.Busy(verdict.CodeCancelled, "gone", 0)
	}
	key := owner.issuer.Prefix() + "~one"
	disconnect, result := startBooking(owner, key)
	<-queued
	disconnect()
	checkRefusal(t, <-result, verdict.CodeCancelled, verdict.NotRun)
	checkRefusal(t, send(), verdict.CodeCancelled, verdict.NotRun)
	_, refusal := owner.book(key, "slot 7")
	checkRefusal(t, refusal, verdict.CodeKeyClosed, verdict.NotRun)
}

func TestSentBookingFinishesAfterCallerCancels(t *testing.T) {
	is := is.New(t)
	_, list := newGateways("a")
	owner := list[0]
	sent, answered := make(chan struct{}), make(chan struct{})
	owner.backend = func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		if refusal := req.BeforeSend(); refusal != nil {
			return refusal
		}
		close(sent)
		<-answered
		if ctx.Err() != nil {
			return verdict.Ambiguous(verdict.CodeCancelled, "cut off", 0)
		}
		w.Start(pipeline.Head{Status: http.StatusCreated})
		_, _ = w.Write([]byte("booked"))
		return nil
	}
	key := owner.issuer.Prefix() + "~one"
	disconnect, result := startBooking(owner, key)
	<-sent
	disconnect()
	close(answered)
	is.Equal(<-result, nil)
	sink, refusal := owner.book(key, "slot 7")
	is.Equal(refusal, nil)
	is.Equal(string(sink.body), "booked")
}

// TestResumedOwnerChecksExpiryBeforeSending pauses the owner between the decision
// to run and the send, past the deadline and past the key's window.
func TestResumedOwnerChecksExpiryBeforeSending(t *testing.T) {
	for pause, code := range map[time.Duration]verdict.Code{
		11 * time.Second: verdict.CodeDeadline,
		2 * keyWindow:    verdict.CodeKeyExpired,
	} {
		_, list := newGateways("a")
		owner := list[0]
		owner.backend = func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			owner.clock.Advance(pause)
			return respondBooked(ctx, req, w)
		}
		key := owner.issuer.Prefix() + "~one"
		req := owner.newRequest(key, "slot 7")
		if code == verdict.CodeKeyExpired {
			req.Deadline = req.Deadline.Add(time.Hour)
		}
		checkRefusal(t, owner.handler.Handle(context.Background(), req, &answerSink{}), code, verdict.NotRun)
		_, refusal := owner.book(key, "slot 7")
		checkRefusal(t, refusal, verdict.CodeKeyClosed, verdict.NotRun)
	}
}

// TestEvictedAnswerIsNotRunAgain checks that a key whose answer was evicted or too
// large to cache isn't run again.
func TestEvictedAnswerIsNotRunAgain(t *testing.T) {
	_, list := newGateways("a")
	owner := list[0]
	key := owner.issuer.Prefix() + "~"
	large := make([]byte, 1<<20)
	runs := 0
	owner.backend = func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		runs++
		w.Start(pipeline.Head{Status: http.StatusOK})
		_, _ = w.Write(large)
		return nil
	}
	const keys = 12 // Together above booking.DefaultMaxCachedBytes.
	for i := range keys {
		if _, refusal := owner.book(key+string(rune('a'+i)), "slot"); refusal != nil {
			t.Fatal(refusal)
		}
	}
	sink, refusal := owner.book(key+"a", "slot")
	checkRefusal(t, refusal, verdict.CodeAnswerNotHeld, verdict.Ran)
	if sink.started || runs != keys {
		t.Fatalf("%d runs, answer started %v", runs, sink.started)
	}
	// An answer above wire.MaxAnswerBytes is streamed in full and not cached.
	large = make([]byte, 3<<20)
	sink, refusal = owner.book(key+"large", "slot")
	if refusal != nil || len(sink.body) != len(large) {
		t.Fatalf("%v, %d bytes", refusal, len(sink.body))
	}
	_, refusal = owner.book(key+"large", "slot")
	checkRefusal(t, refusal, verdict.CodeAnswerNotHeld, verdict.Ran)
}

// TestPanickingRunHasOutcome checks that a run that panics records an outcome, so
// that no attempt waits forever, and that the verdict isn't "not run".
func TestPanickingRunHasOutcome(t *testing.T) {
	_, list := newGateways("a")
	owner := list[0]
	owner.backend = func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal { panic("fault") }
	key := owner.issuer.Prefix() + "~one"
	func() {
		defer func() { _ = recover() }()
		_, _ = owner.book(key, "slot 7")
	}()
	_, refusal := owner.book(key, "slot 7")
	checkRefusal(t, refusal, verdict.CodeInternal, verdict.MayHaveRun)
}

// TestDuplicateRegionHopDoesNotRun checks that a region hop received again
// doesn't run, whether the first one ran or was refused.
func TestDuplicateRegionHopDoesNotRun(t *testing.T) {
	_, list := newGateways("a", "b")
	owner, receiver := list[0], list[1]
	runs := 0
	receiver.backend = func(_ context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		runs++
		if string(req.Body) == "refuse" {
			return verdict.Busy(verdict.CodeOverloaded, "full", time.Second)
		}
		w.Start(pipeline.Head{Status: http.StatusCreated})
		return nil
	}
	hop := func(key, body string, visited ...string) *verdict.Refusal {
		req := receiver.newRequest(key, body)
		req.Hop, req.VisitedVMs = pipeline.HopRegion, visited
		return receiver.handler.Handle(context.Background(), req, &answerSink{})
	}
	key := owner.issuer.Prefix() + "~one"
	if refusal := hop(key, "slot 7", "a"); refusal != nil {
		t.Fatal(refusal)
	}
	checkRefusal(t, hop(key, "slot 7", "a"), verdict.CodeDuplicateHop, verdict.MayHaveRun)
	refused := owner.issuer.Prefix() + "~two"
	checkRefusal(t, hop(refused, "refuse", "a"), verdict.CodeOverloaded, verdict.NotRun)
	checkRefusal(t, hop(refused, "slot 8", "a"), verdict.CodeDuplicateHop, verdict.NotRun)
	// Only the owner may send a key over a region hop.
	checkRefusal(t, hop(owner.issuer.Prefix()+"~three", "slot 9", "c"), verdict.CodeLoop, verdict.NotRun)
	if runs != 2 {
		t.Fatalf("%d runs", runs)
	}
}

func TestLookup(t *testing.T) {
	is := is.New(t)
	_, list := newGateways("a", "b")
	owner, entry := list[0], list[1]
	lookup := func(g *gateway, key, team string) (*answerSink, *verdict.Refusal) {
		req, sink := g.newRequest("", ""), &answerSink{}
		req.Method, req.Path, req.Team, req.Idempotent = http.MethodGet, "/v1/bookings/"+key, team, true
		return sink, g.filter.Lookup(context.Background(), req, sink)
	}
	key := owner.issuer.Prefix() + "~one"
	_, refusal := lookup(entry, key, team)
	checkRefusal(t, refusal, verdict.CodeKeyUnknown, verdict.MayHaveRun)
	if _, refusal = owner.book(key, "slot 7"); refusal != nil {
		t.Fatal(refusal) // A lookup must not close the key.
	}
	for _, g := range list {
		for _, form := range []string{key, strings.Replace(key, "~", "%7E", 1), key + "?pretty=1"} {
			sink, refusal := lookup(g, form, team)
			is.Equal(refusal, nil)
			is.Equal(string(sink.body), "booked slot 7")
		}
		_, refusal = lookup(g, key, "rivals")
		checkRefusal(t, refusal, verdict.CodeKeyMismatch, verdict.NotRun)
	}
}
