package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/serverlimit"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// maxBufferedBytes bounds the part of a response that is buffered before
	// it is relayed. Servers in trouble may send bytes without end to many
	// requests at once.
	maxBufferedBytes = 128 << 10
	// fullBackoff is how long a server that refused a request for lack of
	// capacity, or to which this VM may open no more connections, counts as full.
	// It is then used only if the others score worse.
	fullBackoff = 60 * time.Millisecond
	// maxRetryAfter bounds the retry time that a backend server may state. The pause
	// that follows from it has a lower bound of its own.
	maxRetryAfter = time.Hour
	// maxPriority is the highest priority number that engines accept, which is
	// the least urgent one.
	maxPriority = 9
)

// outcome is the result of one send.
type outcome struct {
	// delivered means that the caller received the complete response.
	delivered bool
	// notRun means that the request did not run at the destination and won't.
	notRun bool
	// mayHaveArrived means that a backend server may have received the request.
	mayHaveArrived bool
	// final means that the request may not be sent again.
	final  bool
	reason string
	// answered means that the server answered the request with a failure.
	answered bool
	// broke means that the connection to a backend server ended before the response
	// was complete.
	broke bool
	// failedAtServer means that the request reached a server through another VM and
	// failed there.
	failedAtServer bool
	// refused means that no process listens at the server's address.
	refused bool
	// otherVM means that another VM refused for a reason of its own: its configuration is
	// older, or it shuts down.
	otherVM bool
	// retryAfter is the time after which capacity is expected.
	retryAfter time.Duration
	// pause is for how long the backend server wants no more requests of this VM.
	pause time.Duration
	// retryGranted means that the retry was already taken from the budget.
	retryGranted bool
}

// fallbackResponse is a backend server's failure response. It is relayed if no
// other backend server or region serves the request.
type fallbackResponse struct {
	head pipeline.Head
	body []byte
}

// writeTo relays the response to the caller.
func (f *fallbackResponse) writeTo(w pipeline.Response) *verdict.Refusal {
	w.Start(f.head)
	if _, err := w.Write(f.body); err != nil {
		return verdict.Ambiguous(verdict.CodeCancelled, "the caller went away", 0)
	}
	return nil
}

// relayFallback relays the fallback response to the caller, unless its status implies that the
// request has not run and the configuration, which may have changed since, lets it run once only.
func (x *transaction) relayFallback() *verdict.Refusal {
	if status := x.fallback.head.Status; impliesNotRun(status) && !x.mayRepeat() {
		return verdict.Ambiguous(verdict.CodeBackendFailed, "the backend server failed: status "+http.StatusText(status), retryAfterFailure)
	}
	return x.fallback.writeTo(x.w)
}

// sendLocal sends the request to a backend server of this region. In a large
// region a long prompt is sent through the server's prefill coordinator, unless the
// server's rate or window is divided among the VMs.
func (x *transaction) sendLocal(ctx context.Context, plan balance.Plan) outcome {
	if plan.Estimate.NeedsPrefillSlot && x.req.Server == "" && !plan.Cold && plan.Load.RateLimiter.Limit() == 0 && !plan.Load.InSlowStart() {
		if vm, address := x.Peers.PrefillCoordinator(plan.Server.ID, plan.Server.FailureDomain); address != "" {
			x.triedServers = append(x.triedServers, plan.Server.Key())
			x.Balancer.RecordSend(&x.req.Demand, plan.Server.Key(), x.Now())
			x.prefillTokens = plan.Estimate.UncachedTokens
			return x.sendToVM(ctx, plan, vm, address)
		}
	}
	return x.sendToServer(ctx, plan)
}

