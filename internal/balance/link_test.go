package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// peerFleet is the Fleet of a VM whose region has another VM that reaches all servers but
// unreached ones.
type peerFleet struct {
	singleVM
	unreached, cutOff map[string]bool
}

func (f *peerFleet) ReachedByPeer(_, server string) bool { return !f.unreached[server] }
func (f *peerFleet) CutOff(region, server string) bool {
	return f.cutOff[region+"/"+server]
}

func lose(l *Load, now clock.Instant) {
	for range unresponsivePolls {
		l.Link.RecordPoll(false, now)
	}
}

func TestLinkIsLostAfterFailuresInARow(t *testing.T) {
	is := is.New(t)
	var l Link
	l.RecordDial(false, 1)
	is.True(l.Doubtful() && !l.Lost())
	l.RecordPoll(true, 2) // over an open connection
	l.RecordDial(false, 3)
	is.True(l.Lost())
	l.RecordPoll(true, 4)
	is.True(l.Lost() && l.NeedsDial())
	is.True(!l.Settled(0, 4))
	l.RecordDial(true, 5)
	is.True(!l.Lost() && !l.Doubtful())
	is.True(!l.Settled(time.Second, 6))
	is.True(l.Settled(time.Second, clock.Instant(5).Add(time.Second+1)))
}

// Guards against RECOVER (issue 42): a VM that had lost its links had no use for those of
// the other VMs of its region.
func TestRequestForUnreachedServerGoesThroughPeer(t *testing.T) {
	b, r := newTestBalancer(3, 1)
	fleet := &peerFleet{unreached: map[string]bool{}}
	b.Fleet = fleet
	now := clock.Instant(time.Hour)
	d := newDemand(1, 600, 0, 300)
	load := func(id string) *Load { return b.Load(r.View().Lookup(id).Key()) }
	for _, id := range []string{"writer0", "writer1", "writer2"} {
		lose(load(id), now)
	}
	choose := func(edit func(q *Query)) Plan {
		q := streamQuery(now, d)
		if edit != nil {
			edit(q)
		}
		return b.Choose(q, r.View())
	}
	t.Run("all links lost", func(t *testing.T) {
		is := is.New(t)
		plan := choose(nil)
		is.Equal(plan.Server, nil)
		is.Equal(plan.Region, "home")
	})
	t.Run("only over own links", func(t *testing.T) {
		is := is.New(t)
		is.Equal(choose(func(q *Query) { q.OwnLinksOnly = true }).Reason, "servers-failing")
	})
	t.Run("peer was tried", func(t *testing.T) {
		is := is.New(t)
		is.Equal(choose(func(q *Query) { q.TriedRegions = []string{"home"} }).Reason, "servers-failing")
	})
	t.Run("no peer reaches them", func(t *testing.T) {
		is := is.New(t)
		fleet.unreached = map[string]bool{"writer0": true, "writer1": true, "writer2": true}
		is.Equal(choose(nil).Reason, "servers-failing")
		fleet.unreached = map[string]bool{}
	})
	t.Run("a refused connection doesn't make them cold", func(t *testing.T) {
		is := is.New(t)
		load("writer0").MarkLost(now)
		load("writer1").MarkLost(now)
		load("writer2").MarkLost(now)
		is.Equal(choose(nil).Region, "home")
	})
	t.Run("own link is as good", func(t *testing.T) {
		is := is.New(t)
		load("writer2").ConfirmRunning(now)
		load("writer2").RecordPollReport(Report{ReceivedAt: now, MemoryTotal: 444_000})
		is.Equal(choose(nil).Server.ID, "writer2")
	})
	t.Run("own link leads to a busy server", func(t *testing.T) {
		is := is.New(t)
		for range 64 {
			load("writer2").Begin(d, &Estimate{}, now)
		}
		is.Equal(choose(nil).Region, "home")
	})
}

// largePeerFleet is a peerFleet of a large region, where other VMs poll the servers.
type largePeerFleet struct{ peerFleet }

func (f *largePeerFleet) LargeRegion() bool { return true }

