// Package relay serves the requests of routed services. It chooses a backend
// server or another region, sends the request there and relays the response.
// If there is no response, the refusal states whether the request may have run.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/quarantine"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/retry"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/serverlimit"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// maxSends bounds how often one request is sent, refused sends included.
	maxSends = 5
	// defaultTimeout bounds a request whose route has no timeout.
	defaultTimeout = 30 * time.Second
	// nonIdempotentMaxIdle is the maximum idle time of a pooled connection that
	// carries a non-idempotent request. If the server closed the connection
	// meanwhile, it would be unknown whether the request ran.
	nonIdempotentMaxIdle = 800 * time.Millisecond
	// idempotentMaxIdle is the maximum idle time of a pooled connection that
	// carries an idempotent request. The pool's own limits are stricter.
	idempotentMaxIdle = time.Minute
	// maxLostUnanswered is the number of sends that broke before any response or event
	// after which a request is not sent again: it may be what crashes the servers.
	maxLostUnanswered = 2
	// minRemaining is the minimum time to the deadline for sending a request.
	minRemaining = 20 * time.Millisecond
	// retryAfterFailure is the time after which a caller may retry a failed
	// request.
	retryAfterFailure = 300 * time.Millisecond
)

// Request is a request of a routed service.
type Request struct {
	ID string
	// Hop identifies the hop by which another VM sent the request, or is "".
	Hop  string
	Host string
	// Target is the path with the query as the caller sent it, and Path the
	// path without the query.
	Method, Target, Path string
	// Header holds the fields that are forwarded to the backend server.
	Header http.Header
	Body   membudget.Segments
	Demand balance.Demand
	// LastEventID is the ID of the event after which a stream resumes, or "".
	LastEventID string
	// ResumedID is the ID of the caller's request that brought the first event of the
	// stream to be resumed, or "".
	ResumedID string
	Arrived   clock.Instant
	// Deadline is when the caller stops waiting; zero means never.
	Deadline clock.Instant
	// Entry is the VM that received the request from the caller, or "" at that
	// VM itself. A request with an entry is not sent to another region again.
	Entry string
	// OwnLinksOnly means that the request is not sent to another VM of the region
	// that reaches more backend servers.
	OwnLinksOnly bool
	// Server is the ID of the backend server that the sending VM chose, or "".
	// If set, the request may be sent to no other server.
	Server string
	// Service is the entry's choice among the route's services, or "".
	Service string
	// Origin is where the stream began that the request goes on with, as the entry
	// knows it, or nil.
	Origin *resume.Origin
	// Continues means that the entry has sent a part of the response to the caller.
	Continues bool
	// Configuration is the version of the configuration by which the entry forwarded the
	// request, or zero.
	Configuration uint64
	// Once means that the entry's configuration lets the request run once only.
	Once bool
	// AttemptsLeft is the number of backend servers that may still run the
	// request; zero means the route's maximum.
	AttemptsLeft int
	// Frames means that the VM that sent the request reads a response in frames.
	Frames bool
	// Team is the name of the team whose key the request bears, and Key the key's ID; "" and
	// zero if it needs none.
	Team string
	Key  ingress.KeyID
}

// Outbound is what the gateway adds to a request for a backend server.
type Outbound struct {
	Server      string
	Remaining   time.Duration
	Priority    int
	LastEventID string
	// WeightsVersion is the version of the weights with which the response
	// must be continued, or "".
	WeightsVersion string
}

// Inbound is the information in the head of a backend server's response.
type Inbound struct {
	RequestID string
	// NotRun means that the server guarantees that it did not run the request.
	NotRun bool
	// Signed means that the response carries the server's signature.
	Signed bool
	// WarmupRemaining is how long the server stays cold.
	WarmupRemaining time.Duration
	// WeightsVersion is the version of the weights that the server uses.
	WeightsVersion string
	// Leaving means that the server announces that it leaves.
	Leaving bool
	// RetryAfter is how long the server asks this VM to send no requests, in
	// seconds as the server sent it, or "".
	RetryAfter string
	// RequestLimit is what the response says of the server's request limit.
	RequestLimit serverlimit.Statement
	// FallsAt is what the response says of the number of refusals in a second at which
	// the servers of the service fall over.
	FallsAt serverlimit.Statement
}

