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
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// lone is a fleet of one VM, with other regions.
type lone struct{ regions []RegionSummary }

func (l *lone) Peers(string, string) (vms, rank int) { return 1, 0 }
func (l *lone) LargeRegion() bool                    { return false }
func (l *lone) CapacityShare() float64               { return 1 }
func (l *lone) Regions(string) []RegionSummary       { return l.regions }

var (
	engineService = &ingress.Service{
		Name: "writer", ColdStart: 3 * time.Second, ColdPerSecond: 4.7,
		Engine: &ingress.Engine{Slots: 64, MemoryTokens: 444_000, EventTokens: 12},
	}
	streamRoute = &ingress.Route{
		Name: "stream", Kind: ingress.Stream, LatencyObjective: time.Second, GapObjective: 300 * time.Millisecond,
	}
	plainService = &ingress.Service{Name: "desk"}
	plainRoute   = &ingress.Route{Name: "book", LatencyObjective: 500 * time.Millisecond}
)

func newBed(engines, desks int, regions ...RegionSummary) (*Balancer, *roster.Roster) {
	r := roster.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	put := func(n int, service string, slots int) {
		for i := range n {
			r.Put(roster.Entry{
				ID: fmt.Sprint(service, i), Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i),
				FailureDomain: "a", Region: "home", Slots: slots, Started: 1,
			}, uint64(len(service)+i+1), 1)
		}
	}
	put(engines, "writer", 64)
	put(desks, "desk", 6)
	return New("home", "a", Bounds{ColdOverage: 1.5, ColdSlack: 3}, DefaultTuning, &lone{regions}), r
}

func streamQuery(now clock.Instant, d *Demand) *Query {
	return &Query{
		Now: now, Route: streamRoute, Service: engineService, Demand: d,
		Remaining: 8 * time.Second, Random: rand.Uint64(),
	}
}

// prompt returns a demand with a document of its own choosing among docs.
func prompt(doc, own, shared, output int) *Demand {
	return &Demand{
		PromptTokens: shared + own, MaxOutputTokens: output,
		PrefixBlocks: []PrefixBlock{{ID: uint64(doc + 1), Tokens: shared}, {ID: rand.Uint64(), Tokens: own}},
	}
}

// TestLongPromptsThatMeetDontHoldStreamsUp is the pattern of the heaviest days:
// many streams run while long prompts come in clumps. A read of two prompts in
// a row at one engine stretches a pause of all its streams over the objective.
func TestLongPromptsThatMeetDontHoldStreamsUp(t *testing.T) {
	b, r := newBed(6, 0)
	now := clock.Instant(time.Hour)
	reads := map[string][]interval{}
	for clump := range 40 {
		for i := range 4 {
			q := streamQuery(now, prompt(clump*4+i, 6000, 5000, 300))
			plan := b.Choose(q, r.View())
			start := plan.Load.ReservePrefillSlot(plan.Estimate.PrefillTime, plan.Estimate.PrefillGap, now)
			reads[plan.Server.ID] = append(reads[plan.Server.ID], interval{start, start.Add(plan.Estimate.PrefillTime)})
		}
		now = now.Add(200 * time.Millisecond)
	}
	for server, list := range reads {
		for i, a := range list {
			for _, other := range list[i+1:] {
				if a.from < other.to && other.from < a.to {
					t.Fatalf("two prompts are read at once at %s", server)
				}
			}
		}
	}
}

type interval struct{ from, to clock.Instant }

// TestHeavyPromptGoesWhereFewestStreamsRun is the pattern of prompts so long
// that their reading holds up whatever runs beside them.
func TestHeavyPromptGoesWhereFewestStreamsRun(t *testing.T) {
	is := is.New(t)
	b, r := newBed(4, 0)
	now := clock.Instant(time.Hour)
	brief := prompt(1, 400, 200, 300)
	for i, n := range []int{12, 3, 14, 9} {
		s := r.View().Lookup(fmt.Sprint("writer", i))
		for range n {
			b.Load(s.Key()).Begin(brief, &Estimate{}, now)
		}
	}
	plan := b.Choose(streamQuery(now, prompt(2, 50_000, 5000, 300)), r.View())
	is.True(plan.Estimate.StallingPrefill)
	is.Equal(plan.Server.ID, "writer1")
}

