package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// lossCheck is how often a waiting request looks whether its backend
	// server still answers polls.
	lossCheck = 250 * time.Millisecond
	// maxHeldBytes bounds an answer that is read whole before it is passed on.
	maxHeldBytes = 1 << 20
	// refusedFor is how long a server that refused for want of room is passed
	// over, unless there is no other.
	refusedFor = 60 * time.Millisecond
	// maxPriority is the least urgent rank that engines know.
	maxPriority = 9
)

// outcome is how one send ended.
type outcome struct {
	// delivered means that the caller has its whole answer.
	delivered bool
	// notRun means that the request did not run at this place and won't.
	notRun bool
	// arrived means that a backend server may have seen the request.
	arrived bool
	// final means that no other place may be tried.
	final  bool
	reason string
	// retryAfter is when room is expected.
	retryAfter time.Duration
}

// heldAnswer is a backend server's failure that is passed on if nothing better
// is found.
type heldAnswer struct {
	head pipeline.Head
	body []byte
}

func (h *heldAnswer) pass(w pipeline.Response) *verdict.Refusal {
	w.Start(h.head)
	if _, err := w.Write(h.body); err != nil {
		return verdict.Ambiguous(verdict.CodeCancelled, "the caller went away", 0)
	}
	return nil
}

// sendLocal sends the request to a backend server of the own region. In a
// large region a long prompt goes through the VM that gives the turns there.
func (x *run) sendLocal(ctx context.Context, plan balance.Plan) outcome {
	if plan.Estimate.Turn && x.req.Server == "" && !plan.Cold {
		if vm, address := x.Peers.Owner(plan.Server.ID, plan.Server.FailureDomain); address != "" {
			x.tried = append(x.tried, plan.Server.Key())
			x.Balancer.Sent(&x.req.Demand, plan.Server.Key(), x.Now())
			x.missing = plan.Estimate.Missing
			return x.sendVM(ctx, plan, vm, address)
		}
	}
	return x.sendServer(ctx, plan)
}

// sendServer sends the request to a backend server of the own region.
func (x *run) sendServer(ctx context.Context, plan balance.Plan) outcome {
	s, load := plan.Server, plan.Load
	x.tried = append(x.tried, s.Key())
	x.where, x.missing = s.ID, plan.Estimate.Missing
	if !x.takeTurn(ctx, &plan) {
		return outcome{notRun: true, reason: "ended before its turn"}
	}
	now := x.Now()
	// The view may have changed since the choice.
	if !x.Roster.View().MayGetWork(s) {
		return outcome{notRun: true, reason: "leaving"}
	}
	if !load.Breaker.Allow(now) {
		return outcome{notRun: true, reason: "breaker"}
	}
	if !load.Pace.Take(now, plan.Allowance, plan.Cold) {
		return outcome{notRun: true, reason: "cold"}
	}
	x.sends++
	work := load.Begin(&x.req.Demand, &plan.Estimate, now)
	defer func() { work.End(x.Now()) }()
	ctx, stop := x.watchServer(ctx, load)
	defer stop()
	exchange, err := x.ServerPool.Do(ctx, x.serverCall(plan))
	if err != nil {
		return x.sendFailed(ctx, plan, err)
	}
	x.Balancer.Sent(&x.req.Demand, s.Key(), now)
	return x.takeAnswer(ctx, plan, exchange, work)
}