// Protocol translates between requests and their form on the wire between the
// gateway and backend servers.
type Protocol interface {
	// Accept reads a caller's request without its body. It returns an error if
	// the request is malformed.
	Accept(r *http.Request, now clock.Instant) (*Request, error)
	// Outbound returns the header of a request to a backend server.
	Outbound(req *Request, o Outbound) http.Header
	// Inbound reads the head of a backend server's response.
	Inbound(status int, h http.Header) Inbound
	// Demand returns the token counts and prefix blocks in a request header.
	Demand(h http.Header) balance.Demand
	// Key returns the key in a caller's request header, or "" if it has none or several.
	Key(h http.Header) string
	// SetTeam removes the key from a request header and sets the name of the team, or
	// removes it if it is "".
	SetTeam(h http.Header, team string)
}

// Peers selects the VMs to which requests are sent.
type Peers interface {
	// PickMember returns another VM of a region that accepts requests and reaches
	// backend servers of the service, and its address, or "" if there is none.
	// Requests are spread over some of the VMs by key, the request ID.
	PickMember(region, service, key string) (vm, address string)
	// Avoid keeps the hops of a service from a VM for a moment.
	Avoid(vm, service string)
	// PrefillCoordinator returns the prefill coordinator of a backend server in
	// the failure domain: the VM of this region that assigns the prefill slots
	// there. The address is "" if that is this VM or if the region uses no
	// coordinators.
	PrefillCoordinator(server, failureDomain string) (vm, address string)
	// ActiveVMs returns the number of VMs that may be active, this one included.
	ActiveVMs() int
	// KnowsFleet reports whether this VM has had the time to learn of the others, and
	// they of it.
	KnowsFleet() bool
}

// Config is the configuration of a Relay.
type Config struct {
	VM       string
	Region   string
	Table    func() *ingress.Table
	Roster   *roster.Roster
	Balancer *balance.Balancer
	Peers    Peers
	Protocol Protocol
	// Quarantine holds the requests and prompt blocks that are refused.
	Quarantine *quarantine.Tracker
	// Streams keeps where streams began.
	Streams *resume.Tracker
	// Knowledge is how recent the configuration is. It is used only if that has teams.
	Knowledge Knowledge
	// TeamLimits bounds what teams use; nil means no bound.
	TeamLimits TeamLimits
	// ServerPool holds the connections to backend servers, and GatewayPool
	// those to other VMs.
	ServerPool  *upstream.Pool
	GatewayPool *upstream.Pool
	Now         clock.Clock
	Log         *slog.Logger
	Metrics     *Metrics
	// Memory bounds what the bodies of requests and the buffered parts of responses hold
	// together; nil means no bound.
	Memory *membudget.Budget
	// BodyTimeout bounds how long a caller may take to send the body of a request; zero means
	// the default.
	BodyTimeout time.Duration
	// UsageChanged is called when this VM's use of a backend server has changed
	// so much that the other VMs should be informed at once.
	UsageChanged func()
	// RequestLimits keeps the request limits that backend servers name.
	RequestLimits *serverlimit.Tracker
	// Brittle keeps at how many refusals in a second the servers of services fall over.
	Brittle *serverlimit.Tracker
	// ServerLeaves is called when an incarnation of a backend server announces that
	// it leaves.
	ServerLeaves func(roster.ServerKey)
	// ServerLost is called when no process listens at the address of a backend server.
	ServerLost func(s *roster.Server)
	// LinkFailed is called when the connection to a backend server could not be opened,
	// or broke before a response, so that the link is checked.
	LinkFailed func(s *roster.Server)
	// IsRunning reports whether the process of a server's incarnation still runs. One that
	// can't be reached counts as not running.
	IsRunning func(ctx context.Context, s *roster.Server) bool
	// Leaving reports whether this VM is shutting down, and Refusing whether
	// it no longer accepts requests.
	Leaving  func() bool
	Refusing func() bool
	// ExitAt returns the time at which this process ends the requests that have no
	// response yet, or zero while it doesn't shut down. A request whose deadline is later
	// is refused, one of a caller only once Lingering reports false.
	ExitAt func() clock.Instant
	// Lingering reports whether this VM, which shuts down, still takes callers' requests
	// of any deadline, as callers may not have learned of the shutdown.
	Lingering func() bool
	// RetrySlack is the number of retries beyond the share of requests that a
	// service tolerates from the whole fleet in each RetryWindow.
	RetrySlack  float64
	RetryWindow time.Duration
}

