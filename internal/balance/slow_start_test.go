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

// slowStartCase is a VM with three busy engines, and one that starts when it has run for long.
type slowStartCase struct {
	b     *Balancer
	r     *roster.Roster
	now   clock.Instant
	fresh *roster.Server
	sent  []*InFlight
}

var services = map[string]*ingress.Service{"writer": engineService, "desk": plainService}

// newSlowStartCase returns the case with busy engines of 64 slots that run the given number of
// requests. The new engine becomes warm at the time now.
func newSlowStartCase(tuning Tuning, busy int) *slowStartCase {
	c := &slowStartCase{now: clock.Instant(time.Hour)}
	c.b, c.r = newTestBalancer(3, 0)
	c.b.Tuning = tuning
	c.b.AdvanceSlowStarts(services, c.r.View(), c.now.Add(-time.Minute))
	for i := range 3 {
		c.b.Load(roster.ServerKey{ID: fmt.Sprint("writer", i), Started: 1}).RecordPollReport(Report{Running: busy, MemoryTotal: 444_000, ReceivedAt: c.now})
	}
	c.r.Put(roster.Entry{
		ID: "fresh", Service: "writer", Address: "10.0.1.1:1", FailureDomain: "a", Region: "home", Slots: 64, Started: 1,
		ColdFor: engineService.ColdPeriod,
	}, revision.Revision(100), roster.Event, c.now.Add(-engineService.ColdPeriod))
	c.fresh = c.r.View().Lookup("fresh")
	return c
}

// burst sends n requests at once and returns how many of them went to the new engine.
func (c *slowStartCase) burst(t *testing.T, n int) (toFresh int) {
	t.Helper()
	for i := range n {
		plan := c.b.Choose(streamQuery(c.now, newDemand(i, 300, 0, 200)), c.r.View())
		if plan.Server == nil {
			t.Fatalf("refused: %s", plan.Reason)
		}
		f := plan.Load.Begin(&Demand{}, &plan.Estimate, c.now)
		if plan.Server.ID == "fresh" {
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
	c := newSlowStartCase(DefaultTuning, 40)
	n := c.burst(t, 60)
	t.Logf("%d of 60 requests sent to the new engine", n)
	is.True(n > 0)
	is.True(n <= 8)

	// Responses in time bring it to full use.
	start := c.now
	for c.b.Load(c.fresh.Key()).ownRequests() < 64 {
		c.now = c.now.Add(125 * time.Millisecond)
		if c.now.Sub(start) > 1250*time.Millisecond {
			t.Fatalf("%d requests at the new engine after %v", c.b.Load(c.fresh.Key()).ownRequests(), c.now.Sub(start))
		}
		for _, f := range c.sent {
			f.RecordFirstByte(c.now)
		}
		c.b.AdvanceSlowStarts(services, c.r.View(), c.now)
		c.burst(t, 30)
	}
	c.b.AdvanceSlowStarts(services, c.r.View(), c.now.Add(250*time.Millisecond))
	is.True(!c.b.Load(c.fresh.Key()).InSlowStart())
}

// Guards against requests that are refused, or left at servers that are late, for a window.
func TestWindowRefusesNoRequest(t *testing.T) {
	for name, prepare := range map[string]func(c *slowStartCase){
		"others failing": func(c *slowStartCase) {
			for i := range 3 {
				c.b.Load(roster.ServerKey{ID: fmt.Sprint("writer", i), Started: 1}).Exclude(c.now)
			}
		},
		"others late": func(c *slowStartCase) {
			for i := range 3 {
				c.b.Load(roster.ServerKey{ID: fmt.Sprint("writer", i), Started: 1}).RecordPollReport(Report{Running: 64, Queued: 200, MemoryTotal: 444_000, ReceivedAt: c.now})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSlowStartCase(DefaultTuning, 40)
			prepare(c)
			if n := c.burst(t, 40); n != 40 {
				t.Errorf("%d of 40 requests sent to the new engine", n)
			}
		})
	}
}

// Guards against windows for servers that are steady, and servers that recover without one.
func TestSlowStartsBeginAndEnd(t *testing.T) {
	now := clock.Instant(time.Hour)
	for name, test := range map[string]struct {
		event func(l *Load)
		want  bool
	}{
		"steady":           {func(*Load) {}, false},
		"failure":          {func(l *Load) { l.RecordFailure(now); l.RecordSuccess(now) }, false},
		"restarted":        {func(l *Load) { l.RecordRestart(7, now, 0) }, true},
		"refused and back": {func(l *Load) { l.MarkLost(now); l.ConfirmRunning(now.Add(1)) }, true},
		"refused":          {func(l *Load) { l.MarkLost(now) }, false},
		"breaker closed": {func(l *Load) {
			for range 3 {
				l.RecordFailure(now)
			}
			l.RecordSuccess(now)
		}, true},
		"responds again": {func(l *Load) { l.RecordLinkRestored(now) }, true},
		"link restored beside reports of others": {func(l *Load) {
			l.RecordForwardedReport(Report{ReceivedAt: now.Add(-900 * time.Millisecond)})
			l.RecordForwardedReport(Report{ReceivedAt: now.Add(-400 * time.Millisecond)})
			l.RecordForwardedReport(Report{ReceivedAt: now})
			l.RecordLinkRestored(now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, r := newTestBalancer(1, 0)
			b.AdvanceSlowStarts(services, r.View(), now.Add(-time.Minute))
			l := b.Load(roster.ServerKey{ID: "writer0", Started: 1})
			test.event(l)
			is.Equal(l.InSlowStart(), test.want)
			is.Equal(b.TakeSlowStarts(now).Servers > 0, test.want)
			b.AdvanceSlowStarts(services, r.View(), now)
			b.AdvanceSlowStarts(services, r.View(), now.Add(time.Minute))
			is.True(!l.InSlowStart())
			is.Equal(b.TakeSlowStarts(now).Servers, 0)
		})
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
	for _, name := range []string{"off", "steady", "all"} {
		b.Run(name, func(b *testing.B) {
			balancer, r := newTestBalancer(20, 0)
			balancer.Tuning.SlowStart = name != "off"
			now := clock.Instant(time.Hour)
			balancer.AdvanceSlowStarts(services, r.View(), now)
			if name == "all" {
				for _, s := range r.View().All() {
					balancer.Load(s.Key()).beginSlowStart("benchmark", now)
				}
			}
			q := streamQuery(now, newDemand(1, 300, 200, 200))
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(q, r.View())
			}
		})
	}
}
