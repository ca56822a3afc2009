package balance

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// singleVM is the Fleet of a region with one VM, next to other regions.
type singleVM struct{ regions []RegionSummary }

func (f *singleVM) ServerRank(string, string) (vms, rank int) { return 1, 0 }
func (f *singleVM) ReachedByPeer(string, string) bool         { return false }
func (f *singleVM) CutOff(string, string) bool                { return false }
func (f *singleVM) ShareDelay() time.Duration                 { return time.Second }
func (f *singleVM) KnowsFleet() bool                          { return true }
func (f *singleVM) LargeRegion() bool                         { return false }
func (f *singleVM) CapacityShare() float64                    { return 1 }
func (f *singleVM) Regions(string) []RegionSummary            { return f.regions }

var (
	engineService = &ingress.Service{
		Name: "writer", ColdPeriod: 3 * time.Second, ColdRequestsPerSecond: 4.7,
		Engine: &ingress.Engine{Slots: 64, MemoryTokens: 444_000, EventTokens: 12},
	}
	streamRoute = &ingress.Route{
		Name: "stream", Kind: ingress.Stream, LatencyObjective: time.Second, GapObjective: 300 * time.Millisecond,
	}
	plainService = &ingress.Service{Name: "desk"}
	plainRoute   = &ingress.Route{Name: "book", LatencyObjective: 500 * time.Millisecond}
)

// newTestBalancer returns a balancer for the region "home" and failure domain
// "a", and a roster with the given numbers of engines and plain servers.
func newTestBalancer(engines, plain int, regions ...RegionSummary) (*Balancer, *roster.Roster) {
	r := roster.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	put := func(n int, service string, slots int) {
		for i := range n {
			r.Put(roster.Entry{
				ID: fmt.Sprint(service, i), Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i),
				FailureDomain: "a", Region: "home", Slots: slots, Started: 1,
			}, revision.Revision(len(service)+i+1), roster.Event, 1)
		}
	}
	put(engines, "writer", 64)
	put(plain, "desk", 6)
	return New("home", "a", Bounds{ColdOverage: 1.5, ColdSlack: 3}, DefaultTuning, &singleVM{regions}), r
}

func streamQuery(now clock.Instant, d *Demand) *Query {
	return &Query{
		Now: now, Route: streamRoute, Service: engineService, Demand: d,
		Remaining: 8 * time.Second, Random: rand.Uint64(),
	}
}

// newDemand returns the demand of a prompt with shared tokens in the given prefix
// and own tokens that no other request shares, for at most output tokens.
func newDemand(prefix, own, shared, output int) *Demand {
	return &Demand{
		PromptTokens: shared + own, MaxOutputTokens: output,
		PrefixBlocks: []PrefixBlock{{ID: uint64(prefix + 1), Tokens: shared}, {ID: rand.Uint64(), Tokens: own}},
	}
}

// TestPrefillSlotsOfAServerDoNotOverlap sends bursts of long prompts. Two prefills
// in a row at one engine would extend an event gap of all its streams beyond the
// objective.
func TestPrefillSlotsOfAServerDoNotOverlap(t *testing.T) {
	b, r := newTestBalancer(6, 0)
	now := clock.Instant(time.Hour)
	slots := map[string][]interval{}
	for burst := range 40 {
		for i := range 4 {
			q := streamQuery(now, newDemand(burst*4+i, 6000, 5000, 300))
			plan := b.Choose(q, r.View())
			start := plan.Load.ReservePrefillSlot(plan.Estimate.PrefillTime, plan.Estimate.PrefillGap, now)
			slots[plan.Server.ID] = append(slots[plan.Server.ID], interval{start, start.Add(plan.Estimate.PrefillTime)})
		}
		now = now.Add(200 * time.Millisecond)
	}
	for server, list := range slots {
		for i, a := range list {
			for _, other := range list[i+1:] {
				if a.from < other.to && other.from < a.to {
					t.Fatalf("two prefill slots overlap at server %s", server)
				}
			}
		}
	}
}

