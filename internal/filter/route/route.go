// Package route implements the last handler of the pipeline. It chooses the
// backend server or the region that serves a request, sends the request, and
// retries it where that is safe.
//
// A request is retried only if the previous attempt did not run, or if the
// request is idempotent and no response has started, and only within the retry
// budget and the deadline. A request is sent to another region at most once. A
// request received from another region is never sent on to a further region.
package route

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/fairqueue"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/retry"
	"github.com/chestnutspring/chestnutspring/internal/routing"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// retryAfterUnavailable is the retry delay given to callers while no
	// backend server can serve their request.
	retryAfterUnavailable = time.Second
	// maxAttempts is the maximum number of times that a request is sent, hedges
	// excluded.
	maxAttempts = 3
)

// Config configures a Handler.
type Config struct {
	Backend pipeline.BackendSender
	Peer    pipeline.PeerSender
	// Publisher provides the newest snapshot, which is also used for requests
	// that were queued.
	Publisher *snapshot.Publisher
	Now       clock.Clock
	Log       *slog.Logger
	Scope     tally.Scope
	// Random returns random numbers; nil means rand.Uint64 of math/rand/v2.
	Random func() uint64
}

// Handler sends requests to backend servers and other regions.
type Handler struct {
	cfg     Config
	records *routing.Records
	picker  atomic.Pointer[routing.Picker]
	gates   sync.Map // target name -> *fairqueue.Gate
	budget  *retry.Budget
	metrics metrics
}

var _ pipeline.Handler = (*Handler)(nil)

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Handler{
		cfg: cfg, records: routing.NewRecords(), budget: retry.NewBudget(),
		metrics: newMetrics(cfg.Scope),
	}
}

// Handle implements pipeline.Handler.
func (h *Handler) Handle(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	r := &routedRequest{h: h, req: req, w: w}
	if policy := req.Snapshot.Config.PolicyOf(req.Target); policy != nil {
		h.budget.RecordRequest(policy.Spec.RetryBudget)
	}
	for attempt := 1; ; attempt++ {
		refusal, sent := r.attempt(ctx)
		if refusal == nil {
			return nil
		}
		retryAllowed := sent && attempt < maxAttempts && r.mayRetry(ctx, refusal)
		refusal = r.cumulativeVerdict(refusal)
		if !retryAllowed {
			return refusal
		}
		if !h.budget.Allow() {
			h.metrics.budgetEmpty.Inc(1)
			return refusal
		}
		h.metrics.retries.Inc(1)
	}
}

// currentPicker returns the picker of the newest snapshot.
func (h *Handler) currentPicker() *routing.Picker {
	newest := h.cfg.Publisher.Load()
	p := h.picker.Load()
	if p != nil && p.Snapshot == newest {
		return p
	}
	next := routing.NewPicker(newest, h.records)
	h.picker.CompareAndSwap(p, next)
	return next
}

// gate returns the queue of the target, and creates it if needed.
func (h *Handler) gate(target string) *fairqueue.Gate {
	if g, ok := h.gates.Load(target); ok {
		return g.(*fairqueue.Gate)
	}
	g, _ := h.gates.LoadOrStore(target, fairqueue.NewGate(h.cfg.Now))
	return g.(*fairqueue.Gate)
}

// retryableCodes lists the refusal codes after which another backend server or
// region may still serve the request.
var retryableCodes = map[verdict.Code]bool{
	verdict.CodeOverloaded:       true,
	verdict.CodeNoBackend:        true,
	verdict.CodeBackendFailed:    true,
	verdict.CodeAnswerCut:        true,
	verdict.CodeOwnerUnreachable: true,
	verdict.CodeShuttingDown:     true,
	verdict.CodeInternal:         true,
	verdict.CodeResidency:        true,
	verdict.CodeRevisionTooOld:   true,
	verdict.CodeUnconfirmed:      true,
	verdict.CodeLimited:          true,
	verdict.CodeUnknownTeam:      true,
	verdict.CodeUnknownModel:     true,
	verdict.CodeUnknownService:   true,
}

// cumulativeVerdict returns the refusal with a verdict that covers all attempts
// so far: not-run becomes may-have-run if an earlier attempt may have run.
func (r *routedRequest) cumulativeVerdict(refusal *verdict.Refusal) *verdict.Refusal {
	r.mayHaveRun = r.mayHaveRun || refusal.Verdict != verdict.NotRun
	if !r.mayHaveRun || refusal.Verdict != verdict.NotRun {
		return refusal
	}
	changed := *refusal
	changed.Verdict = verdict.MayHaveRun
	return &changed
}

// mayRetry reports whether the request may be sent again after the refusal.
func (r *routedRequest) mayRetry(ctx context.Context, refusal *verdict.Refusal) bool {
	switch {
	case r.w.Started() || ctx.Err() != nil || !retryableCodes[refusal.Code]:
		return false
	case refusal.Verdict == verdict.NotRun:
		return true
	default:
		return refusal.Verdict == verdict.MayHaveRun && r.req.Idempotent
	}
}
