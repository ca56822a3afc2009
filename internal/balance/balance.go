package balance

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// Bounds are the operators' bounds on what the fleet may do to backend servers.
type Bounds struct {
	// ColdOverage and ColdSlack bound the requests of one second to a cold
	// server: its stated rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
}

// Tuning holds the weights of the choice.
type Tuning struct {
	// PrefillTokensPerMs is how many prompt tokens an engine reads in a
	// millisecond.
	PrefillTokensPerMs float64
	// StepMs is the time of one step of an idle engine, and StepMsPerKToken
	// what each thousand tokens in memory add to it.
	StepMs          float64
	StepMsPerKToken float64
	// StepMsPerStream is what each running stream adds to a step.
	StepMsPerStream float64
	// PrefillChunkTokens is how many prompt tokens an engine reads in one step, and
	// MsPerMegaPair the time that a million pairs of prompt tokens add.
	PrefillChunkTokens   float64
	PrefillMsPerMegaPair float64
	// CrossRegionMargin is the least gain for which a request leaves its region.
	CrossRegionMargin time.Duration
	// CrossDomainMsPerKB is the delay, in milliseconds, that sending a KB to another
	// failure domain of the region is worth, and AnswerBytesPerToken the size of
	// an answer.
	CrossDomainMsPerKB  float64
	AnswerBytesPerToken float64
	// CrossRegionMsPerKB is the same for sending it to another region.
	CrossRegionMsPerKB float64
}

// DefaultTuning is for engines of about eight billion parameters on one
// accelerator each, as in both example deployments.
var DefaultTuning = Tuning{
	PrefillTokensPerMs:   110,
	StepMs:               2.6,
	StepMsPerKToken:      0.01,
	StepMsPerStream:      0.06,
	PrefillChunkTokens:   2048,
	PrefillMsPerMegaPair: 0.32,
	CrossRegionMargin:    50 * time.Millisecond,

	// About 100 ms for a prompt of 12 KB, where a late answer weighs lateMs.
	CrossDomainMsPerKB: 5,
	CrossRegionMsPerKB: 6,
	// Events of some 100 bytes for ten tokens, with their framing.
	AnswerBytesPerToken: 15,
}

const (
	// decodeWeight is the weight of the time after the first event: only
	// requests near their deadline lose by it.
	decodeWeight = 0.3
	// burdenWeight is the weight of what reading a prompt takes from the other
	// requests of the engine.
	burdenWeight = 4.0
	// spreadWeight is the part of the shared parts' reading time by which
	// servers differ for a prefix that none is known to hold, so that all
	// gateways tend to the same one.
	spreadWeight = 6.0
	// rereadMsPerKToken is what reading a thousand shared tokens again costs,
	// beyond the time that it takes: a document of 5,000 is worth half a late
	// answer.
	rereadMsPerKToken = 100
	// firstMs is an engine's fixed time to the first event.
	firstMs = 50
	// turnMs is the reading time from which on prompts take turns at an
	// engine, and restPart the pause after a turn, as a part of it: streams
	// get so much time for themselves.
	turnMs   = 30
	restPart = 0.5
	// noRestMs is the backlog of reading at which there are no pauses any more.
	noRestMs = 250
	// holdPart is the part of the latency objective for which a request waits
	// for its turn at most.
	holdPart = 0.3
	// lateMs is the weight of one answer that misses an objective, in
	// milliseconds of delay.
	lateMs = 1000
	// riskFrom and riskTo are the parts of an objective between which the
	// chance to miss it grows from none to certain, as estimates are coarse.
	riskFrom, riskTo = 0.65, 1.1
	// heavyPart is the part of the gap objective at which a prompt counts as
	// heavy.
	heavyPart = 0.8
	// leastMeasured is the reading time from which on it is measured, and
	// readSmoothing the weight of one measurement.
	leastMeasured = 30 * time.Millisecond
	readSmoothing = 0.02
	// minReadPace and maxReadPace bound a measurement.
	minReadPace, maxReadPace = 0.4, 3
	// silentAfter is the silence after which a server that owes first bytes
	// gets no new work: several times the longest usual wait.
	silentAfter = 1200 * time.Millisecond
	// defaultPlainMs and defaultEngineMs are assumed service times until some
	// are measured.
	defaultPlainMs  = 40
	defaultEngineMs = 1500
	// durationSmoothing is the weight of a new service time.
	durationSmoothing = 0.05
	// coldMs is added to the score of a cold server.
	coldMs = 100
	// crowdMs is what a place at an engine that is nearly full costs the others:
	// streams stretch one another until all slots are taken. It is a little less
	// than one late answer.
	crowdMs = 800
	// queueUrgent is the part of an engine's queue that the most urgent requests
	// wait for, and queueSpread how many times as long the least urgent wait, as
	// others overtake them. Measured at engines with twice as many requests
	// as slots: 0.2 to 0.9 of the mean wait, and 3.
	queueUrgent = 0.3
	queueSpread = 10
	// fullMs is added to the score of a server that has just refused a request
	// for want of room, and errorMs to that of one that fails all requests.
	fullMs  = 300
	errorMs = 1500
	// sampled is the number of servers of the own failure domain that are drawn
	// in a large region, where not all are weighed, and sampledFar the number of
	// the others.
	sampled    = 3
	sampledFar = 1
	// leastHeld is the size in tokens of a document: a shared part that is worth
	// a way to the server that holds it. documentServers is the number of servers
	// to which a document belongs: the second takes over from a busy first.
	leastHeld       = 1000
	documentServers = 2
	// noise breaks ties, as a part of the score.
	noise = 0.02
	// sendsFade is the time in which a region's summary comes to show what was
	// sent there.
	sendsFade = 400 * time.Millisecond
	// leastShare bounds what one request of a small VM says of those that the
	// others sent at the same time.
	leastShare = 0.125
	// returnMargin is how much longer than its stated cold start a server
	// counts as cold after its failure domain was given back.
	returnMargin = time.Second
)