// TestSharedDocumentsStayWhereTheyAreCached is the pattern of many requests
// about a few documents.
func TestSharedDocumentsStayWhereTheyAreCached(t *testing.T) {
	b, r := newBed(6, 0)
	now := clock.Instant(time.Hour)
	again, total := 0, 0
	for range 600 {
		d := prompt(rand.IntN(55), 3000, 5000, 300)
		plan := b.Choose(streamQuery(now, d), r.View())
		if plan.Estimate.UncachedTokens > 3000 {
			again++
		}
		total++
		plan.Load.ReservePrefillSlot(plan.Estimate.PrefillTime, plan.Estimate.PrefillGap, now)
		b.Prefixes.RecordSent(d.PrefixBlocks, plan.Server.Key(), leastRead, now)
		now = now.Add(80 * time.Millisecond)
	}
	// Each of 55 documents is read once; twice as often is allowed.
	if again > 110 {
		t.Fatalf("%d of %d requests read their document again", again, total)
	}
}

// TestPeakOfASmallRegionMovesToIdleOnes is the pattern of shifted daily peaks:
// the own engines are crowded, another region's are idle.
func TestPeakOfASmallRegionMovesToIdleOnes(t *testing.T) {
	is := is.New(t)
	idle := RegionSummary{
		Region: "idle", Members: 2, RoundTrip: 160 * time.Millisecond, Known: true,
		Summary: Summary{Service: "writer", Servers: 6, Slots: 384, Active: 12, Memory: 30_000, MemoryTotal: 2_664_000, Slowdown: 1},
	}
	b, r := newBed(2, 0, idle)
	now := clock.Instant(time.Hour)
	d := prompt(1, 400, 200, 300)
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "") // a calm region keeps its own
	for i := range 2 {
		load := b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key())
		for range 70 {
			load.Begin(d, &Estimate{}, now)
		}
	}
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Region, "idle")
	q := streamQuery(now, d)
	q.LocalOnly = true
	is.True(b.Choose(q, r.View()).Region == "") // a hop is never passed on
	q = streamQuery(now, d)
	bound := *streamRoute
	bound.Homes = []string{"home"}
	q.Route = &bound
	is.True(b.Choose(q, r.View()).Region == "") // homes bind
}

// TestCrossingsDontPourIntoOneRegion is the pattern of a region that looks idle
// for as long as its summary is old.
func TestCrossingsDontPourIntoOneRegion(t *testing.T) {
	other := RegionSummary{
		Region: "other", Members: 1, RoundTrip: 160 * time.Millisecond, Known: true,
		Summary: Summary{Service: "desk", Servers: 1, Slots: 6, Slowdown: 1},
	}
	b, r := newBed(0, 1, other)
	now := clock.Instant(time.Hour)
	load := b.Load(r.View().Lookup("desk0").Key())
	crossed := 0
	for range 200 {
		q := &Query{Now: now, Route: plainRoute, Service: plainService, Demand: &Demand{}, Remaining: 4 * time.Second}
		plan := b.Choose(q, r.View())
		if plan.Region != "" {
			b.RecordCrossRegionSend(plan.Region, "desk", &plan.Estimate, now)
			crossed++
		} else {
			load.Begin(&Demand{}, &Estimate{}, now)
		}
	}
	if crossed > 120 || crossed < 60 {
		t.Fatalf("%d of 200 simultaneous requests crossed; two equal servers should share them", crossed)
	}
}