// takeTurn waits for the prompt's turn to be read at its engine. It returns
// false if the request ended meanwhile.
func (x *run) takeTurn(ctx context.Context, plan *balance.Plan) bool {
	e := &plan.Estimate
	now := x.Now()
	start := plan.Load.Turn(e.Reading, e.Rest, now)
	if !e.Turn {
		return true
	}
	// The other VMs learn of the turn and of the parts that will be cached.
	x.Balancer.Sent(&x.req.Demand, plan.Server.Key(), now)
	x.UsageChanged()
	wait := min(start.Sub(now), e.Hold)
	if wait <= 0 {
		return true
	}
	x.waited += wait
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// watchServer ends the wait for a backend server that stopped answering polls,
// where the request may go elsewhere.
func (x *run) watchServer(ctx context.Context, load *balance.Load) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if !x.route.Idempotent() || x.ran+1 >= x.maxAttempts() {
		return ctx, cancel
	}
	var timer *time.Timer
	timer = time.AfterFunc(lossCheck, func() {
		if load.Lost() {
			cancel()
			return
		}
		timer.Reset(lossCheck)
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func (x *run) serverCall(plan balance.Plan) *upstream.Call {
	idle := safeIdle
	if !x.route.Idempotent() {
		idle = unsafeIdle
	}
	header := x.Protocol.Outbound(x.req, Outbound{
		Server: plan.Server.ID, Remaining: x.remaining(), Priority: min(x.route.Priority, maxPriority),
		LastEventID: x.lastEvent, WeightsVersion: x.weights,
	})
	return &upstream.Call{
		Address: plan.Server.Address, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host,
		Header: header, Body: x.req.Body, MaxIdle: idle,
		MaxOpen: x.connectionShare(plan),
		Belongs: func(h http.Header) bool { return x.Protocol.Inbound(http.StatusOK, h).RequestID == x.req.ID },
	}
}

// connectionShare returns this VM's part of the connections that a backend
// server accepts; zero means no bound. Where long prompts reach it through one
// VM, that has half of them, and the others share the rest by their capacity.
func (x *run) connectionShare(plan balance.Plan) int {
	if x.service.MaxConnections <= 0 {
		return 0
	}
	// A tenth stays free for health checks and for VMs that are not known yet.
	most := float64(x.service.MaxConnections) * 0.9
	if x.service.Engine == nil || !x.Balancer.Fleet.LargeRegion() {
		return max(leastConnections, int(most*x.Balancer.Fleet.CapacityShare()))
	}
	if _, address := x.Peers.Owner(plan.Server.ID, plan.Server.FailureDomain); address != "" {
		most *= x.Balancer.Fleet.CapacityShare()
	}
	return max(leastConnections, int(most/2))
}

// leastConnections is what a VM may open whatever its part.
const leastConnections = 4

// sendFailed explains a send without an answer.
func (x *run) sendFailed(ctx context.Context, plan balance.Plan, err error) outcome {
	unsent := errorx.IsOfType(err, upstream.ErrUnsent)
	if ctx.Err() == nil {
		plan.Load.Failed(x.Now())
		x.ServerPool.CloseIdle(plan.Server.Address)
	}
	if unsent {
		return outcome{notRun: true, reason: err.Error()}
	}
	x.ran++
	return outcome{arrived: true, reason: err.Error()}
}

// takeAnswer passes on a backend server's answer, or says why not.
func (x *run) takeAnswer(ctx context.Context, plan balance.Plan, e *upstream.Exchange, work *balance.Work) outcome {
	now := x.Now()
	in := x.Protocol.Inbound(e.StatusCode, e.Header)
	if in.WarmupRemaining > 0 {
		x.Roster.Warmup(plan.Server.ID, in.WarmupRemaining, now)
	}
	if in.NotRun {
		e.Done()
		work.Started(now)
		plan.Load.Refused(now.Add(refusedFor))
		return outcome{notRun: true, arrived: true, reason: "refused with status " + http.StatusText(e.StatusCode)}
	}
	x.ran++
	success := e.StatusCode < http.StatusMultipleChoices
	if success && !in.Signed {
		e.Abort()
		plan.Load.Failed(now)
		return outcome{arrived: true, reason: "answer without signature"}
	}
	if !success {
		return x.takeFailure(ctx, plan, e, in)
	}
	if x.weights == "" {
		x.weights = in.WeightsVersion
	}
	if x.route.Kind == ingress.Stream {
		return x.passStream(ctx, &streamSource{Exchange: e, load: plan.Load, work: work, estimate: &plan.Estimate})
	}
	return x.passWhole(ctx, plan, e, work)
}

// takeFailure holds a backend server's failure, so that a request that may be
// repeated can be tried elsewhere first.
func (x *run) takeFailure(ctx context.Context, plan balance.Plan, e *upstream.Exchange, in Inbound) outcome {
	body, err := x.readHeld(ctx, plan.Load, e)
	if err != nil {
		return outcome{arrived: true, reason: "answer broke off: " + err.Error()}
	}
	e.Done()
	plan.Load.Erred(x.Now())
	reason := "status " + http.StatusText(e.StatusCode)
	if !in.Signed {
		return outcome{arrived: true, reason: reason + " without signature"}
	}
	if promisesNotRun(e.StatusCode) && !x.route.Idempotent() {
		// Callers read these statuses as a promise that the request has not
		// run, which the server did not give.
		return outcome{arrived: true, reason: reason}
	}
	x.held = &heldAnswer{head: pipeline.Head{Status: e.StatusCode, Header: endToEnd(e.Header, len(body))}, body: body}
	// A caller's error is the same everywhere.
	return outcome{arrived: true, reason: reason, final: e.StatusCode < http.StatusInternalServerError}
}

// readHeld reads an answer of up to maxHeldBytes.
func (x *run) readHeld(ctx context.Context, load *balance.Load, e *upstream.Exchange) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(e, maxHeldBytes))
	if err != nil {
		e.Abort()
		if ctx.Err() == nil {
			load.Failed(x.Now())
		}
	}
	return body, err
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// passWhole passes on an answer that isn't a stream. An answer of up to
// maxHeldBytes is read whole first, so that one that breaks off isn't begun.
func (x *run) passWhole(ctx context.Context, plan balance.Plan, e *upstream.Exchange, work *balance.Work) outcome {
	body, err := x.readHeld(ctx, plan.Load, e)
	if err != nil {
		return outcome{arrived: true, reason: "answer broke off: " + err.Error()}
	}
	now := x.Now()
	work.Started(now)
	x.firstAt = now
	length := len(body)
	if length == maxHeldBytes {
		length = -1
	}
	x.w.Start(pipeline.Head{Status: e.StatusCode, Header: endToEnd(e.Header, length)})
	if _, err = x.w.Write(body); err == nil && length < 0 {
		_, err = io.Copy(x.w, e)
	}
	if err != nil {
		e.Abort()
		return outcome{arrived: true, final: true, reason: "answer not passed on: " + err.Error()}
	}
	e.Done()
	took := x.Now().Sub(work.Begun())
	plan.Load.Succeeded()
	x.Balancer.Finished(x.service.Name, took)
	x.Balancer.MeasurePlain(plan.Load, x.service, took, now)
	return outcome{delivered: true, arrived: true}
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns the fields of an answer that go to the caller, with the
// given length of the body if it isn't negative.
func endToEnd(h http.Header, length int) http.Header {
	out := h.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	return out
}
