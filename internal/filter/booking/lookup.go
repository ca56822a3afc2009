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

// Lookup answers GET /v1/bookings/{key} with the outcome of the key. If the
// request is still running, Lookup waits up to the deadline of the lookup.
func (f *Filter) Lookup(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	if !req.Snapshot.Config.Permits(req.Team, f.Self.Region) {
		return refuseWrongRegion(req)
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
	return f.sendToOwner(ctx, req, owner, w)
}

// keyOf parses the key in the path of a lookup, which may be percent-encoded.
func keyOf(path string) (booking.Key, error) {
	escaped, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathBookings), "?")
	text, err := url.PathUnescape(escaped)
	if err != nil {
		return booking.Key{}, booking.ErrMalformed
	}
	return booking.ParseKey(text)
}

// IsLookup reports whether the request is a lookup of a key's outcome.
func IsLookup(req *pipeline.Request) bool { return strings.HasPrefix(req.Path, wire.PathBookings) }

// CorrectLookupRefusal changes the verdict of a failed lookup from "not run" to
// "may have run": the lookup didn't run, but the booking may have. A refusal
// that applies to all attempts stays as it is.
func CorrectLookupRefusal(refusal *verdict.Refusal) *verdict.Refusal {
	if refusal == nil || refusal.Verdict != verdict.NotRun || appliesToAllAttempts(refusal) {
		return refusal
	}
	corrected := *refusal
	corrected.Verdict = verdict.MayHaveRun
	return &corrected
}

// LookupFilter returns the filter that corrects the refusals of lookups. It must
// be the first one in their pipeline.
func LookupFilter() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			return CorrectLookupRefusal(next.Handle(ctx, req, w))
		})
	}
}

func (f *Filter) lookupOwn(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response) *verdict.Refusal {
	record, decision := f.table.Find(key, req.Team)
	switch {
	case decision == booking.Evicted:
		return refuseEvicted()
	case decision == booking.Full:
		return refuseFull()
	case record == nil:
		return refuseUnknownKey()
	case record.Team() != req.Team:
		return refuseMismatch()
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(f.Now()))
	defer cancel()
	return awaitOutcome(ctx, record, w)
}

// refuseUnknownKey refuses the lookup of a key without an attempt. The verdict is
// "may have run" because an attempt may still be in transit.
func refuseUnknownKey() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeKeyUnknown, "no request with this idempotency key has arrived; sending it again with the same key is safe", retryAfterUnknown)
	refusal.Status = http.StatusNotFound
	return refusal
}

// refuseWrongRegion refuses a lookup whose answer must not pass through this
// region.
func refuseWrongRegion(req *pipeline.Request) *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeWrongRegion, "the team's residency rule does not permit this region; ask one of the entries", 0)
	refusal.Status = http.StatusMisdirectedRequest
	refusal.Entries = residency.PermittedEntries(req.Snapshot, req.Team)
	return refusal
}