// TestServerThatFailsRequestsIsPassedOver is the pattern of a server whose
// health is good and whose answers are failures.
func TestServerThatFailsRequestsIsPassedOver(t *testing.T) {
	b, r := newBed(0, 3)
	now := clock.Instant(time.Hour)
	grey := 0
	for range 300 {
		q := &Query{Now: now, Route: plainRoute, Service: plainService, Demand: &Demand{}, Remaining: 4 * time.Second, Random: rand.Uint64()}
		plan := b.Choose(q, r.View())
		if plan.Server.ID == "desk0" {
			grey++
			if rand.Float64() < 0.4 {
				plan.Load.RecordErrorResponse(now)
			}
		} else {
			plan.Load.RecordSuccess()
		}
		now = now.Add(10 * time.Millisecond)
	}
	if grey > 60 {
		t.Fatalf("the failing server got %d of 300 requests", grey)
	}
}

// TestSilentServerGetsNoNewWork is the pattern of a server that goes dark with
// its connections open.
func TestSilentServerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	b, r := newBed(2, 0)
	now := clock.Instant(time.Hour)
	d := prompt(1, 400, 200, 300)
	dark := b.Load(r.View().Lookup("writer0").Key())
	dark.Begin(d, &Estimate{}, now)
	now = now.Add(silentAfter + time.Millisecond)
	for range 20 {
		is.Equal(b.Choose(streamQuery(now, d), r.View()).Server.ID, "writer1")
	}
	lost := b.Load(r.View().Lookup("writer1").Key())
	for range pollsToLose {
		lost.RecordMissedPoll()
	}
	is.Equal(b.Choose(streamQuery(now, d), r.View()).Reason, "servers-failing")
}

// TestWordOfOthersDoesNotHideALostServer is the pattern of a VM that is cut off
// from a server that the others of its region reach.
func TestWordOfOthersDoesNotHideALostServer(t *testing.T) {
	is := is.New(t)
	l := &Load{}
	for range pollsToLose {
		l.RecordMissedPoll()
	}
	l.RecordForwardedReport(Report{Running: 3, ReceivedAt: 1})
	is.True(l.Unresponsive())
	l.RecordPollReport(Report{Running: 3, ReceivedAt: 1})
	is.True(!l.Unresponsive())
}

// TestSlowServerGetsLess is the pattern of a server that works several times
// slower than its peers.
func TestSlowServerGetsLess(t *testing.T) {
	b, r := newBed(3, 0)
	now := clock.Instant(time.Hour)
	slow := b.Load(r.View().Lookup("writer2").Key())
	for range 30 {
		now = now.Add(time.Second)
		b.RecordEventGap(slow, 300*time.Millisecond, 12, now) // ten times the expected time
	}
	d := prompt(1, 400, 200, 300)
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

// many is a fleet of a large region.
type many struct{ lone }

func (m *many) Peers(string, string) (vms, rank int) { return 30, 0 }
func (m *many) LargeRegion() bool                    { return true }
func (m *many) CapacityShare() float64               { return 1. / 30 }

// TestManyVMsDontAllChooseTheSameServer is the pattern of a large region whose
// VMs choose by reports that are a while old.
func TestManyVMsDontAllChooseTheSameServer(t *testing.T) {
	b, r := newBed(30, 0)
	b.Fleet = &many{}
	now := clock.Instant(time.Hour)
	for i := range 30 {
		load := b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key())
		load.RecordPollReport(Report{Running: 10 + i%3, MemoryTotal: 444_000, ReceivedAt: now})
	}
	counts, most := map[string]int{}, 0
	for range 300 {
		plan := b.Choose(streamQuery(now, prompt(rand.Int(), 300, 50, 200)), r.View())
		counts[plan.Server.ID]++
		most = max(most, counts[plan.Server.ID])
	}
	if most > 50 { // five times an even share
		t.Fatalf("one server got %d of 300 simultaneous requests", most)
	}
}

// inTwoDomains puts every other engine in another failure domain of a large
// region.
func inTwoDomains(engines int) (*Balancer, *roster.Roster) {
	b, r := newBed(0, 0)
	b.Fleet = &many{}
	for i := range engines {
		r.Put(roster.Entry{
			ID: fmt.Sprint("writer", i), Service: "writer", Address: fmt.Sprintf("10.0.0.%d:1", i),
			FailureDomain: string("ab"[i%2]), Region: "home", Slots: 64, Started: 1,
		}, uint64(i+1), 1)
	}
	return b, r
}

