// Package hopguard refuses requests that go round in a loop.
//
// The kinds of hops already rule loops out: each kind is used at most once and
// in one order. The guard holds against forged, repeated and damaged trails.
package hopguard

import (
	"context"
	"net/http"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// maxTrail is the number of VMs before the last possible receiver: the entry
// and the owner.
const maxTrail = 2

// New returns the filter.
func New() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			if !Acceptable(req.Hop, req.VisitedVMs, req.Snapshot.Self.VM) {
				return verdict.Refuse(http.StatusLoopDetected, verdict.CodeLoop, "the request has already been here or took too many hops")
			}
			return next.Handle(ctx, req, w)
		})
	}
}

// Acceptable reports whether a request with the hop and trail may be handled
// by the VM self.
func Acceptable(hop pipeline.Hop, trail []string, self string) bool {
	if slices.Contains(trail, self) || hasRepeat(trail) {
		return false
	}
	switch hop {
	case pipeline.HopEntry:
		return len(trail) == 0
	case pipeline.HopOwner:
		return len(trail) == 1
	case pipeline.HopRegion:
		return len(trail) >= 1 && len(trail) <= maxTrail
	default:
		return false
	}
}

func hasRepeat(trail []string) bool {
	for i, vm := range trail {
		if slices.Contains(trail[:i], vm) {
			return true
		}
	}
	return false
}
