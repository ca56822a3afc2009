package relay

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// The protocol between VMs: a hop forwards a request to a VM of another region, to one
// of the same region that reaches other backend servers, or to the prefill coordinator of
// a backend server.
const (
	// PathHop is the path at which a VM accepts requests of other VMs.
	PathHop = "/peer/v1/hop"
	// headerHop carries the hopHead, as base64-encoded JSON.
	headerHop = "Chestnut-Hop"
	// headerRan carries the number of backend servers at which the request may
	// have run, in the response.
	headerRan = "Chestnut-Ran"
	// headerArrived is set in the response if a backend server may have received the
	// request, also one that refused it.
	headerArrived = "Chestnut-Arrived"
	// headerSoftwareVersion carries the version of the software of the server that began
	// the stream, in the response.
	headerSoftwareVersion = "Chestnut-Software-Version"
)

// hopHead is the description of a request that a VM sends with a hop.
type hopHead struct {
	ID string `json:"id"`
	// Hop identifies this hop, so that it can be cancelled.
	Hop         string      `json:"hop,omitempty"`
	Host        string      `json:"host"`
	Method      string      `json:"method"`
	Target      string      `json:"target"`
	Path        string      `json:"path"`
	Header      http.Header `json:"header"`
	LastEventID string      `json:"lastEvent,omitempty"`
	// RemainingMs is the time to the deadline, and WaitedMs the time since the request
	// arrived at its entry, in milliseconds.
	RemainingMs int64  `json:"remainingMs"`
	WaitedMs    int64  `json:"waitedMs,omitempty"`
	Entry       string `json:"entry"`
	Service     string `json:"service"`
	// Configuration is the version of the sender's configuration.
	Configuration uint64 `json:"configuration,omitempty"`
	// Server is the ID of the only backend server in the receiver's region
	// that may serve the request, or "" if the receiver chooses.
	Server string `json:"server,omitempty"`
	// OwnLinksOnly means that the receiver may not send the request to another VM of its
	// region for that VM's links.
	OwnLinksOnly bool `json:"ownLinksOnly,omitempty"`
	// Origin is where the stream began, if the request goes on with one.
	Origin *resume.Origin `json:"origin,omitempty"`
	// Continues means that the caller has a part of the response already.
	Continues bool `json:"continues,omitempty"`
	// Once means that the sender's configuration lets the request run once only.
	Once         bool `json:"once,omitempty"`
	AttemptsLeft int  `json:"attempts"`
	// BytesAsRunes means that each byte of the caller's texts is a rune here, as JSON
	// holds no text that isn't UTF-8.
	BytesAsRunes bool `json:"bytesAsRunes,omitempty"`
	// Frames means that the sender reads a response in frames.
	Frames bool `json:"frames,omitempty"`
	// Team is the name of the request's team, and Key the ID of the key that it bears.
	Team string        `json:"team,omitempty"`
	Key  ingress.KeyID `json:"key,omitempty"`
}

// sendToRegion sends the request to a VM of another region, or to one of this region that
// reaches other backend servers. It serves the request with the servers of its region or
// refuses it.
func (x *transaction) sendToRegion(ctx context.Context, plan balance.Plan) outcome {
	x.triedRegions = append(x.triedRegions, plan.Region)
	key := x.req.ID
	if x.sends > 0 {
		key += "#" + strconv.Itoa(x.sends) // another VM, if there is one
	}
	vm, address := x.Peers.PickMember(plan.Region, x.service.Name, key)
	if address == "" {
		return outcome{notRun: true, reason: "no VM in " + plan.Region}
	}
	if plan.Region != x.Region {
		x.Balancer.RecordCrossRegionSend(plan.Region, x.service.Name, &plan.Estimate, x.Now())
	}
	out := x.sendToVM(ctx, plan, vm, address)
	if out.failedAtServer || out.otherVM {
		// Another server or VM there may serve the request.
		x.triedRegions = x.triedRegions[:len(x.triedRegions)-1]
	}
	return out
}

