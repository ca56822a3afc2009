package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
)

// hasReplacement reports whether another VM of the region accepts requests.
func (e *Edge) hasReplacement() bool {
	return slices.ContainsFunc(e.mesh.Members(), func(m mesh.Member) bool {
		return m.Region == e.self.Region && m.AcceptsRequests()
	})
}

// shutdown announces that this VM is shutting down, continues to accept requests
// while callers learn of the shutdown from the directory, and then finishes the
// requests in flight.
func (e *Edge) shutdown(callers *drain.Server, hops *http.Server) {
	grace := e.settings.Load().Grace
	end := time.Now().Add(grace - graceMargin)
	e.leaving.Store(true)
	e.ready.Store(false)
	e.mesh.SetState(mesh.State{Leaving: true})
	linger := time.Duration(lingerShare * float64(grace))
	e.log.Info("shutting down", "grace", grace, "linger", linger)
	time.Sleep(linger)
	e.exitAt.Store(int64(e.now().Add(time.Until(end))))
	for time.Now().Before(end.Add(-lastAcceptMargin)) && !e.hasReplacement() {
		time.Sleep(replacementPollInterval)
	}
	e.refusing.Store(true)
	e.mesh.SetState(mesh.State{Leaving: true, Closing: true})
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		e.log.Warn("requests interrupted at the end of the grace time", "error", err)
	}
	if err := hops.Shutdown(ctx); err != nil {
		e.log.Warn("hops interrupted at the end of the grace time", "error", err)
	}
	_ = callers.Close()
	_ = hops.Close()
}
