package bookingfilter

import (
	"context"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// pass handles an attempt at a gateway that doesn't own its key.
func (f *Filter) pass(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response) *verdict.Refusal {
	owner, refusal := f.findOwner(req, key)
	if refusal != nil {
		f.metrics.unavailable.Inc(1)
		return refusal
	}
	f.metrics.passed.Inc(1)
	return f.ask(ctx, req, owner, w)
}

// ask passes the request to the owner, once.
func (f *Filter) ask(ctx context.Context, req *pipeline.Request, owner *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	refusal := f.Peer.SendPeer(ctx, req, pipeline.HopOwner, owner, w)
	if refusal == nil || refusal.Verdict != verdict.NotRun || isForGood(refusal) {
		return refusal
	}
	// The hop was not made. Another attempt may have run at the owner.
	f.Log.Info("owner unreachable", "request", req.ID, "owner", owner.VM, "code", refusal.Code)
	f.metrics.unavailable.Inc(1)
	return refuseOwnerUnreachable()
}

// isForGood reports whether a refusal of a request that did not run holds for
// all attempts: the key is closed, or the request can't run under this key.
func isForGood(refusal *verdict.Refusal) bool {
	return refusal.KeyClosed || refusal.Code == verdict.CodeKeyMismatch || refusal.Code == verdict.CodeKeyMalformed
}

// findOwner returns the gateway that may own the key, or the answer to give
// without asking it. The owner itself says whether its incarnation is gone.
func (f *Filter) findOwner(req *pipeline.Request, key booking.Key) (*snapshot.Member, *verdict.Refusal) {
	switch {
	case f.Issuer.Owns(key):
		// The code is wrong: the prefix was never issued.
		return nil, refuseMalformed()
	case key.VM == f.Self.VM:
		return nil, refuseOwnerGone()
	case req.Hop != pipeline.HopEntry:
		return nil, refuseOwnerUnreachable()
	}
	owner := req.Snapshot.Members[key.VM]
	switch {
	case owner == nil && len(req.Snapshot.Members) == 0:
		return nil, refuseOwnerUnreachable()
	case owner == nil:
		return nil, refuseOwnerGone()
	case !owner.Reachable:
		return nil, refuseOwnerUnreachable()
	default:
		return owner, f.checkRegion(req, owner)
	}
}

// checkRegion refuses to pass data to a region where it may not be, or to
// another region under a configuration that may be old.
func (f *Filter) checkRegion(req *pipeline.Request, owner *snapshot.Member) *verdict.Refusal {
	if !req.Snapshot.Config.Permits(req.Team, owner.Region) {
		refusal := verdict.Ambiguous(verdict.CodeResidency, "the team's residency rule does not permit the region of the key's owner", 0)
		refusal.Final = true
		return refusal
	}
	if owner.Region == f.Self.Region {
		return nil
	}
	policy := req.Snapshot.Config.PolicyOf(req.Target)
	if policy == nil || req.Snapshot.ConfigFresh(f.Now(), policy.Spec.MaxConfigAge.D()) {
		return nil
	}
	return verdict.Ambiguous(verdict.CodeUnconfirmed, "the configuration is unconfirmed, so that nothing is sent to the region of the key's owner", retryAfterUnknown)
}