// sendToVM sends the request to another VM, which serves it or refuses it. If
// the plan names a backend server, the VM may use no other one.
func (x *transaction) sendToVM(ctx context.Context, plan balance.Plan, vm, address string) (out outcome) {
	x.destination, x.softwareVersion, x.sentToVM, x.connection = vm, "", true, ""
	x.sends++
	granted, hop := x.hopAttempts(plan.Server != nil), x.hopID()
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var exchange *upstream.Exchange
	defer func() {
		left := callerLeft(caller) || caller.Err() == nil && (exchange == nil || !exchange.Complete())
		if left && !x.patience.isOver() && !out.notRun && !out.delivered {
			x.cancelHop(address, hop)
		}
	}()
	var err error
	if exchange, err = x.GatewayPool.Do(ctx, x.hopCall(address, hop, plan, granted)); err != nil {
		x.GatewayPool.CloseIdle(address)
		if errorx.IsOfType(err, upstream.ErrUnsent) {
			return outcome{notRun: true, reason: err.Error()}
		}
		x.countGrantedRuns(0, granted, err.Error())
		return outcome{mayHaveArrived: true, reason: err.Error()}
	}
	return x.handleHopResponse(ctx, plan, exchange, granted)
}

// hopAttempts returns the number of servers on which another VM may run the request:
// one if the server is given or the request may run only once. One of several attempts is
// kept in case the VM is lost.
func (x *transaction) hopAttempts(serverGiven bool) int {
	if serverGiven || !x.mayRepeat() {
		return 1
	}
	return max(1, x.attemptsLeft()-1)
}

// countGrantedRuns counts all runs that were granted to a hop, of which counted are
// counted already: the other VM did not state how many there were.
func (x *transaction) countGrantedRuns(counted, granted int, reason string) {
	x.possibleRuns += max(0, granted-counted)
	x.Log.Warn("number of runs at another VM unknown", "request", x.req.ID, "vm", x.destination, "reason", reason,
		"granted", granted, "ran", x.possibleRuns, "maxAttempts", x.route.MaxAttempts)
	x.Metrics.uncountedHops.Inc(1)
}

// hopCall returns the hop of the request, with the given ID, to the VM at the address. If the plan names a
// server, no other one may serve the request. Attempts is the number of servers on which
// it may run.
func (x *transaction) hopCall(address, hop string, plan balance.Plan, attempts int) *upstream.Call {
	server := ""
	if plan.Server != nil {
		server = plan.Server.ID
	}
	head := hopHead{
		ID: x.req.ID, Hop: hop, Host: x.req.Host, Method: x.req.Method, Target: x.req.Target, Path: x.req.Path,
		Header: x.req.Header, LastEventID: x.lastEventID, RemainingMs: x.remaining().Milliseconds(), WaitedMs: x.Now().Sub(x.req.Arrived).Milliseconds(),
		Entry: x.VM, Service: x.service.Name, Configuration: x.table.Version, Server: server,
		OwnLinksOnly: plan.Region != "" && plan.Region == x.Region, Origin: x.origin, Continues: x.continues(), Once: !x.mayRepeat(), AttemptsLeft: attempts, Frames: true, Team: x.req.Team, Key: x.req.Key,
	}
	head.encodeBytes()
	data, err := json.Marshal(head)
	if err != nil {
		// Unreachable: every field of a hopHead can be encoded.
		panic("relay: " + err.Error())
	}
	return &upstream.Call{
		Address: address, Method: http.MethodPost, Target: PathHop, Host: address,
		Header: http.Header{headerHop: {base64.StdEncoding.EncodeToString(data)}},
		Body:   x.req.Body, MaxIdle: idempotentMaxIdle,
	}
}

// handleHopResponse relays the other VM's response or evaluates its refusal. Granted is
// the number of servers on which the other VM may run the request.
func (x *transaction) handleHopResponse(ctx context.Context, plan balance.Plan, e *upstream.Exchange, granted int) outcome {
	ran := statedRuns(e.Header)
	if value := e.Header.Get(wire.HeaderRefusal); value != "" {
		e.Release()
		return x.handleHopRefusal(plan, value, ran, granted, e.Header.Get(headerArrived) != "")
	}
	if e.Header.Get(headerRan) == "" {
		e.Abort()
		x.countGrantedRuns(0, granted, "no count in the header")
		return outcome{mayHaveArrived: true, reason: "the other VM failed"}
	}
	ran = max(1, ran)
	x.possibleRuns += ran
	softwareVersion := e.Header.Get(headerSoftwareVersion)
	e.Header.Del(headerRan)
	e.Header.Del(headerSoftwareVersion)
	if e.Header.Get(headerFrames) != "" {
		e.Header.Del(headerFrames)
		e.Body = &frameReader{ReadCloser: e.Body}
	}
	if plan.Server != nil {
		x.recordStatements(plan.Server, x.Protocol.Inbound(e.StatusCode, e.Header))
	}
	if e.StatusCode >= http.StatusMultipleChoices {
		return x.handleFailure(ctx, balance.Plan{Load: &balance.Load{}, Region: plan.Region}, e, Inbound{Signed: true})
	}
	work := (&balance.Load{}).Begin(&x.req.Demand, &plan.Estimate, x.Now())
	out := x.relaySuccess(ctx, balance.Plan{Load: &balance.Load{}}, &streamSource{Exchange: e, softwareVersion: softwareVersion}, x.Protocol.Inbound(e.StatusCode, e.Header), work)
	if !out.delivered && ran < granted {
		// The header only counts the runs until it was sent.
		x.countGrantedRuns(ran, granted, out.reason)
	}
	out.failedAtServer = out.broke || out.answered
	return out
}

