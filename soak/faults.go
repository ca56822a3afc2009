package soak

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// faultModes are the proxy modes that faults use.
var faultModes = []Mode{Delay, Stall, StallResponses, Reset}

// randomMode returns a random proxy mode. Where runs are counted, links are cut instead of
// stalled: bytes that a proxy holds up can't be discarded by their sender.
func (h *Harness) randomMode() Mode {
	mode := faultModes[h.rng.IntN(len(faultModes))]
	switch {
	case h.CountRuns && mode == Stall:
		return Cut
	case h.CountRuns && mode == StallResponses:
		return CutResponses
	}
	return mode
}

// injectFault starts one random fault. Faults last for a while and overlap.
func (h *Harness) injectFault() {
	kinds := []func(){
		h.killVM, h.pauseVM, h.terminateVM, h.hangUpVM, h.failStore, h.degradeStoreLink, h.degradeReplicaLink, h.failReplica,
		h.crashReplica, h.drainReplica, h.publishConfig, h.evacuateZone,
	}
	kinds[h.rng.IntN(len(kinds))]()
}

// injectRegistryFault injects one random fault of a platform whose registry may be
// restored, whose replicas state in their responses that they leave or want a pause
// or end responses early, and whose prompts may crash replicas. It draws from a
// source of its own, so that the other faults of a seed stay the same.
func (h *Harness) injectRegistryFault() {
	kinds := []func(){h.restoreStore, h.announceLeave, h.requestPause, h.endResponsesEarly, h.sendDeadlyPrompts}
	kinds[h.registryRNG.IntN(len(kinds))]()
}

// restoreStore restores the registry from a copy that is up to 3 s old. Replicas
// and operators write again what was lost about one heartbeat later.
func (h *Harness) restoreStore() {
	backup := h.Store.Copy()
	age := time.Duration(200+h.registryRNG.IntN(2800)) * time.Millisecond
	h.markUnplanned(age + 2*rewriteDelay)
	time.AfterFunc(age, func() {
		h.logFault("registry is restored from a copy of %v ago", age)
		h.Store.Restore(backup)
		time.AfterFunc(rewriteDelay, h.Store.Rewrite)
	})
}

// rewriteDelay is the time after a restore in which what was lost is written again.
const rewriteDelay = 1200 * time.Millisecond

// announceLeave makes a replica state in its responses that it leaves. It drains
// later, when a replacement has started.
func (h *Harness) announceLeave() {
	r := h.randomReplica()
	if r == nil {
		return
	}
	h.logFault("%s announces that it leaves", r.ID)
	h.removeReplica(r)
	h.replaceReplica(r)
	r.SetFaults(platformtest.Faults{Leaving: true})
	time.AfterFunc(time.Second, func() { h.Drain(r.ID) })
}

// requestPause makes a replica refuse requests for a while and state for how long.
func (h *Harness) requestPause() {
	r, length := h.randomReplica(), time.Duration(500+h.registryRNG.IntN(1500))*time.Millisecond
	if r == nil {
		return
	}
	values := []string{"0.5", "1", "2", "-1", "soon", "36000"}
	value := values[h.registryRNG.IntN(len(values))]
	h.logFault("%s refuses for %v with retry time %q", r.ID, length, value)
	h.markUnplanned(length)
	r.SetFaults(platformtest.Faults{Shed: true, RetryAfter: value})
	time.AfterFunc(length, func() { r.SetFaults(platformtest.Faults{}) })
}

// endResponsesEarly makes a replica end responses early as if they were complete,
// framed by chunks or by their connection.
func (h *Harness) endResponsesEarly() {
	r, length := h.randomReplica(), time.Duration(500+h.registryRNG.IntN(2000))*time.Millisecond
	if r == nil {
		return
	}
	f := platformtest.Faults{EndAfter: 1 + h.registryRNG.IntN(8), Unframed: h.registryRNG.IntN(2) == 0}
	if f.Unframed {
		f.EndEmpty, f.TruncateJSON = h.registryRNG.IntN(4) == 0, true
	}
	h.logFault("%s ends responses early for %v: %+v", r.ID, length, f)
	h.markUnplanned(length)
	r.SetFaults(f)
	time.AfterFunc(length, func() { r.SetFaults(platformtest.Faults{}) })
}

// continueOddly makes some replicas answer requests that go on with a stream by what is no
// stream, until they are replaced.
func (h *Harness) continueOddly() {
	for _, r := range h.sortedReplicas() {
		odd := platformtest.OddContinuation(h.continuationRNG.IntN(2 * int(platformtest.OddContinuations)))
		if odd == platformtest.SoundContinuation || odd >= platformtest.OddContinuations {
			continue
		}
		h.logFault("%s continues streams oddly: %d", r.ID, odd)
		r.SetOddContinuation(odd)
	}
}