// sendToServer sends the request directly to a backend server of this region.
func (x *transaction) sendToServer(ctx context.Context, plan balance.Plan) outcome {
	s, load := plan.Server, plan.Load
	x.triedServers = append(x.triedServers, s.Key())
	x.destination, x.softwareVersion, x.sentToVM, x.prefillTokens = s.ID, s.SoftwareVersion, false, plan.Estimate.UncachedTokens
	x.connection = ""
	load.Plan(1)
	started := x.waitForPrefillSlot(ctx, &plan)
	load.Plan(-1)
	now := x.Now()
	ticket, reason := x.admit(&plan, started, now)
	if reason != "" {
		load.ReleasePrefillSlot(plan.Estimate.PrefillTime, plan.Estimate.PrefillGap)
		_, wait := x.Balancer.AdmissionDelay(s, load, now)
		return outcome{notRun: true, reason: reason, pause: wait}
	}
	x.sends++
	if plan.Cold {
		x.Log.Info("sending to a cold backend server", "request", x.req.ID, "server", s.ID, "allowance", plan.Allowance,
			"activeVMs", x.Peers.ActiveVMs(), "plannedBefore", now.Sub(x.plannedAt))
	}
	work := load.Begin(&x.req.Demand, &plan.Estimate, now)
	work.Hold(ticket)
	defer func() { work.End(x.Now()) }()
	parent := ctx
	ctx, watch := x.watchServer(ctx, &plan, now)
	defer watch.stop()
	x.answeredAt, x.survived = 0, false
	out := x.exchange(ctx, plan, work, watch)
	out.retryGranted = watch.retryGranted.Load()
	if out.refused {
		x.ServerLost(s)
	}
	x.recordEnd(parent, s, work, &out)
	return out
}

// recordEnd informs the quarantine of how a send to a backend server ended.
func (x *transaction) recordEnd(ctx context.Context, s *roster.Server, work *balance.InFlight, out *outcome) {
	switch {
	case out.delivered || out.answered:
		x.recordSurvival(s.Service, work.SentAt(), cmp.Or(x.answeredAt, work.SentAt()))
	case out.broke && ctx.Err() == nil && !x.survived:
		if x.answeredAt == 0 {
			x.lostUnanswered++
		}
		if !x.Roster.View().IsLeaving(s) {
			x.Quarantine.RecordBreak(s, x.traits)
		}
	}
}

// recordSurvival informs the quarantine once that a backend server survives the
// request, which was sent and whose response began at the given times.
func (x *transaction) recordSurvival(service string, sentAt, beganAt clock.Instant) {
	if !x.survived {
		x.survived = true
		x.Quarantine.RecordSurvival(service, x.traits, sentAt, beganAt)
	}
}

// exchange sends the request to the plan's server and relays the response.
func (x *transaction) exchange(ctx context.Context, plan balance.Plan, work *balance.InFlight, watch *serverWatch) outcome {
	exchange, err := x.ServerPool.Do(ctx, x.serverCall(plan))
	if err != nil {
		return x.handleSendError(ctx, plan, err)
	}
	if !exchange.Reused() {
		plan.Load.Link.RecordDial(true, x.Now())
	}
	x.recordConnection(plan.Server, exchange)
	x.Balancer.RecordSend(&x.req.Demand, plan.Server.Key(), work.SentAt())
	return x.handleResponse(ctx, plan, exchange, work, watch)
}

// admit returns why the request may not be sent to the plan's server now, or "", and its
// place among the requests for which the server has room. The view and the load may have changed since the plan was made. Started is false if
// the request ended while it waited for its prefill slot.
func (x *transaction) admit(plan *balance.Plan, started bool, now clock.Instant) (*balance.Ticket, string) {
	ticket, room := x.Balancer.TakeRoom(plan.Server, plan.Load, now)
	if !room {
		return nil, "no room"
	}
	if reason := x.refusalToSend(plan, started, now); reason != "" {
		ticket.End()
		return nil, reason
	}
	return ticket, ""
}

// refusalToSend returns why the request may not be sent to the plan's server now, or "".
func (x *transaction) refusalToSend(plan *balance.Plan, started bool, now clock.Instant) string {
	load := plan.Load
	switch {
	case !started:
		return "ended before its turn"
	case !x.Roster.View().IsUsable(plan.Server):
		return "leaving"
	case x.isQuarantined(now):
		return "quarantined"
	case x.authorize() != nil:
		return "not authorized"
	case load.Link.Lost():
		return "out of reach"
	case !load.Admits(now):
		return "paused"
	case !load.Breaker.Allow(now):
		return "breaker"
	case !x.Balancer.TakeFromColdRate(x.service, plan.Server, load, x.Roster.View(), now):
		load.Breaker.ReturnTrial(now)
		return "cold"
	case !x.Balancer.TakeFromLimit(plan.Server, load, now):
		load.Breaker.ReturnTrial(now)
		return "limited"
	}
	return ""
}

// isQuarantined reports whether the request, or a block of its prompt, is quarantined.
func (x *transaction) isQuarantined(now clock.Instant) bool {
	_, _, found := x.Quarantine.Find(x.traits, now)
	return found
}

