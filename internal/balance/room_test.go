package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

func TestSharesOfRoomStayWithinSlotsAndRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, fallsAt := rapid.IntRange(1, 100).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "falls at")
		vms := rapid.IntRange(1, 100).Draw(t, "VMs")
		sum := RoomShare{}
		for rank := range vms {
			share := ShareOfRoom(slots, fallsAt, vms, rank)
			sum.Slots, sum.Refusals = sum.Slots+share.Slots, sum.Refusals+share.Refusals
		}
		if sum.Slots != slots || sum.Refusals != fallsAt-1 {
			t.Fatalf("the shares add up to %+v of %d slots and %d refusals", sum, slots, fallsAt-1)
		}
	})
}

// roomVM is a VM that sends requests to a brittle server.
type roomVM struct {
	Room
	load int // requests that arrive in a step
	// active are its requests in progress, and known what it knows of the others'.
	active, known int
}

// Guards against LIMIT (issue 42): servers fall over because VMs with uneven and changing
// loads, which learn late of what the others send, make them refuse too many requests.
func TestBrittleServerRefusesNoMoreThanItTolerates(t *testing.T) {
	const (
		step    = 5 * time.Millisecond
		arrival = 1  // steps until a request arrives, and until its refusal is back
		news    = 20 // steps until a VM knows of the others' requests
	)
	type request struct {
		vm      *roomVM
		ticket  *Ticket
		arrives int
		ends    int
	}
	rapid.Check(t, func(t *rapid.T) {
		slots, fallsAt := rapid.IntRange(1, 12).Draw(t, "slots"), rapid.IntRange(1, 8).Draw(t, "falls at")
		vms := make([]*roomVM, rapid.IntRange(1, 5).Draw(t, "VMs"))
		for i := range vms {
			vms[i] = &roomVM{}
		}
		now := clock.Instant(time.Hour)
		var inFlight, running []*request
		var refusals []clock.Instant
		served, allLoaded := 0, true
		for n := range 1200 {
			now = now.Add(step)
			if n%100 == 0 {
				for _, v := range vms {
					v.load = rapid.IntRange(0, 3).Draw(t, "load")
					allLoaded = allLoaded && v.load > 0
				}
			}
			if n%news == 0 {
				total := 0
				for _, v := range vms {
					total += v.active
				}
				for _, v := range vms {
					v.known = total - v.active
				}
			}
			for rank, v := range vms {
				for range v.load {
					if ticket := v.Take(now, ShareOfRoom(slots, fallsAt, len(vms), rank), v.active, slots-v.active-v.known); ticket != nil {
						v.active++
						inFlight = append(inFlight, &request{vm: v, ticket: ticket, arrives: n + arrival})
					}
				}
			}
			var onTheWay []*request
			for _, r := range inFlight {
				switch {
				case r.arrives > n:
					onTheWay = append(onTheWay, r)
				case len(running) < slots:
					r.ends = n + 20
					running = append(running, r)
				default:
					refusals = append(refusals, now)
					r.vm.active--
					r.ticket.Refuse(now)
				}
			}
			inFlight = onTheWay
			var still []*request
			for _, r := range running {
				if r.ends > n {
					still = append(still, r)
					continue
				}
				served++
				r.vm.active--
				r.ticket.End()
			}
			running = still
			for len(refusals) > 0 && now.Sub(refusals[0]) >= time.Second {
				refusals = refusals[1:]
			}
			if len(refusals) >= fallsAt {
				t.Fatalf("%d refusals in a second, the server falls over at %d", len(refusals), fallsAt)
			}
		}
		if can := slots * 1200 / 20; allLoaded && served < can*2/3 {
			t.Fatalf("%d requests served, the server can serve %d", served, can)
		}
	})
}

// Guards against requests that wait or are sent without bound when servers have no room, and
// against a new server of the service that is taken for one that tolerates refusals.
func TestServersWithoutRoomAreNotChosen(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(0, 2)
	now := clock.Instant(time.Hour)
	q := &Query{Now: now, Route: &ingress.Route{Kind: ingress.Safe}, Service: plainService, Demand: &Demand{}, Remaining: time.Second}
	send := func() Plan {
		plan := b.Choose(q, r.View())
		if plan.Server == nil {
			return plan
		}
		ticket, ok := b.TakeRoom(plan.Server, plan.Load, now)
		is.True(ok)
		plan.Load.Begin(&Demand{}, &Estimate{}, now).Hold(ticket)
		return plan
	}
	for range 20 {
		is.True(send().Server != nil) // full servers let requests wait
	}
	b, r = newTestBalancer(0, 2)
	b.SetFallsAt("desk", 1)
	b.SetFallsAt("other", 4)
	for range 2 * 6 {
		is.True(send().Server != nil)
	}
	plan := send()
	is.True(plan.Server == nil)
	is.Equal(plan.Reason, ReasonNoRoom)
	is.True(plan.Postponed())
	is.Equal(plan.RetryAfter, roomWait)
	b.SetFallsAt("desk", 0)
	is.True(send().Server != nil)
}
