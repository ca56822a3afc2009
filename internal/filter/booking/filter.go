// Package bookingfilter runs non-idempotent requests (bookings) at most once.
//
// The owner named by a request's idempotency key runs the request and answers
// every attempt with the same outcome. Any other entry either forwards the
// request to the owner, without retries, or refuses it. Idempotent requests
// pass through unchanged.
package bookingfilter

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// defaultKeyWindow is the validity of a key if the route has no policy or its
// policy sets no window.
const defaultKeyWindow = 5 * time.Minute

// Config configures a Filter. Zero limits mean the defaults.
type Config struct {
	Self   snapshot.Identity
	Issuer *booking.Issuer
	Peer   pipeline.PeerSender
	Now    clock.Clock
	Log    *slog.Logger
	Scope  tally.Scope

	MaxRecords     int
	MaxCachedBytes int
	MaxHops        int
}

// Filter is the booking filter of a gateway.
type Filter struct {
	Config
	table   *booking.Table
	hops    *booking.HopTable
	metrics metrics
}

// New returns a Filter without records.
func New(config Config) *Filter {
	return &Filter{
		Config: config,
		table: booking.NewTable(booking.TableConfig{
			Issuer: config.Issuer, Now: config.Now,
			MaxRecords: config.MaxRecords, MaxCachedBytes: config.MaxCachedBytes,
		}),
		hops:    booking.NewHopTable(config.Now, config.MaxHops),
		metrics: newMetrics(config.Scope.SubScope("bookings")),
	}
}

// Filter returns the pipeline filter that runs bookings at most once.
func (f *Filter) Filter() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			if req.Idempotent {
				return next.Handle(ctx, req, w)
			}
			return f.handle(ctx, req, w, next)
		})
	}
}

func (f *Filter) handle(ctx context.Context, req *pipeline.Request, w pipeline.Response, next pipeline.Handler) *verdict.Refusal {
	if req.Key == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.CodeKeyMissing, "this call needs an idempotency key")
	}
	key, err := booking.ParseKey(req.Key)
	if err != nil {
		f.metrics.malformed.Inc(1)
		return refuseMalformed()
	}
	switch {
	case req.Hop == pipeline.HopRegion:
		return f.handleRegionHop(ctx, req, key, w, next)
	case f.Issuer.Issued(key):
		return f.handleAsOwner(ctx, req, key, w, next)
	default:
		return f.forwardToOwner(ctx, req, key, w)
	}
}

// State is the bookings section of the state dump.
type State struct {
	// Records is the number of records of keys that this incarnation owns.
	Records int `json:"records"`
	// CachedBytes is the size of the answers cached for repeated attempts.
	CachedBytes int `json:"heldBytes"`
	// ReceivedHops is the number of recorded keys of other owners, received over
	// region hops.
	ReceivedHops int `json:"receivedHops"`
	// KeyPrefix is the key prefix of the current epoch.
	KeyPrefix string `json:"keyPrefix"`
}

// State returns a State for the state dump.
func (f *Filter) State() any {
	records, cachedBytes := f.table.Size()
	return State{
		Records: records, CachedBytes: cachedBytes,
		ReceivedHops: f.hops.Size(), KeyPrefix: f.Issuer.Prefix(),
	}
}

// keyWindow returns the validity of the keys of the request's route.
func keyWindow(req *pipeline.Request) time.Duration {
	policy := req.Snapshot.Config.PolicyOf(req.Target)
	if policy == nil || policy.Spec.KeyWindow <= 0 {
		return defaultKeyWindow
	}
	return policy.Spec.KeyWindow.AsDuration()
}

type metrics struct {
	run         tally.Counter
	repeated    tally.Counter
	closed      tally.Counter
	ambiguous   tally.Counter
	malformed   tally.Counter
	mismatch    tally.Counter
	passed      tally.Counter
	duplicates  tally.Counter
	unavailable tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		run:         scope.Counter("run"),
		repeated:    scope.Counter("repeated"),
		closed:      scope.Counter("keys_closed"),
		ambiguous:   scope.Counter("may_have_run"),
		malformed:   scope.Counter("keys_malformed"),
		mismatch:    scope.Counter("keys_mismatched"),
		passed:      scope.Counter("passed_to_owner"),
		duplicates:  scope.Counter("duplicate_hops"),
		unavailable: scope.Counter("owner_unavailable"),
	}
}