// waitForPrefillSlot reserves a prefill slot at the engine and waits for it if
// the estimate requires that. It returns false if ctx ends during the wait.
func (x *transaction) waitForPrefillSlot(ctx context.Context, plan *balance.Plan) bool {
	e := &plan.Estimate
	now := x.Now()
	start := plan.Load.ReservePrefillSlot(e.PrefillTime, e.PrefillGap, now)
	if !e.NeedsPrefillSlot {
		return true
	}
	// Inform the other VMs of the slot and of the prefix blocks that will be
	// cached.
	x.Balancer.RecordSend(&x.req.Demand, plan.Server.Key(), now)
	x.UsageChanged()
	wait := min(start.Sub(now), e.MaxSlotWait)
	if wait <= 0 {
		return true
	}
	x.slotWait += wait
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// serverCall returns the request to the backend server of the plan.
func (x *transaction) serverCall(plan balance.Plan) *upstream.Call {
	idle := idempotentMaxIdle
	if !x.mayRepeat() {
		idle = nonIdempotentMaxIdle
	}
	header := x.Protocol.Outbound(x.req, Outbound{
		Server: plan.Server.ID, Remaining: x.remaining(), Priority: x.table.Priority(x.route, x.team, maxPriority),
		LastEventID: x.lastEventID, WeightsVersion: x.weightsVersion,
	})
	return &upstream.Call{
		ID: x.req.ID, Address: plan.Server.Address, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host,
		Header: header, Body: x.req.Body, MaxIdle: idle,
		MaxOpen:       x.connectionShare(plan),
		MatchResponse: func(h http.Header) bool { return x.Protocol.Inbound(http.StatusOK, h).RequestID == x.req.ID },
	}
}

// connectionShare returns this VM's share of the connections that a backend
// server accepts; zero means no limit. In a large region, the prefill coordinator
// of an engine gets half of them, and the other VMs share the other half by
// capacity.
func (x *transaction) connectionShare(plan balance.Plan) int {
	if x.service.MaxConnections <= 0 {
		return 0
	}
	// A tenth is reserved for health checks and for VMs that are not known yet.
	available := float64(x.service.MaxConnections) * 0.9
	if x.service.Engine == nil || !x.Balancer.Fleet.LargeRegion() {
		return max(minConnections, int(available*x.Balancer.Fleet.CapacityShare()))
	}
	if _, address := x.Peers.PrefillCoordinator(plan.Server.ID, plan.Server.FailureDomain); address != "" {
		available *= x.Balancer.Fleet.CapacityShare()
	}
	return max(minConnections, int(available/2))
}

// minConnections is the number of connections per server that a VM may open
// even if its share is smaller.
const minConnections = 4

// handleSendError returns the outcome of a send that got no response.
func (x *transaction) handleSendError(ctx context.Context, plan balance.Plan, err error) outcome {
	unsent := errorx.IsOfType(err, upstream.ErrUnsent)
	switch {
	case ctx.Err() != nil, errorx.IsOfType(err, upstream.ErrExhausted):
	case errorx.IsOfType(err, upstream.ErrAtLimit):
		plan.Load.RecordRefusal(x.Now().Add(fullBackoff))
	default:
		plan.Load.RecordFailure(x.Now())
		x.ServerPool.CloseIdle(plan.Server.Address)
		if errorx.IsOfType(err, upstream.ErrNoConnection) {
			plan.Load.Link.RecordDial(false, x.Now())
		}
		x.LinkFailed(plan.Server)
	}
	if unsent {
		refused := errorx.IsOfType(err, upstream.ErrRefused)
		return outcome{notRun: true, refused: refused, reason: err.Error()}
	}
	x.possibleRuns++
	return outcome{mayHaveArrived: true, broke: true, reason: err.Error()}
}

// handleResponse relays a backend server's response, or returns why it is not
// relayed.
func (x *transaction) handleResponse(ctx context.Context, plan balance.Plan, e *upstream.Exchange, work *balance.InFlight, watch *serverWatch) outcome {
	now := x.Now()
	in := x.Protocol.Inbound(e.StatusCode, e.Header)
	var pause time.Duration
	if e.StatusCode != http.StatusMisdirectedRequest { // which another server sends
		if in.WarmupRemaining > 0 {
			x.Roster.ExtendWarmup(plan.Server.ID, in.WarmupRemaining, now)
		}
		if in.Leaving {
			x.ServerPool.CloseIdle(plan.Server.Address)
		}
		x.recordStatements(plan.Server, in)
		pause = x.beginPause(plan, in, now)
	}
	if in.NotRun {
		e.Release()
		work.RecordRefused(now)
		plan.Load.RecordRefusal(now.Add(fullBackoff))
		return outcome{notRun: true, mayHaveArrived: true, reason: "refused with status " + http.StatusText(e.StatusCode), pause: pause}
	}
	x.possibleRuns++
	success := e.StatusCode < http.StatusMultipleChoices
	if success && !in.Signed {
		e.Abort()
		plan.Load.RecordFailure(now)
		return outcome{mayHaveArrived: true, reason: "answer without signature"}
	}
	if !success {
		return x.handleFailure(ctx, plan, e, in)
	}
	source := &streamSource{Exchange: e, server: plan.Server, softwareVersion: plan.Server.SoftwareVersion, load: plan.Load, work: work, estimate: &plan.Estimate, watch: watch}
	return x.relaySuccess(ctx, plan, source, in, work)
}

// relaySuccess relays a successful response of a backend server or of another VM.
func (x *transaction) relaySuccess(ctx context.Context, plan balance.Plan, s *streamSource, in Inbound, work *balance.InFlight) outcome {
	if reason := x.continuationFault(s.Exchange); reason != "" {
		s.Abort()
		if s.load != nil {
			s.load.RecordErrorResponse(x.Now())
		}
		return outcome{mayHaveArrived: true, answered: true, reason: reason}
	}
	if x.weightsVersion == "" {
		x.weightsVersion = in.WeightsVersion
	}
	if x.route.Kind == ingress.Stream && isEventStream(s.Header) {
		return x.relayStream(ctx, s)
	}
	return x.relayBody(ctx, plan, s.Exchange, work)
}

// recordStatements records what a backend server's response states about the server
// itself. One without a signature may not be the server's own.
func (x *transaction) recordStatements(s *roster.Server, in Inbound) {
	if in.Leaving {
		x.ServerLeaves(s.Key())
	}
	if in.RequestLimit.Named || in.Signed {
		x.RequestLimits.Record(serverlimit.OfServer(s), in.RequestLimit, serverlimit.FromResponse)
	}
	if in.FallsAt.Named || in.Signed {
		x.Brittle.Record(serverlimit.OfService(s.Service), in.FallsAt, serverlimit.FromResponse)
	}
}

// beginPause applies the time for which a backend server asks this VM to send no
// requests, and returns it; zero means that it doesn't ask.
func (x *transaction) beginPause(plan balance.Plan, in Inbound, now clock.Instant) time.Duration {
	if in.RetryAfter == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(in.RetryAfter, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		x.Log.Warn("ignoring the malformed retry time of a backend server", "server", plan.Server.ID, "value", in.RetryAfter)
		return 0
	}
	asked := time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	pause := plan.Load.Pause.Begin(asked, now)
	x.Log.Info("backend server asks for a pause", "server", plan.Server.ID, "service", plan.Server.Service,
		"asked", in.RetryAfter, "pause", pause)
	return pause
}

// handleFailure keeps a backend server's failure response as the fallback, so that
// a request that may be retried is sent to other servers or regions first.
func (x *transaction) handleFailure(ctx context.Context, plan balance.Plan, e *upstream.Exchange, in Inbound) outcome {
	memory := x.Memory.Account()
	defer func() { memory.Close() }()
	body, whole, err := x.readBuffered(ctx, plan.Load, e, memory)
	if err != nil {
		return outcome{mayHaveArrived: true, reason: "answer broke off: " + err.Error()}
	}
	plan.Load.RecordErrorResponse(x.Now())
	if e.StatusCode >= http.StatusInternalServerError {
		plan.Load.RecordServerError(x.Now())
	}
	reason := "status " + http.StatusText(e.StatusCode)
	if !whole {
		// It may be incomplete, or have no end.
		e.Abort()
		return outcome{mayHaveArrived: true, answered: true, reason: reason + " with a body above the limit"}
	}
	e.Release()
	if !in.Signed {
		return outcome{mayHaveArrived: true, answered: true, reason: reason + " without signature"}
	}
	if impliesNotRun(e.StatusCode) && !x.mayRepeat() {
		// Callers would conclude from these statuses that the request has not
		// run, which the server did not guarantee.
		return outcome{mayHaveArrived: true, answered: true, reason: reason}
	}
	// The earlier fallback is no longer needed, and its memory is returned.
	memory, x.fallbackMemory = x.fallbackMemory, memory
	x.fallback = &fallbackResponse{head: pipeline.Head{Status: e.StatusCode, Header: endToEndHeader(e.Header, len(body))}, body: body}
	// A status below 500 is caused by the request, so another server would
	// return the same.
	return outcome{mayHaveArrived: true, answered: true, reason: reason, final: e.StatusCode < http.StatusInternalServerError}
}

// readBuffered reads the response body, up to maxBufferedBytes and to the memory that the
// account gets, and reports whether that is all of it.
func (x *transaction) readBuffered(ctx context.Context, load *balance.Load, e *upstream.Exchange, memory *membudget.Account) (body []byte, whole bool, err error) {
	for len(body) < maxBufferedBytes {
		var ok bool
		if body, ok = memory.Reserve(body, maxBufferedBytes); !ok {
			x.Log.Warn("response not buffered further: the requests in flight hold all the memory for bodies", "request", x.req.ID, "at", x.destination, "bytes", len(body))
			return body, false, nil
		}
		n, err := e.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			e.Abort()
			if ctx.Err() == nil {
				load.RecordFailure(x.Now())
			}
			return body, false, err
		}
	}
	return body, false, nil
}

