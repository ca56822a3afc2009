package routing

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const (
	// cachedPromptShare is the part of the prompt's time that is left where
	// the prefix is cached.
	cachedPromptShare = 0.2
	// spreadShare is the part of the prompt's time by which servers differ
	// for a prefix that none has cached, so that all gateways tend to the
	// same server.
	spreadShare = 0.3
	// loadSlope is how much longer a request takes at a full server than at
	// an idle one, as a share of its service time.
	loadSlope = 0.7
	// crossDomainSeconds is the round trip to another failure domain.
	crossDomainSeconds = 0.008
	// noise breaks ties between servers, as a share of the score.
	noise = 0.01
	// firstByteGrace is the time without a first byte that is not yet a sign
	// of a stalled server.
	firstByteGrace = 250 * time.Millisecond
	// outlierFactor is how much slower than the median a server is that gets
	// no new work.
	outlierFactor = 3
	// outlierSeconds is the least difference to the median of an outlier.
	outlierSeconds = 0.05
	// slowerFactor is how many times longer a request must take at a free slot
	// for the slot to be passed over. A cached prefix alone is no ground.
	slowerFactor = 2
	// typicalAge is how long the median is used.
	typicalAge = 200 * time.Millisecond
	// fullScan is the number of candidates up to which all are weighed. Of
	// more, that many are drawn.
	fullScan = 16
)

// Query is one request, as far as the choice depends on it.
type Query struct {
	Now  clock.Instant
	Team string
	// Home is the region that the request belongs to.
	Home string
	// PrefillTime and AnswerTime are the expected service times on an idle
	// server of the expected rate.
	PrefillTime, AnswerTime time.Duration
	// RequestBytes and AnswerBytes are what a crossing moves.
	RequestBytes, AnswerBytes int
	// Prefix identifies the leading part of the prompt; zero is none.
	Prefix uint64
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// SlotWait is the expected wait for another slot.
	SlotWait time.Duration
	// Tried names the servers and regions that are ruled out.
	Tried []string
	// VisitedVMs names the VMs that handled the request before. No request goes to
	// one of them again.
	VisitedVMs []string
	// Random is a random number.
	Random uint64
}

// Service returns the expected service time without a cached prefix.
func (q *Query) Service() time.Duration { return q.PrefillTime + q.AnswerTime }

// Estimate is what a choice is expected to take.
type Estimate struct {
	Wait, Service, Link time.Duration
	// Prefill is the expected time for the prompt, and Pace how much longer
	// the load makes a request, both at a server of the expected rate.
	Prefill time.Duration
	LoadSlowdown   float64
	// Score is in seconds; the least is best.
	Score float64
}

// Completion returns the expected time until the answer is complete.
func (e Estimate) Completion() time.Duration { return e.Wait + e.Service + e.Link }

// ExpectedService returns the service time that a server of the expected rate would
// have needed for an answer that took answerTime.
func (e Estimate) ExpectedService(answerTime time.Duration) time.Duration {
	return time.Duration(float64(e.Prefill+answerTime) * e.LoadSlowdown)
}

// Choice is a backend server of the own region.
type Choice struct {
	Candidate *Candidate
	Estimate  Estimate
	// LastResort means that all candidates seem to be broken.
	LastResort bool
}

// Best returns the candidate with the least score. With needRoom, only
// candidates with a free slot count. The candidate is nil where there is none.
func (t *Target) Best(q *Query, needRoom bool) Choice {
	if len(t.Candidates) == 0 {
		return Choice{}
	}
	typical := t.typicalSlowness(q.Now)
	best := t.scan(q, typical, needRoom, len(t.Candidates) > fullScan)
	if best.Candidate == nil && len(t.Candidates) > fullScan {
		best = t.scan(q, typical, needRoom, false)
	}
	if best.Candidate == nil && !t.anyUsable(q, typical) {
		return t.lastResort(q, needRoom)
	}
	return best
}

// scan weighs all candidates, or a random sample and those that are expected
// to have the prefix cached.
func (t *Target) scan(q *Query, typical float64, needRoom, sample bool) Choice {
	var best Choice
	try := func(i int) {
		c := &t.Candidates[i]
		if !t.usable(c, q, typical) || needRoom && !t.hasRoom(c, q.Now) {
			return
		}
		e := t.estimate(c, q)
		if best.Candidate == nil || e.Score < best.Estimate.Score {
			best = Choice{Candidate: c, Estimate: e}
		}
	}
	if !sample {
		for i := range t.Candidates {
			try(i)
		}
		return best
	}
	n := len(t.Candidates)
	start, step := int(q.Random%uint64(n)), n/fullScan
	for i := range fullScan {
		try((start + i*step) % n)
	}
	t.tryHolders(q, try)
	return best
}