const (
	// deadlyBlock is the prompt block on which replicas crash, and deadlyShare the
	// share of the streams that have it while they are sent.
	deadlyBlock = "dead"
	deadlyShare = 0.05
)

// sendDeadlyPrompts makes clients send some prompts on which replicas crash.
func (h *Harness) sendDeadlyPrompts() {
	length := time.Duration(1000+h.registryRNG.IntN(6000)) * time.Millisecond
	h.logFault("clients send deadly prompts for %v", length)
	h.markUnplanned(length)
	h.deadly.Store(true)
	time.AfterFunc(length, func() { h.deadly.Store(false) })
}

// replaceCrashed replaces a replica that crashed by itself.
func (h *Harness) replaceCrashed(id string) {
	h.mu.Lock()
	r := h.replicas[id]
	delete(h.replicas, id)
	h.mu.Unlock()
	if r == nil {
		return // it was drained or replaced
	}
	h.logFault("%s crashed on a prompt", id)
	h.markUnplanned(time.Second)
	r.proxy.SetMode(Reset)
	time.AfterFunc(time.Second, func() {
		h.Remove(id)
		h.replaceReplica(r)
	})
}

// randomDuration returns a random duration for a fault.
func (h *Harness) randomDuration() time.Duration {
	return time.Duration(300+h.rng.IntN(2500)) * time.Millisecond
}

// markUnplanned records an unplanned fault that ends after d.
func (h *Harness) markUnplanned(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if end := time.Now().Add(d); end.After(h.unplannedUntil) {
		h.unplannedUntil = end
	}
}

func (h *Harness) randomVM() *process { return h.vms[h.rng.IntN(len(h.vms))] }

func (h *Harness) killVM() {
	p, down := h.randomVM(), h.randomDuration()
	h.logFault("kill %s, restart after %v", p.Name, down)
	h.markUnplanned(down)
	exited := p.signal(syscall.SIGKILL, true)
	go func() {
		<-exited
		time.Sleep(down)
		h.restart(p)
	}()
}

// restart starts a VM's process unless another fault has already restarted it.
func (h *Harness) restart(p *process) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	default:
		return
	}
	if err := h.start(p); err != nil {
		h.recordViolation("starting %s failed: %v", p.Name, err)
	}
}

func (h *Harness) pauseVM() {
	p, length := h.randomVM(), h.randomDuration()
	h.logFault("pause %s for %v", p.Name, length)
	h.markUnplanned(length)
	p.signal(syscall.SIGSTOP, false)
	p.mu.Lock()
	p.pauses = append(p.pauses, period{time.Now(), time.Now().Add(length)})
	p.mu.Unlock()
	time.AfterFunc(length, func() { p.signal(syscall.SIGCONT, false) })
}

// terminateVM sends SIGTERM and restarts the VM when its process has exited. A
// late exit is a violation unless an unplanned fault may have delayed it.
func (h *Harness) terminateVM() {
	p := h.randomVM()
	h.logFault("terminate %s", p.Name)
	undisturbed := !h.recentlyDisturbed()
	exited := p.signal(syscall.SIGTERM, true)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace + graceSlack):
			if undisturbed && !h.recentlyDisturbed() {
				h.recordViolation("%s is still running %v after SIGTERM", p.Name, grace+graceSlack)
			}
			p.signal(syscall.SIGCONT, true)
			<-p.signal(syscall.SIGKILL, true)
		}
		h.restart(p)
	}()
}

func (h *Harness) hangUpVM() {
	p := h.randomVM()
	h.logFault("send SIGHUP to %s", p.Name)
	p.signal(syscall.SIGHUP, false)
}

// failStore makes the registry return errors or hang, or truncates its history.
func (h *Harness) failStore() {
	length := h.randomDuration()
	h.markUnplanned(length)
	switch h.rng.IntN(3) {
	case 0:
		h.logFault("registry returns errors for %v", length)
		h.Store.SetErrorStatus(http.StatusServiceUnavailable)
		time.AfterFunc(length, func() { h.Store.SetErrorStatus(0) })
	case 1:
		h.logFault("registry hangs for %v", length)
		h.Store.SetHanging(true)
		time.AfterFunc(length, func() { h.Store.SetHanging(false) })
	default:
		h.logFault("registry truncates its history")
		h.Store.Compact()
	}
}

func (h *Harness) degradeStoreLink() {
	p, mode, length := h.randomVM(), h.randomMode(), h.randomDuration()
	h.logFault("registry connections of %s in proxy mode %d for %v", p.Name, mode, length)
	h.markUnplanned(length)
	p.storeProxy.SetMode(mode)
	time.AfterFunc(length, func() { p.storeProxy.SetMode(PassThrough) })
}

