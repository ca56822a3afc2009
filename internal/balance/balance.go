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

// Bounds are the operators' limits on the load that all gateways together may
// put on backend servers.
type Bounds struct {
	// ColdOverage and ColdSlack bound the requests per second to a cold server:
	// its configured cold rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
}

// Tuning holds the parameters of the cost model. Scores are in milliseconds.
type Tuning struct {
	// PrefillTokensPerMs is the prefill rate of an engine, in prompt tokens per
	// millisecond.
	PrefillTokensPerMs float64
	// StepMs is the decode step time of an idle engine. StepMsPerKToken is added
	// for each thousand tokens in memory.
	StepMs          float64
	StepMsPerKToken float64
	// StepMsPerStream is added to the decode step time for each running stream.
	StepMsPerStream float64
	// PrefillChunkTokens is the maximum number of prompt tokens that an engine
	// prefills in one step. PrefillMsPerMegaPair is the additional prefill time
	// per million pairs of prompt tokens, the quadratic cost of attention.
	PrefillChunkTokens   float64
	PrefillMsPerMegaPair float64
	// CrossRegionMargin is the minimum gain in score for which a request leaves
	// its region.
	CrossRegionMargin time.Duration
	// CrossDomainMsPerKB is the score per KB sent to or received from another
	// failure domain of the region. AnswerBytesPerToken is used to estimate the
	// size of a response.
	CrossDomainMsPerKB  float64
	AnswerBytesPerToken float64
	// CrossRegionMsPerKB is the score per KB sent to or received from another
	// region.
	CrossRegionMsPerKB float64
	// SlowStart bounds the requests in flight at servers that have just started or recovered.
	SlowStart bool
}

// DefaultTuning is for engines that serve a model of about eight billion
// parameters on one accelerator each, as in both example deployments.
var DefaultTuning = Tuning{
	PrefillTokensPerMs:   110,
	StepMs:               2.6,
	StepMsPerKToken:      0.01,
	StepMsPerStream:      0.06,
	PrefillChunkTokens:   2048,
	PrefillMsPerMegaPair: 0.32,
	CrossRegionMargin:    50 * time.Millisecond,

	// About 100 ms for a prompt of 12 KB, a tenth of missPenaltyMs.
	CrossDomainMsPerKB: 5,
	CrossRegionMsPerKB: 6,
	// Events of about 100 bytes per ten tokens, plus framing.
	AnswerBytesPerToken: 15,
	SlowStart:           true,
}

