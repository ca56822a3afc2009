package rampup

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	tick     = 5 * time.Millisecond
	duration = 100 * time.Millisecond // of a request that doesn't wait
	inTime   = 3 * duration
)

// request is one request at the simulated server. It waits until endsAt is set.
type request struct {
	vm             *simulatedVM
	sentAt, endsAt clock.Instant
}

type simulatedVM struct {
	*Controller
	own     int // requests in flight
	end     End
	endedAt time.Duration
}

// simulation is a server in front of VMs that want to send it more than it serves. They send
// only within their windows, as other servers take the rest. Engines send reports. The lowest
// ranks are silent: they send nothing. Without capacity, all requests are refused.
type simulation struct {
	slots, silent                                  int
	engine                                         bool
	capacity                                       func(age time.Duration) int
	vms                                            []simulatedVM
	requests                                       []request
	running, sent, late, answered, peak, maxExcess int
	fullAt                                         time.Duration
	served, could                                  int // slots in use, and usable, over time
}

// simulate runs the simulation with the given number of VMs.
func simulate(s simulation, vms int, lasts time.Duration) *simulation {
	start := clock.Instant(time.Hour)
	s.vms = make([]simulatedVM, vms)
	for i := range s.vms {
		s.vms[i].Controller = New(start)
	}
	for age := time.Duration(0); age < lasts; age += tick {
		now := start.Add(age)
		s.serve(s.capacity(age), now)
		for i := 0; s.engine && age%(250*time.Millisecond) == 0 && i < vms; i++ {
			s.vms[i].RecordReport(s.running, len(s.requests)-s.running, now)
		}
		for i := range s.vms {
			v, share := &s.vms[i], Share{Slots: s.slots, VMs: vms, Rank: i}
			if v.end == NotEnded {
				v.end, v.endedAt = v.Advance(share, now), age
			}
			// Once its window has ended, the VM has a steady load there.
			room := func() bool {
				return v.end == NotEnded && v.Room(share, v.own, now) > 0 || v.end != NotEnded && v.own < share.part(float64(s.slots))
			}
			for i >= s.silent && room() {
				v.own++
				s.sent++
				s.requests = append(s.requests, request{vm: v, sentAt: now})
			}
			s.peak = max(s.peak, v.State(now).Peak)
		}
		s.maxExcess = max(s.maxExcess, len(s.requests)-s.peak)
		if s.fullAt == 0 && len(s.requests) >= s.slots {
			s.fullAt = age
		}
		s.served += min(len(s.requests), s.capacity(age))
		s.could += s.capacity(age)
	}
	return &s
}

// serve starts and ends requests at the server.
func (s *simulation) serve(capacity int, now clock.Instant) {
	kept := s.requests[:0]
	s.running = 0
	for _, r := range s.requests {
		timely := now.Sub(r.sentAt) <= inTime
		switch {
		case capacity == 0:
			r.vm.own--
			r.vm.RecordFailure(r.sentAt, now)
			continue
		case r.endsAt != 0 && now >= r.endsAt:
			r.vm.own--
			s.answered++
			if !timely {
				s.late++
			}
			r.vm.RecordResponse(r.sentAt, timely, now)
			continue
		case r.endsAt == 0 && s.running < capacity:
			r.endsAt = now.Add(duration)
		}
		if r.endsAt != 0 {
			s.running++
		}
		kept = append(kept, r)
	}
	s.requests = kept
}

// Guards against windows that leave a healthy server idle, for engines and plain servers, with
// few and with many VMs, also if the lower half of the ranks belongs to VMs that have died.
func TestHealthyServerIsFullAfterAboutASecond(t *testing.T) {
	const second = 1250 * time.Millisecond
	for _, slots := range []int{6, 16, 64, 128} {
		for _, vms := range []int{1, 2, 23} {
			for _, engine := range []bool{true, false} {
				for _, silent := range []int{0, vms / 2} {
					s := simulate(simulation{slots: slots, silent: silent, engine: engine, capacity: func(time.Duration) int { return slots }}, vms, 3*time.Second)
					if silent == 0 && (s.fullAt == 0 || s.fullAt > second) {
						t.Errorf("engine %v, %d VMs, %d slots: all slots in use after %v", engine, vms, slots, s.fullAt)
					}
					for vm := silent; vm < vms && slots >= vms; vm++ {
						if v := &s.vms[vm]; v.end == NotEnded || v.endedAt > second {
							t.Errorf("engine %v, VM %d of %d, %d silent, %d slots: the controller ended at %v: %s", engine, vm, vms, silent, slots, v.endedAt, v.end)
						}
					}
				}
			}
		}
	}
}

