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
	// cachedPrefillFraction is the fraction of the prefill time that remains if
	// the prefix is cached.
	cachedPrefillFraction = 0.2
	// prefixSpreadFraction bounds, as a fraction of the prefill time, the score
	// penalty of a server without the prefix. The penalty depends on server and
	// prefix only, so that all gateways tend to choose the same server for a
	// prefix that none has cached.
	prefixSpreadFraction = 0.3
	// loadSlope is the relative increase of the service time from an idle to a
	// full server.
	loadSlope = 0.7
	// crossDomainSeconds is the round-trip time to another failure domain.
	crossDomainSeconds = 0.008
	// tieBreakNoise bounds the random part of a score, as a fraction of it,
	// that breaks ties between servers.
	tieBreakNoise = 0.01
	// firstByteGrace is how long a server may go without a first byte, beyond
	// twice the expected prefill time, before it counts as stalled.
	firstByteGrace = 250 * time.Millisecond
	// outlierFactor is the ratio of slowness to the median above which a server
	// gets no new requests.
	outlierFactor = 3
	// minOutlierSeconds is the minimum difference in service time between an
	// outlier and a server of median slowness.
	minOutlierSeconds = 0.05
	// skipSlotFactor is the ratio of the service time at a free slot to that at
	// the best server from which the free slot may be skipped. A cached prefix
	// alone doesn't justify waiting.
	skipSlotFactor = 2
	// medianMaxAge is how long a computed median is reused.
	medianMaxAge = 200 * time.Millisecond
	// scanLimit is the maximum number of candidates that are all scored. Of a
	// larger set, a sample of this size is scored.
	scanLimit = 16
)

// Query describes a request to be routed.
type Query struct {
	Now  clock.Instant
	Team string
	// Home is the home region of the request.
	Home string
	// PrefillTime and AnswerTime are the expected times of the prefill and of
	// the response after it, on an idle server with slowness 1. For a plain
	// service, PrefillTime is zero.
	PrefillTime, AnswerTime time.Duration
	// RequestBytes and AnswerBytes are the sizes of the request and its
	// response, for the cost of a cross-region request.
	RequestBytes, AnswerBytes int
	// Prefix identifies the prefix of the prompt; zero means none.
	Prefix uint64
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// SlotWait is the expected wait until any slot becomes free.
	SlotWait time.Duration
	// Tried names the servers and regions that are excluded because they were
	// tried before.
	Tried []string
	// VisitedVMs names the VMs that have handled the request. The request is not
	// sent to any of them again.
	VisitedVMs []string
	// Random is a random number for sampling and tie-breaking.
	Random uint64
}

// Service returns the expected service time without a cached prefix.
func (q *Query) Service() time.Duration { return q.PrefillTime + q.AnswerTime }

// Estimate is the predicted time and score of a choice.
type Estimate struct {
	Wait, Service, Link time.Duration
	// Prefill is the expected prefill time, and LoadSlowdown the factor by
	// which the load lengthens a request, both for a server with slowness 1.
	Prefill      time.Duration
	LoadSlowdown float64
	// Score is in seconds; the lowest is best.
	Score float64
}

// Completion returns the expected time until the response is complete.
func (e Estimate) Completion() time.Duration { return e.Wait + e.Service + e.Link }

// ExpectedService returns the service time of a server with slowness 1 under
// the same load, for a request whose response takes answerTime.
func (e Estimate) ExpectedService(answerTime time.Duration) time.Duration {
	return time.Duration(float64(e.Prefill+answerTime) * e.LoadSlowdown)
}

// Choice is a chosen backend server of the local region.
type Choice struct {
	Candidate *Candidate
	Estimate  Estimate
	// LastResort means that no candidate is usable and that health was ignored.
	LastResort bool
}

// Best returns the candidate with the lowest score. With needSlot, only
// candidates with a free slot count. The Candidate is nil if there is none.
func (t *Target) Best(q *Query, needSlot bool) Choice {
	if len(t.Candidates) == 0 {
		return Choice{}
	}
	median := t.medianSlowness(q.Now)
	best := t.scan(q, median, needSlot, len(t.Candidates) > scanLimit)
	if best.Candidate == nil && len(t.Candidates) > scanLimit {
		best = t.scan(q, median, needSlot, false)
	}
	if best.Candidate == nil && !t.anyUsable(q, median) {
		return t.lastResort(q, needSlot)
	}
	return best
}