const (
	// decodeWeight is the weight of the decode time in the score. It is low
	// because only requests near their deadline suffer from a long decode.
	decodeWeight = 0.3
	// prefillLoadWeight is the weight of a prefill's load cost: the time that it
	// takes from the other requests of the engine.
	prefillLoadWeight = 4.0
	// affinityWeight scales the score by which servers differ for a prefix that
	// none has cached, relative to the prefill time of the last shared block. It
	// makes all gateways prefer the same server.
	affinityWeight = 6.0
	// recomputeMsPerKToken is the score per thousand shared tokens that must be
	// prefilled again, in addition to the prefill time: a prefix of 5,000 tokens
	// costs half as much as a missed objective.
	recomputeMsPerKToken = 100
	// firstEventOverheadMs is an engine's fixed time to the first event.
	firstEventOverheadMs = 50
	// prefillSlotMinMs is the prefill time above which a prompt needs a prefill
	// slot. prefillGapShare is the length of the prefill gap after the slot, as a
	// fraction of the prefill time: running streams progress during the gap.
	prefillSlotMinMs = 30
	prefillGapShare  = 0.5
	// noGapBacklogMs is the prefill backlog from which on there are no prefill
	// gaps.
	noGapBacklogMs = 250
	// maxSlotWaitShare is the maximum wait for a prefill slot, as a fraction of
	// the latency objective.
	maxSlotWaitShare = 0.3
	// missPenaltyMs is the score of one response that misses an objective.
	missPenaltyMs = 1000
	// missRiskMin and missRiskMax are the fractions of an objective between which
	// the estimated probability of a miss rises linearly from 0 to 1. The range is
	// wide because estimates are coarse.
	missRiskMin, missRiskMax = 0.65, 1.1
	// stallingShare is the fraction of the gap objective above which a prefill
	// counts as stalling.
	stallingShare = 0.8
	// minMeasuredPrefill is the minimum expected prefill time of a prompt that
	// updates the prefill slowdown, and prefillSmoothing the weight of one sample.
	minMeasuredPrefill = 30 * time.Millisecond
	prefillSmoothing   = 0.02
	// minPrefillSlowdown and maxPrefillSlowdown bound one sample.
	minPrefillSlowdown, maxPrefillSlowdown = 0.4, 3
	// unresponsiveAfter is how long requests may wait for a first byte, without any
	// data from the server, before the server gets no new ones: several times the
	// longest usual wait.
	unresponsiveAfter = 1200 * time.Millisecond
	// defaultPlainMs and defaultEngineMs are the service times assumed until the
	// first response is complete.
	defaultPlainMs  = 40
	defaultEngineMs = 1500
	// durationSmoothing is the weight of a new service time.
	durationSmoothing = 0.05
	// peerHopMs is added to the score of a server that is reached through another VM of
	// the region.
	peerHopMs = 10
	// coldPenaltyMs is added to the score of a cold server.
	coldPenaltyMs = 100
	// contentionPenaltyMs is the score of one more request at an engine that is
	// nearly full, because each stream slows the others down until all slots are
	// taken. It is a little less than missPenaltyMs.
	contentionPenaltyMs = 800
	// urgentShare is the queue wait of the most urgent requests as a fraction
	// of the mean wait. queueSpread is the ratio of the least urgent requests'
	// wait to that of the most urgent ones, which overtake them. With twice as
	// many requests as slots, the most urgent wait 0.2 to 0.9 of the mean and
	// the least urgent 3 times the mean.
	urgentShare = 0.3
	queueSpread = 10
	// fullPenaltyMs is added to the score of a server that has just refused a
	// request for lack of capacity, and errorPenaltyMs to that of one that fails
	// all requests.
	fullPenaltyMs  = 300
	errorPenaltyMs = 1500
	// sampledSameDomain and sampledOtherDomains are the numbers of servers sampled
	// from this VM's failure domain and from the others in a large region, where
	// not all servers are scored.
	sampledSameDomain   = 3
	sampledOtherDomains = 1
	// minLongPrefixTokens is the minimum size of a long shared prefix: one worth
	// routing to a server that has it cached. homeServerCount is the number of
	// home servers of such a prefix; the second one takes over when the first is
	// busy.
	minLongPrefixTokens = 1000
	homeServerCount     = 2
	// noise breaks ties, as a fraction of the score.
	noise = 0.02
	// summaryDelay is the delay until a region's summary includes a request that was
	// sent there, with which this VM's own cross-region sends are discounted.
	// largeSummaryDelay replaces it in a large region, where reports of servers and
	// summaries take several steps.
	summaryDelay      = 400 * time.Millisecond
	largeSummaryDelay = 800 * time.Millisecond
	// minShareOfOne limits how far a VM extrapolates from a single request of its own.
	minShareOfOne = 0.125
	// maxAssumedOccupancy is up to how many requests for each slot of another region the
	// other VMs are assumed to have sent there.
	maxAssumedOccupancy = 2
	// returnMargin is added to a server's configured cold start after the
	// evacuation of its failure domain ends.
	returnMargin = time.Second
)

// Query describes one request to be placed.
type Query struct {
	Now   clock.Instant
	Route *ingress.Route
	// Team is the team of the request, or nil.
	Team    *ingress.Team
	Service *ingress.Service
	Demand  *Demand
	// Bytes is the size of the request body.
	Bytes int
	// Remaining is the time until the deadline of the response.
	Remaining time.Duration
	// Tried and TriedRegions are excluded from the choice.
	Tried        []roster.ServerKey
	TriedRegions []string
	// SoftwareVersion, if set, excludes the servers of other versions of the software.
	SoftwareVersion *string
	// LocalOnly excludes other regions, and OwnLinksOnly servers that only other VMs
	// of this region reach.
	LocalOnly, OwnLinksOnly bool
	// Random selects the sampled servers and breaks ties.
	Random uint64
	// MaxTokenMs is the longest time per token, in milliseconds, with which long responses
	// of the service end in time; zero means no bound.
	MaxTokenMs float64
}