// Relay serves requests.
type Relay struct {
	Config
	// roomWaiters is the number of requests that wait for room at a server.
	roomWaiters atomic.Int32
	budgets     serviceBudgets
	admission   admissionGates
	started     clock.Instant
	// hopCount is the number of hops that were sent, and accepted holds those of other
	// VMs that are being served.
	hopCount        atomic.Uint64
	accepted        acceptedHops
	inFlight        inFlight
	cancelsInFlight atomic.Int32
}

// New returns a Relay with the given configuration.
func New(config Config) *Relay {
	return &Relay{Config: config, budgets: serviceBudgets{slack: config.RetrySlack, window: config.RetryWindow}, started: config.Now()}
}

// transaction is the state of one request while it is served.
type transaction struct {
	*Relay
	req   *Request
	table *ingress.Table
	route *ingress.Route
	// team is the team of the request, or nil, and units what was taken from its limit.
	team     *ingress.Team
	units    int64
	service  *ingress.Service
	w        pipeline.Response
	budget   *retry.Window
	deadline clock.Instant
	// traits are the fingerprint of the request and the shared blocks of its prompt.
	traits quarantine.Traits

	// possibleRuns is the number of backend servers at which the request may
	// have run, and sends the number of times it was sent.
	possibleRuns, sends int
	// arrived means that a backend server may have received the request, also one that
	// refused it.
	arrived      bool
	triedServers []roster.ServerKey
	triedRegions []string
	// lastEventID is the ID of the last event that the caller received, and
	// events the number of relayed events that have an ID.
	lastEventID    string
	events         int
	weightsVersion string
	// relayedUnnumbered means that the caller received an event without an ID, so that it
	// is unknown what would have to follow.
	relayedUnnumbered bool
	// origin is where the stream began, or nil. It goes on nowhere else.
	origin   *resume.Origin
	fallback *fallbackResponse
	// fallbackMemory is what the fallback response holds.
	fallbackMemory *membudget.Account
	firstByteAt    clock.Instant
	// answeredAt is when the first event of the last send arrived; zero before.
	// Survived means that the send's survival was recorded.
	answeredAt clock.Instant
	survived   bool
	// lostUnanswered is the number of sends that broke before any response or event.
	lostUnanswered int
	// longestGap is the longest time between two events so far.
	longestGap time.Duration
	// framing is how the end of the last stream was marked, and unfinishedBytes
	// the number of bytes after its last complete event. The framing is "" if no
	// stream was read to its end.
	framing         upstream.Framing
	unfinishedBytes int
	// hopsWithoutServer is the number of hops that were refused for lack of a server.
	hopsWithoutServer int
	// roomWait is the time spent waiting for room at a server that falls over for refusals.
	roomWait time.Duration
	// pass is the permission to be sent to a server, or nil, and admissionHeld for how long
	// the request waited for those before it.
	pass          *pass
	admissionHeld time.Duration
	// admissionRefusal is the refusal of a request that waits no longer for servers of this
	// region, or nil.
	admissionRefusal *verdict.Refusal
	// slotWait is the time spent waiting for prefill slots.
	slotWait time.Duration
	// prefillTokens is the number of prompt tokens that the last backend server
	// chosen by this VM was expected to prefill.
	prefillTokens int
	// plan is the last plan, and plannedAt when it was made.
	plan        balance.Plan
	plannedAt   clock.Instant
	lastOutcome *outcome
	// destination is the backend server or VM of the last send, and softwareVersion the
	// version of that server's software, or "" for a VM.
	destination, softwareVersion string
	// connection is this side's address of the connection to the backend server that
	// answered the last send, or "".
	connection string
	// sentToVM means that the last send was to another VM.
	sentToVM bool
	// patience ends a stream whose caller has left for want of an event.
	patience patience
	// cut is why the response was cut, or "".
	cut cutReason
	// begun means that the response has begun, and ended that the request was ended because
	// this VM shuts down. inFlight guards both.
	begun, ended bool
}