// Guards against a server that is flooded while it recovers, or left idle when it has. Of one
// that recovers only in part, most responses must be in time.
func TestWindowFollowsServerThatRecovers(t *testing.T) {
	const slots = 64
	late := map[string]float64{"slowly": 0.25, "in steps": 0.25, "in part": 0.5}
	for name, capacity := range map[string]func(time.Duration) int{
		"in part":  func(time.Duration) int { return slots / 10 },
		"slowly":   func(age time.Duration) int { return min(slots, 4+int(age/(300*time.Millisecond))) },
		"in steps": func(age time.Duration) int { return min(slots, 4<<(2*int(age/(6*time.Second)))) },
	} {
		for _, vms := range []int{2, 23} {
			for _, engine := range []bool{true, false} {
				s := simulate(simulation{slots: slots, engine: engine, capacity: capacity}, vms, 18*time.Second)
				share, used := float64(s.late)/float64(s.answered), float64(s.served)/float64(s.could)
				t.Logf("%s, engine %v, %d VMs: %.3f of the responses late, %.2f of the capacity used", name, engine, vms, share, used)
				if share > late[name] || used < 0.6 {
					t.Error("late or idle")
				}
			}
		}
	}
}

// Guards against a server that never recovers and gets requests at the rate of a healthy one.
func TestServerThatNeverRecoversIsOnlyTried(t *testing.T) {
	for _, vms := range []int{2, 23} {
		s := simulate(simulation{slots: 64, capacity: func(time.Duration) int { return 0 }}, vms, 20*time.Second)
		t.Logf("%d VMs: %d requests in 20 s", vms, s.sent)
		if s.sent > 10*20 {
			t.Errorf("%d VMs sent %d requests in 20 s", vms, s.sent)
		}
		for i := range s.vms {
			if v := &s.vms[i]; v.end != NotEnded {
				t.Errorf("the controller of VM %d of %d ended at %v: %s", i, vms, v.endedAt, v.end)
			}
		}
	}
}

// Guards against VMs that together exceed the window: the parts may only add up to it, also
// where the VMs' windows differ and only some have demand.
func TestVMsTogetherStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{2, 23}).Draw(t, "VMs")
		capacity := rapid.IntRange(1, 100).Draw(t, "capacity")
		s := simulate(simulation{
			slots: 200, silent: rapid.IntRange(0, vms-1).Draw(t, "VMs without demand"),
			engine: rapid.Bool().Draw(t, "engine"), capacity: func(time.Duration) int { return capacity },
		}, vms, 3*time.Second)
		if s.maxExcess > 0 {
			t.Fatalf("%d requests in flight above the largest window so far, %d", s.maxExcess, s.peak)
		}
	})
}

// Guards against a window that grows while the server is cold, begins below what the server
// carries then, or grows at a VM that was paused or has no news.
func TestWindowIsUnchangedWhileColdAndWithoutNews(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	c, share := New(now), Share{Slots: 64, VMs: 1, Cold: true, InFlight: 20}
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		c.RecordResponse(now, true, now)
		c.RecordReport(20, 0, now)
		is.Equal(c.Advance(share, now), NotEnded)
	}
	share.Cold = false
	is.True(c.Room(share, 19, now) > 0)
	is.True(c.Room(share, 20, now) <= 0)

	c.RecordReport(20, 0, now)
	for range 10 {
		now = now.Add(2 * time.Second)
		_ = c.Room(share, 20, now)
	}
	is.Equal(c.State(now).Window, 40) // one step, for the report before
	is.Equal(c.Advance(share, now.Add(quietTime)), Quiet)
}
