package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/rampup"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// firstListTime is how long after the first server that this VM learned of the others count
	// as known from its start: a restarted VM gets them from the registry and from other VMs.
	firstListTime = 3 * time.Second
	// startMemory is the time since the start of a server, or the end of its cold time, after
	// which it no longer counts as just started if this VM has not used it yet.
	startMemory = 5 * time.Second
	// inTimeFactor is the time to the first byte of a response in time, in expected ones of the
	// route, and minInTime the least such time, for which short responses vary too much.
	inTimeFactor = 3
	minInTime    = 150 * time.Millisecond
	// maxObjectiveFactor bounds the expectation where it is above the latency objective.
	maxObjectiveFactor = 1.5
)

// Logger receives log lines.
type Logger interface {
	Info(msg string, args ...any)
}

// slowStarts holds the loads of the servers in their slow start by server ID, so that the
// window goes on when the entry of a restarted process arrives.
type slowStarts struct {
	active    sync.Map // server ID to *Load
	firstSeen atomic.Int64
	// passedOver counts how often a server was passed over for its window, and beyond the
	// choices of a server beyond its window.
	passedOver, beyond atomic.Int64
}

// beginSlowStart begins the slow start of the server, or begins it again.
func (l *Load) beginSlowStart(reason string, now clock.Instant) {
	if l.slowStart == nil {
		return
	}
	l.examined.Store(true)
	if w := l.window.Load(); w != nil {
		w.Restart(now)
		return
	}
	if !l.window.CompareAndSwap(nil, rampup.New(now)) {
		return
	}
	if before, ok := l.slowStart.slowStarts.active.Swap(l.id, l); ok && before != l {
		l.slowStart.endSlowStart(before.(*Load), "replaced by a later process", now)
	}
	l.slowStart.logSlowStart("slow start of a backend server begins", "server", l.id, "reason", reason)
}

// endSlowStart ends the slow start of a server.
func (b *Balancer) endSlowStart(l *Load, reason string, now clock.Instant) {
	b.slowStarts.active.CompareAndDelete(l.id, l)
	if w := l.window.Swap(nil); w != nil {
		s := w.State(now)
		b.logSlowStart("slow start of a backend server ends", "server", l.id, "reason", reason,
			"duration", s.Age, "window", s.Window, "peak", s.Peak, "cuts", s.Cuts)
	}
}

func (b *Balancer) logSlowStart(msg string, args ...any) {
	if b.Log != nil {
		b.Log.Info(msg, args...)
	}
}

// InSlowStart reports whether the requests in flight at the server are bounded by a window.
func (l *Load) InSlowStart() bool { return l.window.Load() != nil }

// Plan adds n to the requests of this VM that will be sent after their wait for a prefill
// slot.
func (l *Load) Plan(n int64) { l.planned.Add(n) }

// ownRequests returns the requests of this VM at the server, with those that wait for a
// prefill slot.
func (l *Load) ownRequests() int { return int(l.active.Load() + l.planned.Load()) }

// Window returns the number of requests in flight that all VMs of the region may have at a
// server in its slow start, or zero.
func (l *Load) Window(now clock.Instant) int {
	if w := l.window.Load(); w != nil {
		return w.State(now).Window
	}
	return 0
}

// windowSlots returns the slots of a server that the region may use now. Those of a cold server
// are bounded by its rate.
func (l *Load) windowSlots(slots int, cold bool, now clock.Instant) int {
	if l.InSlowStart() && !cold {
		return min(slots, max(1, l.Window(now)))
	}
	return slots
}

// RecordLinkRestored records that the server responds again over a link that was lost. If
// other VMs got its reports all the time, only the link has recovered.
func (l *Load) RecordLinkRestored(now clock.Instant) {
	if l.hasReport(now) && now.Sub(clock.Instant(l.reportingSince.Load())) > standstillGap {
		return
	}
	l.beginSlowStart("responding again", now)
}

// examine decides once whether an incarnation has just started. One that was listed when this
// VM started, and was not cold then, counts as steady.
func (b *Balancer) examine(s *roster.Server, load *Load, view *roster.View, now clock.Instant) {
	if !load.examined.CompareAndSwap(false, true) {
		return
	}
	if v, ok := b.slowStarts.active.Load(s.ID); ok && v != load {
		before := v.(*Load)
		if w := before.window.Load(); w != nil && before.restartedAs.Load() == s.Started {
			// The window of the process continues under its new entry.
			load.window.Store(w)
			before.window.Store(nil)
			b.slowStarts.active.Store(s.ID, load)
			return
		}
		b.endSlowStart(before, "replaced by a later process", now)
	}
	startsCold := s.ColdUntil > s.Seen
	if (startsCold || s.Seen.Sub(b.firstSeen(view)) > firstListTime) && now.Sub(max(s.Seen, s.ColdUntil)) < startMemory {
		load.beginSlowStart("started", s.Seen)
	}
}

