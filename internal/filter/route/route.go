// Package route is the last handler of the pipeline: it chooses the backend
// server or the region that serves a request, sends it, and repeats it where
// that is safe.
package route

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// retryAfterNoBackend is told to callers while nothing can serve them.
const retryAfterNoBackend = time.Second

// Config holds what the handler needs.
type Config struct {
	Backend pipeline.BackendSender
	Peer    pipeline.PeerSender
	// Publisher gives the newest snapshot to requests that waited.
	Publisher *snapshot.Publisher
	Now       clock.Clock
	Log       *slog.Logger
	Scope     tally.Scope
}

// Handler routes requests.
type Handler struct {
	cfg Config
}

var _ pipeline.Handler = (*Handler)(nil)

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// State returns what the handler knows, for the dump.
func (h *Handler) State() any { return struct{}{} }

// Handle implements pipeline.Handler.
func (h *Handler) Handle(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	servers := usable(req)
	for len(servers) > 0 {
		i := rand.IntN(len(servers))
		refusal := h.cfg.Backend.SendBackend(ctx, req, servers[i], w)
		if refusal == nil || w.Started() || refusal.Verdict != verdict.NotRun || ctx.Err() != nil {
			return refusal
		}
		servers = append(servers[:i], servers[i+1:]...)
	}
	if member := h.member(req); member != nil {
		return h.cfg.Peer.SendPeer(ctx, req, pipeline.HopRegion, member, w)
	}
	return verdict.Busy(verdict.CodeNoBackend, "no backend server can serve the request now", retryAfterNoBackend)
}

func usable(req *pipeline.Request) []*objects.BackendServer {
	s := req.Snapshot
	var list []*objects.BackendServer
	for _, server := range s.Config.BackendsOf(req.Target) {
		if s.Config.RegionOf(server.Spec.FailureDomain) != s.Self.Region {
			continue
		}
		status := s.Backends[server.Name]
		if status != nil && (status.Leaving || !status.Healthy) {
			continue
		}
		list = append(list, server)
	}
	return list
}

func (h *Handler) member(req *pipeline.Request) *snapshot.Member {
	s := req.Snapshot
	policy := s.Config.PolicyOf(req.Target)
	if req.Hop == pipeline.HopRegion || policy == nil || !s.ConfigFresh(h.cfg.Now(), policy.Spec.MaxConfigAge.D()) {
		return nil
	}
	for _, m := range s.Members {
		if m.Region == s.Self.Region || m.Leaving || !m.Reachable {
			continue
		}
		if s.Config.Permits(req.Team, m.Region) && s.Config.RouteAllows(req.Target, m.Region) {
			return m
		}
	}
	return nil
}
