package bookingfilter

import (
	"context"
	"net/http"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Lookup answers GET /v1/bookings/{key} with the outcome of the key. It waits,
// up to the request's deadline, for a request that is running.
func (f *Filter) Lookup(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	key, err := booking.ParseKey(strings.TrimPrefix(req.Path, wire.PathBookings))
	if err != nil {
		f.metrics.malformed.Inc(1)
		return refuseMalformed()
	}
	if f.Issuer.Issued(key) {
		return f.lookupOwn(ctx, req, key, w)
	}
	owner, refusal := f.findOwner(req, key)
	if refusal != nil {
		f.metrics.unavailable.Inc(1)
		return refusal
	}
	return f.ask(ctx, req, owner, w)
}

func (f *Filter) lookupOwn(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response) *verdict.Refusal {
	record, decision := f.table.Find(key)
	switch {
	case decision == booking.Forgotten:
		return refuseForgotten()
	case decision == booking.Full:
		return refuseFull()
	case record == nil:
		return refuseUnknown()
	case record.Team() != req.Team:
		return refuseMismatch()
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(f.Now()))
	defer cancel()
	return await(ctx, record, w)
}

// refuseUnknown answers for a key with which no attempt has arrived yet. An
// attempt may still be on its way.
func refuseUnknown() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeKeyUnknown, "no request with this idempotency key has arrived; sending it again with the same key is safe", retryAfterUnknown)
	refusal.Status = http.StatusNotFound
	return refusal
}
