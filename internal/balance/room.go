package balance

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const (
	// refusalWindow is the span in which the refusals of a server are counted. It exceeds
	// the second in which the server counts them by the possible difference in the
	// requests' network delays.
	refusalWindow = 1100 * time.Millisecond
	// roomWait is the retry time of a caller for whose request no server has room.
	roomWait = 300 * time.Millisecond
)

// RoomShare is this VM's share of what a server that falls over for refusals can take.
type RoomShare struct {
	// Slots is the number of requests for which this VM may always take room, and
	// Refusals how many refusals in a second it may cause.
	Slots, Refusals int
}

// ShareOfRoom returns the share of the VM with the given rank, starting at 0, among the
// VMs that may use a server with the given slots, which falls over at that many refusals
// in a second. The shares of all ranks add up to the slots, and to one refusal less.
func ShareOfRoom(slots, fallsAt, vms, rank int) RoomShare {
	return RoomShare{Slots: spread.Part(slots, vms, rank), Refusals: spread.Part(max(0, fallsAt-1), vms, rank)}
}

// Room bounds the requests that this VM sends to a server that falls over if it has to
// refuse too many in a second. Within its share of the slots, a VM is refused only if others
// use more than theirs. It may use more than its own for as many requests as it may cause
// refusals. The zero value is ready to use.
type Room struct {
	mu       sync.Mutex
	refusals []clock.Instant
	// taken is the number of requests in progress that have a ticket, and borrowed of those
	// beyond the share.
	taken, borrowed int
}

// Ticket is the place of a request among those for which a server has room. A nil ticket is
// that of a request to a server that doesn't fall over for refusals.
type Ticket struct {
	room            *Room
	borrowed, ended bool
}

// Take returns a ticket for one more request, or nil if there is no room. Own is the number
// of this VM's requests in progress, and free how many slots are free as far as this VM
// knows.
func (r *Room) Take(now clock.Instant, share RoomShare, own, free int) *Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	room, borrowed := r.check(now, share, own, free)
	if !room {
		return nil
	}
	r.taken++
	if borrowed {
		r.borrowed++
	}
	return &Ticket{room: r, borrowed: borrowed}
}

// HasRoom reports whether Take would return a ticket.
func (r *Room) HasRoom(now clock.Instant, share RoomShare, own, free int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	room, _ := r.check(now, share, own, free)
	return room
}

// check reports whether one more request may be sent, and whether it would be beyond the
// share of the slots. The caller holds the lock.
func (r *Room) check(now clock.Instant, share RoomShare, own, free int) (room, borrowed bool) {
	for len(r.refusals) > 0 && now.Sub(r.refusals[0]) >= refusalWindow {
		r.refusals = r.refusals[1:]
	}
	n := len(r.refusals)
	if free -= max(0, r.taken-own); free <= 0 || n > 0 && n+r.borrowed >= share.Refusals {
		return false, false
	}
	if max(own, r.taken) < share.Slots {
		return true, false
	}
	return n+r.borrowed < share.Refusals, true
}

// Refuse records that the server refused the request.
func (t *Ticket) Refuse(now clock.Instant) {
	if t == nil {
		return
	}
	t.room.mu.Lock()
	defer t.room.mu.Unlock()
	t.end()
	t.room.refusals = append(t.room.refusals, now)
}

// End records the end of the request. Later calls do nothing.
func (t *Ticket) End() {
	if t == nil {
		return
	}
	t.room.mu.Lock()
	defer t.room.mu.Unlock()
	t.end()
}

// end is End for a caller that holds the lock.
func (t *Ticket) end() {
	if t.ended {
		return
	}
	t.ended = true
	t.room.taken--
	if t.borrowed {
		t.room.borrowed--
	}
}

// SetFallsAt sets at how many refusals in a second the servers of a service fall over; zero
// means that they don't.
func (b *Balancer) SetFallsAt(service string, refusals int) {
	b.fallsAtLock.Lock()
	defer b.fallsAtLock.Unlock()
	next := map[string]int{}
	if before := b.fallsAt.Load(); before != nil {
		if (*before)[service] == refusals {
			return
		}
		next = maps.Clone(*before)
	}
	if delete(next, service); refusals > 0 {
		next[service] = refusals
	}
	if len(next) == 0 {
		b.fallsAt.Store(nil)
		return
	}
	b.fallsAt.Store(&next)
}

// room returns this VM's share of the room at a server, its own requests there and the free
// slots. Bounded is false if the server doesn't fall over for refusals.
func (b *Balancer) room(s *roster.Server, load *Load, now clock.Instant) (share RoomShare, own, free int, bounded bool) {
	all := b.fallsAt.Load()
	if all == nil || (*all)[s.Service] == 0 {
		return RoomShare{}, 0, 0, false
	}
	if !b.hasShare(load, now) {
		return RoomShare{}, 0, 0, true
	}
	slots := max(1, s.Slots)
	vms, rank := b.Fleet.ServerRank(s.ID, s.FailureDomain)
	use := load.totalUsage(now)
	return ShareOfRoom(slots, (*all)[s.Service], vms, rank), int(load.active.Load()), slots - int(use.active), true
}

// hasRoom reports whether a server has room for one more request of this VM.
func (b *Balancer) hasRoom(s *roster.Server, load *Load, now clock.Instant) bool {
	share, own, free, bounded := b.room(s, load, now)
	return !bounded || load.Room.HasRoom(now, share, own, free)
}

// TakeRoom returns a ticket for one more request to a server, which is nil for a server that
// doesn't fall over for refusals, and whether the request may be sent.
func (b *Balancer) TakeRoom(s *roster.Server, load *Load, now clock.Instant) (t *Ticket, ok bool) {
	share, own, free, bounded := b.room(s, load, now)
	if !bounded {
		return nil, true
	}
	t = load.Room.Take(now, share, own, free)
	return t, t != nil
}
