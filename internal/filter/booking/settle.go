package bookingfilter

import (
	"context"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Settle makes a refusal from before the booking filter true for all attempts
// with the request's key: "not run" is said only after the key is closed. At a
// gateway that can't close the key the verdict becomes MayHaveRun.
func (f *Filter) Settle(req *pipeline.Request, refusal *verdict.Refusal) *verdict.Refusal {
	if refusal == nil || refusal.Verdict != verdict.NotRun || req.Key == "" || isForGood(refusal) {
		return refusal
	}
	key, err := booking.ParseKey(req.Key)
	if err != nil {
		return refusal
	}
	switch {
	case req.Hop == pipeline.HopRegion:
		if f.hops.Close(key, keyWindow(req)) == booking.HopClosed {
			return refusal
		}
	case f.Issuer.Issued(key):
		if f.close(key, req.Team) {
			return closing(refusal)
		}
	case f.Issuer.Owns(key):
		return refusal
	}
	ambiguous := *refusal
	ambiguous.Verdict = verdict.MayHaveRun
	if ambiguous.RetryAfter == 0 {
		ambiguous.RetryAfter = retryAfterUnknown
	}
	return &ambiguous
}

// close reports whether the key is closed and never ran.
func (f *Filter) close(key booking.Key, team string) bool {
	record, decision := f.table.Close(key, team)
	switch decision {
	case booking.Full:
		return true
	case booking.Wait:
		return record.NeverRan()
	default:
		return false
	}
}

// Seal returns a filter that goes before all filters that may refuse a request
// ahead of the booking filter. It settles their refusals.
func (f *Filter) Seal() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			return f.Settle(req, next.Handle(ctx, req, w))
		})
	}
}
