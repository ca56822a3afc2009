package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// copyingRuns is the share of the runs in which replicas send copies of their refusals.
	copyingRuns = 0.6
	// repeatingRuns is the share of these in which clients send what was refused again under
	// its ID, up to maxRepeats times, and singleVMRuns that in which all engines are in a
	// region with a single VM, to which the others must send.
	repeatingRuns = 0.5
	singleVMRuns  = 0.5
	// singleVMCalm is how many times longer the mean time between two faults is in these.
	singleVMCalm = 4
	maxRepeats   = 3
	// maxRepeatPause bounds the time until a client sends a request again.
	maxRepeatPause = 30 * time.Millisecond
)

// copies is how a run's replicas refuse requests and send copies of their refusals.
type copies struct {
	// sent is what each replica does, or nil.
	sent *platformtest.Copying
	// repeatIDs means that clients send what was refused again under its ID.
	repeatIDs bool
	// singleVM means that all engines are in the first zone, which has one VM.
	singleVM bool
}

// chooseCopies chooses, in some runs, that replicas send copies of their refusals.
func (h *Harness) chooseCopies() {
	if h.copyRNG.Float64() >= copyingRuns {
		return
	}
	h.copies = copies{
		sent: &platformtest.Copying{
			RefusedShare: 0.1 + 0.4*h.copyRNG.Float64(), CopiedShare: 0.5 + 0.5*h.copyRNG.Float64(), LateShare: 0.3 * h.copyRNG.Float64(),
			BrokenShare: 0.35 * h.copyRNG.Float64(),
		},
		repeatIDs: h.copyRNG.Float64() < repeatingRuns, singleVM: h.copyRNG.Float64() < singleVMRuns,
	}
	h.copies.sent.HeldShare = h.copyRNG.Float64()
	if h.copies.singleVM {
		// Servers that refuse streams and break them off bring them back to that VM, unless
		// the VM is mostly disturbed.
		h.copies.sent.RefusedShare = (0.5 + h.copies.sent.RefusedShare) / 2
		h.copies.sent.BrokenShare = (0.4 + h.copies.sent.BrokenShare) / 2
		h.copies.sent.HeldShare = (1 + h.copies.sent.HeldShare) / 2
		h.MeanFaultInterval *= singleVMCalm
	}
	h.logFault("replicas refuse requests and send copies: %+v; clients repeat IDs: %t; one VM beside the engines: %t", *h.copies.sent, h.copies.repeatIDs, h.copies.singleVM)
}

// newCopying returns what the next replica does, with a seed of its own, or nil.
func (h *Harness) newCopying() *platformtest.Copying {
	if h.copies.sent == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := *h.copies.sent
	c.Seed = h.copyRNG.Uint64()
	return &c
}

// zonesOf returns the zones in which replicas of a service run, and enginesIn the number of
// engines in each zone with engines. One that refuses and one that breaks a stream off leave
// a third one.
func (h *Harness) zonesOf(service string) []string {
	if h.copies.singleVM && service == platformtest.EngineService {
		return zones[:1]
	}
	return zones
}

func (h *Harness) enginesIn(zone string) int {
	switch {
	case !slices.Contains(h.zonesOf(platformtest.EngineService), zone):
		return 0
	case h.copies.singleVM:
		return h.Engines + 1
	}
	return h.Engines
}

// vmsIn returns the number of VMs in a zone, and clientsAt that of clients of each VM. With
// few clients, requests come back to the connections that carried them.
func (h *Harness) vmsIn(zone string) int {
	if h.copies.singleVM && zone == zones[0] {
		return 1
	}
	return h.VMs
}

func (h *Harness) clientsAt() int {
	if h.copies.singleVM {
		return 1
	}
	return clientsPerVM
}

// pathOf returns the path of a request for which a path was drawn: more often that of
// streams that may go on at another server, if they come back to the same VM.
func (h *Harness) pathOf(drawn string, repeatRNG *rand.Rand) string {
	if h.copies.singleVM && repeatRNG.IntN(2) == 0 {
		return platformtest.PathResumableStream
	}
	return drawn
}

// sendRepeatedly sends a request, and again under its ID while it is refused, and records
// each sending.
func (h *Harness) sendRepeatedly(ctx context.Context, r request, repeatRNG *rand.Rand, send func() platformtest.Answer) {
	for repeats := 0; ; repeats++ {
		r.answer = send()
		r.endedAt = time.Now()
		again := h.copies.repeatIDs && h.mayRepeat(r) && repeats < maxRepeats && ctx.Err() == nil
		if again {
			time.Sleep(time.Duration(repeatRNG.Int64N(int64(maxRepeatPause))))
			r.repeatedAt = time.Now()
		}
		h.mu.Lock()
		h.requests = append(h.requests, r)
		h.mu.Unlock()
		if !again {
			return
		}
		r.sentAt, r.repeatedAt = r.repeatedAt, time.Time{}
	}
}

// mayRepeat reports whether a client may send a request again under its ID. Those on which
// replicas crash are counted by ID, and a route that changes may have been safe for the first
// sending only.
func (h *Harness) mayRepeat(r request) bool {
	return isNotExecuted(r.answer.Status) && !r.deadly && r.path != platformtest.PathChanging
}

// isNotExecuted reports whether a status states that the request hasn't run.
func isNotExecuted(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// ofSending returns the executions of a request that may be those of one of its sendings:
// later ones have executions of their own.
func ofSending(r request, runs []platformtest.Execution) []platformtest.Execution {
	if r.repeatedAt.IsZero() {
		return runs
	}
	return slices.DeleteFunc(slices.Clone(runs), func(e platformtest.Execution) bool { return !e.StartedAt.Before(r.repeatedAt) })
}

// logCopies records how many copies replicas sent.
func (h *Harness) logCopies() {
	sent, own := 0, 0
	for _, e := range h.Executions.All() {
		sent, own = sent+e.Copies, own+e.OwnCopies
	}
	h.logFault("replicas sent %d copies of refusals, %d while the refused request ran on the connection", sent, own)
}