// Query is one request, as far as the choice depends on it.
type Query struct {
	Now     clock.Instant
	Route   *ingress.Route
	Service *ingress.Service
	Demand  *Demand
	// Bytes is the size of the request.
	Bytes int
	// Remaining is the time until the answer must be there.
	Remaining time.Duration
	// Tried are servers and TriedRegions regions that are ruled out.
	Tried        []roster.ServerKey
	TriedRegions []string
	// LocalOnly rules out other regions.
	LocalOnly bool
	// Random is a random number.
	Random uint64
}

// Plan says where a request goes: to Server, to Region or, with neither,
// nowhere now.
type Plan struct {
	Server   *roster.Server
	Load     *Load
	Region   string
	Estimate Estimate
	// Reason says in one word why the request goes nowhere.
	Reason string
	// RetryAfter is when room is expected, for a request that goes nowhere.
	RetryAfter time.Duration
	// Allowance is the part of a cold server's rate that this VM may use; it
	// binds where Cold is true.
	Cold      bool
	Allowance int
}

// Fleet is what the choice needs of the other VMs.
type Fleet interface {
	// Peers returns the VMs of the own region that share its backend servers,
	// this one included, and this one's rank among them for a server in a
	// failure domain.
	Peers(server, failureDomain string) (vms, rank int)
	// LargeRegion reports whether the own region has too many VMs for each to
	// know at once what the others do.
	LargeRegion() bool
	// CapacityShare returns this VM's part of the capacity of its region's VMs.
	CapacityShare() float64
	// Regions returns what is known of the regions that can be reached.
	Regions(service string) []RegionSummary
}

// Balancer holds the state behind the choices.
type Balancer struct {
	Region   string
	Domain   string
	Bounds   Bounds
	Tuning   Tuning
	Fleet    Fleet
	Prefixes *PrefixIndex

	loads     sync.Map // roster.ServerKey to *Load
	durations sync.Map // service name to *atomic.Uint64, milliseconds as bits of a float64
	crossings sync.Map // region and service to *crossing
	// reads is the measured time of reading over the expected one, as the bits
	// of a float64.
	reads atomic.Uint64
	seed  maphash.Seed
}

