package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// drainBound is how long after its word a draining replica may get work, in
// the deployment's bounds.
const drainBound = 4 * time.Second

// check compares what clients got with what replicas ran.
func (w *Harness) check() {
	runs := map[string][]platformtest.Run{}
	for _, r := range w.Ledger.All() {
		runs[r.ID] = append(runs[r.ID], r)
	}
	w.mu.Lock()
	requests := w.requests
	w.mu.Unlock()
	known := map[string]bool{}
	served := 0
	for _, r := range requests {
		known[r.id] = true
		w.checkAnswer(r, runs[r.id])
		if r.answer.Status == http.StatusOK && r.answer.Whole {
			served++
		}
	}
	w.tell("%d requests, %d served", len(requests), served)
	if served == 0 {
		w.breach("no request was served")
	}
	w.checkReplicas(runs)
}

func repeatable(path string) bool {
	return strings.HasPrefix(path, platformtest.PathSafe) || strings.HasPrefix(path, platformtest.PathStream) ||
		strings.HasPrefix(path, platformtest.PathBound)
}

func (w *Harness) checkAnswer(r request, runs []platformtest.Run) {
	if !repeatable(r.path) && len(runs) > 1 {
		w.breach("%s %s ran %d times: %+v", r.id, r.path, len(runs), runs)
	}
	switch r.answer.Status {
	case http.StatusOK:
		w.checkSuccess(r, runs)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 && !repeatable(r.path) {
			w.breach("%s %s at %s was told that it had not run: %+v", r.id, r.path, r.vm, runs)
		}
	case http.StatusNotFound, http.StatusBadRequest:
		w.breach("%s %s at %s got %d: %s", r.id, r.path, r.vm, r.answer.Status, r.answer.Body)
	}
	if r.answer.Status != 0 && r.ended.Sub(r.sent) > platformtest.DefaultTimeout+time.Second && !w.touchedWithin(r) {
		w.breach("%s %s at %s was answered after %v", r.id, r.path, r.vm, r.ended.Sub(r.sent))
	}
}

// touchedWithin reports whether the VM was signalled while the request was at
// work.
func (w *Harness) touchedWithin(r request) bool {
	for _, p := range w.vms {
		if p.Name == r.vm {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.touched.After(r.sent.Add(-time.Second))
		}
	}
	return false
}

func (w *Harness) checkSuccess(r request, runs []platformtest.Run) {
	var events strings.Builder
	want := platformtest.Body(r.id)
	if strings.Contains(r.path, "/stream/") {
		for n := 1; n <= 10; n++ {
			events.WriteString(platformtest.Event(r.id, n))
		}
		want = events.String()
	}
	switch {
	case !r.answer.Whole && !strings.HasPrefix(want, r.answer.Body):
		w.breach("%s %s got bytes that are not its answer: %q", r.id, r.path, r.answer.Body)
	case r.answer.Whole && r.answer.Body != want:
		w.breach("%s %s got a whole answer that is not its own: %q", r.id, r.path, r.answer.Body)
	}
	for _, run := range runs {
		if platformtest.Stamp(run.Replica, r.id) == r.answer.Stamp {
			return
		}
	}
	w.breach("%s %s bears the signature %q of no replica that ran it: %+v", r.id, r.path, r.answer.Stamp, runs)
}

// checkReplicas checks where requests ran.
func (w *Harness) checkReplicas(runs map[string][]platformtest.Run) {
	w.mu.Lock()
	drained := w.drained
	unplanned := w.unplanned
	w.mu.Unlock()
	for _, list := range runs {
		for _, run := range list {
			if strings.HasPrefix(run.Path, platformtest.PathBound) && platformtest.Zones[w.ZoneOf(run.Replica)] == "south" {
				w.breach("%s has homes and ran at %s in south", run.ID, run.Replica)
			}
			if !strings.HasSuffix(run.Path, "/x") {
				w.breach("%s ran with the path %s", run.ID, run.Path)
			}
			at, draining := drained[run.Replica]
			if draining && run.At.After(at.Add(drainBound)) && at.After(unplanned.Add(calmAfter)) {
				w.breach("%s ran at %s, %v after it said that it drains", run.ID, run.Replica, run.At.Sub(at))
			}
		}
	}
}