type interval struct{ from, to clock.Instant }

// TestStallingPromptGoesToServerWithFewestStreams guards against prompts whose
// long prefill stalls more streams than necessary.
func TestStallingPromptGoesToServerWithFewestStreams(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(4, 0)
	now := clock.Instant(time.Hour)
	short := newDemand(1, 400, 200, 300)
	for i, n := range []int{12, 3, 14, 9} {
		s := r.View().Lookup(fmt.Sprint("writer", i))
		for range n {
			b.Load(s.Key()).Begin(short, &Estimate{}, now)
		}
	}
	plan := b.Choose(streamQuery(now, newDemand(2, 50_000, 5000, 300)), r.View())
	is.True(plan.Estimate.StallingPrefill)
	is.Equal(plan.Server.ID, "writer1")
}

// TestLongSharedPrefixesStayCached sends many requests that share a few long
// prefixes. It guards against prefills of a prefix at every server.
func TestLongSharedPrefixesStayCached(t *testing.T) {
	b, r := newTestBalancer(6, 0)
	now := clock.Instant(time.Hour)
	recomputed, total := 0, 0
	for range 600 {
		d := newDemand(rand.IntN(55), 3000, 5000, 300)
		plan := b.Choose(streamQuery(now, d), r.View())
		if plan.Estimate.UncachedTokens > 3000 {
			recomputed++
		}
		total++
		plan.Load.ReservePrefillSlot(plan.Estimate.PrefillTime, plan.Estimate.PrefillGap, now)
		b.Prefixes.RecordSent(d.PrefixBlocks, plan.Server.Key(), minAnnouncedTokens, now)
		now = now.Add(80 * time.Millisecond)
	}
	// 55 prefixes need one prefill each; twice as many are allowed.
	if recomputed > 110 {
		t.Fatalf("%d of %d requests prefilled their shared prefix", recomputed, total)
	}
}

// TestOverloadedRegionUsesIdleRegion covers a daily peak at which this region's
// engines are overloaded and another region's are idle.
func TestOverloadedRegionUsesIdleRegion(t *testing.T) {
	is := is.New(t)
	idle := RegionSummary{
		Region: "idle", Members: 2, RoundTrip: 160 * time.Millisecond, Known: true,
		Summary: Summary{Service: "writer", Servers: 6, Slots: 384, Active: 12, Memory: 30_000, MemoryTotal: 2_664_000, Slowdown: 1},
	}
	b, r := newTestBalancer(2, 0, idle)
	now := clock.Instant(time.Hour)
	d := newDemand(1, 400, 200, 300)
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "") // no reason to leave a region with free engines
	for i := range 2 {
		load := b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key())
		for range 70 {
			load.Begin(d, &Estimate{}, now)
		}
	}
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "idle")
	q := streamQuery(now, d)
	q.LocalOnly = true
	is.True(b.Choose(q, r.View()).Region == "") // a request from another VM is not forwarded again
	q = streamQuery(now, d)
	restricted := *streamRoute
	restricted.HomeRegions = []string{"home"}
	q.Route = &restricted
	is.True(b.Choose(q, r.View()).Region == "") // the route permits only its home region
}

// TestIdleRegionIsNotFlooded covers a region that seems idle until its next
// summary arrives.
func TestIdleRegionIsNotFlooded(t *testing.T) {
	other := RegionSummary{
		Region: "other", Members: 1, RoundTrip: 160 * time.Millisecond, Known: true,
		Summary: Summary{Service: "desk", Servers: 1, Slots: 6, Slowdown: 1},
	}
	b, r := newTestBalancer(0, 1, other)
	now := clock.Instant(time.Hour)
	load := b.Load(r.View().Lookup("desk0").Key())
	remote := 0
	for range 200 {
		q := &Query{Now: now, Route: plainRoute, Service: plainService, Demand: &Demand{}, Remaining: 4 * time.Second}
		plan := b.Choose(q, r.View())
		if plan.Region != "" {
			b.RecordCrossRegionSend(plan.Region, "desk", &plan.Estimate, now)
			remote++
		} else {
			load.Begin(&Demand{}, &Estimate{}, now)
		}
	}
	if remote > 120 || remote < 60 {
		t.Fatalf("%d of 200 simultaneous requests went to the other region, want about half for two equal servers", remote)
	}
}

