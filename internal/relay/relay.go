// Package relay serves the requests of routed services: it chooses a backend
// server or another region, sends the request, passes the answer on and says
// of a request without an answer whether it may have run.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/retry"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 5
	// defaultTimeout bounds a request whose route states no timeout.
	defaultTimeout = 30 * time.Second
	// unsafeIdle is how long a kept connection may have been idle to carry a
	// request that must not be repeated. A connection that the server has
	// closed meanwhile would leave open whether the request ran.
	unsafeIdle = 800 * time.Millisecond
	// safeIdle is the same for a request that may be repeated; the pool's own
	// bounds are stricter.
	safeIdle = time.Minute
	// minOffer is the least time to the deadline with which a request is
	// still sent.
	minOffer = 20 * time.Millisecond
	// retryAfterFailure is when a caller may repeat what failed.
	retryAfterFailure = 300 * time.Millisecond
)

// Request is a request of a routed service.
type Request struct {
	ID   string
	Host string
	// Target is the path with the query as the caller sent it, and Path the
	// part before the query.
	Method, Target, Path string
	// Header holds the fields that go to the backend server.
	Header http.Header
	Body   []byte
	Demand balance.Demand
	// LastEventID is the id after which a stream goes on, or "".
	LastEventID string
	Arrived     clock.Instant
	// Deadline is when the caller stops waiting; zero means never.
	Deadline clock.Instant
	// Entry is the VM that took the request from the caller. It is "" at that
	// VM itself: a request that bears an entry never leaves the region again.
	Entry string
	// Server is the backend server that the sender chose, or "". A request that
	// bears one goes nowhere else.
	Server string
	// Service is the entry's choice among the route's services, or "".
	Service string
	// AttemptsLeft is how many backend servers may still run the request; zero
	// means as many as the route says.
	AttemptsLeft int
}

// Outbound is what the gateway adds to a request for a backend server.
type Outbound struct {
	Server      string
	Remaining   time.Duration
	Priority    int
	LastEventID string
	// WeightsVersion is the version of the weights that the answer must go on with,
	// or "".
	WeightsVersion string
}

// Inbound is what the head of a backend server's answer says.
type Inbound struct {
	RequestID string
	// NotRun is the server's promise that it did not run the request.
	NotRun bool
	// Signed means that the answer bears the server's signature.
	Signed bool
	// WarmupRemaining is how long the server stays cold.
	WarmupRemaining time.Duration
	// WeightsVersion is the version of the weights.
	WeightsVersion string
}

// Protocol translates between requests and the form that backend servers
// speak.
type Protocol interface {
	// Accept reads a caller's request, without its body. An error means that
	// the request is malformed.
	Accept(r *http.Request, now clock.Instant) (*Request, error)
	Outbound(req *Request, o Outbound) http.Header
	Inbound(status int, h http.Header) Inbound
	Demand(h http.Header) balance.Demand
}

// Peers picks the VM of a region that takes a request.
type Peers interface {
	// Member returns the address of a reachable VM of the region, or "". The
	// key, a request's id, spreads requests over the VMs.
	Member(region, key string) (vm, address string)
	// Owner returns the VM of the own region that gives prompts their turns at
	// a backend server in a failure domain; the address is "" where this VM
	// does.
	Owner(server, failureDomain string) (vm, address string)
	// Count returns the number of VMs that are alive, this one included.
	Count() int
}

// Config holds what a Relay needs.
type Config struct {
	VM       string
	Region   string
	Table    func() *ingress.Table
	Roster   *roster.Roster
	Balancer *balance.Balancer
	Peers    Peers
	Protocol Protocol
	// ServerPool and Gateways are the connections to backend servers and to
	// other VMs.
	ServerPool  *upstream.Pool
	GatewayPool *upstream.Pool
	Now         clock.Clock
	Log         *slog.Logger
	Metrics     *Metrics
	// UsageChanged is told that the own use of a backend server has changed much.
	UsageChanged func()
	// Leaving reports whether this VM is shutting down, and Refusing whether
	// it no longer takes requests.
	Leaving  func() bool
	Refusing func() bool
	// ExitAt returns when this process ends, or zero. A request that may take
	// longer is refused.
	ExitAt func() clock.Instant
	// RetrySlack is how many repeats a service tolerates of the whole fleet
	// beyond the share, in each window.
	RetrySlack  float64
	RetryWindow time.Duration
}