// tryHolders weighs the servers that are expected to have the prefix cached.
func (t *Target) tryHolders(q *Query, try func(i int)) {
	if t.Prefixes == nil || q.Prefix == 0 {
		return
	}
	for _, id := range t.Prefixes.CachedBy(q.Prefix, q.Now) {
		if id < 0 {
			continue
		}
		i := slices.IndexFunc(t.Candidates, func(c Candidate) bool { return int(c.id) == id })
		if i >= 0 {
			try(i)
		}
	}
}

// hasRoom reports whether the candidate has a free slot and is known, by fresh
// word, not to be leaving.
func (t *Target) hasRoom(c *Candidate, now clock.Instant) bool {
	return t.fresh(c, now) && c.Server.InFlight() < t.limit(c, now)
}

func (t *Target) fresh(c *Candidate, now clock.Instant) bool {
	return c.status != nil && t.snapshot.BackendFresh(c.status, now)
}

// holds reports whether the candidate is expected to have the prefix cached,
// by own routing or by the engine's events.
func (t *Target) holds(c *Candidate, q *Query) bool {
	if t.Prefixes.IsCached(q.Prefix, c.id, q.Now) {
		return true
	}
	if c.status == nil {
		return false
	}
	_, found := slices.BinarySearch(c.status.Prefixes, q.Prefix)
	return found
}

// usable reports whether the candidate may get the request: it is healthy, not
// tried yet, its breaker lets requests through and it isn't far slower than
// the others.
func (t *Target) usable(c *Candidate, q *Query, typical float64) bool {
	return c.healthy && c.Server.Breaker.Ready(q.Now) && !t.outlier(c, q, typical) &&
		!slices.Contains(q.Tried, c.Config.Name)
}

func (t *Target) outlier(c *Candidate, q *Query, typical float64) bool {
	if len(t.Candidates) < 2 {
		return false
	}
	slowness := t.slowness(c, q.Now)
	excess := (slowness - typical) * q.Service().Seconds()
	return slowness > outlierFactor*typical && excess > outlierSeconds
}

func (t *Target) anyUsable(q *Query, typical float64) bool {
	return slices.ContainsFunc(t.Candidates, func(c Candidate) bool {
		return t.usable(&c, q, typical)
	})
}

// lastResort ignores health, so that not all candidates are ever ejected.
func (t *Target) lastResort(q *Query, needRoom bool) Choice {
	var best Choice
	for i := range t.Candidates {
		c := &t.Candidates[i]
		if slices.Contains(q.Tried, c.Config.Name) {
			continue
		}
		if needRoom && !t.hasRoom(c, q.Now) {
			continue
		}
		e := t.estimate(c, q)
		if best.Candidate == nil || e.Score < best.Estimate.Score {
			best = Choice{Candidate: c, Estimate: e, LastResort: true}
		}
	}
	return best
}

// estimate weighs a candidate. The load is the own requests in flight, which
// are known at once, and what the reports show beyond them.
func (t *Target) estimate(c *Candidate, q *Query) Estimate {
	slots := float64(slotsOf(c.Config))
	load := (float64(c.Server.InFlight()) + c.Server.OthersInFlight()) / slots
	slowness := t.slowness(c, q.Now)
	prompt := q.PrefillTime.Seconds()
	elsewhere := 0.0 // what a server costs that doesn't hold the prefix
	if q.Prefix != 0 && t.Prefixes != nil {
		if t.holds(c, q) {
			prompt *= cachedPromptShare
		} else {
			elsewhere = prompt * spreadShare * spread.Unit(q.Prefix^c.hash)
		}
	}
	pace := 1 + loadSlope*min(load, 1)
	service := (prompt + q.AnswerTime.Seconds()) * slowness * pace
	wait := max(0, load+1/slots-1) * q.Service().Seconds() * slowness
	if stalled := c.Server.StalledFor(q.Now); stalled > firstByteGrace+time.Duration(2*slowness*prompt*float64(time.Second)) {
		wait += stalled.Seconds()
	}
	score := service + wait + elsewhere
	if !c.sameDomain {
		score += crossDomainSeconds
	}
	score *= 1 + noise*spread.Unit(q.Random^c.hash)
	return Estimate{
		Wait: toDuration(wait), Service: toDuration(service), Score: score,
		Prefill: toDuration(prompt), LoadSlowdown: pace,
	}
}

