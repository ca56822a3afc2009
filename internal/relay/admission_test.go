package relay

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// twoRegions implements balance.Fleet with this VM alone and another region with the given
// requests at its ten slots.
type twoRegions struct {
	oneVM
	active float64
}

func (f twoRegions) Regions(service string) []balance.RegionSummary {
	return []balance.RegionSummary{{Region: "south", Members: 1, Known: true, Summary: balance.Summary{Service: service, Servers: 1, Slots: 10, Active: f.active, Slowdown: 1}}}
}

// contendedTransaction returns a request to a plain service with one server, to whose two slots
// this VM has sent four requests.
func contendedTransaction(fleet balance.Fleet, teams ...*ingress.Team) *transaction {
	x := hopTransaction(1)
	x.table = ingress.NewTable(7, nil, nil, ingress.Limits{}, teams...)
	x.Config.Region = "north"
	x.route.LatencyObjective = 400 * time.Millisecond
	x.req.Arrived = x.Now()
	x.service = &ingress.Service{Name: "desk"}
	x.Roster = roster.New(slog.New(slog.DiscardHandler))
	x.Roster.Put(roster.Entry{ID: "desk-1", Service: "desk", Address: "10.0.0.1:1", Region: "north", FailureDomain: "north-a", Slots: 2}, 1, roster.Event, x.Now())
	x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, fleet)
	x.Config.Peers, x.budgets.window = onePeer{}, 10*time.Second
	x.setService("desk")
	load := x.Balancer.Load(x.Roster.View().Usable("desk", "north")[0].Key())
	for range 4 {
		load.Begin(&balance.Demand{}, &balance.Estimate{}, x.Now())
	}
	return x
}

// refuseOnce records that the server refused a request for lack of room.
func (x *transaction) refuseOnce() {
	plan := balance.Plan{Server: x.Roster.View().Usable("desk", "north")[0]}
	x.sends = 2
	x.recordAdmissionOutcome(&plan, &outcome{notRun: true, mayHaveArrived: true})
	x.sends = 0
}

// Guards against requests that wait where nothing is to be ordered: without teams and refusals,
// hops of other VMs, and requests that may have run.
func TestRequestsThatAreNotOrderedAreNotHeld(t *testing.T) {
	team := &ingress.Team{Name: "a"}
	for name, x := range map[string]*transaction{
		"no teams": contendedTransaction(oneVM{}), "hop": contendedTransaction(oneVM{}, team), "may have run": contendedTransaction(oneVM{}, team),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			switch name {
			case "hop":
				x.refuseOnce()
				x.req.Entry = "vm-2"
			case "may have run":
				x.refuseOnce()
				x.possibleRuns = 1
			}
			plan := x.choosePlan()
			held, refusal := x.awaitAdmission(t.Context(), &plan)
			is.True(!held && refusal == nil && x.pass == nil)
		})
	}
}

// Guards against refused requests while another region has free slots, and against holds longer
// than an eighth of the latency objective.
func TestRequestWithoutRoomGoesToARegionThatHasSome(t *testing.T) {
	for name, active := range map[string]float64{"room": 2, "no room": 9} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := contendedTransaction(twoRegions{active: active})
			x.refuseOnce()
			plan := balance.Plan{Server: x.Roster.View().Usable("desk", "north")[0]}
			start := x.Now()
			held, refusal := x.awaitAdmission(t.Context(), &plan)
			is.True(x.admissionRefusal != nil)
			is.True(x.Now().Sub(start) < x.route.LatencyObjective/2) // an eighth, on a busy machine
			if active > 8 {
				is.True(refusal != nil && refusal.RetryAfter > 0)
				return
			}
			is.True(held && refusal == nil)
			is.Equal(x.choosePlan().Region, "south")
		})
	}
}

// Guards against weights that compare tokens with requests, and teams without a limit that get
// nothing.
func TestWeightIsTheLimitOrTheMeanOfLimits(t *testing.T) {
	is := is.New(t)
	requests := &ingress.Team{Name: "a", Limit: ingress.TeamLimit{PerSecond: 10}}
	tokens := &ingress.Team{Name: "b", Limit: ingress.TeamLimit{PerSecond: 6000, Tokens: true, PlainTokens: 200}}
	none := &ingress.Team{Name: "c"}
	table := ingress.NewTable(7, nil, nil, ingress.Limits{}, requests, tokens, none)
	var gates admissionGates
	is.Equal(gates.weightOf(table, requests), 10.0)
	is.Equal(gates.weightOf(table, tokens), 30.0)
	is.True(math.Abs(gates.weightOf(table, none)-20) < 1e-9)
	is.Equal(gates.weightOf(ingress.NewTable(8, nil, nil, ingress.Limits{}, none), none), 1.0)
}
