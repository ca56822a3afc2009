package bookingfilter

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/filter/residency"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Lookup answers GET /v1/bookings/{key} with the outcome of the key. It waits,
// up to the request's deadline, for a request that is running.
func (f *Filter) Lookup(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	if !req.Snapshot.Config.Permits(req.Team, f.Self.Region) {
		return refuseRegion(req)
	}
	key, err := keyOf(req.Path)
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

// keyOf reads the key of a lookup's path, which may be escaped.
func keyOf(path string) (booking.Key, error) {
	escaped, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathBookings), "?")
	text, err := url.PathUnescape(escaped)
	if err != nil {
		return booking.Key{}, booking.ErrMalformed
	}
	return booking.ParseKey(text)
}

// IsLookup reports whether the request asks for the outcome of a key.
func IsLookup(req *pipeline.Request) bool { return strings.HasPrefix(req.Path, wire.PathBookings) }

// CorrectLookupRefusal gives a refusal of a question for the outcome of a key a true
// verdict: that the question was not answered says nothing of the outcome.
func CorrectLookupRefusal(refusal *verdict.Refusal) *verdict.Refusal {
	if refusal == nil || refusal.Verdict != verdict.NotRun || isForGood(refusal) {
		return refusal
	}
	settled := *refusal
	settled.Verdict = verdict.MayHaveRun
	return &settled
}

// LookupFilter returns the filter that goes before all filters of lookups.
func LookupFilter() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			return CorrectLookupRefusal(next.Handle(ctx, req, w))
		})
	}
}

func (f *Filter) lookupOwn(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response) *verdict.Refusal {
	record, decision := f.table.Find(key)
	switch {
	case decision == booking.Evicted:
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

// refuseRegion refuses to pass an answer through this region.
func refuseRegion(req *pipeline.Request) *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeWrongRegion, "the team's residency rule does not permit this region; ask one of the entries", 0)
	refusal.Status = http.StatusMisdirectedRequest
	refusal.Entries = residency.PermittedEntries(req.Snapshot, req.Team)
	return refusal
}