// New returns a balancer for one VM.
func New(region, domain string, bounds Bounds, tuning Tuning, fleet Fleet) *Balancer {
	return &Balancer{
		Region: region, Domain: domain, Bounds: bounds, Tuning: tuning, Fleet: fleet,
		Prefixes: NewPrefixIndex(), seed: maphash.MakeSeed(),
	}
}

// Load returns the record of a server's incarnation.
func (b *Balancer) Load(key roster.ServerKey) *Load {
	if l, ok := b.loads.Load(key); ok {
		return l.(*Load)
	}
	l, _ := b.loads.LoadOrStore(key, &Load{})
	return l.(*Load)
}

// RemoveUnlisted drops the records of servers that are not in the view.
func (b *Balancer) RemoveUnlisted(v *roster.View) {
	b.loads.Range(func(key, _ any) bool {
		k := key.(roster.ServerKey)
		if s := v.Lookup(k.ID); s == nil || s.Started != k.Started {
			b.loads.Delete(key)
		}
		return true
	})
}

// Choose weighs the backend servers of the own region and the other regions.
func (b *Balancer) Choose(q *Query, view *roster.View) Plan {
	local := b.chooseLocal(q, view)
	if q.LocalOnly {
		return local
	}
	remote := b.chooseRegion(q, b.homeRegion(q, view))
	switch {
	case remote.Region == "":
		return local
	case local.Server == nil:
		return remote
	case remote.Estimate.Score+toMs(b.Tuning.CrossRegionMargin) < local.Estimate.Score:
		return remote
	default:
		return local
	}
}

// chooseLocal returns the best backend server of the own region.
func (b *Balancer) chooseLocal(q *Query, view *roster.View) Plan {
	best := Plan{Reason: "no-server", RetryAfter: time.Second}
	if !q.Route.Permits(b.Region) {
		best.Reason = "residency"
		return best
	}
	held := b.Prefixes.holdings(q.Demand.PrefixBlocks, q.Now)
	servers := view.Usable(q.Service.Name, b.Region)
	if b.Fleet.LargeRegion() && len(servers) > sampled+sampledFar+documentServers {
		if plan := b.best(q, view, b.sample(q, servers, held), held, best); plan.Server != nil {
			return plan
		}
	}
	return b.best(q, view, servers, held, best)
}