// smallVM is the Fleet of one of many small VMs of a large region, next to another region.
type smallVM struct {
	largeRegion
	share float64
}

func (f *smallVM) CapacityShare() float64 { return f.share }

// Guards against SHORT of issue 45: a hundred VMs whose region is overloaded all sent to
// another region until its next summary told them that it was overloaded too. Each has few
// requests of its own to conclude from.
func TestIdleRegionIsNotFloodedByManySmallVMs(t *testing.T) {
	const (
		vms, engines, slots = 98, 60, 16
		delay               = 300 // between two summaries, and until one arrives, in ms
		duration            = 800 // of a request, ms
		running             = 56  // at each engine of the own region
	)
	away := RegionSummary{
		Region: "away", Members: 90, RoundTrip: 160 * time.Millisecond, Known: true,
		Summary: Summary{Service: "writer", Servers: engines, Slots: engines * slots, MemoryTotal: engines * 444_000, Slowdown: 1},
	}
	service := *engineService
	service.Engine = &ingress.Engine{Slots: slots, MemoryTokens: 444_000, EventTokens: 12}
	rng := rand.New(rand.NewPCG(45, 1))
	_, r := newTestBalancer(2, 0)
	var fleet []*Balancer
	for range vms {
		own := New("home", "a", Bounds{}, DefaultTuning, &smallVM{largeRegion{singleVM{[]RegionSummary{away}}}, 1. / vms})
		fleet = append(fleet, own)
	}
	var active [6000]int // requests in the other region, by ms
	highest := 0
	for ms := range 5000 {
		now := clock.Instant(time.Hour + time.Duration(ms)*time.Millisecond)
		if ms%delay == 0 {
			for _, v := range fleet {
				summary := &v.Fleet.(*smallVM).regions[0].Summary
				summary.Active = float64(active[max(0, ms-delay)])
			}
		}
		for range 2 { // 2,000 requests per second
			v := fleet[rng.IntN(vms)]
			for i := range 2 {
				v.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key()).RecordForwardedReport(Report{Running: running, MemoryTotal: 444_000, ReceivedAt: now})
			}
			q := streamQuery(now, newDemand(rng.Int(), 300, 50, 200))
			q.Service = &service
			if plan := v.Choose(q, r.View()); plan.Region != "" {
				v.RecordCrossRegionSend(plan.Region, "writer", &plan.Estimate, now)
				for at := ms; at < min(ms+duration, len(active)); at++ {
					active[at]++
				}
			}
		}
		highest = max(highest, active[ms])
	}
	if highest > engines*slots*5/4 {
		t.Errorf("%d requests at once in a region with %d slots", highest, engines*slots)
	}
}

// TestFailingServerIsAvoided covers a server that passes health checks but
// responds to many requests with errors.
func TestFailingServerIsAvoided(t *testing.T) {
	b, r := newTestBalancer(0, 3)
	now := clock.Instant(time.Hour)
	toFailing := 0
	for range 300 {
		q := &Query{Now: now, Route: plainRoute, Service: plainService, Demand: &Demand{}, Remaining: 4 * time.Second, Random: rand.Uint64()}
		plan := b.Choose(q, r.View())
		if plan.Server.ID == "desk0" {
			toFailing++
			if rand.Float64() < 0.4 {
				plan.Load.RecordErrorResponse(now)
			}
		} else {
			plan.Load.RecordSuccess(now)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if toFailing > 60 {
		t.Fatalf("the failing server got %d of 300 requests", toFailing)
	}
}

// TestUnresponsiveServerGetsNoRequests covers a server that stops answering while
// its connections stay open.
func TestUnresponsiveServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(2, 0)
	now := clock.Instant(time.Hour)
	d := newDemand(1, 400, 200, 300)
	stalled := b.Load(r.View().Lookup("writer0").Key())
	stalled.Begin(d, &Estimate{}, now)
	now = now.Add(unresponsiveAfter + time.Millisecond)
	for range 20 {
		is.Equal(b.Choose(streamQuery(now, d), r.View()).Server.ID, "writer1")
	}
	unresponsive := b.Load(r.View().Lookup("writer1").Key())
	for range unresponsivePolls {
		unresponsive.Link.RecordPoll(false, now)
	}
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Reason, "servers-failing")
}

