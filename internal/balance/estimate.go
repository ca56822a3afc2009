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

// estimate weighs one backend server.
func (b *Balancer) estimate(q *Query, s *roster.Server, load *Load, held int) Estimate {
	use := load.total(q.Now)
	var e Estimate
	if q.Service.Engine == nil {
		e = b.plainEstimate(q, max(1, s.Slots), use.active, load.paceOf(q.Now))
	} else {
		e = b.engineEstimate(q, engineState{
			total: use, slots: float64(max(1, s.Slots)),
			memoryTotal: load.memoryTotal(q.Service.Engine.MemoryTokens), pace: load.paceOf(q.Now),
		}, held)
		e.Score += b.spread(q, s.Key(), held)
	}
	e.ActiveRequests, e.PrefillBacklog, e.ReportAge = use.active, toDuration(use.readingMs), load.reportAge(q.Now)
	if b.Domain != "" && s.FailureDomain != b.Domain {
		e.Score += b.Tuning.CrossDomainMsPerKB * b.kilobytes(q)
	}
	if load.full(q.Now) {
		e.Score += fullMs
	}
	e.Score += errorMs * load.errors.value()
	if quiet := load.silence(q.Now); quiet > e.TimeToFirstByte {
		e.Score += toMs(quiet)
	}
	e.Score *= 1 + noise*spread.Unit(q.Random^maphash.String(b.seed, s.ID))
	return e
}

// kilobytes returns the expected size of a request and its answer.
func (b *Balancer) kilobytes(q *Query) float64 {
	return (float64(q.Bytes) + b.Tuning.AnswerBytesPerToken*q.Demand.output()) / 1000
}

// spread makes all gateways tend to the same server for a prefix that none is
// known to hold.
func (b *Balancer) spread(q *Query, key roster.ServerKey, held int) float64 {
	shared := q.Demand.shared()
	if len(shared) == 0 {
		return 0
	}
	if held >= q.Demand.sharedTokens() {
		return 0
	}
	last := shared[len(shared)-1]
	return spreadWeight * float64(last.Tokens) / b.Tuning.PrefillTokensPerMs * distance(last.ID, key.ID)
}

// engineState is the load of a model engine, or of a region's average one.
type engineState struct {
	total
	slots, memoryTotal, pace float64
}

// stepMs returns the time of a step without reading of prompts.
func (b *Balancer) stepMs(t total) float64 {
	return b.Tuning.StepMs + b.Tuning.StepMsPerKToken*t.memory/1000 + b.Tuning.StepMsPerStream*t.active
}

// readMs returns the time that an engine needs for missing tokens of a prompt
// of which it holds held tokens.
func (b *Balancer) readMs(missing, held float64) float64 {
	return b.readPace() * (missing/b.Tuning.PrefillTokensPerMs + b.Tuning.PrefillMsPerMegaPair*missing*(held+missing/2)/1e6)
}