// permitsRegion reports whether the request may be served in a region, by the home regions of
// its route and of its team.
func (q *Query) permitsRegion(region string) bool {
	return q.Route.Permits(region) && q.Team.Permits(region)
}

// permits reports whether the request may go on at the software version of a server. Of
// a process that runs in place of the listed one the version is not known.
func (q *Query) permits(s *roster.Server, load *Load) bool {
	return q.SoftwareVersion == nil || s.SoftwareVersion == *q.SoftwareVersion && load.restartedAs.Load() == 0
}

// Plan is the decision for one request: it goes to Server, to a VM of Region or, with
// neither, cannot be placed now. Region is this VM's own region if another VM there
// reaches servers that this one doesn't.
type Plan struct {
	Server   *roster.Server
	Load     *Load
	Region   string
	Estimate Estimate
	// Reason is the code of the reason why the request cannot be placed.
	Reason string
	// RetryAfter is the time until capacity is expected for a request that cannot
	// be placed.
	RetryAfter time.Duration
	// Cold means that the server is cold when the plan is made, and Allowance is this
	// VM's share of its rate then.
	Cold      bool
	Allowance int
	// BeyondWindow means that the server is in its slow start and this VM has used up its part
	// of the window there.
	BeyondWindow bool
}

// Fleet provides what the balancer needs to know about the other VMs.
type Fleet interface {
	// ServerRank returns the number of VMs of this region that share the backend
	// server, including this one, and this VM's rank among them for a server in
	// the given failure domain.
	ServerRank(server, failureDomain string) (vms, rank int)
	// ReachedByPeer reports whether another VM of this region that accepts requests
	// of a service reaches a backend server.
	ReachedByPeer(service, server string) bool
	// CutOff reports whether no VM of a region that accepts requests reaches a backend
	// server there.
	CutOff(region, server string) bool
	// ShareDelay is how long this VM uses no share of a server's rate after its lost link
	// to the server was restored: the others may still use that share.
	ShareDelay() time.Duration
	// KnowsFleet reports whether this VM knows its rank. It doesn't shortly after its
	// start.
	KnowsFleet() bool
	// LargeRegion reports whether this region has too many VMs for each to
	// receive the others' load updates immediately.
	LargeRegion() bool
	// CapacityShare returns this VM's fraction of the capacity of its region's
	// VMs.
	CapacityShare() float64
	// Regions returns the summaries of the reachable regions.
	Regions(service string) []RegionSummary
}

// Balancer selects backend servers and regions for the requests of one VM.
type Balancer struct {
	Region   string
	Domain   string
	Bounds   Bounds
	Tuning   Tuning
	Fleet    Fleet
	Prefixes *PrefixIndex
	// Log gets the begins and ends of slow starts; nil means none.
	Log Logger

	loads sync.Map // roster.ServerKey to *Load
	// coldLimiters are by server ID, because an incarnation may be used before its
	// entry arrives, under the key of the one before.
	coldLimiters sync.Map // server ID to *ColdLimiter
	// fallsAt holds at how many refusals in a second the servers of a service fall over.
	// It is replaced whole, and nil if no servers say that they do.
	fallsAt     atomic.Pointer[map[string]int]
	fallsAtLock sync.Mutex
	durations   sync.Map // service name to *atomic.Uint64, milliseconds as bits of a float64
	regionSends sync.Map // regionSendsKey to *recentSends
	// prefillSlowdownBits is the ratio of measured to expected prefill time, as
	// the bits of a float64.
	prefillSlowdownBits atomic.Uint64
	calibration         calibration
	outputs             outputs
	slowStarts          slowStarts
	seed                maphash.Seed
}

