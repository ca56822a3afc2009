package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// oneVM implements balance.Fleet with this VM alone.
type oneVM struct{}

func (oneVM) ServerRank(string, string) (vms, rank int)      { return 1, 0 }
func (oneVM) KnowsFleet() bool                               { return true }
func (oneVM) ReachedByPeer(string, string) bool              { return false }
func (oneVM) CutOff(string, string) bool                     { return false }
func (oneVM) ShareDelay() time.Duration                      { return time.Second }
func (oneVM) LargeRegion() bool                              { return false }
func (oneVM) CapacityShare() float64                         { return 1 }
func (oneVM) Regions(service string) []balance.RegionSummary { return nil }

// Guards against the incident of issue 34 (LOST): streams that callers took up again were
// refused as too late because other requests of the route had waited long, while new
// streams began.
func TestStreamTakenUpIsNotRefusedForTheWaitOfOthers(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(2)
	x.route.Name, x.route.AbandonAfter = "digest", time.Second
	x.service.Engine = &ingress.Engine{Slots: 64, MemoryTokens: 400_000, EventTokens: 8}
	x.Roster = roster.New(slog.New(slog.DiscardHandler))
	x.Roster.Put(roster.Entry{ID: "i-1", Service: "writer", Address: "10.0.0.1:1", FailureDomain: "north-a", Region: "north", Slots: 64, SoftwareVersion: "v1"}, 1, roster.Event, x.Now())
	x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
	x.req.Demand = balance.Demand{PromptTokens: 20_000, MaxOutputTokens: 100}
	x.req.Arrived = x.Now()

	for range 60 { // others waited 30 s for their first byte
		x.Balancer.RecordFirstByte("digest", &balance.Plan{Estimate: balance.Estimate{TimeToFirstByte: time.Second}}, 30*time.Second, x.Now())
	}
	is.Equal(x.choosePlan().Reason, "too-late") // a new stream

	x.origin = &resume.Origin{Service: "writer", SoftwareVersion: "v1"}
	is.True(x.choosePlan().Server != nil)
	x.deadline = x.Now().Add(x.Balancer.Choose(&balance.Query{Now: x.Now(), Route: x.route, Service: x.service, Demand: &x.req.Demand, Remaining: time.Second}, x.Roster.View()).Estimate.TimeToFirstByte / 2)
	is.Equal(x.choosePlan().Reason, "too-late") // not even an idle server begins in time
}

// newStreams returns a tracker of streams whose time stands still.
func newStreams(now clock.Instant, publish func(kind gossip.Kind, part string, value []byte)) *resume.Tracker {
	return resume.New(resume.Config{
		Now: func() clock.Instant { return now }, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		View: roster.New(slog.New(slog.DiscardHandler)).View, RegistryRead: func() bool { return true },
		Reachable: func(string) bool { return true }, AnyReachable: func() bool { return true },
		InTouch: func() bool { return true }, PublishOwn: publish,
	})
}

// Guards against TestStreamTakenUpByRequestWithoutEventsKeepsItsSoftwareVersion failing for
// a race (LOST): a take-up whose caller left while it waited for the record of its stream
// was forgotten, so that no VM knew the request that the caller named next.
func TestTakeUpWhoseCallerLeftIsKnownOnceItsStreamIs(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	records := make(chan gossip.Record, 8)
	other := newStreams(now, func(kind gossip.Kind, part string, value []byte) {
		if kind == gossip.KindStreams {
			records <- gossip.Record{Key: gossip.Key{Kind: kind, Name: "vm-2/" + part}, Value: value}
		}
	})
	x := hopTransaction(2)
	x.Streams = newStreams(now, func(gossip.Kind, string, []byte) {})
	x.req.ID, x.req.ResumedID, x.req.LastEventID = "b", "a", "4"
	x.route.TrafficSplit = []ingress.WeightedService{{Service: "writer", Weight: 1}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the caller has left
	is.True(x.takeUp(ctx) != nil)

	other.Begin("a", resume.Origin{Service: "writer", SoftwareVersion: "v1"})
	other.BrokeOff("a")
	other.Tick(now)
	x.Streams.ApplyRecord(<-records)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // so that nothing is waited for
		if origin, known := x.Streams.Find(ctx, "b", "writer"); known {
			is.Equal(origin.SoftwareVersion, "v1")
			return
		}
	}
	t.Error("the request that took the stream up isn't known")
}

// Guards against GONE (findings on 480771a): a request waited at a second VM, or after a send
// that reached no server, for longer than its caller did.
func TestRequestThatCannotBeginBeforeItsCallerLeavesIsRefused(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(2)
	x.route.Name, x.route.AbandonAfter, x.route.Resumable = "brief", 4*time.Second, false
	x.service.Engine = &ingress.Engine{Slots: 64, MemoryTokens: 400_000, EventTokens: 8}
	x.Roster = roster.New(slog.New(slog.DiscardHandler))
	x.Roster.Put(roster.Entry{ID: "i-1", Service: "writer", Address: "10.0.0.1:1", FailureDomain: "north-a", Region: "north", Slots: 64}, 1, roster.Event, x.Now())
	x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
	x.req.Demand = balance.Demand{PromptTokens: 100_000, MaxOutputTokens: 100} // about two seconds to prefill
	x.deadline = x.Now().Add(8 * time.Second)
	x.req.Arrived = x.Now()
	is.True(x.choosePlan().Server != nil)

	x.req.Arrived = x.Now().Add(-3 * time.Second)
	is.Equal(x.choosePlan().Reason, "too-late")
	x.sends = 1 // refused connection
	is.Equal(x.choosePlan().Reason, "too-late")
	x.arrived = true
	is.True(x.choosePlan().Server != nil)

	hr := httptest.NewRequest(http.MethodPost, PathHop, nil)
	hr.Header = x.hopCall("127.0.0.1:1", "", balance.Plan{}, 1).Header
	got, err := x.readHop(httptest.NewRecorder(), hr, nil)
	is.NoErr(err)
	is.True(x.Now().Sub(got.Arrived) >= 3*time.Second) // the other VM knows how long the request has waited
}