// TestDocumentsStayAtAFewServersOfALargeRegion is the pattern of a heavy day at
// scale: many VMs, even load, and documents that are asked for again and again.
func TestDocumentsStayAtAFewServersOfALargeRegion(t *testing.T) {
	now := clock.Instant(time.Hour)
	const vms, docs, uses = 10, 20, 400
	var fleet []*Balancer
	_, r := inTwoDomains(30)
	for range vms {
		b, _ := inTwoDomains(30)
		for i := range 30 {
			load := b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key())
			load.RecordPollReport(Report{Running: 10 + i%3, MemoryTotal: 444_000, ReceivedAt: now})
		}
		fleet = append(fleet, b)
	}
	at := map[int]map[string]bool{}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range uses {
		doc := i % docs
		q := streamQuery(now, prompt(doc, 1200, 5000, 300))
		q.Random = random.Uint64()
		plan := fleet[random.IntN(vms)].Choose(q, r.View())
		if at[doc] == nil {
			at[doc] = map[string]bool{}
		}
		at[doc][plan.Server.ID] = true
	}
	servers := 0
	for _, s := range at {
		servers += len(s)
	}
	// Documents are not told here: the VMs agree by themselves.
	if servers > docs*3 {
		t.Fatalf("%d documents are at %d servers", docs, servers)
	}
}

// TestRequestsStayInTheirFailureDomain is the pattern of a region with dear
// bytes between its failure domains.
func TestRequestsStayInTheirFailureDomain(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := inTwoDomains(30)
	far := 0
	for i := range 200 {
		q := streamQuery(now, prompt(i, 600, 200, 300))
		q.Bytes = 830
		if b.Choose(q, r.View()).Server.FailureDomain != "a" {
			far++
		}
	}
	is.True(far < 20)
	// A failure domain whose engines are busy hands work to the others.
	for i := range 30 {
		if s := r.View().Lookup(fmt.Sprint("writer", i)); s.FailureDomain == "a" {
			b.Load(s.Key()).RecordPollReport(Report{Running: 90, Queued: 40, MemoryTotal: 444_000, ReceivedAt: now})
		}
	}
	far = 0
	for i := range 200 {
		if b.Choose(streamQuery(now, prompt(i, 600, 200, 300)), r.View()).Server.FailureDomain != "a" {
			far++
		}
	}
	is.True(far > 180)
}

// TestServerThatItsOwnerGaveUpIsPassedOver is the pattern of an engine that
// fails: the VM that gives the turns there knows before the others.
func TestServerThatItsOwnerGaveUpIsPassedOver(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newBed(2, 0)
	b.Load(r.View().Lookup("writer0").Key()).Exclude(now)
	for i := range 20 {
		is.Equal(b.Choose(streamQuery(now, prompt(i, 600, 200, 300)), r.View()).Server.ID, "writer1")
	}
	now = now.Add(shunFor)
	is.True(!b.Load(r.View().Lookup("writer0").Key()).shunned(now))
}

func TestReadsAreToldOnceAndOnlyWhatIsWorthIt(t *testing.T) {
	is := is.New(t)
	p, now := NewPrefixIndex(), clock.Instant(time.Hour)
	key := roster.ServerKey{ID: "writer0", Started: 1}
	parts := []PrefixBlock{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}, {ID: 3, Tokens: 900}}
	p.RecordSent(parts, key, leastHeld, now)
	is.Equal(p.TakeUpdates(), []CachedBlock{{Server: "writer0", Started: 1, Block: 2}})
	p.RecordSent(parts, key, leastHeld, now.Add(time.Second))
	is.Equal(len(p.TakeUpdates()), 0) // the others know
	p.RecordSent(parts, key, leastHeld, now.Add(time.Second+2*retellAfter))
	is.Equal(len(p.TakeUpdates()), 1)
}

// away is another region with six engines and the given number of requests.
func away(active float64) RegionSummary {
	return RegionSummary{
		Region: "away", Members: 6, Known: true, RoundTrip: 160 * time.Millisecond,
		Summary: Summary{Service: "writer", Servers: 6, Slots: 6 * 64, Active: active, MemoryTotal: 6 * 444_000, Slowdown: 1},
	}
}

