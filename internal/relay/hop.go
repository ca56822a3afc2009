package relay

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// The protocol between VMs for requests that change their region.
const (
	// PathHop takes requests of other VMs.
	PathHop = "/peer/v1/hop"
	// headerHop carries a hopHead, as JSON in base64.
	headerHop = "Chestnut-Hop"
	// headerRan is the number of backend servers at which the request may
	// have run before this answer.
	headerRan = "Chestnut-Ran"
)

// hopHead is what a VM tells another one of a request.
type hopHead struct {
	ID        string      `json:"id"`
	Host      string      `json:"host"`
	Method    string      `json:"method"`
	Target    string      `json:"target"`
	Path      string      `json:"path"`
	Header    http.Header `json:"header"`
	LastEvent string      `json:"lastEvent,omitempty"`
	// RemainingMs is the time to the deadline in milliseconds.
	RemainingMs int64  `json:"remainingMs"`
	Entry       string `json:"entry"`
	Service     string `json:"service"`
	// Server is the backend server of the receiver's region that must serve
	// the request, or "".
	Server   string `json:"server,omitempty"`
	Attempts int    `json:"attempts"`
}

// sendRegion sends the request to a VM of another region, which serves it from
// its own backend servers or refuses.
func (x *run) sendRegion(ctx context.Context, plan balance.Plan) outcome {
	x.triedRegions = append(x.triedRegions, plan.Region)
	vm, address := x.Peers.Member(plan.Region, x.req.ID)
	if address == "" {
		return outcome{notRun: true, reason: "no VM in " + plan.Region}
	}
	x.Balancer.Crossed(plan.Region, x.service.Name, &plan.Estimate, x.Now())
	return x.sendVM(ctx, plan, vm, address)
}

// sendVM sends the request to another VM, which serves it or refuses. A
// request for a server of the own region may go nowhere else from there.
func (x *run) sendVM(ctx context.Context, plan balance.Plan, vm, address string) outcome {
	x.where = vm
	x.sends++
	server := ""
	if plan.Server != nil {
		server = plan.Server.ID
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchange, err := x.GatewayPool.Do(ctx, x.hopCall(address, server))
	if err != nil {
		x.GatewayPool.CloseIdle(address)
		if errorx.IsOfType(err, upstream.ErrUnsent) {
			return outcome{notRun: true, reason: err.Error()}
		}
		x.ran++
		return outcome{arrived: true, reason: err.Error()}
	}
	return x.takeHopAnswer(ctx, plan, exchange)
}

func (x *run) hopCall(address, server string) *upstream.Call {
	head := hopHead{
		ID: x.req.ID, Host: x.req.Host, Method: x.req.Method, Target: x.req.Target, Path: x.req.Path,
		Header: x.req.Header, LastEvent: x.lastEvent, RemainingMs: x.remaining().Milliseconds(),
		Entry: x.VM, Service: x.service.Name, Server: server, Attempts: x.maxAttempts() - x.ran,
	}
	data, err := json.Marshal(head)
	if err != nil {
		// Every field can be encoded.
		panic("relay: " + err.Error())
	}
	return &upstream.Call{
		Address: address, Method: http.MethodPost, Target: PathHop, Host: address,
		Header: http.Header{headerHop: {base64.StdEncoding.EncodeToString(data)}},
		Body:   x.req.Body, MaxIdle: safeIdle,
	}
}

// takeHopAnswer passes on the other VM's answer, or takes in its refusal.
func (x *run) takeHopAnswer(ctx context.Context, plan balance.Plan, e *upstream.Exchange) outcome {
	ran, _ := strconv.Atoi(e.Header.Get(headerRan)) // absent: none
	if value := e.Header.Get(wire.HeaderRefusal); value != "" {
		e.Done()
		return x.takeRefusal(plan, value, ran)
	}
	if e.Header.Get(headerRan) == "" {
		e.Abort()
		x.ran++
		return outcome{arrived: true, reason: "the other VM failed"}
	}
	x.ran += max(1, ran)
	e.Header.Del(headerRan)
	if e.StatusCode >= http.StatusMultipleChoices {
		return x.takeFailure(ctx, balance.Plan{Load: &balance.Load{}, Region: plan.Region}, e, Inbound{Signed: true})
	}
	if x.weights == "" {
		x.weights = x.Protocol.Inbound(e.StatusCode, e.Header).WeightsVersion
	}
	source := &streamSource{Exchange: e}
	if x.route.Kind == ingress.Stream {
		return x.passStream(ctx, source)
	}
	return x.passWhole(ctx, balance.Plan{Load: &balance.Load{}}, e, (&balance.Load{}).Begin(&x.req.Demand, &plan.Estimate, x.Now()))
}

func (x *run) takeRefusal(plan balance.Plan, value string, ran int) outcome {
	var refusal verdict.Refusal
	if err := json.Unmarshal([]byte(value), &refusal); err != nil {
		x.ran++
		return outcome{arrived: true, reason: "the other VM's refusal can't be read"}
	}
	x.ran += ran
	if refusal.Verdict == verdict.NotRun {
		if plan.Load != nil && refusal.Code == verdict.CodeNoBackend {
			plan.Load.Shun(x.Now())
		}
		return outcome{notRun: true, reason: "refused by " + x.where + ": " + refusal.Detail, retryAfter: refusal.RetryAfter}
	}
	x.ran = max(x.ran, 1)
	return outcome{arrived: true, reason: string(refusal.Code) + " at " + x.where}
}

// HopHandler takes requests of other VMs.
func (r *Relay) HopHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		req, err := r.readHop(w, hr)
		if err != nil {
			r.Log.Warn("hop refused", "remote", hr.RemoteAddr, "error", err)
			http.Error(w, "malformed hop", http.StatusBadRequest)
			return
		}
		out := NewWriter(w)
		refusal, ran := r.handleHop(hr.Context(), req, out)
		if refusal == nil {
			return
		}
		if out.Started() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerRan, strconv.Itoa(ran))
		w.Header().Set(wire.HeaderRefusal, encodeRefusal(refusal))
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(refusal.Status)
	})
}

