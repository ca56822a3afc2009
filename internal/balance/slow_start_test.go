package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

var services = map[string]*ingress.Service{"writer": engineService, "desk": plainService}

// slowStartCase is a VM with three engines that run 40 of 64 requests, and a fresh one whose
// cold time ends now.
type slowStartCase struct {
	b     *Balancer
	r     *roster.Roster
	now   clock.Instant
	fresh *Load
	sent  []*InFlight // to the fresh one
}

func newSlowStartCase() *slowStartCase {
	c := &slowStartCase{now: clock.Instant(time.Hour)}
	c.b, c.r = newTestBalancer(3, 0)
	c.b.AdvanceSlowStarts(services, c.r.View(), c.now.Add(-time.Minute))
	c.report(Report{Running: 40})
	c.r.Put(roster.Entry{
		ID: "fresh", Service: "writer", FailureDomain: "a", Region: "home", Slots: 64, Started: 1, ColdFor: engineService.ColdPeriod,
	}, revision.Revision(100), roster.Event, c.now.Add(-engineService.ColdPeriod))
	c.fresh = c.b.Load(c.r.View().Lookup("fresh").Key())
	return c
}

// report records a report of the three engines.
func (c *slowStartCase) report(r Report) {
	r.MemoryTotal, r.ReceivedAt = 444_000, c.now
	for i := range 3 {
		c.b.Load(roster.ServerKey{ID: fmt.Sprint("writer", i), Started: 1}).RecordPollReport(r)
	}
}

// burst sends n requests at once and returns how many of them went to the fresh engine.
func (c *slowStartCase) burst(t *testing.T, n int) (toFresh int) {
	t.Helper()
	for i := range n {
		plan := c.b.Choose(streamQuery(c.now, newDemand(i, 300, 0, 200)), c.r.View())
		if plan.Server == nil {
			t.Fatalf("refused: %s", plan.Reason)
		}
		f := plan.Load.Begin(&Demand{}, &plan.Estimate, c.now)
		if plan.Load == c.fresh {
			toFresh++
			c.sent = append(c.sent, f)
		}
	}
	return toFresh
}

// Guards against a burst at a server that has just started: beside busy ones it seems to be the
// best for every request, before any response shows how it serves.
func TestServerThatHasJustStartedGetsNoBurst(t *testing.T) {
	is := is.New(t)
	c := newSlowStartCase()
	n := c.burst(t, 60)
	t.Logf("%d of 60 requests sent to the new engine", n)
	is.True(n > 0)
	is.True(n <= 8)

	// Responses in time bring it to full use.
	for start := c.now; c.fresh.ownRequests() < 64; c.burst(t, 30) {
		if c.now = c.now.Add(125 * time.Millisecond); c.now.Sub(start) > 1250*time.Millisecond {
			t.Fatalf("%d requests at the new engine after %v", c.fresh.ownRequests(), c.now.Sub(start))
		}
		for _, f := range c.sent {
			f.RecordFirstByte(c.now)
		}
		c.b.AdvanceSlowStarts(services, c.r.View(), c.now)
	}
	c.fresh.RecordForwardedReport(Report{Running: 64, ReceivedAt: c.now})
	c.b.AdvanceSlowStarts(services, c.r.View(), c.now.Add(250*time.Millisecond))
	is.True(!c.fresh.InSlowStart())
}

// Guards against requests that are refused, or left at servers that are late or refuse them, for
// a window.
func TestWindowRefusesNoRequest(t *testing.T) {
	late, failing := newSlowStartCase(), newSlowStartCase()
	late.report(Report{Running: 64, Queued: 200})
	for i := range 3 {
		failing.b.Load(roster.ServerKey{ID: fmt.Sprint("writer", i), Started: 1}).Exclude(failing.now)
	}
	full := newSlowStartCase()
	for i := range 3 {
		full.b.Load(roster.ServerKey{ID: fmt.Sprint("writer", i), Started: 1}).RecordRefusal(full.now.Add(time.Second))
	}
	if l, f, r := late.burst(t, 40), failing.burst(t, 40), full.burst(t, 40); l != 40 || f != 40 || r <= 8 {
		t.Errorf("%d, %d and %d of 40 requests sent to the fresh engine", l, f, r)
	}
}