// scan scores all candidates, or a random sample and those that are expected to
// have the prefix cached.
func (t *Target) scan(q *Query, median float64, needSlot, sample bool) Choice {
	var best Choice
	try := func(i int) {
		c := &t.Candidates[i]
		if !t.usable(c, q, median) || needSlot && !t.hasFreeSlot(c, q.Now) {
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
	start, step := int(q.Random%uint64(n)), n/scanLimit
	for i := range scanLimit {
		try((start + i*step) % n)
	}
	t.tryCached(q, try)
	return best
}

// tryCached calls try for the candidates that are expected to have the prefix
// cached.
func (t *Target) tryCached(q *Query, try func(i int)) {
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

// hasFreeSlot reports whether the candidate has a free slot and a fresh status.
// Without a fresh status, the server may be leaving.
func (t *Target) hasFreeSlot(c *Candidate, now clock.Instant) bool {
	return t.statusFresh(c, now) && c.Server.InFlight() < t.limit(c, now)
}

func (t *Target) statusFresh(c *Candidate, now clock.Instant) bool {
	return c.status != nil && t.snapshot.BackendFresh(c.status, now)
}

// hasCached reports whether the candidate is expected to have the prefix
// cached, by this gateway's own routing or by the engine's cache events.
func (t *Target) hasCached(c *Candidate, q *Query) bool {
	if t.Prefixes.IsCached(q.Prefix, c.id, q.Now) {
		return true
	}
	if c.status == nil {
		return false
	}
	_, found := slices.BinarySearch(c.status.CachedPrefixes, q.Prefix)
	return found
}

// usable reports whether the candidate may get the request: it is healthy, its
// breaker admits requests, it isn't an outlier and wasn't tried before.
func (t *Target) usable(c *Candidate, q *Query, median float64) bool {
	return c.healthy && c.Server.Breaker.Ready(q.Now) && !t.isOutlier(c, q, median) &&
		!slices.Contains(q.Tried, c.Config.Name)
}

// isOutlier reports whether the candidate is far slower than the median.
func (t *Target) isOutlier(c *Candidate, q *Query, median float64) bool {
	if len(t.Candidates) < 2 {
		return false
	}
	slowness := t.slowness(c, q.Now)
	excess := (slowness - median) * q.Service().Seconds()
	return slowness > outlierFactor*median && excess > minOutlierSeconds
}

func (t *Target) anyUsable(q *Query, median float64) bool {
	return slices.ContainsFunc(t.Candidates, func(c Candidate) bool {
		return t.usable(&c, q, median)
	})
}

// lastResort ignores health, so that a target never has all its candidates
// ejected.
func (t *Target) lastResort(q *Query, needSlot bool) Choice {
	var best Choice
	for i := range t.Candidates {
		c := &t.Candidates[i]
		if slices.Contains(q.Tried, c.Config.Name) {
			continue
		}
		if needSlot && !t.hasFreeSlot(c, q.Now) {
			continue
		}
		e := t.estimate(c, q)
		if best.Candidate == nil || e.Score < best.Estimate.Score {
			best = Choice{Candidate: c, Estimate: e, LastResort: true}
		}
	}
	return best
}

// estimate scores a candidate. Its load is this gateway's requests in flight,
// which are known exactly, plus the estimate of the other gateways' requests.
func (t *Target) estimate(c *Candidate, q *Query) Estimate {
	slots := float64(slotsOf(c.Config))
	load := (float64(c.Server.InFlight()) + c.Server.OthersInFlight()) / slots
	slowness := t.slowness(c, q.Now)
	prefill := q.PrefillTime.Seconds()
	spreadPenalty := 0.0
	if q.Prefix != 0 && t.Prefixes != nil {
		if t.hasCached(c, q) {
			prefill *= cachedPrefillFraction
		} else {
			spreadPenalty = prefill * prefixSpreadFraction * spread.Unit(q.Prefix^c.hash)
		}
	}
	loadSlowdown := 1 + loadSlope*min(load, 1)
	service := (prefill + q.AnswerTime.Seconds()) * slowness * loadSlowdown
	wait := max(0, load+1/slots-1) * q.Service().Seconds() * slowness
	if stalled := c.Server.StalledFor(q.Now); stalled > firstByteGrace+time.Duration(2*slowness*prefill*float64(time.Second)) {
		wait += stalled.Seconds()
	}
	score := service + wait + spreadPenalty
	if !c.sameDomain {
		score += crossDomainSeconds
	}
	score *= 1 + tieBreakNoise*spread.Unit(q.Random^c.hash)
	return Estimate{
		Wait: toDuration(wait), Service: toDuration(service), Score: score,
		Prefill: toDuration(prefill), LoadSlowdown: loadSlowdown,
	}
}

// slowness returns the service time of the candidate relative to the expected
// one: as measured recently, else as reported by the server, else 1.
func (t *Target) slowness(c *Candidate, now clock.Instant) float64 {
	if measured, known := c.Server.Slowness(now); known {
		return measured
	}
	if c.reportedSlowness > 0 {
		return c.reportedSlowness
	}
	return 1
}

// medianSlowness returns the median over the candidates, at most medianMaxAge
// old.
func (t *Target) medianSlowness(now clock.Instant) float64 {
	if bits := t.median.Load(); bits != 0 && now.Sub(clock.Instant(t.medianAt.Load())) < medianMaxAge {
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
	t.medianAt.Store(int64(now))
	t.median.Store(math.Float64bits(median))
	return median
}

// limit returns how many of this gateway's requests may be in flight at the
// candidate: its share of the slots plus those that other gateways leave
// unused, reduced during slow start.
func (t *Target) limit(c *Candidate, now clock.Instant) int {
	limit := t.slotShare(c.Config) + int(c.Server.extraSlots.Load())
	if fraction := slowStartFraction(now, c.usableSince, t.Policy.SlowStart); fraction < 1 && t.mostPastSlowStart(now) {
		limit = int(math.Ceil(float64(limit) * fraction))
	}
	return max(1, limit)
}

// mostPastSlowStart reports whether at least half of the candidates have been
// usable for longer than the slow start. Otherwise there are too few warm
// candidates to take the load, and slow start is not applied.
func (t *Target) mostPastSlowStart(now clock.Instant) bool {
	warm := 0
	for i := range t.Candidates {
		if slowStartFraction(now, t.Candidates[i].usableSince, t.Policy.SlowStart) >= 1 {
			warm++
		}
	}
	return 2*warm >= len(t.Candidates)
}

// Capacity returns the number of slots of the local region that this gateway
// may use now for requests such as q.
func (t *Target) Capacity(q *Query) int {
	total := 0
	median := t.medianSlowness(q.Now)
	for i := range t.Candidates {
		c := &t.Candidates[i]
		if c.healthy && c.Server.Breaker.Ready(q.Now) && !t.isOutlier(c, q, median) {
			total += t.limit(c, q.Now)
		}
	}
	return total
}

// ReserveSlot reserves a slot at the best candidate with a free one, unless it
// is worth waiting for a slot at a better candidate. The caller must call
// Release of the candidate's Server.
func (t *Target) ReserveSlot(q *Query) (Choice, bool) {
	const maxAttempts = 4 // other goroutines may take the slot first
	for range maxAttempts {
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
		if server.Breaker.Allow(q.Now) || !server.Breaker.Ready(q.Now) {
			return choice, true
		}
		server.Release()
	}
	return Choice{}, false
}

// worthWaiting reports whether to skip a free slot and wait for the best
// candidate's next one. The wait for a slot at one of n candidates is n times
// the wait for any slot.
func (t *Target) worthWaiting(free, best Estimate, slotWait time.Duration) bool {
	if free.Service < skipSlotFactor*best.Service {
		return false
	}
	wait := slotWait.Seconds() * float64(len(t.Candidates))
	return free.Score > best.Score+wait
}

// RecordPrefix records that the candidate has served a request with the prefix
// and so has it cached.
func (t *Target) RecordPrefix(c *Candidate, prefix uint64, now clock.Instant) {
	if t.Prefixes != nil && prefix != 0 {
		t.Prefixes.MarkCached(prefix, c.id, now)
	}
}

// slowStartFraction returns the elapsed fraction of the slow start, from a
// tenth to 1. It is 1 without a slow start.
func slowStartFraction(now, since clock.Instant, slowStart objects.Duration) float64 {
	if since == 0 || slowStart <= 0 {
		return 1
	}
	const minFraction = 0.1
	elapsed := float64(now.Sub(since)) / float64(slowStart.AsDuration())
	return min(1, max(minFraction, elapsed))
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