// handleHop serves a request of another VM and returns how many backend
// servers may have run it.
func (r *Relay) handleHop(ctx context.Context, req *Request, out *Writer) (*verdict.Refusal, int) {
	x, refusal := r.begin(req, out)
	out.before = func(h http.Header) { h.Set(headerRan, strconv.Itoa(max(1, x.ran))) }
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(0, x.until.Sub(r.Now())))
		refusal = x.serve(ctx)
		cancel()
	}
	r.finish(x, refusal)
	return refusal, x.ran
}

func (r *Relay) readHop(w http.ResponseWriter, hr *http.Request) (*Request, error) {
	data, err := base64.StdEncoding.DecodeString(hr.Header.Get(headerHop))
	if err != nil {
		return nil, err
	}
	var head hopHead
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, err
	}
	if head.ID == "" || head.Entry == "" || head.Method == "" || head.Target == "" {
		return nil, errorx.IllegalArgument.New("hop without id, entry, method or target")
	}
	now := r.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxHopBytes))
	if err != nil {
		return nil, err
	}
	if head.Header == nil {
		head.Header = http.Header{}
	}
	return &Request{
		ID: head.ID, Host: head.Host, Method: head.Method, Target: head.Target, Path: head.Path,
		Header: head.Header, Body: body, Demand: r.Protocol.Demand(head.Header), LastEventID: head.LastEvent,
		Arrived: now, Deadline: now.Add(time.Duration(head.RemainingMs) * time.Millisecond),
		Entry: head.Entry, Server: head.Server, Service: head.Service, AttemptsLeft: max(1, head.Attempts),
	}, nil
}

// maxHopBytes bounds a body between VMs. Callers' bodies are bounded by the
// configuration, below it.
const maxHopBytes = 64 << 20

func encodeRefusal(r *verdict.Refusal) string {
	data, err := json.Marshal(r)
	if err != nil {
		// Every field of a Refusal can be encoded.
		panic("relay: " + err.Error())
	}
	return string(data)
}