// randomReplica returns a running replica, or nil. It draws from a sorted list, not
// in map order, so that the same seed selects the same replicas.
func (h *Harness) randomReplica() *replica {
	list := h.sortedReplicas()
	if len(list) == 0 {
		return nil
	}
	return list[h.rng.IntN(len(list))]
}

// sortedReplicas returns the running replicas in the numeric order of their IDs.
func (h *Harness) sortedReplicas() []*replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.SortedFunc(maps.Values(h.replicas), func(a, b *replica) int {
		return cmp.Or(cmp.Compare(len(a.id), len(b.id)), cmp.Compare(a.id, b.id))
	})
	return slices.DeleteFunc(list, func(r *replica) bool { return r.Replica == nil }) // about to start
}

func (h *Harness) degradeReplicaLink() {
	r, mode, length := h.randomReplica(), h.randomMode(), h.randomDuration()
	if r == nil {
		return
	}
	h.logFault("connections to %s in proxy mode %d for %v", r.ID, mode, length)
	h.markUnplanned(length)
	h.mu.Lock()
	r.heldUp = append(r.heldUp, period{time.Now(), time.Now().Add(length)})
	h.mu.Unlock()
	h.holdUp(r.ID, length)
	r.proxy.SetMode(mode)
	time.AfterFunc(length, func() { r.proxy.SetMode(PassThrough) })
}

func (h *Harness) failReplica() {
	r, length := h.randomReplica(), h.randomDuration()
	if r == nil {
		return
	}
	faults := []platformtest.Faults{{Shed: true}, {ErrorResponse: true}, {DropResponse: true}, {DisconnectAfter: 1 + h.rng.IntN(8)}, {ExtraResponse: true}, {Hang: true}}
	f := faults[h.rng.IntN(len(faults))]
	h.logFault("%s has the faults %+v for %v", r.ID, f, length)
	h.markUnplanned(length)
	r.SetFaults(f)
	time.AfterFunc(length, func() { r.SetFaults(platformtest.Faults{}) })
}

// crashReplica crashes a replica and later replaces it by one with another ID.
func (h *Harness) crashReplica() {
	r := h.randomReplica()
	if r == nil {
		return
	}
	h.logFault("%s crashes", r.ID)
	h.markUnplanned(time.Second)
	h.removeReplica(r)
	h.Crash(r.ID)
	r.proxy.SetMode(Reset)
	time.AfterFunc(h.randomDuration(), func() {
		h.Remove(r.ID)
		h.replaceReplica(r)
	})
}

// drainReplica starts a replacement for a replica and then drains the replica.
func (h *Harness) drainReplica() {
	r := h.randomReplica()
	if r == nil {
		return
	}
	h.logFault("%s drains", r.ID)
	h.removeReplica(r)
	h.replaceReplica(r)
	h.Drain(r.ID)
	h.mu.Lock()
	h.drainedAt[r.ID] = time.Now()
	h.mu.Unlock()
}

func (h *Harness) removeReplica(r *replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.replicas, r.ID)
}

func (h *Harness) replaceReplica(r *replica) {
	if err := h.startReplica(r.Service, r.Zone, r.limit); err != nil {
		h.recordViolation("starting a replacement for %s failed: %v", r.ID, err)
	}
}

func (h *Harness) publishConfig() {
	h.logFault("configuration %d", h.configure())
}

func (h *Harness) evacuateZone() {
	zone, length := zones[h.rng.IntN(len(zones))], h.randomDuration()
	h.logFault("evacuate %s for %v", zone, length)
	h.Evacuate(zone, true)
	time.AfterFunc(length, func() { h.Evacuate(zone, false) })
}

// clearFaults ends all faults and waits until the shutdowns and restarts that
// faults have started are complete.
func (h *Harness) clearFaults() {
	h.logFault("clear all faults")
	time.Sleep(3 * time.Second) // longer than any fault lasts
	h.Store.SetErrorStatus(0)
	h.Store.SetHanging(false)
	for _, p := range h.vms {
		p.storeProxy.SetMode(PassThrough)
		p.signal(syscall.SIGCONT, false)
		for _, l := range p.links {
			l.setMode(PassThrough)
		}
	}
	for _, s := range h.servers {
		s.proxy.SetMode(PassThrough)
	}
	h.deadly.Store(false)
	h.noDeadlyRequest()
	h.mu.Lock()
	for _, r := range h.replicas {
		r.proxy.SetMode(PassThrough)
		r.SetFaults(platformtest.Faults{})
		r.SetCopying(nil)
	}
	h.mu.Unlock()
	time.Sleep(grace + graceSlack)
}

// recentlyDisturbed reports whether an unplanned fault is active or ended less
// than faultAftermath ago.
func (h *Harness) recentlyDisturbed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.unplannedUntil.Add(faultAftermath))
}

// faultAftermath is the time after the end of a fault during which its effects
// may last.
const faultAftermath = 6 * time.Second
