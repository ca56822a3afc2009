package bookingfilter

import (
	"context"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// forwardToOwner handles an attempt at a gateway that doesn't own its key.
func (f *Filter) forwardToOwner(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response) *verdict.Refusal {
	owner, refusal := f.findOwner(req, key)
	if refusal != nil {
		f.metrics.unavailable.Inc(1)
		return refusal
	}
	f.metrics.passed.Inc(1)
	return f.sendToOwner(ctx, req, owner, w)
}

// sendToOwner sends the request to the owner without retries.
func (f *Filter) sendToOwner(ctx context.Context, req *pipeline.Request, owner *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	refusal := f.Peer.SendPeer(ctx, req, pipeline.HopOwner, owner, w)
	if refusal == nil || refusal.Verdict != verdict.NotRun || appliesToAllAttempts(refusal) {
		return refusal
	}
	// This attempt didn't reach the owner, but another one may have run there.
	f.Log.Info("owner unreachable", "request", req.ID, "owner", owner.VM, "code", refusal.Code)
	f.metrics.unavailable.Inc(1)
	return refuseOwnerUnreachable()
}

// appliesToAllAttempts reports whether a "not run" refusal is valid for all
// attempts: the key is closed, or the request can't run with this key.
func appliesToAllAttempts(refusal *verdict.Refusal) bool {
	return refusal.KeyClosed || refusal.Code == verdict.CodeKeyMismatch || refusal.Code == verdict.CodeKeyMalformed
}

// findOwner returns the gateway on the key's VM, or a refusal if that gateway
// can't or must not be asked. The incarnation isn't compared here: a restarted
// gateway refuses keys of its earlier incarnations itself.
func (f *Filter) findOwner(req *pipeline.Request, key booking.Key) (*snapshot.Member, *verdict.Refusal) {
	switch {
	case f.Issuer.Owns(key):
		// The MAC is wrong: the prefix was never issued.
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

// checkRegion returns a refusal if the residency rule doesn't permit the owner's
// region, or if the owner is in another region and the configuration may be
// stale.
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
	if policy == nil || req.Snapshot.ConfigFresh(f.Now(), policy.Spec.MaxConfigAge.AsDuration()) {
		return nil
	}
	return verdict.Ambiguous(verdict.CodeUnconfirmed, "the configuration is unconfirmed, so that nothing is sent to the region of the key's owner", retryAfterUnknown)
}