// firstSeen returns when this VM learned of its first server.
func (b *Balancer) firstSeen(view *roster.View) clock.Instant {
	if first := b.slowStarts.firstSeen.Load(); first != 0 {
		return clock.Instant(first)
	}
	first := clock.Instant(0)
	for _, s := range view.All() {
		if first == 0 || s.Seen < first {
			first = s.Seen
		}
	}
	b.slowStarts.firstSeen.CompareAndSwap(0, int64(first))
	return first
}

// shareOfWindow returns this VM's share of the window of a server.
func (b *Balancer) shareOfWindow(s *roster.Server) rampup.Share {
	vms, rank := b.Fleet.ServerRank(s.ID, s.FailureDomain)
	if !b.Fleet.KnowsFleet() {
		rank = max(rank, vms-1) // VMs that start together would all take the part of the first
	}
	return rampup.Share{Slots: max(1, s.Slots), VMs: vms, Rank: rank}
}

// inTime returns the time to the first byte up to which a response is in time.
func (b *Balancer) inTime(q *Query, e *Estimate) time.Duration {
	expected := e.TimeToFirstByte
	if q.Service.Engine != nil && q.Route.Kind != ingress.Stream {
		expected = max(expected, toDuration(b.durationMs(q.Service))) // such a response is read to its end first
	}
	expected = b.CalibratedFirstByte(q.Route.Name, &Plan{Estimate: Estimate{TimeToFirstByte: expected}}, q.Now)
	limit := max(minInTime, inTimeFactor*expected)
	if objective := q.Route.LatencyObjective; objective > 0 {
		limit = min(limit, max(objective, time.Duration(maxObjectiveFactor*float64(expected))))
	}
	return limit
}

// late reports whether a response by the plan is expected too late, or its server has just
// refused a request for lack of capacity.
func (b *Balancer) late(q *Query, plan *Plan) bool {
	if plan.Load.full(q.Now) {
		return true
	}
	first := b.CalibratedFirstByte(q.Route.Name, plan, q.Now)
	objective := q.Route.LatencyObjective
	return first > q.Remaining || objective > 0 && first > objective
}

// AdvanceSlowStarts examines the region's servers that are new, grows the windows of the
// others, and ends the slow starts that are over. It is called several times a second, as a VM
// in a large region rarely considers each server.
func (b *Balancer) AdvanceSlowStarts(services map[string]*ingress.Service, view *roster.View, now clock.Instant) {
	if !b.Tuning.SlowStart {
		return
	}
	for name := range services {
		for _, s := range view.Usable(name, b.Region) {
			if load := b.Load(s.Key()); !load.examined.Load() {
				b.examine(s, load, view, now)
			}
		}
	}
	b.slowStarts.active.Range(func(id, v any) bool {
		load, s := v.(*Load), view.Lookup(id.(string))
		if s == nil || services[s.Service] == nil {
			b.endSlowStart(load, "removed", now)
			return true
		}
		w := load.window.Load()
		if w == nil {
			return true // it goes on under another entry
		}
		share := b.shareOfWindow(s)
		if share.Cold = isCold(services[s.Service], s, load, view, now); share.Cold {
			share.InFlight = int(load.totalUsage(now).active)
		}
		if end := w.Advance(share, now); end != rampup.NotEnded {
			b.endSlowStart(load, string(end), now)
		}
		return true
	})
}

// SlowStarts is the state of the region's slow starts for metrics.
type SlowStarts struct {
	// Servers is the number of servers in their slow start, and Window the sum of their windows.
	Servers, Window int
	// PassedOver and Beyond count, since the last call, how often a server was passed over for
	// its window, and the choices of a server beyond its window.
	PassedOver, Beyond int64
}

// TakeSlowStarts returns the state and resets its counts.
func (b *Balancer) TakeSlowStarts(now clock.Instant) SlowStarts {
	out := SlowStarts{PassedOver: b.slowStarts.passedOver.Swap(0), Beyond: b.slowStarts.beyond.Swap(0)}
	b.slowStarts.active.Range(func(_, v any) bool {
		if load := v.(*Load); load.InSlowStart() {
			out.Servers++
			out.Window += load.Window(now)
		}
		return true
	})
	return out
}
