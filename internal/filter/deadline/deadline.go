// Package deadline enforces the deadline of requests.
package deadline

import (
	"context"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// New returns the filter. It refuses requests whose deadline has passed and sets
// the deadline on the context of all others.
func New(now clock.Clock) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			remaining := req.Deadline.Sub(now())
			if remaining <= 0 {
				return ExceededRefusal()
			}
			ctx, cancel := context.WithTimeout(ctx, remaining)
			defer cancel()
			return next.Handle(ctx, req, w)
		})
	}
}

// ExceededRefusal returns the refusal of a request that was not executed before
// its deadline.
func ExceededRefusal() *verdict.Refusal {
	return verdict.Refuse(http.StatusGatewayTimeout, verdict.CodeDeadline, "the deadline has passed")
}