// Handle serves a request. If it returns a refusal after the response has
// started, the response is incomplete.
func (r *Relay) Handle(ctx context.Context, req *Request, w pipeline.Response) *verdict.Refusal {
	x, refusal := r.newTransaction(req, w)
	if refusal == nil {
		refusal = x.run(ctx, func(ctx context.Context) *verdict.Refusal {
			if refusal := x.takeUp(ctx); refusal != nil {
				return refusal
			}
			if refusal := x.takeUnits(ctx); refusal != nil {
				return refusal
			}
			return x.serve(ctx)
		})
		x.returnUnits(refusal)
	}
	if refusal != nil && x.origin != nil {
		r.Streams.BrokeOff(req.ID)
	}
	r.recordResult(x, refusal)
	return refusal
}

// run calls serve with a context that ends at the request's deadline, or when this VM shuts
// down. After a panic, too, the request is no longer in flight.
func (x *transaction) run(ctx context.Context, serve func(context.Context) *verdict.Refusal) *verdict.Refusal {
	defer func() { x.fallbackMemory.Close() }()
	ctx, end := x.inFlight.begin(ctx, x)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, max(0, x.deadline.Sub(x.Now())))
	defer cancel()
	ctx, stop := x.patience.watch(ctx, x.route, x.waitingSince(), x.marginOfPatience())
	defer stop()
	refusal := serve(ctx)
	x.cut = x.cutReason(ctx, refusal)
	return refusal
}

// newTransaction determines the route, service, deadline and retry budget of
// the request.
func (r *Relay) newTransaction(req *Request, w pipeline.Response) (*transaction, *verdict.Refusal) {
	x := &transaction{Relay: r, req: req, w: w, table: r.Table(), lastEventID: req.LastEventID, origin: req.Origin, patience: patience{now: r.Now}}
	if x.table == nil {
		return x, verdict.Busy(verdict.CodeNoConfiguration, "no configuration is known yet", retryAfterFailure)
	}
	x.route = x.table.Match(req.Host, req.Path)
	if x.route == nil {
		return x, verdict.Refuse(http.StatusNotFound, verdict.CodeUnknownService, "no route has this host and path")
	}
	if refusal := x.identify(); refusal != nil {
		return x, refusal
	}
	x.traits = req.traits()
	name := req.Service
	if !slices.ContainsFunc(x.route.TrafficSplit, func(s ingress.WeightedService) bool { return s.Service == name }) {
		name = x.route.PickService(rand.Float64())
	}
	x.setService(name)
	if x.table.HasLimits() {
		r.Balancer.RecordOutput(x.route, &req.Demand)
	}
	x.deadline = req.Arrived.Add(timeoutOf(x.route))
	if req.Deadline != 0 {
		x.deadline = min(x.deadline, req.Deadline)
	}
	if end := r.ExitAt(); end != 0 && x.deadline > end && (req.Entry != "" || !r.Lingering()) {
		return x, verdict.Busy(verdict.CodeShuttingDown, "this VM ends before the request's deadline", retryAfterFailure)
	}
	if req.Entry == "" {
		x.budget.RecordRequest(retryShare, r.Now())
	}
	return x, nil
}

// timeoutOf returns how long a request of the route may take.
func timeoutOf(route *ingress.Route) time.Duration {
	if route.Timeout <= 0 {
		return defaultTimeout
	}
	return route.Timeout
}