// slowness returns the service time of the candidate over the expected one:
// measured here, else as the server reports, else 1.
func (t *Target) slowness(c *Candidate, now clock.Instant) float64 {
	if measured, known := c.Server.Slowness(now); known {
		return measured
	}
	if c.reported > 0 {
		return c.reported
	}
	return 1
}

// typicalSlowness returns the median over the candidates, refreshed a few
// times a second.
func (t *Target) typicalSlowness(now clock.Instant) float64 {
	if bits := t.typical.Load(); bits != 0 && now.Sub(clock.Instant(t.typicalAt.Load())) < typicalAge {
		return math.Float64frombits(bits)
	}
	if len(t.Candidates) == 0 {
		return 1
	}
	list := make([]float64, len(t.Candidates))
	for i := range t.Candidates {
		list[i] = t.slowness(&t.Candidates[i], now)
	}
	slices.Sort(list)
	median := list[(len(list)-1)/2]
	t.typicalAt.Store(int64(now))
	t.typical.Store(math.Float64bits(median))
	return median
}

// limit returns how many own requests may be in flight at the candidate: this
// gateway's share of its slots, and what others leave unused.
func (t *Target) limit(c *Candidate, now clock.Instant) int {
	limit := t.shareOf(c.Config) + int(c.Server.extra.Load())
	if part := ramp(now, c.since, t.Policy.SlowStart); part < 1 && t.settled(now) {
		limit = int(math.Ceil(float64(limit) * part))
	}
	return max(1, limit)
}

// settled reports whether at least half of the candidates have been usable
// for longer than the slow start, so that a slow start has a meaning.
func (t *Target) settled(now clock.Instant) bool {
	old := 0
	for i := range t.Candidates {
		if ramp(now, t.Candidates[i].since, t.Policy.SlowStart) >= 1 {
			old++
		}
	}
	return 2*old >= len(t.Candidates)
}

// Capacity returns the number of slots of the own region that this gateway may
// use now for requests such as q.
func (t *Target) Capacity(q *Query) int {
	total := 0
	typical := t.typicalSlowness(q.Now)
	for i := range t.Candidates {
		c := &t.Candidates[i]
		if c.healthy && c.Server.Breaker.Ready(q.Now) && !t.outlier(c, q, typical) {
			total += t.limit(c, q.Now)
		}
	}
	return total
}

// ReserveSlot takes a slot at the best candidate with a free one, unless it is worth
// waiting for a slot at a better one. Release at the candidate's Server must
// follow.
func (t *Target) ReserveSlot(q *Query) (Choice, bool) {
	const races = 4
	for range races {
		choice := t.Best(q, true)
		if choice.Candidate == nil {
			return Choice{}, false
		}
		if t.worthWaiting(choice.Estimate, t.Best(q, false).Estimate, q.SlotWait) {
			return Choice{}, false
		}
		server := choice.Candidate.Server
		if !server.Reserve(t.limit(choice.Candidate, q.Now)) {
			continue
		}
		if server.Breaker.Claim(q.Now) || !server.Breaker.Ready(q.Now) {
			return choice, true
		}
		server.Release()
	}
	return Choice{}, false
}

// worthWaiting reports whether a free slot is to be passed over for the best
// candidate's next one. A slot at one of n candidates is waited for n times as
// long as any slot.
func (t *Target) worthWaiting(free, best Estimate, slotWait time.Duration) bool {
	if free.Service < slowerFactor*best.Service {
		return false
	}
	wait := slotWait.Seconds() * float64(len(t.Candidates))
	return free.Score > best.Score+wait
}

// RecordPrefix records that the candidate served a request with the prefix.
func (t *Target) RecordPrefix(c *Candidate, prefix uint64, now clock.Instant) {
	if t.Prefixes != nil && prefix != 0 {
		t.Prefixes.MarkCached(prefix, c.id, now)
	}
}

// ramp returns the part of the slow start that has passed, from a tenth to 1.
func ramp(now, since clock.Instant, slowStart objects.Duration) float64 {
	if since == 0 || slowStart <= 0 {
		return 1
	}
	const least = 0.1
	part := float64(now.Sub(since)) / float64(slowStart.D())
	return min(1, max(least, part))
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