// Relay serves requests.
type Relay struct {
	Config
	budgets budgets
}

// New returns a relay.
func New(config Config) *Relay {
	return &Relay{Config: config, budgets: budgets{slack: config.RetrySlack, span: config.RetryWindow}}
}

// run is one request on its way.
type run struct {
	*Relay
	req     *Request
	table   *ingress.Table
	route   *ingress.Route
	service *ingress.Service
	w       pipeline.Response
	budget  *retry.Window
	until   clock.Instant

	// ran counts the backend servers at which the request may have run, and
	// sends those to which it was sent.
	ran, sends   int
	tried        []roster.ServerKey
	triedRegions []string
	// lastEvent is the id of the last event that was passed on, and events
	// their number.
	lastEvent string
	events    int
	weights   string
	held      *heldAnswer
	firstAt   clock.Instant
	// longestGap is the longest pause between events so far, and missing the
	// prompt tokens that were expected to be read at the last place.
	longestGap time.Duration
	// waited is the time spent waiting for a turn.
	waited  time.Duration
	missing int
	// expected is what the last choice was based on.
	expected balance.Estimate
	last     *outcome
	where    string
}

// Handle serves a request. A refusal after the answer has begun means that it
// is cut.
func (r *Relay) Handle(ctx context.Context, req *Request, w pipeline.Response) *verdict.Refusal {
	x, refusal := r.begin(req, w)
	if refusal == nil {
		ctx, cancel := context.WithTimeout(ctx, max(0, x.until.Sub(r.Now())))
		refusal = x.serve(ctx)
		cancel()
	}
	r.finish(x, refusal)
	return refusal
}

// begin finds the route and the bounds of the request.
func (r *Relay) begin(req *Request, w pipeline.Response) (*run, *verdict.Refusal) {
	x := &run{Relay: r, req: req, w: w, table: r.Table(), lastEvent: req.LastEventID}
	if x.table == nil {
		return x, verdict.Busy(verdict.CodeUnknownConfigured, "no configuration is known yet", retryAfterFailure)
	}
	x.route = x.table.Match(req.Host, req.Path)
	if x.route == nil {
		return x, verdict.Refuse(http.StatusNotFound, verdict.CodeUnknownService, "no route has this host and path")
	}
	name := req.Service
	if !slices.ContainsFunc(x.route.Shares, func(s ingress.Share) bool { return s.Service == name }) {
		name = x.route.ServiceFor(rand.Float64())
	}
	x.service = x.table.Services[name]
	if x.service == nil {
		x.service = &ingress.Service{Name: name}
	}
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.until = req.Arrived.Add(timeout)
	if req.Deadline != 0 {
		x.until = min(x.until, req.Deadline)
	}
	if end := r.ExitAt(); end != 0 && req.Entry == "" && x.until > end {
		return x, verdict.Busy(verdict.CodeShuttingDown, "this VM ends before the request's deadline", retryAfterFailure)
	}
	x.budget = r.budgets.of(name, r.Peers.Count())
	if req.Entry == "" {
		x.budget.RecordRequest(retryShare, r.Now())
	}
	return x, nil
}

func (x *run) remaining() time.Duration { return x.until.Sub(x.Now()) }

func (x *run) maxAttempts() int {
	most := max(1, x.route.MaxAttempts)
	if x.req.AttemptsLeft > 0 {
		most = min(most, x.req.AttemptsLeft)
	}
	return most
}

// serve tries backend servers and regions until the request is answered or
// must not be sent again.
func (x *run) serve(ctx context.Context) *verdict.Refusal {
	for {
		if ctx.Err() != nil {
			return x.ended(ctx)
		}
		plan := x.choose()
		x.expected = plan.Estimate
		var out outcome
		switch {
		case plan.Server == nil && plan.Region == "":
			return x.nowhere(ctx, plan)
		case plan.Server != nil:
			out = x.sendLocal(ctx, plan)
		default:
			out = x.sendRegion(ctx, plan)
		}
		x.last = &out
		x.logAttempt(plan, &out)
		if out.delivered {
			return nil
		}
		if ctx.Err() != nil {
			return x.ended(ctx)
		}
		if !x.mayRepeat(&out) {
			return x.failed(ctx, &out)
		}
	}
}