// New returns a balancer for one VM.
func New(region, domain string, bounds Bounds, tuning Tuning, fleet Fleet) *Balancer {
	return &Balancer{
		Region: region, Domain: domain, Bounds: bounds, Tuning: tuning, Fleet: fleet,
		Prefixes: NewPrefixIndex(), seed: maphash.MakeSeed(),
		calibration: calibration{ratios: map[calibrationKey]calibrationRatio{}},
		outputs:     outputs{long: map[string]float64{}},
	}
}

// Load returns the load record of a server's incarnation and creates it if
// there is none.
func (b *Balancer) Load(key roster.ServerKey) *Load {
	if l, ok := b.loads.Load(key); ok {
		return l.(*Load)
	}
	limiter, _ := b.coldLimiters.LoadOrStore(key.ID, &ColdLimiter{})
	created := &Load{coldLimiter: limiter.(*ColdLimiter), id: key.ID}
	if b.Tuning.SlowStart {
		created.slowStart = b
	} else {
		created.examined.Store(true)
	}
	l, _ := b.loads.LoadOrStore(key, created)
	return l.(*Load)
}

// RemoveUnlisted deletes the load records of servers that are not in the view.
func (b *Balancer) RemoveUnlisted(v *roster.View, now clock.Instant) {
	b.loads.Range(func(key, _ any) bool {
		k := key.(roster.ServerKey)
		if s := v.Lookup(k.ID); s == nil || s.Started != k.Started {
			b.loads.Delete(key)
		}
		return true
	})
	b.coldLimiters.Range(func(id, limiter any) bool {
		if v.Lookup(id.(string)) == nil && limiter.(*ColdLimiter).idle(now) {
			b.coldLimiters.Delete(id)
		}
		return true
	})
}

// Choose returns the best of this region's backend servers and the other
// regions.
func (b *Balancer) Choose(q *Query, view *roster.View) Plan {
	plan := b.chooseAmong(q, view, false)
	if plan.Server == nil && plan.Region == "" {
		if last := b.chooseAmong(q, view, true); last.Region != "" {
			return last
		}
	}
	return plan
}

// chooseAmong is Choose among this VM's servers and those of other VMs that are warm and run
// or, if last is true, the others.
func (b *Balancer) chooseAmong(q *Query, view *roster.View, last bool) Plan {
	local := b.chooseLocal(q, view)
	if peer := b.choosePeer(q, view, last); peer.Region != "" && (local.Server == nil || peer.Estimate.Score < local.Estimate.Score) {
		local = peer
	}
	if q.LocalOnly {
		return local
	}
	remote := b.chooseRegion(q, view, b.homeRegion(q, view), last)
	switch {
	case remote.Region == "":
		return local
	case local.Server == nil && local.Region == "":
		return remote
	case remote.Estimate.Score+toMs(b.Tuning.CrossRegionMargin) < local.Estimate.Score:
		return remote
	default:
		return local
	}
}

// chooseLocal returns the best backend server of this region.
func (b *Balancer) chooseLocal(q *Query, view *roster.View) Plan {
	best := Plan{Reason: "no-server", RetryAfter: time.Second}
	if !q.permitsRegion(b.Region) {
		best.Reason = "residency"
		return best
	}
	cached := b.Prefixes.cachedTokens(q.Demand.PrefixBlocks, q.Now)
	servers := view.Usable(q.Service.Name, b.Region)
	if b.Fleet.LargeRegion() && len(servers) > sampledSameDomain+sampledOtherDomains+homeServerCount {
		if plan := b.bestServer(q, view, b.sample(q, servers, cached), cached, best); plan.Server != nil && !plan.BeyondWindow {
			return plan
		}
	}
	return b.bestServer(q, view, servers, cached, best)
}