// readPace returns the measured time of reading over the expected one.
func (b *Balancer) readPace() float64 {
	if bits := b.reads.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// RecordPrefillTime takes in the time to the first event of a prompt whose reading
// had its turn at once.
func (b *Balancer) RecordPrefillTime(load *Load, service *ingress.Service, e *Estimate, first time.Duration, now clock.Instant) {
	if service.Engine == nil || e.PrefillTime < leastMeasured {
		return
	}
	fixed := firstMs + float64(service.Engine.EventTokens)*b.stepMs(load.total(now))
	sample := (toMs(first) - fixed) / toMs(e.PrefillTime) * b.readPace()
	sample = min(max(sample, minReadPace), maxReadPace)
	old := b.readPace()
	b.reads.Store(math.Float64bits(old + readSmoothing*(sample-old)))
}

// chunkMs returns the time of the reading in one step, at the end of a prompt.
func (b *Balancer) chunkMs(prompt float64) float64 {
	return b.readMs(b.Tuning.PrefillChunkTokens, max(0, prompt-b.Tuning.PrefillChunkTokens))
}

// engineEstimate weighs an engine. Reading a prompt stretches the steps of all
// streams that run there; a stream is late if one of its events takes longer
// than the gap objective allows.
func (b *Balancer) engineEstimate(q *Query, s engineState, held int) Estimate {
	missing := max(0, q.Demand.PromptTokens-held)
	read := b.readMs(float64(missing), float64(held))
	undisturbed := b.stepMs(s.total) * s.pace
	step := max(undisturbed, s.tokenMs)
	tokens := float64(q.Service.Engine.EventTokens)
	part := queuePart(q.Route)
	first := b.slotWait(q, s)*part + s.readingMs*min(1, part) + read + firstMs*s.pace + tokens*undisturbed
	rest := q.Demand.output() * undisturbed
	e := Estimate{
		TimeToFirstByte: toDuration(first), UncachedTokens: missing, PrefillTime: toDuration(read),
		Score: first + decodeWeight*rest + burdenWeight*read,
	}
	e.Score += rereadMsPerKToken * float64(max(0, q.Demand.sharedTokens()-held)) / 1000
	e.Score += crowdMs * square(b.occupancy(q, s))
	e.Score += lateMs * miss(first, q.Route.LatencyObjective)
	e.Score += lateMs * miss(first+rest, q.Remaining)
	if read > turnMs {
		calm := max(0, 1-s.readingMs/noRestMs)
		e.NeedsPrefillSlot, e.PrefillGap = true, toDuration(restPart*calm*read)
		e.MaxSlotWait = toDuration(min(s.readingMs, holdPart*toMs(q.Route.LatencyObjective)))
	}
	gapObjective := toMs(q.Route.GapObjective)
	if gapObjective <= 0 {
		return e
	}
	most := tokens * b.chunkMs(float64(q.Demand.PromptTokens))
	gap := tokens*undisturbed + min(read, most)
	e.StallingPrefill = gap > heavyPart*gapObjective
	e.Score += lateMs * s.active * max(0, missMs(gap, gapObjective)-missMs(tokens*step, gapObjective))
	if !e.StallingPrefill {
		// Heavy prompts that follow hold this stream up.
		e.Score += lateMs * min(1, s.heavy*rest/1000)
	}
	return e
}

// holdsUp reports whether reading the prompt stretches the gaps of an engine's
// streams about as far as their objective allows.
func (b *Balancer) holdsUp(q *Query) bool {
	prompt := float64(q.Demand.PromptTokens)
	gap := min(b.readMs(prompt, 0), float64(q.Service.Engine.EventTokens)*b.chunkMs(prompt))
	return gap > heavyPart*toMs(q.Route.GapObjective) && q.Route.GapObjective > 0
}

// occupancy returns the part of an engine's slots or memory, whichever is
// scarcer, that is taken with the request. An engine without memory left breaks
// into streams that run.
func (b *Balancer) occupancy(q *Query, s engineState) float64 {
	part := (s.active + 1) / s.slots
	if s.memoryTotal > 0 {
		part = max(part, (s.memory+q.Demand.memory())/s.memoryTotal)
	}
	return min(1, part)
}

func square(x float64) float64 { return x * x }

// queuePart returns how long a route's requests wait for a slot, as a part of
// the mean wait.
func queuePart(r *ingress.Route) float64 { return queueUrgent * math.Pow(queueSpread, r.Yield) }

// miss returns the chance that a time in milliseconds misses an objective.
func miss(ms float64, objective time.Duration) float64 { return missMs(ms, toMs(objective)) }

func missMs(ms, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return min(1, max(0, (ms/objective-riskFrom)/(riskTo-riskFrom)))
}

// slotWait returns the expected wait in milliseconds for a slot and memory.
func (b *Balancer) slotWait(q *Query, s engineState) float64 {
	wait := 0.0
	duration := b.durationMs(q.Service)
	if over := s.active + 1 - s.slots; over > 0 {
		wait = over / s.slots * duration
	}
	if s.memoryTotal > 0 {
		if over := s.memory + q.Demand.memory() - s.memoryTotal; over > 0 {
			wait = max(wait, over/s.memoryTotal*duration)
		}
	}
	return wait
}

func (b *Balancer) plainEstimate(q *Query, slots int, active, pace float64) Estimate {
	service := b.durationMs(q.Service) * pace
	wait := max(0, active+1-float64(slots)) / float64(slots) * service
	// A server that has free slots is the better the more of them are free.
	crowd := active / float64(slots) * service * 0.5
	whole := wait + service
	return Estimate{TimeToFirstByte: toDuration(whole), Score: whole + crowd}
}

// durationMs returns the service's usual time from the send to the end.
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

// RecordDuration takes in the time that a complete answer took at a server.
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

// RecordEventGap takes in the time between two events of a stream, which hold the
// given number of tokens.
func (b *Balancer) RecordEventGap(load *Load, gap time.Duration, tokens int, now clock.Instant) {
	if tokens > 0 {
		load.measureToken(toMs(gap)/float64(tokens), now)
	}
	// Reading of prompts stretches gaps whatever the engine's pace.
	if tokens <= 0 || !load.idleSince(now.Add(-gap)) {
		return
	}
	expected := b.stepMs(load.total(now)) * float64(tokens)
	load.measure(toMs(gap)/expected, now)
}

// RecordPlainAnswer takes in the time of a plain service's answer.
func (b *Balancer) RecordPlainAnswer(load *Load, s *ingress.Service, took time.Duration, now clock.Instant) {
	const floorMs = 20 // keeps short answers from looking slow
	load.measure((toMs(took)+floorMs)/(b.durationMs(s)+floorMs), now)
}