func (x *run) choose() balance.Plan {
	left := x.remaining()
	q := &balance.Query{
		Now: x.Now(), Route: x.route, Service: x.service, Demand: &x.req.Demand,
		Bytes: len(x.req.Body), Remaining: left,
		Tried: x.tried, TriedRegions: x.triedRegions, LocalOnly: x.req.Entry != "", Random: rand.Uint64(),
	}
	if left < minOffer {
		return balance.Plan{Reason: "deadline"}
	}
	var plan balance.Plan
	if x.req.Server != "" {
		plan = x.Balancer.ChooseServer(q, x.Roster.View(), x.req.Server)
	} else {
		plan = x.Balancer.Choose(q, x.Roster.View())
	}
	// A request that can't begin in time is refused at once. One that has
	// begun goes on, as its caller holds a part of the answer.
	patience := left
	if x.route.Patience > 0 {
		patience = min(patience, x.route.Patience-x.Now().Sub(x.req.Arrived))
	}
	if x.sends == 0 && (plan.Server != nil || plan.Region != "") && plan.Estimate.First > patience {
		return balance.Plan{Reason: "too-late", RetryAfter: plan.Estimate.First - patience, Estimate: plan.Estimate}
	}
	return plan
}

// mayRepeat reports whether the request may be sent again after the outcome.
func (x *run) mayRepeat(out *outcome) bool {
	if x.sends >= maxSends || out.final {
		return false
	}
	if !out.notRun {
		if !x.route.Idempotent() || x.ran >= x.maxAttempts() {
			return false
		}
	}
	// A send that reached no backend server costs nothing of the budget.
	return !out.arrived || x.budget.Allow(x.Now())
}

// nowhere ends a request for which there is no place.
func (x *run) nowhere(ctx context.Context, plan balance.Plan) *verdict.Refusal {
	if x.last != nil {
		return x.failed(ctx, x.last)
	}
	if plan.Reason == "deadline" {
		return verdict.Busy(verdict.CodeDeadline, "the deadline is too near", 0)
	}
	code := verdict.CodeNoBackend
	if plan.Reason == "too-late" {
		code = verdict.CodeOverloaded
	}
	return verdict.Busy(code, "no backend server can begin in time: "+plan.Reason, spread(plan.RetryAfter))
}

// spread varies a time for a new try, so that callers that were refused
// together don't return together.
func spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(float64(d) * (0.8 + 0.6*rand.Float64()))
}

// failed ends a request after its last outcome.
func (x *run) failed(ctx context.Context, out *outcome) *verdict.Refusal {
	switch {
	case x.w.Started():
		return verdict.Ambiguous(verdict.CodeAnswerCut, "the answer broke off", retryAfterFailure)
	case x.held != nil:
		return x.held.pass(x.w)
	case x.ran == 0 && out.notRun:
		after := out.retryAfter
		if after <= 0 {
			after = retryAfterFailure
		}
		return verdict.Busy(verdict.CodeOverloaded, "backend servers refused: "+out.reason, spread(after))
	default:
		return verdict.Ambiguous(verdict.CodeBackendFailed, "the backend server failed: "+out.reason, retryAfterFailure)
	}
}

// ended explains a request whose context has ended.
func (x *run) ended(ctx context.Context) *verdict.Refusal {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Ambiguous(verdict.CodeCancelled, "the caller went away", 0)
	}
	if x.w.Started() {
		return verdict.Ambiguous(verdict.CodeAnswerCut, "the answer did not end in time", 0)
	}
	if x.held != nil {
		return x.held.pass(x.w)
	}
	if x.ran == 0 {
		return verdict.Busy(verdict.CodeDeadline, "no backend server took the request in time", retryAfterFailure)
	}
	refusal := verdict.Ambiguous(verdict.CodeDeadline, "the answer did not come in time", retryAfterFailure)
	refusal.Status = http.StatusGatewayTimeout
	return refusal
}