// impliesNotRun reports whether callers take the status to mean that the
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayBody relays a response that isn't a stream. Up to maxBufferedBytes are
// read first, as far as there is memory, so that a shorter response that is interrupted
// can be retried.
func (x *transaction) relayBody(ctx context.Context, plan balance.Plan, e *upstream.Exchange, work *balance.InFlight) outcome {
	memory := x.Memory.Account()
	defer memory.Close()
	body, whole, err := x.readBuffered(ctx, plan.Load, e, memory)
	if err != nil {
		return outcome{mayHaveArrived: true, broke: true, reason: "answer broke off: " + err.Error()}
	}
	now := x.Now()
	if whole && upstream.IsTruncated(e.Response, body) {
		e.Abort()
		plan.Load.RecordFailure(now)
		return outcome{mayHaveArrived: true, reason: "answer without length or chunks ended early, after " + strconv.Itoa(len(body)) + " bytes"}
	}
	if whole && plan.Server != nil && x.endedWithServer(ctx, plan.Server, e.Response) {
		e.Abort()
		plan.Load.RecordFailure(now)
		return outcome{mayHaveArrived: true, broke: true, reason: "answer without length or chunks ended with its server's process"}
	}
	if !x.inFlight.beginResponse(x) {
		e.Abort()
		return outcome{mayHaveArrived: true, final: true, reason: errVMStops.Error()}
	}
	work.RecordFirstByte(now)
	x.recordFirstByte(now)
	length := len(body)
	if !whole {
		length = -1
	}
	x.w.Start(pipeline.Head{Status: e.StatusCode, Header: endToEndHeader(e.Header, length)})
	if _, err = x.w.Write(body); err == nil && length < 0 {
		// The buffer has been written, so it serves for the rest.
		if _, err = io.CopyBuffer(x.w, e, body[:cap(body)]); err == nil && plan.Server != nil && x.endedWithServer(ctx, plan.Server, e.Response) {
			err = errEndedWithServer
		}
	}
	if err != nil {
		e.Abort()
		return outcome{mayHaveArrived: true, final: true, reason: "answer not passed on: " + err.Error()}
	}
	e.Release()
	took := x.Now().Sub(work.SentAt())
	plan.Load.RecordSuccess(x.Now())
	x.Balancer.RecordDuration(x.service.Name, took)
	x.Balancer.RecordResponseTime(plan.Load, x.service, took, now)
	return outcome{delivered: true, mayHaveArrived: true}
}

// errEndedWithServer means that a body ended with its server's process.
var errEndedWithServer = errorx.ExternalError.New("the answer ended with its server's process")

// hopByHopHeaders are the header fields that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeader returns the fields of a response header that are relayed to
// the caller. Content-Length is set to the length unless it is negative.
func endToEndHeader(h http.Header, length int) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	return out
}