// choosePeer returns a plan to send the request to another VM of this region, with the
// estimate of the best server that such a VM reaches and this one doesn't, of those that are
// warm and run or, if last is true, the others. The region of the plan is "" if there is none.
func (b *Balancer) choosePeer(q *Query, view *roster.View, last bool) Plan {
	var best Plan
	if q.OwnLinksOnly || !q.permitsRegion(b.Region) || slices.Contains(q.TriedRegions, b.Region) {
		return best
	}
	var cached map[roster.ServerKey]int
	for _, s := range view.Usable(q.Service.Name, b.Region) {
		load := b.Load(s.Key())
		if !load.Link.Lost() || !b.Fleet.ReachedByPeer(s.Service, s.ID) || !q.permits(s, load) || slices.Contains(q.Tried, s.Key()) {
			continue
		}
		if (isCold(q.Service, s, load, view, q.Now) || b.mayBeDown(q.Service, load, q.Now)) != last {
			continue
		}
		if cached == nil {
			cached = b.Prefixes.cachedTokens(q.Demand.PrefixBlocks, q.Now)
		}
		e := b.estimate(q, s, load, cached[s.Key()])
		e.Score += peerHopMs
		if best.Region == "" || e.Score < best.Estimate.Score {
			best = Plan{Region: b.Region, Estimate: e}
		}
	}
	return best
}

// sample returns some servers at random, those that have the prompt's long
// shared prefix cached, and the prefix's home servers. Many VMs that scored all
// servers by the same outdated reports would all choose the same server.
func (b *Balancer) sample(q *Query, servers []*roster.Server, cached map[roster.ServerKey]int) []*roster.Server {
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
	draw := func(from []*roster.Server, limit int, seed uint64) {
		for i := range uint64(min(limit, len(from))) {
			add(from[spread.Mix(seed+i)%uint64(len(from))])
		}
	}
	draw(near, sampledSameDomain, q.Random)
	if len(near) < sampledSameDomain {
		draw(far, sampledSameDomain, spread.Mix(q.Random))
	} else {
		draw(far, sampledOtherDomains, spread.Mix(q.Random))
	}
	if q.Service.Engine != nil && b.stallsStreams(q) {
		// Stalling prompts are rare enough to score every server for the one
		// whose streams they harm least.
		return servers
	}
	if prefix, ok := q.Demand.longSharedPrefix(); ok {
		for _, s := range homeServers(servers, prefix.ID) {
			add(s)
		}
	}
	for _, s := range servers {
		if cached[s.Key()] >= minLongPrefixTokens {
			add(s)
		}
	}
	return out
}

// homeRegion returns the home region of the prompt's long shared prefix, or ""
// if it has none. Regions are weighted by their number of servers, so that a
// region at its peak keeps only its share of the prefixes. VMs that know the
// same servers agree on the result.
func (b *Balancer) homeRegion(q *Query, view *roster.View) string {
	prefix, ok := q.Demand.longSharedPrefix()
	if !ok || q.Service.Engine == nil {
		return ""
	}
	best, home := 0.0, ""
	for _, region := range view.Regions() {
		if !q.permitsRegion(region) {
			continue
		}
		servers := float64(b.countReached(view.Usable(q.Service.Name, region)))
		if score := spread.RendezvousScore(hashPair(prefix.ID, region), servers); score > best {
			best, home = score, region
		}
	}
	return home
}

// countReached returns how many of a region's servers are reached by a VM there.
func (b *Balancer) countReached(servers []*roster.Server) int {
	n := 0
	for _, s := range servers {
		if !b.Fleet.CutOff(s.Region, s.ID) {
			n++
		}
	}
	return n
}

// homeServers returns the home servers of a long shared prefix in order of
// preference. VMs that know the same servers agree on the result.
func homeServers(servers []*roster.Server, prefix uint64) []*roster.Server {
	type candidate struct {
		server   *roster.Server
		distance float64
	}
	candidates := make([]candidate, len(servers))
	for i, s := range servers {
		candidates[i] = candidate{s, hashDistance(prefix, s.ID)}
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.distance, y.distance) })
	var out []*roster.Server
	for _, c := range candidates[:min(homeServerCount, len(candidates))] {
		out = append(out, c.server)
	}
	return out
}

// hashPair returns a hash of a prefix block and a server or region.
func hashPair(block uint64, location string) uint64 {
	return spread.Mix(block) ^ xxhash.Sum64String(location)
}

// hashDistance returns a number between 0 and 1 that orders servers by
// preference for a prefix block; the lowest is preferred.
func hashDistance(block uint64, server string) float64 { return spread.Unit(hashPair(block, server)) }

