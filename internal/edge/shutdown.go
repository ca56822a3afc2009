package edge

import (
	"context"
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
// requests in flight. Those that have no response shortly before the end of the grace
// time are refused; only responses that have begun are cut at its end.
func (e *Edge) shutdown(callers, hops *drain.Server) {
	grace := e.settings.Load().Grace
	end := time.Now().Add(grace - graceMargin)
	lastAnswer := end.Add(-lastAnswerMargin)
	e.lingering.Store(true)
	e.exitAt.Store(int64(e.now().Add(time.Until(lastAnswer))))
	e.leaving.Store(true)
	e.ready.Store(false)
	e.mesh.SetState(mesh.State{Leaving: true})
	linger := time.Duration(lingerShare * float64(grace))
	e.log.Info("shutting down", "grace", grace, "linger", linger)
	refuseWaiting := time.AfterFunc(time.Until(lastAnswer), e.refuseWaiting)
	defer refuseWaiting.Stop()
	time.Sleep(linger)
	e.lingering.Store(false)
	for time.Now().Before(end.Add(-lastAcceptMargin)) && !e.hasReplacement() {
		time.Sleep(replacementPollInterval)
	}
	e.refusing.Store(true)
	e.mesh.SetState(mesh.State{Leaving: true, Closing: true})
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		e.log.Warn("connections of callers still open at the end of the grace time", "error", err)
	}
	if err := hops.WaitIdle(ctx); err != nil {
		e.log.Warn("hops still in flight at the end of the grace time", "error", err)
	}
	e.cutResponses(callers, hops)
	_ = callers.Close()
	_ = hops.Close()
}

// refuseWaiting refuses the requests in flight that have no response yet.
func (e *Edge) refuseWaiting() {
	if n := e.relay.EndWaiting(); n > 0 {
		e.log.Warn("requests refused that still wait at the end of the grace time", "requests", n)
	}
}

// cutResponses cuts the responses that are still in flight and waits a moment until their
// handlers have ended, so that each is logged.
func (e *Edge) cutResponses(callers, hops *drain.Server) {
	if n := e.relay.EndAll(); n > 0 {
		e.log.Warn("responses cut at the end of the grace time", "requests", n)
	}
	// Requests that were refused before may not have written their refusals yet.
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	for _, s := range []*drain.Server{callers, hops} {
		if err := s.WaitIdle(ctx); err != nil {
			e.log.Warn("requests still in flight after their end", "error", err)
		}
	}
}
