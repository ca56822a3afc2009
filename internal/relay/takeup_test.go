package relay

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// oneVM implements balance.Fleet with this VM alone.
type oneVM struct{}

func (oneVM) ServerRank(string, string) (vms, rank int)      { return 1, 0 }
func (oneVM) KnowsFleet() bool                               { return true }
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