// setService sets the service that serves the request.
func (x *transaction) setService(name string) {
	x.service = x.table.Services[name]
	if x.service == nil {
		x.service = &ingress.Service{Name: name}
	}
	x.budget = x.budgets.forService(name, x.slackShare())
}

// slackShare returns this VM's fraction of the fleet's retry slack. It has none as long
// as it doesn't know the fleet.
func (r *Relay) slackShare() float64 {
	if !r.Peers.KnowsFleet() {
		return 0
	}
	fraction := slackFraction
	if r.Now().Sub(r.started) < r.RetryWindow {
		// The process before this one may have used its share in the same window.
		fraction = 1 - slackFraction
	}
	return fraction / float64(max(1, r.Peers.ActiveVMs()))
}

// remaining returns the time to the deadline.
func (x *transaction) remaining() time.Duration { return x.deadline.Sub(x.Now()) }

// maxAttempts returns the number of backend servers that may run the request.
func (x *transaction) maxAttempts() int {
	limit := max(1, x.route.MaxAttempts)
	if x.req.AttemptsLeft > 0 {
		limit = min(limit, x.req.AttemptsLeft)
	}
	return limit
}

// attemptsLeft returns the number of backend servers that may still run the request.
func (x *transaction) attemptsLeft() int {
	left := x.maxAttempts() - x.possibleRuns
	if x.lostUnanswered > 0 {
		left = min(left, maxLostUnanswered-x.lostUnanswered)
	}
	return left
}

// mayRepeat reports whether the request may run more than once: by the configuration by which
// it is served, by that of its entry, and by the newest that this VM knows.
func (x *transaction) mayRepeat() bool {
	if x.req.Once || !x.route.Idempotent() {
		return false
	}
	newest := x.Table()
	if newest == nil || newest == x.table {
		return true
	}
	route := newest.Match(x.req.Host, x.req.Path)
	return route == nil || route.Idempotent()
}

// serve tries backend servers and regions until the request is answered or may
// not be retried.
func (x *transaction) serve(ctx context.Context) *verdict.Refusal {
	defer x.endAdmission(false)
	for {
		if ctx.Err() != nil {
			return x.contextRefusal(ctx)
		}
		if refusal := x.quarantineRefusal(ctx); refusal != nil {
			return refusal
		}
		if refusal := x.authorizationRefusal(ctx); refusal != nil {
			return refusal
		}
		plan := x.choosePlan()
		x.plan, x.plannedAt = plan, x.Now()
		if plan.Reason == balance.ReasonNoRoom && x.waitForRoom(ctx) {
			continue
		}
		if held, refusal := x.awaitAdmission(ctx, &plan); refusal != nil {
			return refusal
		} else if held {
			continue
		}
		var out outcome
		switch {
		case plan.Server == nil && plan.Region == "":
			return x.noPlanRefusal(ctx, plan)
		case plan.Server != nil:
			out = x.sendLocal(ctx, plan)
		default:
			out = x.sendToRegion(ctx, plan)
		}
		x.lastOutcome = &out
		x.arrived = x.arrived || out.mayHaveArrived
		x.recordSend(plan, &out)
		x.recordAdmissionOutcome(&plan, &out)
		if out.delivered {
			return nil
		}
		if ctx.Err() != nil {
			return x.contextRefusal(ctx)
		}
		if !x.mayRetry(&out) {
			return x.failureRefusal(ctx, &out)
		}
	}
}

const (
	// roomCheckInterval is the time between two looks for room at a server.
	roomCheckInterval = 5 * time.Millisecond
	// maxRoomWaitShare is the longest wait for room, as a fraction of the latency
	// objective.
	maxRoomWaitShare = 0.25
	// maxRoomWaiters is the number of requests of this VM that may wait for room. A
	// longer queue would not move on in time.
	maxRoomWaiters = 32
)