// RecordSend records that a prompt was sent to a server, and queues the prefix
// blocks worth announcing for the other VMs.
func (b *Balancer) RecordSend(d *Demand, server roster.ServerKey, now clock.Instant) {
	minTokens := minAnnouncedTokens
	if b.Fleet.LargeRegion() {
		minTokens = minLongPrefixTokens
	}
	b.Prefixes.RecordSent(d.PrefixBlocks, server, minTokens, now)
}

// ChooseServer scores one backend server of this region, for a request that
// must go to it.
func (b *Balancer) ChooseServer(q *Query, view *roster.View, id string) Plan {
	s := view.Lookup(id)
	if s == nil || s.Service != q.Service.Name || s.Region != b.Region || !q.permitsRegion(b.Region) || !view.IsUsable(s) {
		return Plan{Reason: "no-server"}
	}
	cached := b.Prefixes.cachedTokens(q.Demand.PrefixBlocks, q.Now)
	return b.bestServer(q, view, []*roster.Server{s}, cached, Plan{Reason: "no-server"})
}

// bestServer returns a plan with the lowest-scoring usable server. If there is
// none, it returns best with the reason. A server in its slow start whose window is used up is
// chosen only if the others are unusable or late: no request is refused for a window.
func (b *Balancer) bestServer(q *Query, view *roster.View, servers []*roster.Server, cached map[roster.ServerKey]int, best Plan) Plan {
	found := false
	// beyond has the server with the most room of those whose windows this VM has used up.
	var beyond Plan
	room := 0
	for _, s := range servers {
		if slices.Contains(q.Tried, s.Key()) {
			continue
		}
		load := b.Load(s.Key())
		if !load.examined.Load() {
			b.examine(s, load, view, q.Now)
		}
		if !q.permits(s, load) {
			best.Reason = reasonUnless(found, best.Reason, "no-server-of-version")
			continue
		}
		if load.Link.Lost() || load.excluded(q.Now) || !load.Breaker.Ready(q.Now) || load.noProgressFor(q.Now) > unresponsiveAfter {
			best.Reason = reasonUnless(found, best.Reason, "servers-failing")
			continue
		}
		if reason, wait := b.AdmissionDelay(s, load, q.Now); reason != "" {
			if !found && (!best.Postponed() || wait < best.RetryAfter) {
				best.Reason, best.RetryAfter = reason, wait
			}
			continue
		}
		cold, allowance := b.coldAllowance(q.Service, s, load, view, q.Now)
		if cold && !load.coldLimiter.HasRoom(q.Now, allowance) {
			best.Reason = reasonUnless(found, best.Reason, "servers-cold")
			continue
		}
		e := b.estimate(q, s, load, cached[s.Key()])
		if b.tooSlow(q, &e) {
			if !found && !best.Postponed() {
				best.Reason, best.RetryAfter = ReasonSlow, slowRetry
			}
			continue
		}
		if w := load.window.Load(); w != nil && !cold {
			e.InTime = b.inTime(q, &e)
			if left := w.Room(b.shareOfWindow(s), load.ownRequests(), q.Now); left <= 0 {
				b.slowStarts.passedOver.Add(1)
				e.Score += fullPenaltyMs
				if beyond.Server == nil || left > room || left == room && e.Score < beyond.Estimate.Score {
					room, beyond = left, Plan{Server: s, Load: load, Estimate: e, BeyondWindow: true}
				}
				continue
			}
		}
		if cold {
			e.Score += coldPenaltyMs
		}
		if !found || e.Score < best.Estimate.Score {
			found = true
			best = Plan{Server: s, Load: load, Estimate: e, Cold: cold, Allowance: allowance}
		}
	}
	if beyond.Server != nil && (!found || b.late(q, &best) && beyond.Estimate.Score < best.Estimate.Score) {
		b.slowStarts.beyond.Add(1)
		return beyond
	}
	return best
}

// The reasons of a plan without a server if servers would serve the request, but
// later: they asked for a pause, or have taken as many requests as they want.
const (
	ReasonPaused  = "servers-paused"
	ReasonLimited = "servers-limited"
	// ReasonNoRoom means that servers which fall over for refusals may have no room.
	ReasonNoRoom = "servers-full"
)

