package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// deadlyRequestRuns is the share of the runs with a request on which replicas
	// crash, and deadlyRequestShare the share of it among the requests.
	deadlyRequestRuns  = 0.6
	deadlyRequestShare = 0.08
	// A request may reach replicas maxLateRequests times later than stableWindow after
	// deadlyCrashes replicas have crashed on it.
	deadlyCrashes   = 3
	maxLateRequests = 3
	// quarantineRefusal is a part of the refusal of a quarantined request.
	quarantineRefusal = "servers crash on this request"
)

// chooseDeadlyRequest chooses, in some runs, a request on which replicas crash.
func (h *Harness) chooseDeadlyRequest() {
	if h.statementRNG.Float64() >= deadlyRequestRuns {
		return
	}
	call := &platformtest.Call{Path: requestPaths[h.statementRNG.IntN(len(requestPaths))] + "x", Body: "deadly", Deadline: platformtest.DefaultTimeout}
	if strings.HasPrefix(call.Path, platformtest.PathSafe) {
		call.Path, call.Body = platformtest.PathSafe+"deadly/x", ""
	}
	h.logFault("replicas crash on the request %+v", *call)
	h.SetDeadlyRequest(call)
	h.deadlyRequest.Store(call)
}

// deadlyCall returns the request on which replicas crash, with the ID, if the client
// sends it next, or nil.
func (h *Harness) deadlyCall(id string, rng *rand.Rand) *platformtest.Call {
	call := h.deadlyRequest.Load()
	if call == nil || rng.Float64() >= deadlyRequestShare {
		return nil
	}
	c := *call
	c.ID = id
	return &c
}

// checkDeadlyRequest checks that the request on which replicas crash is kept from
// them, and that sound requests of the plain service are not. A VM is excused for
// stableWindow after a signal or a start.
func (h *Harness) checkDeadlyRequest(requests []request, runs map[string][]platformtest.Execution) {
	var crashes, sent []platformtest.Execution
	for _, r := range requests {
		if r.deadly {
			sent = append(sent, runs[r.id]...)
			continue
		}
		if r.answer.Status == http.StatusServiceUnavailable && strings.Contains(r.answer.Body, quarantineRefusal) && !strings.Contains(r.path, "/stream/") {
			h.recordViolation("%s %s at %s is sound and was refused: %s", r.id, r.path, r.vm, r.answer.Body)
		}
	}
	slices.SortFunc(sent, func(a, b platformtest.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, e := range sent {
		if !slices.ContainsFunc(crashes, func(c platformtest.Execution) bool { return c.Replica == e.Replica }) {
			crashes = append(crashes, e)
		}
	}
	if len(crashes) < deadlyCrashes {
		return
	}
	bound, late := crashes[deadlyCrashes-1].StartedAt.Add(stableWindow), 0
	entries := h.entries(requests)
	for _, e := range sent {
		p := entries[e.ID]
		if e.StartedAt.After(bound) && p.Zone == h.ZoneOf(e.Replica) && !p.signalledWithin(e.StartedAt.Add(-stableWindow), e.StartedAt) {
			late++
		}
	}
	if late > maxLateRequests {
		h.recordViolation("replicas got the request on which %d of them had crashed %d times later than %v after the third; allowed %d", len(crashes), late, stableWindow, maxLateRequests)
	}
}

// noDeadlyRequest ends the requests on which replicas crash.
func (h *Harness) noDeadlyRequest() {
	h.deadlyRequest.Store(nil)
	time.Sleep(100 * time.Millisecond) // those on their way
	h.SetDeadlyRequest(nil)
}
