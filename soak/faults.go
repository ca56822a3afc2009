package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// modes are what a faulty proxy may do.
var modes = []Mode{Delay, Stall, StallResponses, Reset}

// inject starts one fault. Faults last for a while and overlap.
func (w *Harness) inject() {
	kinds := []func(){
		w.killVM, w.pauseVM, w.termVM, w.hupVM, w.storeFault, w.storeLink, w.replicaLink, w.replicaFault,
		w.replicaCrash, w.replicaDrain, w.configure, w.evacuate,
	}
	kinds[w.rng.IntN(len(kinds))]()
}

// lasting returns how long a fault lasts.
func (w *Harness) lasting() time.Duration {
	return time.Duration(300+w.rng.IntN(2500)) * time.Millisecond
}

func (w *Harness) noteUnplanned(until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end := time.Now().Add(until); end.After(w.unplanned) {
		w.unplanned = end
	}
}

func (w *Harness) anyVM() *process { return w.vms[w.rng.IntN(len(w.vms))] }

func (w *Harness) killVM() {
	p, down := w.anyVM(), w.lasting()
	w.tell("kill %s for %v", p.Name, down)
	w.noteUnplanned(down)
	done := p.signal(syscall.SIGKILL, true)
	go func() {
		<-done
		time.Sleep(down)
		w.restart(p)
	}()
}

// restart starts a VM again unless another fault has done so.
func (w *Harness) restart(p *process) {
	p.starting.Lock()
	defer p.starting.Unlock()
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	default:
		return
	}
	if err := w.start(p); err != nil {
		w.breach("%s can't be started: %v", p.Name, err)
	}
}

func (w *Harness) pauseVM() {
	p, length := w.anyVM(), w.lasting()
	w.tell("pause %s for %v", p.Name, length)
	w.noteUnplanned(length)
	p.signal(syscall.SIGSTOP, false)
	time.AfterFunc(length, func() { p.signal(syscall.SIGCONT, false) })
}

func (w *Harness) termVM() {
	p := w.anyVM()
	w.tell("term %s", p.Name)
	calm := !w.disturbed()
	done := p.signal(syscall.SIGTERM, true)
	go func() {
		select {
		case <-done:
		case <-time.After(grace + graceSlack):
			if calm && !w.disturbed() {
				w.breach("%s runs %v after SIGTERM", p.Name, grace+graceSlack)
			}
			p.signal(syscall.SIGCONT, true)
			<-p.signal(syscall.SIGKILL, true)
		}
		w.restart(p)
	}()
}

func (w *Harness) hupVM() {
	p := w.anyVM()
	w.tell("hup %s", p.Name)
	p.signal(syscall.SIGHUP, false)
}

func (w *Harness) storeFault() {
	length := w.lasting()
	w.noteUnplanned(length)
	switch w.rng.IntN(3) {
	case 0:
		w.tell("store down for %v", length)
		w.Store.Fail(http.StatusServiceUnavailable)
		time.AfterFunc(length, func() { w.Store.Fail(0) })
	case 1:
		w.tell("store hangs for %v", length)
		w.Store.Hang(true)
		time.AfterFunc(length, func() { w.Store.Hang(false) })
	default:
		w.tell("store forgets its history")
		w.Store.Compact()
	}
}

func (w *Harness) storeLink() {
	p, mode, length := w.anyVM(), modes[w.rng.IntN(len(modes))], w.lasting()
	w.tell("store link of %s in mode %d for %v", p.Name, mode, length)
	w.noteUnplanned(length)
	p.store.SetMode(mode)
	time.AfterFunc(length, func() { p.store.SetMode(PassThrough) })
}

// anyReplica returns a replica that runs, or nil. Ids are drawn in order, so
// that a seed draws the same again.
func (w *Harness) anyReplica() *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := w.next.Load()
	for range 200 {
		if r := w.replicas[fmt.Sprintf("i-%d", 1+w.rng.Int64N(max(1, min(most, 200))))]; r != nil && r.Replica != nil {
			return r
		}
	}
	return nil
}

func (w *Harness) replicaLink() {
	r, mode, length := w.anyReplica(), modes[w.rng.IntN(len(modes))], w.lasting()
	if r == nil {
		return
	}
	w.tell("link of %s in mode %d for %v", r.ID, mode, length)
	w.noteUnplanned(length)
	r.proxy.SetMode(mode)
	time.AfterFunc(length, func() { r.proxy.SetMode(PassThrough) })
}

func (w *Harness) replicaFault() {
	r, length := w.anyReplica(), w.lasting()
	if r == nil {
		return
	}
	faults := []platformtest.Faults{{Shed: true}, {Fail: true}, {LoseAnswer: true}, {CutAfter: 1 + w.rng.IntN(8)}, {Extra: true}, {Hang: true}}
	f := faults[w.rng.IntN(len(faults))]
	w.tell("%s has %+v for %v", r.ID, f, length)
	w.noteUnplanned(length)
	r.SetFaults(f)
	time.AfterFunc(length, func() { r.SetFaults(platformtest.Faults{}) })
}

// replicaCrash replaces a replica by one with another id.
func (w *Harness) replicaCrash() {
	r := w.anyReplica()
	if r == nil {
		return
	}
	w.tell("%s crashes", r.ID)
	w.noteUnplanned(time.Second)
	w.drop(r)
	w.Crash(r.ID)
	r.proxy.SetMode(Reset)
	time.AfterFunc(w.lasting(), func() {
		w.Remove(r.ID)
		w.replace(r)
	})
}

// replicaDrain has a replica leave after another has taken its place.
func (w *Harness) replicaDrain() {
	r := w.anyReplica()
	if r == nil {
		return
	}
	w.tell("%s drains", r.ID)
	w.drop(r)
	w.replace(r)
	w.Drain(r.ID)
	w.mu.Lock()
	w.drained[r.ID] = time.Now()
	w.mu.Unlock()
}

func (w *Harness) drop(r *replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.replicas, r.ID)
}

func (w *Harness) replace(r *replica) {
	if err := w.startReplica(r.Service, r.Zone); err != nil {
		w.breach("no replica in the place of %s: %v", r.ID, err)
	}
}

func (w *Harness) configure() {
	w.tell("configuration %d", w.Configure(nil))
}

func (w *Harness) evacuate() {
	zones := []string{"north-a", "west-a", "south-a"}
	zone, length := zones[w.rng.IntN(len(zones))], w.lasting()
	w.tell("evacuate %s for %v", zone, length)
	w.Evacuate(zone, true)
	time.AfterFunc(length, func() { w.Evacuate(zone, false) })
}

// heal ends all faults and waits for what was ordered.
func (w *Harness) heal() {
	w.tell("heal")
	time.Sleep(3 * time.Second) // the longest fault
	w.Store.Fail(0)
	w.Store.Hang(false)
	for _, p := range w.vms {
		p.store.SetMode(PassThrough)
		p.signal(syscall.SIGCONT, false)
	}
	w.mu.Lock()
	for _, r := range w.replicas {
		r.proxy.SetMode(PassThrough)
		r.SetFaults(platformtest.Faults{})
	}
	w.mu.Unlock()
	time.Sleep(grace + graceSlack)
}

// disturbed reports whether an unplanned fault is at work or was a short while
// ago.
func (w *Harness) disturbed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.unplanned.Add(calmAfter))
}

// calmAfter is the time after a fault in which its effects may last.
const calmAfter = 6 * time.Second