// Postponed reports whether the request can't be placed because servers ask for
// fewer requests.
func (p *Plan) Postponed() bool {
	return p.Reason == ReasonPaused || p.Reason == ReasonLimited || p.Reason == ReasonNoRoom
}

// AdmissionDelay returns the reason why a server wants no more requests of this VM now,
// and the time until it does, or "".
func (b *Balancer) AdmissionDelay(s *roster.Server, load *Load, now clock.Instant) (reason string, wait time.Duration) {
	if !load.Admits(now) {
		return ReasonPaused, max(rampStep, load.Pause.Remaining(now))
	}
	if wait := load.RateLimiter.Wait(now, b.limitShare(s, load, now)); wait > 0 {
		return ReasonLimited, max(minLimitWait, wait)
	}
	if !b.hasRoom(s, load, now) {
		return ReasonNoRoom, roomWait
	}
	return "", 0
}

// TakeFromLimit counts a request against this VM's share of a server's request
// limit, and reports whether it may be sent.
func (b *Balancer) TakeFromLimit(s *roster.Server, load *Load, now clock.Instant) bool {
	return load.RateLimiter.Take(now, b.limitShare(s, load, now))
}

// limitShare returns this VM's share of a server's request limit.
func (b *Balancer) limitShare(s *roster.Server, load *Load, now clock.Instant) LimitShare {
	perSecond := load.RateLimiter.Limit()
	if perSecond == 0 {
		return unlimited
	}
	if !b.hasShare(load, now) {
		return LimitShare{}
	}
	vms, rank := b.Fleet.ServerRank(s.ID, s.FailureDomain)
	return ShareOfLimit(perSecond, vms, rank)
}

// hasShare reports whether this VM may use its share of a server's rate. While it has
// lost its link to the server, the others use that share.
func (b *Balancer) hasShare(load *Load, now clock.Instant) bool {
	return load.Link.Settled(b.Fleet.ShareDelay(), now)
}

// reasonUnless returns current if a server was found, else reason.
func reasonUnless(found bool, current, reason string) string {
	if found {
		return current
	}
	return reason
}

// TakeFromColdRate counts a request to the server, and reports whether it may be sent:
// if the server counts as cold now, within this VM's share of its rate.
func (b *Balancer) TakeFromColdRate(service *ingress.Service, s *roster.Server, load *Load, view *roster.View, now clock.Instant) bool {
	if latest := view.Lookup(s.ID); latest != nil && latest.Key() == s.Key() {
		s = latest
	}
	cold, allowance := b.coldAllowance(service, s, load, view, now)
	return load.coldLimiter.Take(now, allowance, cold)
}

// isCold reports whether the server counts as cold.
func isCold(service *ingress.Service, s *roster.Server, load *Load, view *roster.View, now clock.Instant) bool {
	if service.ColdRequestsPerSecond <= 0 {
		return false
	}
	returned := view.EvacuationEndedAt(s.FailureDomain)
	// A process that started again is cold before its new entry arrives. Over a lost link,
	// a refused connection doesn't show that the process ended.
	mayHaveRestarted := service.Engine != nil && load.MayHaveRestarted() && !load.Link.Lost()
	return mayHaveRestarted || now < s.ColdUntil || now < clock.Instant(load.coldUntil.Load()) ||
		returned != 0 && now.Sub(returned) < service.ColdPeriod+returnMargin
}

// coldAllowance reports whether the server counts as cold and, if so, how many
// requests per second this VM may send to it.
func (b *Balancer) coldAllowance(service *ingress.Service, s *roster.Server, load *Load, view *roster.View, now clock.Instant) (bool, int) {
	if !isCold(service, s, load, view, now) {
		return false, 0
	}
	if !b.Fleet.KnowsFleet() || !b.hasShare(load, now) {
		// VMs that start together would all take the share of the first.
		return true, 0
	}
	vms, rank := b.Fleet.ServerRank(s.ID, s.FailureDomain)
	rate := service.ColdRequestsPerSecond*b.Bounds.ColdOverage + b.Bounds.ColdSlack
	return true, ColdAllowance(rate, vms, rank)
}