// TestRequestsCrossBeforeTheirRegionIsFull is the pattern of a region at its
// peak while the others are idle: streams stretch one another long before the
// engines' slots are all taken.
func TestRequestsCrossBeforeTheirRegionIsFull(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newBed(6, 0, away(12))
	at := func(running int) string {
		for i := range 6 {
			b.Load(r.View().Lookup(fmt.Sprint("writer", i)).Key()).RecordPollReport(Report{Running: running, MemoryTotal: 444_000, ReceivedAt: now})
		}
		return b.Choose(streamQuery(now, prompt(1, 400, 200, 300)), r.View()).Region
	}
	is.Equal(at(10), "")
	is.Equal(at(55), "away")
}

// TestUrgentRequestsDontWaitForTheQueue is the pattern of engines with twice as
// many requests as slots: the urgent overtake, and the others wait for long.
func TestUrgentRequestsDontWaitForTheQueue(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newBed(1, 0)
	b.Load(r.View().Lookup("writer0").Key()).RecordPollReport(Report{Running: 64, Queued: 64, MemoryTotal: 444_000, ReceivedAt: now})
	first := func(yield float64) time.Duration {
		q := streamQuery(now, prompt(1, 400, 200, 300))
		route := *streamRoute
		route.Yield = yield
		q.Route = &route
		return b.Choose(q, r.View()).Estimate.TimeToFirstByte
	}
	is.True(first(0) < time.Second)
	is.True(first(1) > 4*time.Second)
}

// TestDocumentsHaveAHomeRegion is the pattern of documents that all regions ask
// for: each is read in one region and not in all, and a region at its peak
// keeps only its part of them.
func TestDocumentsHaveAHomeRegion(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	b, r := newBed(6, 0, away(60))
	for i := range 6 {
		r.Put(roster.Entry{ID: fmt.Sprint("far", i), Service: "writer", Address: "10.0.1.1:1", FailureDomain: "z", Region: "away", Slots: 64, Started: 1}, 100, 1)
	}
	crossed := 0
	const documents = 200
	for i := range documents {
		b.Load(r.View().Lookup(fmt.Sprint("writer", i%6)).Key()).RecordPollReport(Report{Running: 10, MemoryTotal: 444_000, ReceivedAt: now})
		q := streamQuery(now, prompt(i, 1200, 5000, 300))
		if b.Choose(q, r.View()).Region == "away" {
			crossed++
			// A document that is here already stays.
			b.RecordSend(q.Demand, r.View().Lookup("writer0").Key(), now)
			is.Equal(b.Choose(q, r.View()).Region, "")
		}
	}
	is.True(crossed > documents*35/100 && crossed < documents*65/100)
	// A route that the other region may not serve stays, too.
	bound := *streamRoute
	bound.Homes = []string{"home"}
	for i := range documents {
		q := streamQuery(now, prompt(1000+i, 1200, 5000, 300))
		q.Route = &bound
		is.Equal(b.Choose(q, r.View()).Region, "")
	}
}

// TestBacklogIsWhatWasSentAndNotBegun is the pattern of an engine that falls
// behind: turns alone show no more than half a second of it.
func TestBacklogIsWhatWasSentAndNotBegun(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	l := &Load{}
	d := prompt(1, 12000, 0, 300)
	var sent []*InFlight
	for range 20 {
		sent = append(sent, l.Begin(d, &Estimate{PrefillTime: 130 * time.Millisecond}, now))
	}
	is.Equal(l.reading(now), 20*130*time.Millisecond-readAhead)
	for _, w := range sent[:10] {
		w.RecordFirstByte(now)
	}
	sent[10].End(now)
	is.Equal(l.reading(now), 9*130*time.Millisecond-readAhead)
	// What an owner tells counts, less its age.
	other := &Load{}
	other.SetPeerUsage(l.OwnUsage(now), now)
	later := now.Add(200 * time.Millisecond)
	is.True(other.total(later).readingMs > 700 && other.total(later).readingMs < 900)
}
