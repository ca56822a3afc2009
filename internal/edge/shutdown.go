package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
)

// hasStandIn reports whether another VM of the region takes requests.
func (e *Edge) hasStandIn() bool {
	return slices.ContainsFunc(e.mesh.Members(), func(m mesh.Member) bool {
		return m.Region == e.self.Region && m.AcceptsRequests()
	})
}

// shutdown tells everybody that this VM leaves, goes on taking requests while
// callers learn of it, and then finishes what is in flight.
func (e *Edge) shutdown(callers *drain.Server, hops *http.Server) {
	grace := e.settings.Load().Grace
	end := time.Now().Add(grace - graceMargin)
	e.leaving.Store(true)
	e.ready.Store(false)
	e.mesh.SetState(mesh.State{Leaving: true})
	linger := time.Duration(lingerPart * float64(grace))
	e.log.Info("leaving", "grace", grace, "linger", linger)
	time.Sleep(linger)
	e.endsAt.Store(int64(e.now().Add(time.Until(end))))
	for time.Now().Before(end.Add(-lastCall)) && !e.hasStandIn() {
		time.Sleep(standInPoll)
	}
	e.refusing.Store(true)
	e.mesh.SetState(mesh.State{Leaving: true, Closing: true})
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		e.log.Warn("requests cut at the end of the grace time", "error", err)
	}
	if err := hops.Shutdown(ctx); err != nil {
		e.log.Warn("hops cut at the end of the grace time", "error", err)
	}
	_ = callers.Close()
	_ = hops.Close()
}
