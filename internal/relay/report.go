package relay

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/admission"
	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// latencyBuckets are the bounds of the latency histograms. They range from a
// call within a failure domain to the longest deadlines.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// Metrics holds the counters and latency histograms of requests.
type Metrics struct {
	scope      tally.Scope
	firstByte  tally.Histogram
	total      tally.Histogram
	regionHops tally.Counter
	// uncountedHops counts the hops of which it is unknown how often the other VM sent
	// the request.
	uncountedHops tally.Counter
	// strayResponses counts the responses of backend servers to other requests than the one
	// in flight, and passedOver the connections that weren't used for a request as they had
	// carried it before.
	strayResponses, passedOver tally.Counter
	// admissionTeams are the teams by which decisions on waiting requests are counted.
	admissionTeams boundedNames
}

// maxTeamSeries bounds the series of a metric by team. The rest are counted as otherTeams.
const (
	maxTeamSeries = 64
	otherTeams    = "other"
)

// boundedNames keeps the first maxTeamSeries-1 names. The zero value is ready to use.
type boundedNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// bound returns the name, or otherTeams if too many others came before.
func (b *boundedNames) bound(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.names[name] {
		if len(b.names) >= maxTeamSeries-1 {
			return otherTeams
		}
		if b.names == nil {
			b.names = map[string]bool{}
		}
		b.names[name] = true
	}
	return name
}

// countAdmission counts the decision on a request that was held or refused as its service is
// contended.
func (m *Metrics) countAdmission(decision admission.Decision, team string) {
	tags := map[string]string{"decision": decision.String(), "team": m.admissionTeams.bound(team)}
	m.scope.Tagged(tags).Counter("admission").Inc(1)
}

// NewMetrics returns the metrics of requests, registered under the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	s := scope.SubScope("request")
	return &Metrics{
		scope:         s,
		firstByte:     s.Histogram("first_byte_seconds", latencyBuckets),
		total:         s.Histogram("whole_seconds", latencyBuckets),
		regionHops:    s.Counter("region_hops"),
		uncountedHops: s.Counter("uncounted_hops"),

		strayResponses: s.Counter("stray_responses"),
		passedOver:     s.Counter("connections_passed_over"),
	}
}

// countSend counts a send with the given result.
func (m *Metrics) countSend(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("sends").Inc(1)
}

// countStreamEnd counts a stream that was read to its end.
func (m *Metrics) countStreamEnd(framing upstream.Framing, unfinished bool) {
	m.scope.Tagged(map[string]string{"framing": string(framing), "unfinished": strconv.FormatBool(unfinished)}).Counter("stream_ends").Inc(1)
}

// recordConnection records what a response of a backend server doesn't tell by itself: that other
// responses came before it, or that connections that had carried the request weren't used.
func (x *transaction) recordConnection(s *roster.Server, e *upstream.Exchange) {
	x.connection = e.LocalAddress()
	if e.PassedOver > 0 {
		x.Metrics.passedOver.Inc(int64(e.PassedOver))
		x.Log.Info("connections that had carried the request not used", "request", x.req.ID, "server", s.ID, "connections", e.PassedOver, "connection", x.connection, "reused", e.Reused(), "status", e.StatusCode)
	}
	if e.StrayResponses > 0 {
		x.Metrics.strayResponses.Inc(int64(e.StrayResponses))
		x.Log.Warn("skipped responses to other requests", "request", x.req.ID, "server", s.ID, "connection", x.connection, "skipped", e.StrayResponses, "status", e.StatusCode)
	}
}

// recordSend counts a send. If the send failed, it also logs the estimate
// behind the plan and the reason of the failure.
func (x *transaction) recordSend(plan balance.Plan, out *outcome) {
	if plan.Region != "" {
		x.Metrics.regionHops.Inc(1)
	}
	switch {
	case out.delivered:
		x.Metrics.countSend("delivered")
		return
	case out.notRun:
		x.Metrics.countSend("not-run")
	default:
		x.Metrics.countSend("failed")
	}
	x.Log.Warn("send failed", "request", x.req.ID, "route", x.route.Name, "service", x.service.Name,
		"to", x.destination, "softwareVersion", x.softwareVersion, "region", plan.Region, "notRun", out.notRun, "reason", out.reason,
		"expectedFirst", plan.Estimate.TimeToFirstByte, "cold", plan.Cold, "ran", x.possibleRuns, "sends", x.sends,
		"firstByteBefore", x.sinceFirstByte(), "blocks", blockNames(x.traits.Blocks), "fingerprint", strconv.FormatUint(x.traits.Fingerprint, 16), "lastEvent", x.lastEventID, "connection", x.connection, "retriesLeft", x.budget.Remaining(x.Now()))
}

// blockNames returns the blocks in hexadecimal, separated by commas.
func blockNames(blocks []uint64) string {
	names := make([]string, len(blocks))
	for i, b := range blocks {
		names[i] = strconv.FormatUint(b, 16)
	}
	return strings.Join(names, ",")
}

// recordResult counts and logs the result of a request. A nil refusal means
// that the request was served.
func (r *Relay) recordResult(x *transaction, refusal *verdict.Refusal) {
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
		"request", x.req.ID, "fingerprint", strconv.FormatUint(x.traits.Fingerprint, 16), "route", route, "configuration", version, "entry", x.req.Entry, "team", x.req.Team, "result", result,
		"at", x.destination, "softwareVersion", x.softwareVersion, "resumes", x.req.ResumedID, "after", x.req.LastEventID, "sends", x.sends, "ran", x.possibleRuns, "took", took, "first", x.timeToFirstByte(),
		"waited", x.slotWait, "longestGap", x.longestGap, "events", x.events, "framing", x.framing, "unfinished", x.unfinishedBytes, "prompt", x.req.Demand.PromptTokens, "toRead", x.prefillTokens,
		"document", x.req.Demand.LongSharedPrefixID(), "output", x.req.Demand.MaxOutputTokens, "hint", x.req.Demand.ExpectedOutputTokens,
		"expectedFirst", x.plan.Estimate.TimeToFirstByte, "active", int(x.plan.Estimate.ActiveRequests), "backlog", x.plan.Estimate.PrefillBacklog, "reportAge", x.plan.Estimate.ReportAge,
	}
	if refusal == nil {
		r.Metrics.total.RecordDuration(took)
		r.Metrics.firstByte.RecordDuration(x.timeToFirstByte())
		r.Log.Info("request", args...)
		return
	}
	if x.cut != "" {
		r.Metrics.countCut(x.cut)
	}
	r.Log.Warn("request", append(args, "code", code, "cut", x.cut, "detail", refusal.Detail, "retryAfter", refusal.RetryAfter,
		"deadlineIn", x.deadline.Sub(r.Now()))...)
}