// statedRuns returns the number of backend servers at which another VM states that the
// request may have run; zero if it states none.
func statedRuns(h http.Header) int {
	ran, err := strconv.Atoi(h.Get(headerRan))
	if err != nil {
		return 0
	}
	return max(0, ran)
}

// handleHopRefusal evaluates the refusal of another VM. Ran is the number of
// backend servers at which the request may have run there, of the granted number.
// Arrived means that one may have received it.
func (x *transaction) handleHopRefusal(plan balance.Plan, value string, ran, granted int, arrived bool) outcome {
	var refusal verdict.Refusal
	if err := json.Unmarshal([]byte(value), &refusal); err != nil {
		x.countGrantedRuns(0, granted, "unreadable refusal")
		return outcome{mayHaveArrived: true, reason: "the other VM's refusal can't be read"}
	}
	x.possibleRuns += ran
	if refusal.Verdict == verdict.NotRun && ran == 0 {
		// Another VM there may serve the request.
		otherVM := refusal.Code == verdict.CodeRevisionTooOld || refusal.Code == verdict.CodeShuttingDown
		if plan.Server == nil && refusal.Code == verdict.CodeNoBackend {
			x.Peers.Avoid(x.destination, x.service.Name)
			otherVM = x.hopsWithoutServer == 0
			x.hopsWithoutServer++
		}
		if plan.Load != nil && (otherVM || refusal.Code == verdict.CodeNoBackend) {
			plan.Load.Exclude(x.Now())
		}
		return outcome{otherVM: otherVM, notRun: true, mayHaveArrived: arrived, final: refusal.Code == verdict.CodeQuarantined, reason: "refused by " + x.destination + ": " + refusal.Detail, retryAfter: refusal.RetryAfter}
	}
	x.possibleRuns = max(x.possibleRuns, 1)
	failedAtServer := refusal.Code == verdict.CodeBackendFailed
	if failedAtServer {
		x.lostUnanswered += ran
	}
	return outcome{mayHaveArrived: true, failedAtServer: failedAtServer, reason: string(refusal.Code) + " at " + x.destination}
}

// HopHandler returns the HTTP handler for requests of other VMs.
func (r *Relay) HopHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		memory := r.bodyAccount(w)
		defer memory.Close()
		out := NewWriter(w)
		id := ""
		defer r.refuseAfterPanic(out, &id)
		req, err := r.readHop(w, hr, memory)
		if errors.Is(err, membudget.ErrNoMemory) {
			r.Log.Warn("hop refused", "remote", hr.RemoteAddr, "error", err)
			w.Header().Set("Connection", "close")
			writeHopRefusal(w, verdict.Busy(verdict.CodeOverloaded, err.Error(), jitter(retryAfterFailure)), 0, false)
			return
		}
		if err != nil {
			r.Log.Warn("hop refused", "remote", hr.RemoteAddr, "error", err)
			closeAfterUnreadBody(w, hr)
			http.Error(w, "malformed hop", http.StatusBadRequest)
			return
		}
		id = req.ID
		if refusal := refuseIfCallerLeft(hr); refusal != nil {
			r.Log.Info("hop refused", "request", id, "remote", hr.RemoteAddr, "entry", req.Entry, "error", refusal)
			writeHopRefusal(w, refusal, 0, false)
			return
		}
		ctx, end := r.accepted.begin(hr.Context(), req.Hop)
		defer end()
		refusal, x := r.handleHop(ctx, req, out)
		if refusal == nil {
			r.finish(out, id)
			return
		}
		if out.Started() {
			panic(http.ErrAbortHandler)
		}
		writeHopRefusal(w, refusal, x.possibleRuns, x.arrived)
		r.finish(out, id)
	})
}

