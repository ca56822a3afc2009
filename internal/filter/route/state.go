package route

import (
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/fairqueue"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/routing"
)

type metrics struct {
	local, crossRegion, refused tally.Counter
	retries, budgetEmpty        tally.Counter
	hedges, hedgeWins           tally.Counter
	queueWait                   tally.Timer
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("route")
	return metrics{
		local: s.Counter("local"), crossRegion: s.Counter("crossed"), refused: s.Counter("refused"),
		retries: s.Counter("retries"), budgetEmpty: s.Counter("retry_budget_empty"),
		hedges: s.Counter("hedges"), hedgeWins: s.Counter("hedge_wins"),
		queueWait: s.Timer("queue_wait"),
	}
}

// State is the handler's section of the state dump.
type State struct {
	RetriesLeft float64               `json:"retriesLeft"`
	Queues      map[string]QueueState `json:"queues"`
	Targets     []routing.TargetState `json:"targets"`
}

// QueueState is the state of one target's queue.
type QueueState struct {
	Queued   int `json:"queued"`
	InFlight int `json:"inFlight"`
	// WaitSeconds is the expected wait if no slot is free.
	WaitSeconds float64 `json:"waitSeconds"`
}

// State returns the handler's section of the state dump.
func (h *Handler) State() any {
	state := State{RetriesLeft: h.budget.Remaining(), Queues: map[string]QueueState{}}
	h.gates.Range(func(name, value any) bool {
		g := value.(*fairqueue.Gate)
		_, full := g.ExpectedWait("", 1, int(pipeline.PriorityNormal))
		state.Queues[name.(string)] = QueueState{
			Queued: g.Queued(), InFlight: g.InFlight(), WaitSeconds: full.Seconds(),
		}
		return true
	})
	state.Targets = h.currentPicker().State(h.cfg.Now())
	return state
}

// logRefusal logs the estimates behind a refusal at debug level.
func (r *routedRequest) logRefusal(reason string, q *routing.Query, target *routing.Target) {
	best := target.Best(q, false)
	now, full := r.h.gate(target.Name).ExpectedWait(r.queueTeam(), 1, int(r.req.Priority))
	r.h.cfg.Log.Debug("request refused", "reason", reason, "target", target.Name, "team", r.req.Team, "hop", r.req.Hop,
		"remaining", q.Remaining, "service", best.Estimate.Service, "engineWait", best.Estimate.Wait,
		"waitNow", now, "waitFull", full, "waited", r.queueTime, "capacity", target.Capacity(q),
		"queued", r.h.gate(target.Name).Queued(), "inFlight", r.h.gate(target.Name).InFlight(), "tried", len(r.tried))
}
