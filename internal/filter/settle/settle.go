// Package settle corrects the verdict of refusals issued before the booking filter.
//
// A filter before the booking filter may refuse a request without knowing
// whether an earlier attempt with the same idempotency key was executed. Such a
// refusal may carry the verdict not-run only after the owner of the key has closed
// the key.
package settle

import (
	"context"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Closer closes idempotency keys.
type Closer interface {
	// Close closes the key of the request if this process owns the key and no
	// request with it was executed. It reports whether it is certain that none
	// was or ever will be.
	Close(req *pipeline.Request) bool
}

// New returns the filter that corrects refusals. It must come before all filters
// that may refuse.
func New(closer Closer) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			return CorrectRefusal(closer, req, next.Handle(ctx, req, w))
		})
	}
}

// CorrectRefusal returns the refusal with a verdict that is valid for all attempts
// with the request's key. A refusal of the booking filter is returned unchanged.
func CorrectRefusal(closer Closer, req *pipeline.Request, refusal *verdict.Refusal) *verdict.Refusal {
	if refusal == nil || refusal.Verdict != verdict.NotRun || req.Key == "" || req.KeyChecked {
		return refusal
	}
	corrected := *refusal
	if closer.Close(req) {
		corrected.KeyClosed = true
	} else {
		corrected.Verdict = verdict.MayHaveRun
	}
	return &corrected
}

// MarkKeyChecked returns the filter that must come immediately before the booking
// filter. From then on the booking filter is responsible for the verdict.
func MarkKeyChecked() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			req.KeyChecked = true
			return next.Handle(ctx, req, w)
		})
	}
}