// waitForRoom waits a moment for room at a server, and reports whether the request may look
// again. One that has waited for too long, or behind too many others, is refused.
func (x *transaction) waitForRoom(ctx context.Context) bool {
	limit := time.Duration(maxRoomWaitShare * float64(x.route.LatencyObjective))
	defer x.roomWaiters.Add(-1)
	if x.roomWaiters.Add(1) > maxRoomWaiters || x.roomWait+roomCheckInterval > limit {
		return false
	}
	x.roomWait += roomCheckInterval
	background.Sleep(ctx, roomCheckInterval)
	return ctx.Err() == nil
}

// quarantineRefusal returns the refusal of a request that is quarantined, or whose
// prompt has a quarantined block, or nil.
func (x *transaction) quarantineRefusal(ctx context.Context) *verdict.Refusal {
	_, remaining, found := x.Quarantine.Find(x.traits, x.Now())
	switch {
	case !found:
		return nil
	case x.possibleRuns > 0 && x.lastOutcome != nil:
		return x.failureRefusal(ctx, x.lastOutcome)
	default:
		return verdict.Busy(verdict.CodeQuarantined, "backend servers crash on this request or on a block of its prompt", remaining)
	}
}

// query returns the query for the next send of the request.
func (x *transaction) query() balance.Query {
	q := balance.Query{
		Now: x.Now(), Route: x.route, Team: x.team, Service: x.service, Demand: &x.req.Demand,
		Bytes: x.req.Body.Len(), Remaining: x.remaining(),
		Tried: x.triedServers, TriedRegions: x.triedRegions, LocalOnly: x.req.Entry != "", OwnLinksOnly: x.req.OwnLinksOnly, Random: rand.Uint64(),
	}
	if x.origin != nil {
		q.SoftwareVersion = &x.origin.SoftwareVersion
	}
	return q
}

// choosePlan chooses the backend server or region for the next send.
func (x *transaction) choosePlan() balance.Plan {
	next := x.query()
	q, remaining := &next, next.Remaining
	if remaining < minRemaining || x.patience.isOver() {
		return balance.Plan{Reason: "deadline"}
	}
	// Where teams share the servers by limits, what can't be served in time is not sent: it would
	// take the time of others' requests.
	bounded := x.table.HasLimits() && !x.arrived && x.origin == nil
	if bounded {
		q.MaxTokenMs = x.Balancer.MaxTokenMs(x.route, x.service, x.table.RoutesTo(x.service.Name))
	}
	var plan balance.Plan
	if x.req.Server != "" {
		plan = x.Balancer.ChooseServer(q, x.Roster.View(), x.req.Server)
	} else {
		plan = x.Balancer.Choose(q, x.Roster.View())
	}
	// A request that can't start in time is refused at once. One that a server may
	// have received is retried regardless, as its caller may have received a part of
	// the response.
	maxWait := remaining
	if x.route.AbandonAfter > 0 {
		maxWait = min(maxWait, x.route.AbandonAfter-x.Now().Sub(x.req.Arrived))
	}
	if x.arrived || plan.Server == nil && plan.Region == "" {
		return plan
	}
	first := x.Balancer.CalibratedFirstByte(x.route.Name, &plan, x.Now())
	if bounded {
		maxWait = balance.MaxQueueWait(x.route, x.Now().Sub(x.req.Arrived), maxWait)
		first -= plan.Estimate.PrefillTime
	}
	if x.origin != nil {
		// The caller has a part of the response already, and only some of the servers
		// may go on with it. The wait of other requests says little about them.
		first, maxWait = plan.Estimate.TimeToFirstByte, remaining
	}
	if first > maxWait {
		return balance.Plan{Reason: "too-late", RetryAfter: first - maxWait, Estimate: plan.Estimate}
	}
	return plan
}

// recordFirstByte records the first byte of the response.
func (x *transaction) recordFirstByte(now clock.Instant) {
	if x.firstByteAt == 0 {
		x.firstByteAt = now
		x.Balancer.RecordFirstByte(x.route.Name, &x.plan, now.Sub(x.plannedAt), now)
	}
}

