package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// latencyBuckets are the bounds of the latency histograms. They reach from a
// call within a failure domain to the longest deadlines.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// Metrics counts requests and their times.
type Metrics struct {
	scope tally.Scope
	first tally.Histogram
	whole tally.Histogram
	hops  tally.Counter
}

// NewMetrics returns metrics under the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	s := scope.SubScope("request")
	return &Metrics{
		scope: s,
		first: s.Histogram("first_byte_seconds", latencyBuckets),
		whole: s.Histogram("whole_seconds", latencyBuckets),
		hops:  s.Counter("region_hops"),
	}
}

func (m *Metrics) attempt(reason string) {
	m.scope.Tagged(map[string]string{"result": reason}).Counter("sends").Inc(1)
}

// logAttempt writes what a send was decided on and how it ended, unless it
// served the request at once.
func (x *run) logAttempt(plan balance.Plan, out *outcome) {
	if plan.Region != "" {
		x.Metrics.hops.Inc(1)
	}
	switch {
	case out.delivered:
		x.Metrics.attempt("delivered")
		return
	case out.notRun:
		x.Metrics.attempt("not-run")
	default:
		x.Metrics.attempt("failed")
	}
	x.Log.Warn("send failed", "request", x.req.ID, "route", x.route.Name, "service", x.service.Name,
		"to", x.where, "region", plan.Region, "notRun", out.notRun, "reason", out.reason,
		"expectedFirst", plan.Estimate.First, "cold", plan.Cold, "ran", x.ran, "sends", x.sends,
		"lastEvent", x.lastEvent, "retriesLeft", x.budget.Remaining(x.Now()))
}

// finish writes the line that says how a request ended.
func (r *Relay) finish(x *run, refusal *verdict.Refusal) {
	took := r.Now().Sub(x.req.Arrived)
	result, code := "served", verdict.Code("")
	if refusal != nil {
		result, code = refusal.Verdict.String(), refusal.Code
	}
	r.Metrics.scope.Tagged(map[string]string{"result": result, "code": string(code)}).Counter("ended").Inc(1)
	route, version := "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	args := []any{
		"request", x.req.ID, "route", route, "configuration", version, "entry", x.req.Entry, "result", result,
		"at", x.where, "sends", x.sends, "ran", x.ran, "took", took, "first", x.firstDelay(),
		"waited", x.waited, "longestGap", x.longestGap, "events", x.events, "prompt", x.req.Demand.Prompt, "toRead", x.missing,
		"document", x.req.Demand.Document(), "output", x.req.Demand.Output, "hint", x.req.Demand.Expected,
		"expectedFirst", x.expected.First, "active", int(x.expected.Active), "backlog", x.expected.Backlog, "reportAge", x.expected.ReportAge,
	}
	if refusal == nil {
		r.Metrics.whole.RecordDuration(took)
		r.Metrics.first.RecordDuration(x.firstDelay())
		r.Log.Info("request", args...)
		return
	}
	r.Log.Warn("request", append(args, "code", code, "detail", refusal.Detail, "retryAfter", refusal.RetryAfter,
		"deadlineIn", x.until.Sub(r.Now()))...)
}