// TestOnlyReports covers servers that send reports and nothing else. One that stands still keeps
// its requests (issue 54: they ran at two servers).
func TestOnlyReports(t *testing.T) {
	const interval = 250 * time.Millisecond
	for name, test := range map[string]struct {
		silent, reporting, lastReport time.Duration
		queued                        int
		want                          bool
	}{
		"hung":                               {2 * time.Second, 2 * time.Second, interval, 0, true},
		"not silent for long":                {time.Second, 2 * time.Second, interval, 0, false},
		"stands still":                       {1250 * time.Millisecond, 3 * time.Second, 1250 * time.Millisecond, 0, false},
		"stood still until just now":         {2 * time.Second, interval, interval, 0, false},
		"requests wait for a slot or memory": {2 * time.Second, 2 * time.Second, interval, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, now := &Load{}, clock.Instant(time.Hour)
			l.RecordPollReport(Report{ReceivedAt: now.Add(-time.Minute)})
			l.Begin(&Demand{}, &Estimate{}, now.Add(-test.silent))
			for at := now.Add(-test.reporting); at <= now.Add(-test.lastReport); at = at.Add(interval) {
				l.RecordPollReport(Report{Queued: test.queued, ReceivedAt: at})
			}
			is.Equal(l.OnlyReports(now), test.want)
		})
	}
}

// TestForwardedReportKeepsServerUnresponsive covers a VM that cannot reach a server
// that the other VMs of its region reach.
func TestForwardedReportKeepsServerUnresponsive(t *testing.T) {
	is := is.New(t)
	l := &Load{}
	for range unresponsivePolls {
		l.Link.RecordPoll(false, 1)
	}
	l.RecordForwardedReport(Report{Running: 3, ReceivedAt: 1})
	is.True(l.Link.Lost())
	l.RecordPollReport(Report{Running: 3, ReceivedAt: 1})
	is.True(!l.Link.Lost())
}

// TestSlowServerGetsFewerRequests covers a server that is several times slower than
// the others.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	b, r := newTestBalancer(3, 0)
	now := clock.Instant(time.Hour)
	slow := b.Load(r.View().Lookup("writer2").Key())
	for range 30 {
		now = now.Add(time.Second)
		b.RecordEventGap(slow, 300*time.Millisecond, 12, now) // ten times the expected time
	}
	d := newDemand(1, 400, 200, 300)
	got := 0
	for range 100 {
		plan := b.Choose(streamQuery(now, d), r.View())
		if plan.Server.ID == "writer2" {
			got++
		}
		plan.Load.Begin(d, &Estimate{}, now)
	}
	if got > 15 {
		t.Fatalf("the slow server got %d of 100 streams", got)
	}
}

// largeRegion is the Fleet of a large region.
type largeRegion struct{ singleVM }

func (f *largeRegion) ServerRank(string, string) (vms, rank int) { return 30, 0 }
func (f *largeRegion) LargeRegion() bool                         { return true }
func (f *largeRegion) CapacityShare() float64                    { return 1. / 30 }

