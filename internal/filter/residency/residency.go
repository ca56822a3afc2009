// Package residency refuses requests whose team's data must not enter this region.
//
// The filter runs at every gateway that handles a request, each with its own
// configuration, so that either side of a hop may refuse. At the entry it runs
// before the body is read.
package residency

import (
	"context"
	"net/http"
	"sort"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// New returns the filter.
func New() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			if req.Snapshot.Config.Permits(req.Team, req.Snapshot.Self.Region) {
				return next.Handle(ctx, req, w)
			}
			return refuse(req)
		})
	}
}

func refuse(req *pipeline.Request) *verdict.Refusal {
	if req.Hop != pipeline.HopEntry {
		return verdict.Refuse(http.StatusForbidden, verdict.CodeResidency, "the residency rule does not permit the region "+req.Snapshot.Self.Region)
	}
	refusal := verdict.Refuse(http.StatusMisdirectedRequest, verdict.CodeWrongRegion, "the team's residency rule does not permit this region; ask one of the entries")
	refusal.Entries = PermittedEntries(req.Snapshot, req.Team)
	return refusal
}

// PermittedEntries returns the sorted caller addresses of the entry VMs in the
// regions that the team's residency rule permits.
func PermittedEntries(s *snapshot.Snapshot, team string) []string {
	var entries []string
	for _, m := range s.Members {
		if !m.Leaving && m.CallerAddress != "" && s.Config.Permits(team, m.Region) {
			entries = append(entries, m.CallerAddress)
		}
	}
	sort.Strings(entries)
	return entries
}
