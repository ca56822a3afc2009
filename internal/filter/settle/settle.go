// Package settle makes early refusals of bookings truthful.
//
// A filter before the booking filter may refuse a request without knowing
// whether an earlier attempt with the same idempotency key has run. Such a
// refusal says not-run only after the owner of the key has closed it.
package settle

import (
	"context"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Closer closes idempotency keys.
type Closer interface {
	// Close closes the key of the request if this process owns the key and
	// nothing ran with it. It reports whether nothing can ever run with it.
	Close(req *pipeline.Request) bool
}

// New returns the filter. It stands before all filters that may refuse.
func New(closer Closer) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			return CorrectRefusal(closer, req, next.Handle(ctx, req, w))
		})
	}
}

// CorrectRefusal returns the refusal with a verdict that is true for all attempts
// with the request's key. A refusal of the booking filter is returned as it is.
func CorrectRefusal(closer Closer, req *pipeline.Request, refusal *verdict.Refusal) *verdict.Refusal {
	if refusal == nil || refusal.Verdict != verdict.NotRun || req.Key == "" || req.KeyChecked {
		return refusal
	}
	settled := *refusal
	if closer.Close(req) {
		settled.KeyClosed = true
	} else {
		settled.Verdict = verdict.MayHaveRun
	}
	return &settled
}

// MarkKeyChecked returns the filter that stands right before the booking filter. From
// there on the booking filter answers for the verdict.
func MarkKeyChecked() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			req.KeyChecked = true
			return next.Handle(ctx, req, w)
		})
	}
}