// TestLargeRegionSpreadsSimultaneousRequests covers a large region whose VMs choose
// by the same outdated reports.
func TestLargeRegionSpreadsSimultaneousRequests(t *testing.T) {
	b, r := newTestBalancer(30, 0)
	b.Fleet = &largeRegion{}
	now := clock.Instant(time.Hour)
	for i := range 30 {
		load := b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key())
		load.RecordPollReport(Report{Running: 10 + i%3, MemoryTotal: 444_000, ReceivedAt: now})
	}
	counts, highest := map[string]int{}, 0
	for range 300 {
		plan := b.Choose(streamQuery(now, newDemand(rand.Int(), 300, 50, 200)), r.View())
		counts[plan.Server.ID]++
		highest = max(highest, counts[plan.Server.ID])
	}
	if highest > 50 { // five times an even share
		t.Fatalf("one server got %d of 300 simultaneous requests", highest)
	}
}

// newTwoDomainBalancer returns a balancer for a large region whose engines are
// alternately in the failure domains "a" and "b".
func newTwoDomainBalancer(engines int) (*Balancer, *roster.Roster) {
	b, r := newTestBalancer(0, 0)
	b.Fleet = &largeRegion{}
	for i := range engines {
		r.Put(roster.Entry{
			ID: fmt.Sprint("writer", i), Service: "writer", Address: fmt.Sprintf("10.0.0.%d:1", i),
			FailureDomain: string("ab"[i%2]), Region: "home", Slots: 64, Started: 1,
		}, revision.Revision(i+1), roster.Event, 1)
	}
	return b, r
}

// TestLargeRegionKeepsLongSharedPrefixesAtFewServers covers many VMs under even
// load with long shared prefixes that recur.
func TestLargeRegionKeepsLongSharedPrefixesAtFewServers(t *testing.T) {
	now := clock.Instant(time.Hour)
	const vms, prefixes, requests = 10, 20, 400
	var fleet []*Balancer
	_, r := newTwoDomainBalancer(30)
	for range vms {
		b, _ := newTwoDomainBalancer(30)
		for i := range 30 {
			load := b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key())
			load.RecordPollReport(Report{Running: 10 + i%3, MemoryTotal: 444_000, ReceivedAt: now})
		}
		fleet = append(fleet, b)
	}
	at := map[int]map[string]bool{}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range requests {
		prefix := i % prefixes
		q := streamQuery(now, newDemand(prefix, 1200, 5000, 300))
		q.Random = random.Uint64()
		plan := fleet[random.IntN(vms)].Choose(q, r.View())
		if at[prefix] == nil {
			at[prefix] = map[string]bool{}
		}
		at[prefix][plan.Server.ID] = true
	}
	servers := 0
	for _, s := range at {
		servers += len(s)
	}
	// No announcements are exchanged here: the VMs agree by hashing alone.
	if servers > prefixes*3 {
		t.Fatalf("%d prefixes are at %d servers in total", prefixes, servers)
	}
}

// TestRequestsStayInTheirFailureDomain covers a region in which traffic between
// failure domains is expensive.
func TestRequestsStayInTheirFailureDomain(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newTwoDomainBalancer(30)
	toOtherDomain := 0
	for i := range 200 {
		q := streamQuery(now, newDemand(i, 600, 200, 300))
		q.Bytes = 830
		if b.Choose(q, r.View()).Server.FailureDomain != "a" {
			toOtherDomain++
		}
	}
	is.True(toOtherDomain < 20)
	// Requests leave a failure domain whose engines are busy.
	for i := range 30 {
		if s := r.View().Lookup(fmt.Sprint("writer", i)); s.FailureDomain == "a" {
			b.Load(s.Key()).RecordPollReport(Report{Running: 90, Queued: 40, MemoryTotal: 444_000, ReceivedAt: now})
		}
	}
	toOtherDomain = 0
	for i := range 200 {
		if b.Choose(streamQuery(now, newDemand(i, 600, 200, 300)), r.View()).Server.FailureDomain != "a" {
			toOtherDomain++
		}
	}
	is.True(toOtherDomain > 180)
}

