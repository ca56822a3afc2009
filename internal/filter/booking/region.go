package bookingfilter

import (
	"context"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// handleRegionHop handles a booking sent by its owner in another region.
func (f *Filter) handleRegionHop(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response, next pipeline.Handler) *verdict.Refusal {
	if len(req.VisitedVMs) == 0 || req.VisitedVMs[len(req.VisitedVMs)-1] != key.VM {
		return verdict.Refuse(http.StatusConflict, verdict.CodeLoop, "only the owner of an idempotency key sends it to another region")
	}
	switch f.hops.Begin(key, keyWindow(req)) {
	case booking.HopSeen:
		f.metrics.duplicates.Inc(1)
		return refuseDuplicateHop(false)
	case booking.HopClosed:
		f.metrics.duplicates.Inc(1)
		return refuseDuplicateHop(true)
	}
	if req.Deadline.Sub(f.Now()) <= 0 {
		f.hops.MarkClosed(key)
		return refuseDeadline()
	}
	refusal := next.Handle(ctx, req, w)
	if refusal == nil || refusal.Verdict != verdict.NotRun {
		return refusal
	}
	if w.Started() {
		ambiguous := *refusal
		ambiguous.Verdict = verdict.MayHaveRun
		return &ambiguous
	}
	f.hops.MarkClosed(key)
	return refusal
}
