// Package admission refuses work that a team may not or cannot have done now.
package admission

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Config holds what the filter needs.
type Config struct {
	Now   clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
}

// New returns the filter.
func New(Config) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			return next.Handle(ctx, req, w)
		})
	}
}