// sample returns some servers at random, those that hold the prompt's document
// and those to which it belongs. Where many VMs choose by reports that are a
// while old, weighing all servers would send all of them to the same one.
func (b *Balancer) sample(q *Query, servers []*roster.Server, held map[roster.ServerKey]int) []*roster.Server {
	var out, near, far []*roster.Server
	for _, s := range servers {
		if s.FailureDomain == b.Domain {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	add := func(s *roster.Server) {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	draw := func(from []*roster.Server, most int, seed uint64) {
		for i := range uint64(min(most, len(from))) {
			add(from[spread.Mix(seed+i)%uint64(len(from))])
		}
	}
	draw(near, sampled, q.Random)
	if len(near) < sampled {
		draw(far, sampled, spread.Mix(q.Random))
	} else {
		draw(far, sampledFar, spread.Mix(q.Random))
	}
	if q.Service.Engine != nil && b.holdsUp(q) {
		// So few prompts are worth a look at every server for the one whose
		// streams they harm least.
		return servers
	}
	if document, ok := q.Demand.document(); ok {
		for _, s := range home(servers, document.ID) {
			add(s)
		}
	}
	for _, s := range servers {
		if held[s.Key()] >= leastHeld {
			add(s)
		}
	}
	return out
}

// homeRegion returns the region to which the prompt's document belongs, or "".
// Regions get documents in proportion to their servers, so that those of a
// region at its peak are spread as well. All VMs agree on it as far as they
// know the same servers.
func (b *Balancer) homeRegion(q *Query, view *roster.View) string {
	document, ok := q.Demand.document()
	if !ok || q.Service.Engine == nil {
		return ""
	}
	best, home := 0.0, ""
	for _, region := range view.Regions() {
		if !q.Route.Permits(region) {
			continue
		}
		servers := float64(len(view.Usable(q.Service.Name, region)))
		if preference := spread.RendezvousScore(affinity(document.ID, region), servers); preference > best {
			best, home = preference, region
		}
	}
	return home
}

// home returns the servers to which a document belongs, the first one first.
// All VMs agree on them as far as they know the same servers.
func home(servers []*roster.Server, document uint64) []*roster.Server {
	type place struct {
		server   *roster.Server
		distance float64
	}
	places := make([]place, len(servers))
	for i, s := range servers {
		places[i] = place{s, distance(document, s.ID)}
	}
	slices.SortFunc(places, func(x, y place) int { return cmp.Compare(x.distance, y.distance) })
	var out []*roster.Server
	for _, p := range places[:min(documentServers, len(places))] {
		out = append(out, p.server)
	}
	return out
}

// affinity is the hash of a part of a prompt with a place that may hold it.
func affinity(part uint64, place string) uint64 {
	return spread.Mix(part) ^ xxhash.Sum64String(place)
}

// distance orders servers for a part of a prompt: a number between 0 and 1.
func distance(part uint64, server string) float64 { return spread.Unit(affinity(part, server)) }

// RecordSend records that a server was sent a prompt, and has the other VMs told of
// the parts that are worth it.
func (b *Balancer) RecordSend(d *Demand, server roster.ServerKey, now clock.Instant) {
	least := leastRead
	if b.Fleet.LargeRegion() {
		least = leastHeld
	}
	b.Prefixes.RecordSent(d.PrefixBlocks, server, least, now)
}

// ChooseServer weighs one backend server of the own region.
func (b *Balancer) ChooseServer(q *Query, view *roster.View, id string) Plan {
	s := view.Lookup(id)
	if s == nil || s.Service != q.Service.Name || s.Region != b.Region || !q.Route.Permits(b.Region) || !view.MayGetWork(s) {
		return Plan{Reason: "no-server"}
	}
	held := b.Prefixes.holdings(q.Demand.PrefixBlocks, q.Now)
	return b.best(q, view, []*roster.Server{s}, held, Plan{Reason: "no-server"})
}

// best returns the server with the least score, or a plan that says why there
// is none.
func (b *Balancer) best(q *Query, view *roster.View, servers []*roster.Server, held map[roster.ServerKey]int, best Plan) Plan {
	found := false
	for _, s := range servers {
		if slices.Contains(q.Tried, s.Key()) {
			continue
		}
		load := b.Load(s.Key())
		if load.Unresponsive() || load.shunned(q.Now) || !load.Breaker.Ready(q.Now) || load.silence(q.Now) > silentAfter {
			best.Reason = pick(found, best.Reason, "servers-failing")
			continue
		}
		cold, allowance := b.cold(q, s, load, view)
		if cold && !load.ColdLimiter.HasRoom(q.Now, allowance) {
			best.Reason = pick(found, best.Reason, "servers-cold")
			continue
		}
		e := b.estimate(q, s, load, held[s.Key()])
		if cold {
			e.Score += coldMs
		}
		if !found || e.Score < best.Estimate.Score {
			found = true
			best = Plan{Server: s, Load: load, Estimate: e, Cold: cold, Allowance: allowance}
		}
	}
	return best
}

func pick(found bool, old, other string) string {
	if found {
		return old
	}
	return other
}

// cold reports whether the server counts as cold, and this VM's part of what
// it tolerates.
func (b *Balancer) cold(q *Query, s *roster.Server, load *Load, view *roster.View) (bool, int) {
	if q.Service.ColdPerSecond <= 0 {
		return false, 0
	}
	returned := view.ReturnedAt(s.FailureDomain)
	cold := q.Now < s.ColdUntil || q.Now < clock.Instant(load.doubt.Load()) ||
		returned != 0 && q.Now.Sub(returned) < q.Service.ColdStart+returnMargin
	if !cold {
		return false, 0
	}
	vms, rank := b.Fleet.Peers(s.ID, s.FailureDomain)
	rate := q.Service.ColdPerSecond*b.Bounds.ColdOverage + b.Bounds.ColdSlack
	return true, ColdAllowance(rate, vms, rank)
}
