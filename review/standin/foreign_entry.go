package main

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// foreignServiceBytes is the length of the service name in an entry of another
	// writer. The platform's store takes values of up to 1 MiB.
	foreignServiceBytes = 20_000
	// deadlyInterval is the time between two attempts of the request that crashes
	// replicas.
	deadlyInterval = 700 * time.Millisecond
	// stableWindow is the time after the third crash from which the request may reach
	// replicas in maxDeadly more attempts.
	stableWindow = 6 * time.Second
	maxDeadly    = 3
	// bookingTime is the work time of a booking.
	bookingTime = 60 * time.Millisecond
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry checks that a request which crashes replicas is kept from them after it
// has crashed a few, while the store also holds an entry of another writer.
func foreignEntry(r *run) (bool, error) {
	for _, zone := range zones {
		if _, err := r.Start("e-"+zone, platformtest.EngineService, zone, ""); err != nil {
			return false, err
		}
		for _, n := range []string{"1", "2"} {
			replica, err := r.Start("d-"+zone+"-"+n, platformtest.PlainService, zone, "")
			if err != nil {
				return false, err
			}
			replica.ResponseDelay = bookingTime
		}
	}
	if r.trouble {
		foreign := &platformtest.Replica{Service: strings.Repeat("x", foreignServiceBytes), Zone: zones[0], Slots: 1, StartedMs: time.Now().UnixMilli()}
		r.Store.Put("servers/foreign", foreign.Entry("127.0.0.1:9", "ready"))
		r.note("the store holds an entry of another writer with a service name of %d bytes", foreignServiceBytes)
	}
	deadly := platformtest.Call{Path: platformtest.PathUnsafe + "deadly", Body: "a booking that crashes replicas", Deadline: requestDeadline}
	r.SetDeadlyRequest(&deadly)
	if err := r.startVMs(2); err != nil {
		return false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		client, rng := platformtest.NewClient(), rand.New(rand.NewPCG(1, 9))
		time.Sleep(3 * time.Second)
		for end := time.Now().Add(22 * time.Second); time.Now().Before(end); time.Sleep(deadlyInterval) {
			call := deadly
			call.ID = "deadly-" + r.nextID()
			r.send(client, r.vms[rng.IntN(len(r.vms))], call)
		}
	}()
	r.load(10, 26*time.Second, func(_ *vm, _ *rand.Rand) platformtest.Call {
		id := r.nextID()
		return platformtest.Call{Path: platformtest.PathUnsafe + "x", ID: id, Body: "a booking of " + id, Deadline: requestDeadline}
	})
	<-done
	return r.checkDeadly(), nil
}

// checkDeadly reports whether the deadly request reached replicas in more attempts than
// allowed after it had crashed three.
func (r *run) checkDeadly() bool {
	crashes := r.Crashes()
	executions := r.executions()
	lost := 0
	var runs []time.Time
	for id, list := range executions {
		if strings.HasPrefix(id, "deadly-") {
			runs = append(runs, list[0].StartedAt)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	for _, res := range r.results {
		if !strings.HasPrefix(res.id, "deadly-") && res.answer.Status != 200 && len(executions[res.id]) > 0 {
			lost++
		}
	}
	late := 0
	for _, at := range runs {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	r.note("%d crashes of replicas; the request ran %d times, %d of them later than %v after the third crash; %d other bookings that ran got no answer of their replica", len(crashes), len(runs), late, stableWindow, lost)
	return late > maxDeadly
}
