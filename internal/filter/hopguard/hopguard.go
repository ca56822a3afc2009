// Package hopguard refuses requests that loop between VMs.
//
// The hop types already prevent loops: each is used at most once and in a fixed
// order. The guard rejects forged, repeated and damaged lists of visited VMs.
package hopguard

import (
	"context"
	"net/http"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// maxVisited is the maximum number of VMs that handled a request before its last
// receiver: the entry and the owner.
const maxVisited = 2

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

// Acceptable reports whether the VM self may handle a request that arrived by the
// hop and was handled by the visited VMs before.
func Acceptable(hop pipeline.Hop, visited []string, self string) bool {
	if slices.Contains(visited, self) || hasDuplicate(visited) {
		return false
	}
	switch hop {
	case pipeline.HopEntry:
		return len(visited) == 0
	case pipeline.HopOwner:
		return len(visited) == 1
	case pipeline.HopRegion:
		return len(visited) >= 1 && len(visited) <= maxVisited
	default:
		return false
	}
}

func hasDuplicate(visited []string) bool {
	for i, vm := range visited {
		if slices.Contains(visited[:i], vm) {
			return true
		}
	}
	return false
}