// TestExcludedServerIsAvoided covers a failing engine that its prefill coordinator
// detects before the other VMs.
func TestExcludedServerIsAvoided(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newTestBalancer(2, 0)
	b.Load(r.View().Lookup("writer0").Key()).Exclude(now)
	for i := range 20 {
		is.Equal(b.Choose(streamQuery(now, newDemand(i, 600, 200, 300)), r.View()).Server.ID, "writer1")
	}
	now = now.Add(excludeDuration)
	is.True(!b.Load(r.View().Lookup("writer0").Key()).excluded(now))
}

func TestOnlyNewLargeSharedBlocksAreAnnounced(t *testing.T) {
	is := is.New(t)
	p, now := NewPrefixIndex(), clock.Instant(time.Hour)
	key := roster.ServerKey{ID: "writer0", Started: 1}
	blocks := []PrefixBlock{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}, {ID: 3, Tokens: 900}}
	p.RecordSent(blocks, key, minLongPrefixTokens, now)
	is.Equal(p.TakeUpdates(), []CachedBlock{{Server: "writer0", Started: 1, Block: 2}})
	p.RecordSent(blocks, key, minLongPrefixTokens, now.Add(time.Second))
	is.Equal(len(p.TakeUpdates()), 0) // already announced
	p.RecordSent(blocks, key, minLongPrefixTokens, now.Add(time.Second+2*reannounceAfter))
	is.Equal(len(p.TakeUpdates()), 1)
}

// awaySummary describes another region with six engines and the given number of
// requests.
func awaySummary(active float64) RegionSummary {
	return RegionSummary{
		Region: "away", Members: 6, Known: true, RoundTrip: 160 * time.Millisecond,
		Summary: Summary{Service: "writer", Servers: 6, Slots: 6 * 64, Active: active, MemoryTotal: 6 * 444_000, Slowdown: 1},
	}
}

// TestRequestsLeaveTheirRegionBeforeItIsFull covers a region at its peak while
// others are idle: streams slow one another down long before all slots of the
// engines are taken.
func TestRequestsLeaveTheirRegionBeforeItIsFull(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newTestBalancer(6, 0, awaySummary(12))
	regionAt := func(running int) string {
		for i := range 6 {
			b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key()).RecordPollReport(Report{Running: running, MemoryTotal: 444_000, ReceivedAt: now})
		}
		return b.Choose(streamQuery(now, newDemand(1, 400, 200, 300)), r.View()).Region
	}
	is.Equal(regionAt(10), "")
	is.Equal(regionAt(55), "away")
}

// TestUrgentRequestsOvertakeTheQueue covers engines with twice as many requests as
// slots: urgent requests overtake the others, which wait for long.
func TestUrgentRequestsOvertakeTheQueue(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newTestBalancer(1, 0)
	b.Load(r.View().Lookup("writer0").Key()).RecordPollReport(Report{Running: 64, Queued: 64, MemoryTotal: 444_000, ReceivedAt: now})
	first := func(relativePriority float64) time.Duration {
		q := streamQuery(now, newDemand(1, 400, 200, 300))
		route := *streamRoute
		route.RelativePriority = relativePriority
		q.Route = &route
		return b.Choose(q, r.View()).Estimate.TimeToFirstByte
	}
	is.True(first(0) < time.Second)
	is.True(first(1) > 4*time.Second)
}