// Guards against SHORT of issue 45: after a mass crash of servers, those that refused
// connections looked idle, as nobody reported on them, and most requests went through other
// VMs of the region to servers that were busy.
func TestServersThatAreDownDrawNoRequestsToPeers(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(10, 0)
	b.Fleet = &largePeerFleet{}
	now := clock.Instant(time.Hour)
	d := newDemand(1, 600, 0, 300)
	for _, s := range r.View().All() {
		b.Load(s.Key()).RecordForwardedReport(Report{ReceivedAt: now, Running: 24, MemoryTotal: 444_000})
	}
	lost := b.Load(r.View().Lookup("writer3").Key())
	lost.Link.RecordDial(false, now)
	lost.Link.RecordDial(false, now)
	now = now.Add(maxReportAge)
	for _, running := range []int{24, 100} { // of 64 slots
		for _, s := range r.View().All() {
			if load := b.Load(s.Key()); load != lost {
				load.RecordForwardedReport(Report{ReceivedAt: now, Running: running, MemoryTotal: 444_000})
			}
		}
		for range 20 {
			is.True(b.Choose(streamQuery(now, d), r.View()).Server != nil)
		}
	}
	// A report of another VM shows that the server runs, and only the link is lost.
	lost.RecordForwardedReport(Report{ReceivedAt: now, MemoryTotal: 444_000})
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "home")
}

// Guards against FAILBACK by VMs that divide the rate of a cold server while one of them
// has lost its link and another has taken over its share.
func TestRestoredLinkHasNoShareAtFirst(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(1, 0)
	s := r.View().Lookup("writer0")
	load := b.Load(s.Key())
	now := clock.Instant(time.Hour)
	load.RateLimiter.SetLimit(5)
	load.RecordRestart(2, now, time.Minute)
	mayUse := func() (cold, limited bool) {
		_, wait := b.AdmissionDelay(s, load, now) // a share fills from its first use on
		now = now.Add(min(wait, time.Second))
		return b.TakeFromColdRate(engineService, s, load, r.View(), now), b.TakeFromLimit(s, load, now)
	}
	cold, limited := mayUse()
	is.True(cold && limited)
	lose(load, now)
	cold, limited = mayUse()
	is.True(!cold && !limited)
	load.Link.RecordPoll(true, now)
	cold, limited = mayUse()
	is.True(!cold && !limited)
	now = now.Add(b.Fleet.ShareDelay())
	cold, limited = mayUse()
	is.True(cold && limited)
}

// Guards against prefixes whose home is a region of which no VM reaches the servers.
func TestHomeRegionCountsServersThatAreReached(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(2, 0)
	fleet := &peerFleet{cutOff: map[string]bool{}}
	b.Fleet = fleet
	q := streamQuery(clock.Instant(time.Hour), newDemand(1, 400, 5000, 300))
	is.Equal(b.homeRegion(q, r.View()), "home")
	fleet.cutOff = map[string]bool{"home/writer0": true, "home/writer1": true}
	is.Equal(b.homeRegion(q, r.View()), "")
}

// Guards against a region that seems to have no servers as the VM that reports for it has
// lost its links.
func TestSummaryCountsServersThatPeersReach(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(2, 0)
	fleet := &peerFleet{unreached: map[string]bool{"writer1": true}}
	b.Fleet = fleet
	now := clock.Instant(time.Hour)
	is.Equal(b.Summarize(engineService, r.View(), now).Servers, 2)
	for _, s := range r.View().All() {
		lose(b.Load(s.Key()), now)
	}
	is.Equal(b.Summarize(engineService, r.View(), now).Servers, 1)
}

