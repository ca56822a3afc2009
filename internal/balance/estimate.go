package balance

import (
	"hash/maphash"
	"math"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// estimate scores one backend server that has the given number of the prompt's
// tokens cached.
func (b *Balancer) estimate(q *Query, s *roster.Server, load *Load, cached int) Estimate {
	use := load.totalUsage(q.Now)
	var e Estimate
	if q.Service.Engine == nil {
		e = b.plainEstimate(q, max(1, s.Slots), use.active, load.slowdown(q.Now))
	} else {
		e = b.engineEstimate(q, engineState{
			totalUsage: use, slots: float64(max(1, s.Slots)),
			memoryTotal: load.memoryTotal(q.Service.Engine.MemoryTokens), slowdown: load.slowdown(q.Now),
		}, cached)
		e.Score += b.affinityPenalty(q, s.Key(), cached)
	}
	e.ActiveRequests, e.PrefillBacklog, e.ReportAge = use.active, toDuration(use.prefillBacklogMs), load.reportAge(q.Now)
	if b.Domain != "" && s.FailureDomain != b.Domain {
		e.Score += b.Tuning.CrossDomainMsPerKB * b.transferKB(q)
	}
	if load.full(q.Now) {
		e.Score += fullPenaltyMs
	}
	if !load.Link.Lost() { // else what happened on the link says little about the server
		e.Score += errorPenaltyMs * load.errorShare.value()
		if stalled := load.noProgressFor(q.Now); stalled > e.TimeToFirstByte {
			e.Score += toMs(stalled)
		}
	}
	e.Score *= 1 + noise*spread.Unit(q.Random^maphash.String(b.seed, s.ID))
	return e
}

// mayBeDown reports whether nothing shows that an engine of a large region runs: this VM
// doesn't reach it, and no VM has reported on it lately.
func (b *Balancer) mayBeDown(service *ingress.Service, load *Load, now clock.Instant) bool {
	return service.Engine != nil && load.Link.Lost() && b.Fleet.LargeRegion() && !load.hasReport(now)
}

// transferKB returns the expected size of a request and its response in KB.
func (b *Balancer) transferKB(q *Query) float64 {
	return (float64(q.Bytes) + b.Tuning.AnswerBytesPerToken*q.Demand.expectedOutput()) / 1000
}

// affinityPenalty returns a score that makes all gateways prefer the same server
// for a prefix that none is known to have cached.
func (b *Balancer) affinityPenalty(q *Query, key roster.ServerKey, cached int) float64 {
	shared := q.Demand.SharedBlocks()
	if len(shared) == 0 {
		return 0
	}
	if cached >= q.Demand.sharedTokens() {
		return 0
	}
	last := shared[len(shared)-1]
	return affinityWeight * float64(last.Tokens) / b.Tuning.PrefillTokensPerMs * hashDistance(last.ID, key.ID)
}

// engineState is the load of a model engine, or of a region's average one.
type engineState struct {
	totalUsage
	slots, memoryTotal, slowdown float64
}

// decodeStepMs returns the time of a step without prefill.
func (b *Balancer) decodeStepMs(t totalUsage) float64 {
	return b.Tuning.StepMs + b.Tuning.StepMsPerKToken*t.memory/1000 + b.Tuning.StepMsPerStream*t.active
}

// prefillMs returns the prefill time of the uncached tokens of a prompt that has
// cached tokens before them.
func (b *Balancer) prefillMs(uncached, cached float64) float64 {
	return b.prefillSlowdown() * (uncached/b.Tuning.PrefillTokensPerMs + b.Tuning.PrefillMsPerMegaPair*uncached*(cached+uncached/2)/1e6)
}

// prefillSlowdown returns the ratio of measured to expected prefill time.
func (b *Balancer) prefillSlowdown() float64 {
	if bits := b.prefillSlowdownBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// RecordPrefillTime updates the prefill slowdown from the time to the first
// event of a prompt that did not wait for a prefill slot.
func (b *Balancer) RecordPrefillTime(load *Load, service *ingress.Service, e *Estimate, first time.Duration, now clock.Instant) {
	if service.Engine == nil || e.PrefillTime < minMeasuredPrefill {
		return
	}
	fixed := firstEventOverheadMs + float64(service.Engine.EventTokens)*b.decodeStepMs(load.totalUsage(now))
	sample := (toMs(first) - fixed) / toMs(e.PrefillTime) * b.prefillSlowdown()
	sample = min(max(sample, minPrefillSlowdown), maxPrefillSlowdown)
	old := b.prefillSlowdown()
	b.prefillSlowdownBits.Store(math.Float64bits(old + prefillSmoothing*(sample-old)))
}

// lastChunkMs returns the prefill time of the last chunk of a prompt, which is
// the slowest one.
func (b *Balancer) lastChunkMs(prompt float64) float64 {
	return b.prefillMs(b.Tuning.PrefillChunkTokens, max(0, prompt-b.Tuning.PrefillChunkTokens))
}

// engineEstimate scores an engine. A prefill extends the steps of all streams
// that run there; a stream misses its gap objective if one of its events takes
// longer than that.
func (b *Balancer) engineEstimate(q *Query, s engineState, cached int) Estimate {
	uncached := max(0, q.Demand.PromptTokens-cached)
	prefill := b.prefillMs(float64(uncached), float64(cached))
	expectedStep := b.decodeStepMs(s.totalUsage) * s.slowdown
	step := max(expectedStep, s.tokenMs)
	tokens := float64(q.Service.Engine.EventTokens)
	queueShare := queueWaitShare(q.Route)
	first := b.queueWaitMs(q, s)*queueShare + s.prefillBacklogMs*min(1, queueShare) + prefill + firstEventOverheadMs*s.slowdown + tokens*expectedStep
	decode := q.Demand.expectedOutput() * expectedStep
	e := Estimate{
		TimeToFirstByte: toDuration(first), UncachedTokens: uncached, PrefillTime: toDuration(prefill),
		Score: first + decodeWeight*decode + prefillLoadWeight*prefill, TokenMs: max(step, s.tokenMs) + s.slowdown*b.Tuning.StepMsPerStream,
	}
	e.Score += recomputeMsPerKToken * float64(max(0, q.Demand.sharedTokens()-cached)) / 1000
	e.Score += contentionPenaltyMs * square(b.occupancy(q, s))
	e.Score += missPenaltyMs * missRisk(first, q.Route.LatencyObjective)
	e.Score += missPenaltyMs * missRisk(first+decode, q.Remaining)
	if prefill > prefillSlotMinMs {
		gapFactor := max(0, 1-s.prefillBacklogMs/noGapBacklogMs)
		e.NeedsPrefillSlot, e.PrefillGap = true, toDuration(prefillGapShare*gapFactor*prefill)
		e.MaxSlotWait = toDuration(min(s.prefillBacklogMs, maxSlotWaitShare*toMs(q.Route.LatencyObjective)))
	}
	gapObjective := toMs(q.Route.GapObjective)
	if gapObjective <= 0 {
		return e
	}
	maxStall := tokens * b.lastChunkMs(float64(q.Demand.PromptTokens))
	gap := tokens*expectedStep + min(prefill, maxStall)
	e.StallingPrefill = gap > stallingShare*gapObjective
	e.Score += missPenaltyMs * s.active * max(0, missRiskMs(gap, gapObjective)-missRiskMs(tokens*step, gapObjective))
	if !e.StallingPrefill {
		// Stalling prompts that follow delay this stream.
		e.Score += missPenaltyMs * min(1, s.stallingPerSecond*decode/1000)
	}
	return e
}

// stallsStreams reports whether a prefill of the whole prompt, with nothing cached,
// extends the event gaps of an engine's streams beyond stallingShare of their
// objective.
func (b *Balancer) stallsStreams(q *Query) bool {
	prompt := float64(q.Demand.PromptTokens)
	gap := min(b.prefillMs(prompt, 0), float64(q.Service.Engine.EventTokens)*b.lastChunkMs(prompt))
	return gap > stallingShare*toMs(q.Route.GapObjective) && q.Route.GapObjective > 0
}

// occupancy returns the fraction of an engine's slots or memory, whichever is
// higher, that is in use with the request added. An engine that runs out of
// memory interrupts running streams.
func (b *Balancer) occupancy(q *Query, s engineState) float64 {
	share := (s.active + 1) / s.slots
	if s.memoryTotal > 0 {
		share = max(share, (s.memory+q.Demand.finalMemory())/s.memoryTotal)
	}
	return min(1, share)
}

func square(x float64) float64 { return x * x }

// queueWaitShare returns the wait of a route's requests in an engine's queue, as
// a fraction of the mean wait.
func queueWaitShare(r *ingress.Route) float64 {
	return urgentShare * math.Pow(queueSpread, r.RelativePriority)
}

// missRisk returns the probability that a request with an estimated time in
// milliseconds misses an objective. It is zero without an objective.
func missRisk(ms float64, objective time.Duration) float64 { return missRiskMs(ms, toMs(objective)) }

// missRiskMs is missRisk with an objective in milliseconds.
func missRiskMs(ms, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return min(1, max(0, (ms/objective-missRiskMin)/(missRiskMax-missRiskMin)))
}

// queueWaitMs returns the expected mean wait in milliseconds for a free engine
// slot and memory.
func (b *Balancer) queueWaitMs(q *Query, s engineState) float64 {
	wait := 0.0
	duration := b.durationMs(q.Service)
	if over := s.active + 1 - s.slots; over > 0 {
		wait = over / s.slots * duration
	}
	if s.memoryTotal > 0 {
		if over := s.memory + q.Demand.finalMemory() - s.memoryTotal; over > 0 {
			wait = max(wait, over/s.memoryTotal*duration)
		}
	}
	return wait
}

// plainEstimate scores a server of a plain service.
func (b *Balancer) plainEstimate(q *Query, slots int, active, slowdown float64) Estimate {
	service := b.durationMs(q.Service) * slowdown
	wait := max(0, active+1-float64(slots)) / float64(slots) * service
	// Of servers with free slots, the ones with more free slots are preferred.
	contention := active / float64(slots) * service * 0.5
	total := wait + service
	return Estimate{TimeToFirstByte: toDuration(total), Score: total + contention}
}

// durationMs returns the mean time from send to end of a request to the
// service, in milliseconds.
func (b *Balancer) durationMs(s *ingress.Service) float64 {
	if v, ok := b.durations.Load(s.Name); ok {
		if bits := v.(*atomic.Uint64).Load(); bits != 0 {
			return math.Float64frombits(bits)
		}
	}
	if s.Engine == nil {
		return defaultPlainMs
	}
	return defaultEngineMs
}

// RecordDuration updates the service's mean duration with that of a complete
// response.
func (b *Balancer) RecordDuration(service string, took time.Duration) {
	v, ok := b.durations.Load(service)
	if !ok {
		v, _ = b.durations.LoadOrStore(service, &atomic.Uint64{})
	}
	value := v.(*atomic.Uint64)
	old := value.Load()
	if old == 0 {
		value.CompareAndSwap(0, math.Float64bits(toMs(took)))
		return
	}
	mean := math.Float64frombits(old)
	value.CompareAndSwap(old, math.Float64bits(mean+durationSmoothing*(toMs(took)-mean)))
}

// RecordEventGap updates a server's time per token and its slowdown from the
// time between two events of a stream. Tokens is the number of tokens that
// arrived after the gap.
func (b *Balancer) RecordEventGap(load *Load, gap time.Duration, tokens int, now clock.Instant) {
	if tokens > 0 {
		load.recordTokenTime(toMs(gap)/float64(tokens), now)
	}
	// A prefill extends event gaps whatever the slowdown of the engine.
	if tokens <= 0 || !load.noPrefillSince(now.Add(-gap)) {
		return
	}
	expected := b.decodeStepMs(load.totalUsage(now)) * float64(tokens)
	load.recordSlowdown(toMs(gap)/expected, now)
}

// RecordResponseTime updates a server's slowdown from the duration of a response
// that was not a stream.
func (b *Balancer) RecordResponseTime(load *Load, s *ingress.Service, took time.Duration, now clock.Instant) {
	const floorMs = 20 // keeps short responses from counting as slow
	load.recordSlowdown((toMs(took)+floorMs)/(b.durationMs(s)+floorMs), now)
}