// TestLongSharedPrefixesHaveAHomeRegion covers prefixes that occur in all regions:
// each is prefilled in one region only, and a region at its peak keeps only its
// share of them.
func TestLongSharedPrefixesHaveAHomeRegion(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newTestBalancer(6, 0, awaySummary(60))
	for i := range 6 {
		r.Put(roster.Entry{ID: fmt.Sprint("far", i), Service: "writer", Address: "10.0.1.1:1", FailureDomain: "z", Region: "away", Slots: 64, Started: 1}, 100, roster.Event, 1)
	}
	remote := 0
	const prefixes = 200
	for i := range prefixes {
		b.Load(r.View().Lookup(fmt.Sprint("writer", i%6)).Key()).RecordPollReport(Report{Running: 10, MemoryTotal: 444_000, ReceivedAt: now})
		q := streamQuery(now, newDemand(i, 1200, 5000, 300))
		if b.Choose(q, r.View()).Region == "away" {
			remote++
			// A prefix that is cached in this region stays.
			b.RecordSend(q.Demand, r.View().Lookup("writer0").Key(), now)
			is.Equal(b.Choose(q, r.View()).Region, "")
		}
	}
	is.True(remote > prefixes*35/100 && remote < prefixes*65/100)
	// Routes that the other region may not serve stay, too.
	restricted := *streamRoute
	restricted.HomeRegions = []string{"home"}
	for i := range prefixes {
		q := streamQuery(now, newDemand(1000+i, 1200, 5000, 300))
		q.Route = &restricted
		is.Equal(b.Choose(q, r.View()).Region, "")
	}
}

// TestPrefillBacklogCountsRequestsWithoutFirstByte covers an engine that falls
// behind: prefill slots alone show at most maxSlotDelay of its backlog.
func TestPrefillBacklogCountsRequestsWithoutFirstByte(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	l := &Load{}
	d := newDemand(1, 12000, 0, 300)
	var sent []*InFlight
	for range 20 {
		sent = append(sent, l.Begin(d, &Estimate{PrefillTime: 130 * time.Millisecond}, now))
	}
	is.Equal(l.prefillBacklog(now), 20*130*time.Millisecond-completedPrefill)
	for _, f := range sent[:10] {
		f.RecordFirstByte(now)
	}
	sent[10].End(now)
	is.Equal(l.prefillBacklog(now), 9*130*time.Millisecond-completedPrefill)
	// An announced backlog counts, less its age.
	other := &Load{}
	other.SetPeerUsage(l.OwnUsage(now), now)
	later := now.Add(200 * time.Millisecond)
	is.True(other.totalUsage(later).prefillBacklogMs > 700 && other.totalUsage(later).prefillBacklogMs < 900)
}

// Guards against refusals by a hundred small VMs whose region has no server of a service and
// which send few requests to another one that has room for all of them: each takes one
// request of its own for a hundred.
func TestSmallVMsUseARegionThatHasRoom(t *testing.T) {
	const vms, perSecond, duration = 98, 20, 200 // a request takes 200 ms: 4 of 12 slots are in use
	rng := rand.New(rand.NewPCG(45, 2))
	_, r := newTestBalancer(0, 0)
	away := RegionSummary{
		Region: "away", Members: 30, RoundTrip: 30 * time.Millisecond, Known: true,
		Summary: Summary{Service: "desk", Servers: 2, Slots: 12, Active: perSecond * duration / 1000, Slowdown: 1},
	}
	var fleet []*Balancer
	for range vms {
		b := New("home", "a", Bounds{}, DefaultTuning, &smallVM{largeRegion{singleVM{[]RegionSummary{away}}}, 1. / vms})
		b.RecordDuration("desk", duration*time.Millisecond)
		fleet = append(fleet, b)
	}
	sent, refused := 0, map[string]int{}
	for ms := 0; ms < 20_000; ms += 1000 / perSecond {
		now := clock.Instant(time.Hour + time.Duration(ms)*time.Millisecond)
		b := fleet[rng.IntN(vms)]
		q := &Query{Now: now, Route: plainRoute, Service: plainService, Demand: &Demand{}, Remaining: time.Second, Random: rng.Uint64()}
		sent++
		plan := b.Choose(q, r.View())
		if plan.Region != "away" {
			refused[plan.Reason]++
			continue
		}
		if plan.Estimate.TimeToFirstByte > q.Remaining { // see relay.choosePlan
			refused["too-late"]++
			continue
		}
		b.RecordCrossRegionSend(plan.Region, "desk", &plan.Estimate, now)
	}
	if len(refused) > 0 {
		t.Errorf("of %d requests refused: %v", sent, refused)
	}
}