// Guards against RECOVER (issue 42): when the only servers that any VM reached had come back
// cold, the VMs beside them served their own callers, and the others refused all.
func TestColdServersOfOtherVMsAreTheLastChoice(t *testing.T) {
	region := func(cold bool) RegionSummary {
		return RegionSummary{
			Region: "other", Members: 1, RoundTrip: 160 * time.Millisecond, Known: true,
			Summary: Summary{Service: "writer", Servers: 2, Slots: 128, Memory: 30_000, MemoryTotal: 888_000, Slowdown: 1, Cold: cold},
		}
	}
	now := clock.Instant(time.Hour)
	d := newDemand(1, 600, 0, 300)
	t.Run("another region", func(t *testing.T) {
		is := is.New(t)
		b, r := newTestBalancer(1, 0, region(true))
		own := b.Load(r.View().Lookup("writer0").Key())
		for range 200 { // a long queue
			own.Begin(d, &Estimate{}, now)
		}
		is.Equal(b.Choose(streamQuery(now, d), r.View()).Server.ID, "writer0")
		lose(own, now)
		b.Fleet.(*singleVM).regions = []RegionSummary{region(true)}
		plan := b.Choose(streamQuery(now, d), r.View())
		is.Equal(plan.Region, "other")
		for range 2 { // as many as it has cold servers
			b.RecordCrossRegionSend("other", "writer", &plan.Estimate, now)
		}
		is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "")
	})
	t.Run("a peer", func(t *testing.T) {
		is := is.New(t)
		b, r := newTestBalancer(2, 0)
		b.Fleet = &peerFleet{}
		for _, s := range r.View().All() {
			load := b.Load(s.Key())
			load.RecordRestart(2, now, time.Minute)
			lose(load, now)
		}
		is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "home")
		b.Fleet = &peerFleet{singleVM: singleVM{regions: []RegionSummary{region(false)}}}
		is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "other") // it has warm ones
	})
	t.Run("summary", func(t *testing.T) {
		is := is.New(t)
		b, r := newTestBalancer(2, 0)
		for _, s := range r.View().All() {
			b.Load(s.Key()).RecordRestart(2, now, time.Minute)
		}
		s := b.Summarize(engineService, r.View(), now)
		is.Equal(s.Servers, 2)
		is.True(s.Cold)
		for _, server := range r.View().All() { // their rates are used up for the moment
			for b.TakeFromColdRate(engineService, server, b.Load(server.Key()), r.View(), now) {
			}
		}
		is.Equal(b.Summarize(engineService, r.View(), now).Servers, 2)
	})
}

// Guards against servers that are down, as in TestServersThatAreDownDrawNoRequestsToPeers,
// and draw requests of other regions, as the summary has all of their slots as free.
func TestServersThatAreDownAreNoFreeSlotsInTheSummary(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(10, 0)
	b.Fleet = &largePeerFleet{}
	now := clock.Instant(time.Hour)
	lost := b.Load(r.View().Lookup("writer3").Key())
	lost.Link.RecordDial(false, now)
	lost.Link.RecordDial(false, now)
	now = now.Add(maxReportAge)
	for _, s := range r.View().All() {
		if load := b.Load(s.Key()); load != lost {
			load.RecordForwardedReport(Report{ReceivedAt: now, Running: 24, MemoryTotal: 444_000})
		}
	}
	s := b.Summarize(engineService, r.View(), now)
	is.True(s.MinActive >= 16)
	is.True(s.Active >= 9*24+16 || s.Servers == 9)
}

// Guards against RECOVER: a VM of a large region that has lost its links to the plain
// servers, on which there are no reports, sends requests to another region, although other
// VMs of its own reach the idle servers.
func TestPartitionedVMOfLargeRegionKeepsPlainRequestsInItsRegion(t *testing.T) {
	away := RegionSummary{
		Region: "away", Members: 30, RoundTrip: 30 * time.Millisecond, Known: true,
		Summary: Summary{Service: "desk", Servers: 10, Slots: 60, Slowdown: 1},
	}
	b, r := newTestBalancer(0, 10, away)
	b.Fleet = &largePeerFleet{peerFleet{singleVM: singleVM{[]RegionSummary{away}}}}
	now := clock.Instant(time.Hour)
	for _, s := range r.View().All() {
		lose(b.Load(s.Key()), now)
	}
	for _, took := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		if took > 0 {
			for range 200 {
				b.RecordDuration("desk", took)
			}
		}
		q := &Query{Now: now, Route: plainRoute, Service: plainService, Demand: &Demand{}, Remaining: 4 * time.Second}
		p := b.Choose(q, r.View())
		if p.Region != "home" {
			t.Errorf("mean %v: sent to %q", took, p.Region)
		}
	}
}
