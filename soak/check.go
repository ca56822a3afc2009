package soak

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// maxDrainDelay is the time after a replica starts to drain during which it
// may still receive requests. It follows from the deployment's limits.
const maxDrainDelay = 4 * time.Second

// check compares the responses that clients received with the executions that
// replicas recorded.
func (h *Harness) check() {
	runs := map[string][]platformtest.Execution{}
	for _, r := range h.Executions.All() {
		runs[r.ID] = append(runs[r.ID], r)
	}
	h.mu.Lock()
	requests := h.requests
	h.mu.Unlock()
	known := map[string]bool{}
	served := 0
	for _, r := range requests {
		known[r.id] = true
		h.checkAnswer(r, runs[r.id])
		if r.answer.Status == http.StatusOK && r.answer.Complete {
			served++
		}
	}
	h.logFault("%d requests, %d served", len(requests), served)
	if served == 0 {
		h.recordViolation("no request was served")
	}
	for id, list := range runs {
		if !known[id] {
			h.recordViolation("%s was executed, but no client sent it: %+v", id, list)
		}
	}
	h.checkReplicas(runs)
	if h.CountRuns {
		h.checkOverlaps(requests)
	}
	if h.Teams {
		h.checkTeams(requests, runs)
	}
	h.checkLimits(requests)
	h.checkVersions()
	h.checkDeadlyRequest(requests, runs)
	h.logCopies()
}

// isRepeatable reports whether a request may be executed more than once.
func (h *Harness) isRepeatable(r request) bool {
	if r.path == platformtest.PathChanging {
		return !h.changing.unsafeDuring(period{r.sentAt.Add(-maxConfigDelay), r.endedAt})
	}
	path := r.path
	return strings.HasPrefix(path, platformtest.PathSafe) || strings.HasPrefix(path, platformtest.PathResumableStream) ||
		strings.HasPrefix(path, platformtest.PathHomeRegions)
}

// checkAnswer checks the status, the number of executions and the duration of
// a request.
func (h *Harness) checkAnswer(r request, runs []platformtest.Execution) {
	if !h.isRepeatable(r) && len(runs) > 1 && r.repeatedAt.IsZero() {
		h.recordViolation("%s %s was executed %d times: %+v", r.id, r.path, len(runs), runs)
	}
	switch r.answer.Status {
	case 0:
		h.checkUnanswered(r, runs)
	case http.StatusOK:
		h.checkSuccess(r, runs)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs := ofSending(r, runs); len(runs) > 0 && !h.isRepeatable(r) {
			h.recordViolation("%s %s at %s was reported as not executed, but was: %+v", r.id, r.path, r.vm, runs)
		}
	case http.StatusNotFound, http.StatusBadRequest:
		h.recordViolation("%s %s at %s got status %d: %s", r.id, r.path, r.vm, r.answer.Status, r.answer.Body)
	}
	if r.answer.Status != 0 && r.endedAt.Sub(r.sentAt) > platformtest.DefaultTimeout+time.Second && !h.signalledDuring(r) {
		h.recordViolation("%s %s at %s got its response after %v", r.id, r.path, r.vm, r.endedAt.Sub(r.sentAt))
	}
}

// checkUnanswered checks that a request that was executed has an answer, unless its client
// gave it up or its VM was killed or paused meanwhile. A planned shutdown is no excuse.
func (h *Harness) checkUnanswered(r request, runs []platformtest.Execution) {
	if len(runs) == 0 || r.answer.Err == nil || errors.Is(r.answer.Err, context.Canceled) || errors.Is(r.answer.Err, context.DeadlineExceeded) ||
		errors.Is(r.answer.Err, syscall.ECONNREFUSED) || h.stoppedDuring(r) {
		return
	}
	h.recordViolation("%s %s at %s was executed and got no answer after %v: %v", r.id, r.path, r.vm, r.endedAt.Sub(r.sentAt), r.answer.Err)
}

// stoppedDuring reports whether the request's VM was killed or paused from before the request
// until its end.
func (h *Harness) stoppedDuring(r request) bool {
	i := slices.IndexFunc(h.vms, func(p *process) bool { return p.Name == r.vm })
	p := h.vms[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.stops, func(at time.Time) bool { return !at.Before(r.sentAt) && !at.After(r.endedAt) })
}

// signalledDuring reports whether the last signal to the request's VM was sent
// later than one second before the request. Only the last signal is recorded, so
// signals after the response count too.
func (h *Harness) signalledDuring(r request) bool {
	for _, p := range h.vms {
		if p.Name == r.vm {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.lastSignal.After(r.sentAt.Add(-time.Second))
		}
	}
	return false
}

// checkSuccess checks the body and the signature of a response with status 200.
func (h *Harness) checkSuccess(r request, runs []platformtest.Execution) {
	var events strings.Builder
	want := platformtest.Body(r.id)
	if strings.Contains(r.path, "/stream/") {
		for n := r.after + 1; n <= 10; n++ {
			events.WriteString(platformtest.Event(r.id, n))
		}
		want = events.String()
	}
	r.answer.Body = platformtest.WithoutVersions(r.answer.Body)
	switch {
	case !r.answer.Complete && !strings.HasPrefix(want, r.answer.Body):
		h.recordViolation("%s %s got a partial response that is not a prefix of the expected one: %q", r.id, r.path, r.answer.Body)
	case r.answer.Complete && r.answer.Body != want:
		h.recordViolation("%s %s got a complete response that differs from the expected one: %q", r.id, r.path, r.answer.Body)
	}
	for _, run := range runs {
		if platformtest.Signature(run.Replica, r.id) == r.answer.Signature {
			return
		}
	}
	h.recordViolation("%s %s: signature %q matches no replica that executed it: %+v", r.id, r.path, r.answer.Signature, runs)
}

// checkReplicas checks that requests were executed only at replicas that may
// execute them.
func (h *Harness) checkReplicas(runs map[string][]platformtest.Execution) {
	h.mu.Lock()
	drainedAt := h.drainedAt
	unplannedUntil := h.unplannedUntil
	h.mu.Unlock()
	for _, list := range runs {
		for _, run := range list {
			if strings.HasPrefix(run.Path, platformtest.PathHomeRegions) && platformtest.Zones[h.ZoneOf(run.Replica)] == "south" {
				h.recordViolation("%s is restricted to its home regions and was executed at %s in south", run.ID, run.Replica)
			}
			if !strings.HasSuffix(run.Path, "/x") {
				h.recordViolation("%s was executed with the path %s", run.ID, run.Path)
			}
			at, draining := drainedAt[run.Replica]
			if draining && run.StartedAt.After(at.Add(maxDrainDelay)) && at.After(unplannedUntil.Add(faultAftermath)) {
				h.recordViolation("%s was executed at %s, %v after the replica started to drain", run.ID, run.Replica, run.StartedAt.Sub(at))
			}
		}
	}
}