// Guards against windows for servers that are steady, and servers that recover without one.
func TestSlowStartsBeginAndEnd(t *testing.T) {
	now := clock.Instant(time.Hour)
	fail := func(l *Load, n int) {
		for range n {
			l.RecordFailure(now)
		}
		l.RecordSuccess(now)
	}
	for _, test := range []struct {
		name  string
		event func(l *Load)
		want  bool
	}{
		{"steady", func(*Load) {}, false},
		{"failure", func(l *Load) { fail(l, 1) }, false},
		{"breaker closed", func(l *Load) { fail(l, 3) }, true},
		{"restarted", func(l *Load) { l.RecordRestart(7, now, 0) }, true},
		{"refused", func(l *Load) { l.MarkLost(now) }, false},
		{"refused and confirmed", func(l *Load) { l.MarkLost(now); l.ConfirmRunning(now.Add(1)) }, true},
		{"responds again", func(l *Load) { l.RecordLinkRestored(now) }, true},
		{"link restored, others had reports", func(l *Load) {
			for ms := range 4 {
				l.RecordForwardedReport(Report{ReceivedAt: now.Add(time.Duration(ms-3) * 300 * time.Millisecond)})
			}
			l.RecordLinkRestored(now)
		}, false},
	} {
		b, r := newTestBalancer(1, 0)
		b.AdvanceSlowStarts(services, r.View(), now.Add(-time.Minute))
		l := b.Load(roster.ServerKey{ID: "writer0", Started: 1})
		test.event(l)
		if l.InSlowStart() != test.want || b.TakeSlowStarts(now).Servers > 0 != test.want {
			t.Errorf("%s: in slow start: %v, want %v", test.name, l.InSlowStart(), test.want)
		}
		b.AdvanceSlowStarts(services, r.View(), now)
		b.AdvanceSlowStarts(services, r.View(), now.Add(time.Minute))
		if l.InSlowStart() || b.TakeSlowStarts(now).Servers != 0 {
			t.Errorf("%s: the slow start has not ended", test.name)
		}
	}
}

// Guards against a second window for the process whose new entry arrives later, and against
// failures of the process before that cut the window of the new one.
func TestWindowGoesOnUnderTheNewEntry(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(1, 0)
	now := clock.Instant(time.Hour)
	b.AdvanceSlowStarts(services, r.View(), now)
	before := b.Load(roster.ServerKey{ID: "writer0", Started: 1})
	before.RecordRestart(2, now, 0)
	b.AdvanceSlowStarts(services, r.View(), now)
	window := before.window.Load()
	is.True(window != nil)
	r.Put(roster.Entry{ID: "writer0", Service: "writer", Address: "10.0.0.0:1", FailureDomain: "a", Region: "home", Slots: 64, Started: 2}, 50, roster.Event, now)
	b.RemoveUnlisted(r.View(), now)
	b.AdvanceSlowStarts(services, r.View(), now)
	is.Equal(b.Load(roster.ServerKey{ID: "writer0", Started: 2}).window.Load(), window)
	before.RecordFailure(now)
	is.Equal(window.State(now).Cuts, 0)
}

// BenchmarkChooseInSlowStart measures a choice among 20 engines: with slow starts switched off,
// with steady servers, and with all servers in their slow start.
func BenchmarkChooseInSlowStart(b *testing.B) {
	for i, name := range []string{"off", "steady", "all"} {
		b.Run(name, func(b *testing.B) {
			balancer, r := newTestBalancer(20, 0)
			balancer.Tuning.SlowStart = i > 0
			now := clock.Instant(time.Hour)
			for _, s := range r.View().All() {
				if balancer.Load(s.Key()); i == 2 {
					balancer.Load(s.Key()).beginSlowStart("benchmark", now)
				}
			}
			q := streamQuery(now, newDemand(1, 300, 200, 200))
			for b.Loop() {
				balancer.Choose(q, r.View())
			}
		})
	}
}