// writeHopRefusal writes the refusal as the response to a hop. Ran is the number of backend
// servers at which the request may have run, and arrived means that one may have received it.
func writeHopRefusal(w http.ResponseWriter, refusal *verdict.Refusal, ran int, arrived bool) {
	w.Header().Set(headerRan, strconv.Itoa(ran))
	if arrived {
		w.Header().Set(headerArrived, "1")
	}
	w.Header().Set(wire.HeaderRefusal, encodeRefusal(refusal))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(refusal.Status)
}

// handleHop serves a request of another VM and returns its final state.
func (r *Relay) handleHop(ctx context.Context, req *Request, out *Writer) (*verdict.Refusal, *transaction) {
	refusal := r.awaitConfiguration(ctx, req)
	x := &transaction{Relay: r, req: req, w: out}
	out.acceptsFrames = req.Frames
	if refusal == nil {
		x, refusal = r.newTransaction(req, out)
	}
	out.beforeHeader = func(h http.Header) {
		h.Set(headerRan, strconv.Itoa(max(1, x.possibleRuns)))
		h.Del(headerSoftwareVersion)
		h.Del(headerFrames)
		if x.origin != nil {
			h.Set(headerSoftwareVersion, x.origin.SoftwareVersion)
		}
	}
	if refusal == nil {
		refusal = x.run(ctx, x.serve)
	}
	r.recordResult(x, refusal)
	return refusal, x
}

// awaitConfiguration waits until this VM has the configuration by which another VM
// forwarded the request, or a newer one. A VM that stood still may not have it yet. It
// returns a refusal if that takes too long.
func (r *Relay) awaitConfiguration(ctx context.Context, req *Request) *verdict.Refusal {
	for end := r.Now().Add(configurationWait); ; background.Sleep(ctx, configurationCheckInterval) {
		if table := r.Table(); table != nil && table.Version >= req.Configuration {
			return nil
		}
		if ctx.Err() != nil || r.Now() >= min(end, req.Deadline) {
			return verdict.Busy(verdict.CodeRevisionTooOld, "this VM's configuration is older than that of the sender", jitter(retryAfterFailure))
		}
	}
}

const (
	// configurationWait bounds the wait for the sender's configuration, and
	// configurationCheckInterval is the time between two looks.
	configurationWait          = 400 * time.Millisecond
	configurationCheckInterval = 10 * time.Millisecond
)

// readHop reads a request of another VM. The body is held by the account.
func (r *Relay) readHop(w http.ResponseWriter, hr *http.Request, memory *membudget.Account) (*Request, error) {
	now := r.Now()
	r.boundTransfer(w, now, 0)
	data, err := base64.StdEncoding.DecodeString(hr.Header.Get(headerHop))
	if err != nil {
		return nil, err
	}
	var head hopHead
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, err
	}
	if err := head.decodeBytes(); err != nil {
		return nil, err
	}
	if head.ID == "" || head.Entry == "" || head.Method == "" || head.Target == "" {
		return nil, errorx.IllegalArgument.New("hop without id, entry, method or target")
	}
	deadline := now.Add(time.Duration(head.RemainingMs) * time.Millisecond)
	r.boundTransfer(w, now, deadline)
	body, err := readBody(w, hr, maxHopBytes, memory)
	if err != nil {
		return nil, err
	}
	if head.Header == nil {
		head.Header = http.Header{}
	}
	return &Request{
		ID: head.ID, Hop: head.Hop, Host: head.Host, Method: head.Method, Target: head.Target, Path: head.Path,
		Header: head.Header, Body: body, Demand: r.Protocol.Demand(head.Header), LastEventID: head.LastEventID,
		Arrived: now.Add(-time.Duration(max(0, head.WaitedMs)) * time.Millisecond), Deadline: deadline,
		Entry: head.Entry, OwnLinksOnly: head.OwnLinksOnly, Server: head.Server, Service: head.Service, Configuration: head.Configuration, Origin: head.Origin, Continues: head.Continues, Once: head.Once, AttemptsLeft: max(1, head.AttemptsLeft), Frames: head.Frames, Team: head.Team, Key: head.Key,
	}, nil
}

// maxHopBytes bounds the body of a request between VMs. It is above the
// configured limit for the bodies of callers.
const maxHopBytes = 64 << 20

// encodeRefusal returns the refusal as JSON, for the refusal header.
func encodeRefusal(r *verdict.Refusal) string {
	data, err := json.Marshal(r)
	if err != nil {
		// Unreachable: every field of a Refusal can be encoded.
		panic("relay: " + err.Error())
	}
	return string(data)
}
