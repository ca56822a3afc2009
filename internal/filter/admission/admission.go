// Package admission enforces the rate and concurrency limits of teams.
//
// Requests above a limit are refused at once, with the time after which a retry
// is useful. Package route handles queueing and the deadline, as it chooses the
// backend server.
package admission

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/limits"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Config holds the dependencies of the filter.
type Config struct {
	// Limiter may be shared with the exchange of demand reports. If it is nil,
	// the filter creates its own.
	Limiter *limits.Limiter
	Now     clock.Clock
	Log     *slog.Logger
	Scope   tally.Scope
}

// New returns the filter.
func New(cfg Config) pipeline.Filter {
	if cfg.Limiter == nil {
		cfg.Limiter = limits.NewLimiter(cfg.Now)
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	limited := cfg.Scope.SubScope("admission").Counter("limited")
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			// The gateway that sent a cross-region hop has already counted the request.
			if req.Hop == pipeline.HopRegion {
				return next.Handle(ctx, req, w)
			}
			release, wait := cfg.Limiter.Admit(req.Snapshot, req.Team, maxTokens(req))
			if release == nil {
				limited.Inc(1)
				return refuse(wait)
			}
			defer release()
			return next.Handle(ctx, req, w)
		})
	}
}

// maxTokens returns the maximum number of tokens that the request may use.
func maxTokens(req *pipeline.Request) int { return req.Chat.PromptTokens + req.Chat.MaxTokens }

func refuse(wait time.Duration) *verdict.Refusal {
	refusal := verdict.Refuse(http.StatusTooManyRequests, verdict.CodeLimited, "the team's limit is used up")
	refusal.RetryAfter = wait
	return refusal
}