// recordWait records how long the request waited for a first byte that it didn't
// get, if that is longer than expected.
func (x *transaction) recordWait() {
	if waited := x.Now().Sub(x.plannedAt); x.plannedAt != 0 && x.firstByteAt == 0 && waited > x.plan.Estimate.TimeToFirstByte {
		x.Balancer.RecordFirstByte(x.route.Name, &x.plan, waited, x.Now())
	}
}

// mayRetry reports whether the request may be sent again after the outcome. If
// so, and if a backend server may have received the request, it takes a retry
// from the budget.
func (x *transaction) mayRetry(out *outcome) bool {
	if x.sends >= maxSends || out.final || x.patience.isOver() || x.continues() && !x.mayGoOn() {
		return false
	}
	if !out.notRun {
		if !x.mayRepeat() || x.attemptsLeft() <= 0 {
			return false
		}
	}
	// Sending again costs no retry if no backend server received the request.
	return !out.mayHaveArrived || out.retryGranted || x.budget.Allow(x.Now())
}

// noPlanRefusal returns the refusal of a request for which there is no backend
// server or region.
func (x *transaction) noPlanRefusal(ctx context.Context, plan balance.Plan) *verdict.Refusal {
	if x.lastOutcome != nil {
		return x.failureRefusal(ctx, x.lastOutcome)
	}
	if plan.Reason == "deadline" {
		return verdict.Busy(verdict.CodeDeadline, "the deadline is too near", 0)
	}
	code := verdict.CodeNoBackend
	if plan.Reason == "too-late" || plan.Reason == balance.ReasonSlow {
		code = verdict.CodeOverloaded
	}
	after := jitter(plan.RetryAfter)
	if plan.Postponed() {
		after = afterPause(plan.RetryAfter)
	}
	return verdict.Busy(code, "no backend server can begin in time: "+plan.Reason, after)
}

// afterPause returns the retry time of a caller whose request needs a backend
// server that wants no requests for d: a little later than that, so that the callers
// don't return together.
func afterPause(d time.Duration) time.Duration { return d + jitter(d)/4 }

// jitter returns a random duration between 0.8 and 1.4 times d, so that callers
// that were refused together don't retry together.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(float64(d) * (0.8 + 0.6*rand.Float64()))
}

// failureRefusal returns the refusal of a request that is not retried after its
// last outcome. It returns nil if the fallback response was relayed instead.
func (x *transaction) failureRefusal(ctx context.Context, out *outcome) *verdict.Refusal {
	switch {
	case x.w.Started():
		return verdict.Ambiguous(verdict.CodeAnswerCut, "the answer broke off", retryAfterFailure)
	case x.fallback != nil:
		return x.relayFallback()
	case x.possibleRuns == 0 && out.notRun:
		after := jitter(out.retryAfter)
		if out.pause > 0 {
			after = afterPause(out.pause)
		}
		if after <= 0 {
			after = jitter(retryAfterFailure)
		}
		return verdict.Busy(verdict.CodeOverloaded, "backend servers refused: "+out.reason, after)
	default:
		return verdict.Ambiguous(verdict.CodeBackendFailed, "the backend server failed: "+out.reason, retryAfterFailure)
	}
}

// contextRefusal returns the refusal of a request whose context has ended. It
// returns nil if the fallback response was relayed instead.
func (x *transaction) contextRefusal(ctx context.Context) *verdict.Refusal {
	x.recordWait()
	if endedByStop(ctx) {
		return x.stopRefusal()
	}
	if endedWithoutEvent(ctx) {
		return x.noEventRefusal()
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Ambiguous(verdict.CodeCancelled, "the caller went away", 0)
	}
	if x.w.Started() {
		return verdict.Ambiguous(verdict.CodeAnswerCut, "the answer did not end in time", 0)
	}
	if x.fallback != nil {
		return x.relayFallback()
	}
	if x.possibleRuns == 0 {
		return verdict.Busy(verdict.CodeDeadline, "no backend server took the request in time", retryAfterFailure)
	}
	refusal := verdict.Ambiguous(verdict.CodeDeadline, "the answer did not come in time", retryAfterFailure)
	refusal.Status = http.StatusGatewayTimeout
	return refusal
}
