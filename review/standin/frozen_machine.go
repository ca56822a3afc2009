package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// secondService is the service to which the booking route moves and from which it
	// moves back.
	secondService = "desk2"
	// moves is the number of times that the route moves, one every moveInterval.
	moves        = 4
	moveInterval = 8 * time.Second
	// frozenFor is how long a machine stands still, from freezeLead before a move.
	frozenFor  = 2500 * time.Millisecond
	freezeLead = 50 * time.Millisecond
	// rollbackSlack is the time after a version's effect was seen from which a machine
	// may not go back.
	rollbackSlack = 250 * time.Millisecond
)

func init() { cases["frozen-machine"] = frozenMachine }

// move is a change of the configuration that moved the booking route.
type move struct {
	at      time.Time
	service string
	// frozen is the machine that stood still, or "".
	frozen string
}

// frozenMachine checks that no calm machine goes back to an older configuration while
// another machine, in the home region of the booking route, stands still.
func frozenMachine(r *run) (bool, error) {
	services := []string{secondService, platformtest.PlainService}
	configure := func(service string) {
		r.Configure(func(config map[string]any) {
			for _, route := range config["routes"].([]any) {
				if m := route.(map[string]any); m["name"] == "book" {
					m["service"], m["timeoutMs"] = service, requestDeadline.Milliseconds()
				}
			}
			list := config["services"].([]any)
			second := map[string]any{}
			for key, value := range list[1].(map[string]any) {
				second[key] = value
			}
			second["name"] = secondService
			config["services"] = append(list, second)
		})
	}
	configure(platformtest.PlainService)
	for _, zone := range zones {
		if _, err := r.Start("e-"+zone, platformtest.EngineService, zone, ""); err != nil {
			return false, err
		}
	}
	// The bookings are served in one region only.
	service := map[string]string{}
	for _, s := range services {
		for i := range 2 {
			id := fmt.Sprintf("%s-%d", s, i+1)
			service[id] = s
			if _, err := r.Start(id, s, zones[0], ""); err != nil {
				return false, err
			}
		}
	}
	if err := r.startVMs(2); err != nil {
		return false, err
	}
	var list []move
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range moves {
			time.Sleep(moveInterval / 2)
			m := move{service: services[n%2]}
			if v := r.vms[n%2]; r.trouble {
				m.frozen = v.Name
				r.note("%s stands still for %v", v.Name, frozenFor)
				_ = v.cmd.Process.Signal(syscall.SIGSTOP)
				time.AfterFunc(frozenFor, func() { _ = v.cmd.Process.Signal(syscall.SIGCONT) })
			}
			time.Sleep(freezeLead)
			configure(m.service)
			m.at = time.Now()
			r.note("the booking route moves to %s", m.service)
			list = append(list, m)
			time.Sleep(moveInterval / 2)
		}
	}()
	r.load(10, moves*(moveInterval+freezeLead), func(_ *vm, _ *rand.Rand) platformtest.Call {
		id := r.nextID()
		return platformtest.Call{Path: platformtest.PathUnsafe + "x", ID: id, Body: "a booking of " + id, Deadline: requestDeadline}
	})
	<-done
	return r.checkRollback(list, service), nil
}

// checkRollback reports whether a request was run by the service of before a move later
// than rollbackSlack after a request of the same machine had been run by the service
// after it. Machines that stood still at any time don't count.
func (r *run) checkRollback(list []move, service map[string]string) bool {
	executions := r.executions()
	frozen := map[string]bool{}
	for _, m := range list {
		frozen[m.frozen] = true
	}
	total := 0
	for n, m := range list {
		end := m.at.Add(moveInterval)
		if n+1 < len(list) {
			end = list[n+1].at
		}
		// seen holds when a replica first saw the effect of the move, by machine.
		seen := map[string]time.Time{}
		each := func(visit func(res result, e platformtest.Execution)) {
			for _, res := range r.results {
				for _, e := range executions[res.id] {
					if !frozen[res.vm] && e.StartedAt.After(m.at) && e.StartedAt.Before(end) {
						visit(res, e)
					}
				}
			}
		}
		each(func(res result, e platformtest.Execution) {
			if at, ok := seen[res.vm]; service[e.Replica] == m.service && (!ok || e.StartedAt.Before(at)) {
				seen[res.vm] = e.StartedAt
			}
		})
		back := 0
		each(func(res result, e platformtest.Execution) {
			at, ok := seen[res.vm]
			if ok && service[e.Replica] != m.service && res.sentAt.After(at.Add(rollbackSlack)) {
				back++
				r.note("%s, sent to %s %.3f s after a replica had seen %s there, was run by %s", res.id, res.vm, res.sentAt.Sub(at).Seconds(), m.service, e.Replica)
			}
		})
		total += back
	}
	r.note("%d requests; %d were handled as only an older version allows", len(r.results), total)
	return total > 0
}
