package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/breaker"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/rampup"
)

const (
	// maxReportAge is the age up to which a server's load report is used: several
	// polling intervals.
	maxReportAge = 1500 * time.Millisecond
	// maxPeerUsageAge is the age up to which the usage announced by other VMs is
	// used: several gossip intervals.
	maxPeerUsageAge = 1500 * time.Millisecond
	// slowdownSmoothing is the weight of a new sample of a server's slowdown.
	slowdownSmoothing = 0.15
	// maxSlowdownAge is the age up to which a slowdown is used.
	maxSlowdownAge = 5 * time.Second
	// minSlowdown and maxSlowdown bound one sample.
	minSlowdown, maxSlowdown = 0.3, 30
	// tokenTimeSmoothing is the weight of a new sample of the time per token, and
	// maxTokenTimeAge the age up to which it is used. The weight is low because
	// engines with many streams give dozens of samples per second.
	tokenTimeSmoothing = 0.08
	maxTokenTimeAge    = 1500 * time.Millisecond
)

// Report is a load report of a backend server about itself.
type Report struct {
	Running, Queued int
	// MemoryUsed is the memory that can't be freed, of MemoryTotal, in tokens.
	MemoryUsed, MemoryTotal int
	ReceivedAt              clock.Instant
	// Started is when the server's process started, in Unix milliseconds; zero means
	// unknown.
	Started int64
}

// Usage is the load that one gateway puts on a backend server.
type Usage struct {
	Active int
	// PrefillBacklogUs is the time in microseconds until all prompts that have a
	// prefill slot or wait for one are prefilled.
	PrefillBacklogUs int64 `json:"ReadingUs"`
	// Memory is the number of tokens of the requests in progress.
	Memory int
	// StallingPerSecond is the rate of stalling prompts.
	StallingPerSecond float64 `json:"Heavy"`
	// TokenUs is the measured time per token of the server's streams in
	// microseconds, including prefills in between; zero means unknown.
	TokenUs int64
}

// Add returns the usage of two gateways together. Prefill backlogs are not added
// up, because each gateway's backlog includes the prefill slots that it knows of
// at the other.
func (u Usage) Add(o Usage) Usage {
	return Usage{
		Active: u.Active + o.Active, PrefillBacklogUs: max(u.PrefillBacklogUs, o.PrefillBacklogUs),
		Memory: u.Memory + o.Memory, StallingPerSecond: u.StallingPerSecond + o.StallingPerSecond, TokenUs: max(u.TokenUs, o.TokenUs),
	}
}

// peerUsage is the total usage of a server announced by the other VMs.
type peerUsage struct {
	Usage
	at clock.Instant
}

// Load is this process's load record of one incarnation of a backend server.
type Load struct {
	Breaker     breaker.Breaker
	Link        Link
	Pause       Pause
	RateLimiter RateLimiter
	Room        Room
	// coldLimiter is shared by all incarnations of the server.
	coldLimiter *ColdLimiter
	// slowStart is told of slow starts; it is nil if they are switched off. Window is nil if this server has none, and examined is set once it was
	// decided whether this incarnation has just started.
	slowStart *Balancer
	id        string
	window    atomic.Pointer[rampup.Controller]
	examined  atomic.Bool
	// planned is the number of requests of this VM that will be sent after their wait for a
	// prefill slot.
	planned atomic.Int64

	active, memory atomic.Int64
	// prefillUntil is the instant at which all prompts that are known here to have
	// a prefill slot or wait for one are prefilled.
	prefillUntil atomic.Int64
	// pendingPrefill is the total prefill time, in nanoseconds, of the prompts
	// that were sent and have no first byte yet.
	pendingPrefill atomic.Int64
	// tokenTime is the measured time per token in milliseconds, as the bits of a
	// float64; tokenTimeAt is when it was last updated.
	tokenTime   atomic.Uint64
	tokenTimeAt atomic.Int64
	stalling    decayingRate
	peers       atomic.Pointer[peerUsage]
	report      atomic.Pointer[Report]
	// reportingSince is the instant of the first report after the last time of standstillGap
	// without any.
	reportingSince atomic.Int64
	// otherRequests is the number of requests in the report beyond this VM's own,
	// as the bits of a float64.
	otherRequests atomic.Uint64
	// slowdownBits is the ratio of measured to expected step time, as the bits of
	// a float64; slowdownAt is when it was last updated.
	slowdownBits atomic.Uint64
	slowdownAt   atomic.Int64
	// awaitingFirstByte counts requests without a first byte; progressAt is the instant of the
	// last data from the server, or since which a request has waited for its first byte there
	// alone.
	awaitingFirstByte atomic.Int32
	progressAt        atomic.Int64
	// dataAt is the instant of the last data from the server, and resumedAt that of the first
	// data after the last time without any.
	dataAt, resumedAt atomic.Int64
	// latestStarted is when the latest-sent of the requests that got their first
	// byte was sent.
	latestStarted atomic.Int64
	// fullUntil is the instant until which the server counts as full.
	fullUntil  atomic.Int64
	errorShare smoothedShare
	// suspectUntil is the instant until which the server is suspect, because
	// another VM reported that it does not respond.
	suspectUntil atomic.Int64
	// coldUntil is the instant until which the server counts as cold after a
	// restart, and restartedAs the start time of the process that was found instead
	// of the listed one, in Unix milliseconds; zero means none.
	coldUntil   atomic.Int64
	restartedAs atomic.Int64
	// lostAt is when no process last listened at the server's address, and confirmedAt
	// the latest instant since which the listed process was seen running.
	lostAt, confirmedAt atomic.Int64
	// excludedUntil is the instant until which the server gets no new requests,
	// because its prefill coordinator reported that it fails.
	excludedUntil atomic.Int64
}

// OwnUsage returns this process's usage of the server.
func (l *Load) OwnUsage(now clock.Instant) Usage {
	return Usage{
		Active: int(l.active.Load()), PrefillBacklogUs: l.prefillBacklog(now).Microseconds(), Memory: int(l.memory.Load()),
		StallingPerSecond: l.stalling.rate(now), TokenUs: int64(l.tokenMs(now) * 1000),
	}
}

// SetPeerUsage records the total usage announced by the other VMs.
func (l *Load) SetPeerUsage(u Usage, now clock.Instant) {
	l.peers.Store(&peerUsage{Usage: u, at: now})
	storeMax(&l.prefillUntil, int64(now.Add(time.Duration(u.PrefillBacklogUs)*time.Microsecond)))
}

// storeMax stores value if it is higher than the stored one.
func storeMax(v *atomic.Int64, value int64) {
	for {
		old := v.Load()
		if old >= value || v.CompareAndSwap(old, value) {
			return
		}
	}
}

// prefillBacklog returns the time until all prompts that have a prefill slot or
// were sent are prefilled.
func (l *Load) prefillBacklog(now clock.Instant) time.Duration {
	slots := min(maxSlotDelay, max(0, clock.Instant(l.prefillUntil.Load()).Sub(now)))
	return max(slots, time.Duration(l.pendingPrefill.Load())-completedPrefill)
}

// completedPrefill is the share of the pending prefill time that is typically
// complete already: half of the prompt in progress, and the prompts that have only
// their fixed time to the first event left.
const completedPrefill = 120 * time.Millisecond

// noPrefillSince reports whether no prefill was in progress since the given
// instant.
func (l *Load) noPrefillSince(t clock.Instant) bool { return clock.Instant(l.prefillUntil.Load()) < t }

// maxSlotDelay bounds the time until a prefill slot, because the errors of the
// estimates before it add up. A longer backlog of an engine shows in the prompts
// without a first byte.
const maxSlotDelay = 500 * time.Millisecond

// ReservePrefillSlot reserves the next prefill slot for a prompt and returns when
// it starts. During the gap after the slot, streams progress without a prefill.
func (l *Load) ReservePrefillSlot(prefill, gap time.Duration, now clock.Instant) clock.Instant {
	for {
		old := l.prefillUntil.Load()
		start := min(max(clock.Instant(old), now), now.Add(maxSlotDelay))
		if l.prefillUntil.CompareAndSwap(old, int64(start.Add(prefill+gap))) {
			return start
		}
	}
}

// ReleasePrefillSlot returns the slot of a prompt that is not sent after all.
func (l *Load) ReleasePrefillSlot(prefill, gap time.Duration) {
	l.prefillUntil.Add(-int64(prefill + gap))
}

// Admits reports whether the server's pause allows one more request of this VM.
func (l *Load) Admits(now clock.Instant) bool { return l.Pause.Admits(int(l.active.Load()), now) }

// RecordPollReport records the server's response to a poll by this VM.
func (l *Load) RecordPollReport(r Report) {
	l.Link.RecordPoll(true, r.ReceivedAt)
	l.RecordForwardedReport(r)
}

// RecordForwardedReport records a report that another VM received. Such a report
// does not show whether this VM can reach the server.
func (l *Load) RecordForwardedReport(r Report) {
	if w := l.window.Load(); w != nil {
		w.RecordReport(r.Running, r.Queued, r.ReceivedAt)
	}
	if before := l.report.Swap(&r); before == nil || r.ReceivedAt.Sub(before.ReceivedAt) > standstillGap {
		l.reportingSince.Store(int64(r.ReceivedAt))
	}
	own := float64(l.active.Load())
	l.otherRequests.Store(math.Float64bits(max(0, float64(r.Running+r.Queued)-own)))
}

// Suspected reports whether the server should be polled often: the link is doubtful,
// no process listened at its address, another VM suspects the server, or
// requests wait unusually long for a first byte.
func (l *Load) Suspected(now clock.Instant) bool {
	return l.Link.Doubtful() || l.MayHaveRestarted() || now < clock.Instant(l.suspectUntil.Load()) || l.noProgressFor(now) > suspectAfter
}

// Calm reports whether the server is neither suspect nor in its slow start nor busy: by its last report
// nothing waits there and less than half of its slots and memory are in use, and
// requests of this VM that are in progress there progress.
func (l *Load) Calm(slots int, now clock.Instant) bool {
	r := l.report.Load()
	return l.window.Load() == nil && l.hasReport(now) && r.Queued == 0 &&
		2*r.Running < slots && 2*r.MemoryUsed < r.MemoryTotal &&
		!l.Suspected(now) && (l.active.Load() == 0 || l.SilentFor(now) < progressAge)
}

// MarkSuspect marks the server as suspect for suspectDuration.
func (l *Load) MarkSuspect(now clock.Instant) { l.suspectUntil.Store(int64(now.Add(suspectDuration))) }

const (
	// suspectDuration is how long a suspicion of another VM lasts.
	suspectDuration = time.Second
	// suspectAfter is how long requests wait for a first byte, without any data from
	// the server, before the server is suspect. Shorter waits are usual.
	suspectAfter = 600 * time.Millisecond
)

// Exclude keeps new requests from the server for excludeDuration, because another
// VM reported that it fails.
func (l *Load) Exclude(now clock.Instant) { l.excludedUntil.Store(int64(now.Add(excludeDuration))) }

// excludeDuration is a few gossip intervals of a large region.
const excludeDuration = 500 * time.Millisecond

func (l *Load) excluded(now clock.Instant) bool { return now < clock.Instant(l.excludedUntil.Load()) }

// RecordRestart records that another process runs in place of the listed one, which
// started at the given time in Unix milliseconds. The server counts as cold for the
// period since this was first found.
func (l *Load) RecordRestart(started int64, now clock.Instant, coldPeriod time.Duration) {
	l.ConfirmRunning(now)
	if l.restartedAs.Swap(started) != started {
		l.beginSlowStart("restarted", now)
		l.coldUntil.Store(int64(now.Add(coldPeriod)))
	}
}

// MarkLost records that no process listened at the server's address.
func (l *Load) MarkLost(now clock.Instant) { storeMax(&l.lostAt, int64(now)) }

// ConfirmRunning records that the listed process has run since the given instant.
func (l *Load) ConfirmRunning(since clock.Instant) {
	lost := l.MayHaveRestarted()
	storeMax(&l.confirmedAt, int64(since))
	if lost && !l.MayHaveRestarted() {
		l.beginSlowStart("confirmed after refused connections", since)
	}
}

// MayHaveRestarted reports whether no process listened at the server's address, and its
// listed process has not been confirmed since.
func (l *Load) MayHaveRestarted() bool { return l.lostAt.Load() > l.confirmedAt.Load() }

// totalUsage is the usage of a server by all gateways.
type totalUsage struct {
	active, prefillBacklogMs, memory, stallingPerSecond float64
	// tokenMs is the measured time per token; zero means unknown.
	tokenMs float64
}

// totalUsage combines this VM's usage, the usage announced by the other VMs and
// the server's last report, without those that are too old.
func (l *Load) totalUsage(now clock.Instant) totalUsage {
	own := l.OwnUsage(now)
	var peers Usage
	if p := l.peers.Load(); p != nil && now.Sub(p.at) < maxPeerUsageAge {
		peers = p.Usage
	}
	sum := own.Add(peers)
	t := totalUsage{
		active: float64(sum.Active), prefillBacklogMs: toMs(l.prefillBacklog(now)),
		memory: float64(sum.Memory), stallingPerSecond: sum.StallingPerSecond, tokenMs: float64(sum.TokenUs) / 1000,
	}
	if peers.PrefillBacklogUs > 0 {
		remaining := time.Duration(peers.PrefillBacklogUs)*time.Microsecond - now.Sub(l.peers.Load().at)
		t.prefillBacklogMs = max(t.prefillBacklogMs, toMs(remaining))
	}
	if r := l.report.Load(); l.hasReport(now) {
		// The report includes requests of VMs that announce no usage here.
		t.active = max(t.active, float64(own.Active)+math.Float64frombits(l.otherRequests.Load()))
		t.memory = max(t.memory, float64(r.MemoryUsed))
	}
	return t
}

// hasReport reports whether the server's last report is recent enough to be used.
func (l *Load) hasReport(now clock.Instant) bool {
	r := l.report.Load()
	return r != nil && now.Sub(r.ReceivedAt) < maxReportAge
}

// reportAge returns the age of the server's last report, or -1 if there is none.
func (l *Load) reportAge(now clock.Instant) time.Duration {
	r := l.report.Load()
	if r == nil {
		return -1
	}
	return now.Sub(r.ReceivedAt)
}

// memoryTotal returns the server's memory in tokens as it reported it, or the
// configured one.
func (l *Load) memoryTotal(configured int) float64 {
	if r := l.report.Load(); r != nil && r.MemoryTotal > 0 {
		return float64(r.MemoryTotal)
	}
	return float64(configured)
}

// slowdown returns the ratio of measured to expected time of the server, or 1
// without a recent sample.
func (l *Load) slowdown(now clock.Instant) float64 {
	bits := l.slowdownBits.Load()
	if bits == 0 || now.Sub(clock.Instant(l.slowdownAt.Load())) > maxSlowdownAge {
		return 1
	}
	return math.Float64frombits(bits)
}

// recordSlowdown updates the slowdown from one ratio of measured to expected
// time.
func (l *Load) recordSlowdown(ratio float64, now clock.Instant) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	old := l.slowdownBits.Load()
	next := ratio
	if old != 0 && now.Sub(clock.Instant(l.slowdownAt.Load())) <= maxSlowdownAge {
		value := math.Float64frombits(old)
		next = value + slowdownSmoothing*(ratio-value)
	}
	// A lost race loses one sample.
	l.slowdownBits.CompareAndSwap(old, math.Float64bits(next))
	l.slowdownAt.Store(int64(now))
}

// tokenMs returns the measured time per token in milliseconds, or zero without a
// recent sample.
func (l *Load) tokenMs(now clock.Instant) float64 {
	if now.Sub(clock.Instant(l.tokenTimeAt.Load())) > maxTokenTimeAge {
		return 0
	}
	return math.Float64frombits(l.tokenTime.Load())
}

// recordTokenTime updates the time per token from one sample in milliseconds.
func (l *Load) recordTokenTime(ms float64, now clock.Instant) {
	old, next := l.tokenTime.Load(), ms
	if mean := l.tokenMs(now); mean > 0 {
		next = mean + tokenTimeSmoothing*(ms-mean)
	}
	// A lost race loses one sample.
	l.tokenTime.CompareAndSwap(old, math.Float64bits(next))
	l.tokenTimeAt.Store(int64(now))
}

// noProgressFor returns how long requests have waited for a first byte since the
// last data from the server. It is zero if none wait.
func (l *Load) noProgressFor(now clock.Instant) time.Duration {
	if l.awaitingFirstByte.Load() <= 0 {
		return 0
	}
	return max(0, now.Sub(clock.Instant(l.progressAt.Load())))
}

const (
	// overtakeMargin is how much later than a request another one must have been
	// sent to overtake it: servers start requests roughly in the order of arrival.
	overtakeMargin = 250 * time.Millisecond
	// progressAge bounds the age of the last data from a server that progresses.
	progressAge = 300 * time.Millisecond
	// standstillGap is a time without any data after which a server may have stood still, and
	// settleTime is how long it then takes until all its requests have gone on.
	standstillGap = 600 * time.Millisecond
	settleTime    = 500 * time.Millisecond
)

// recordData records that data arrived from the server.
func (l *Load) recordData(now clock.Instant) {
	l.progressAt.Store(int64(now))
	if before := clock.Instant(l.dataAt.Swap(int64(now))); now.Sub(before) > standstillGap {
		l.resumedAt.Store(int64(now))
	}
}

// Settled reports whether the server has not just gone on after a time without any data.
func (l *Load) Settled(now clock.Instant) bool {
	return now.Sub(clock.Instant(l.resumedAt.Load())) >= settleTime
}

// Overtaken reports whether a request that was sent well after the given instant
// has got its first byte.
func (l *Load) Overtaken(sentAt clock.Instant) bool {
	return clock.Instant(l.latestStarted.Load()).Sub(sentAt) > overtakeMargin
}

// SilentFor returns the time since the last data from the server, or since a request began to
// wait for its first byte there alone.
func (l *Load) SilentFor(now clock.Instant) time.Duration {
	return max(0, now.Sub(clock.Instant(l.progressAt.Load())))
}

// Progressing reports whether data of some request arrived just now, from a server that is
// Settled.
func (l *Load) Progressing(now clock.Instant) bool {
	return now.Sub(clock.Instant(l.dataAt.Load())) < progressAge && l.Settled(now)
}

// NothingQueued reports whether the server stated in a recent report that no
// request waits for a slot or memory.
func (l *Load) NothingQueued(now clock.Instant) bool {
	r := l.report.Load()
	return r != nil && now.Sub(r.ReceivedAt) < maxReportAge && r.Queued == 0
}

// OnlyReports reports whether the server has sent nothing but reports for unresponsiveAfter,
// which came steadily until just now, so that it doesn't stand still, and state that no request
// waits for a slot or memory. As such a server gets no new requests, none can overtake those that
// wait there.
func (l *Load) OnlyReports(now clock.Instant) bool {
	r := l.report.Load()
	return l.SilentFor(now) > unresponsiveAfter && now.Sub(clock.Instant(l.reportingSince.Load())) > unresponsiveAfter &&
		r != nil && now.Sub(r.ReceivedAt) < standstillGap && l.NothingQueued(now)
}

// InFlight is one request in progress at a backend server. Its methods must not
// be called concurrently.
type InFlight struct {
	load    *Load
	memory  int64
	prefill int64
	sentAt  clock.Instant
	inTime  time.Duration
	started bool
	ended   bool
	ticket  *Ticket
}

// Hold ties the request's ticket to it.
func (f *InFlight) Hold(t *Ticket) { f.ticket = t }

// Begin records that a request is sent to the server.
func (l *Load) Begin(d *Demand, e *Estimate, now clock.Instant) *InFlight {
	f := &InFlight{load: l, sentAt: now, memory: int64(d.finalMemory()), prefill: int64(e.PrefillTime), inTime: e.InTime}
	l.active.Add(1)
	l.pendingPrefill.Add(f.prefill)
	l.memory.Add(f.memory)
	if e.StallingPrefill {
		l.stalling.add(now)
	}
	if l.awaitingFirstByte.Add(1) == 1 {
		l.progressAt.Store(int64(now))
	}
	return f
}

// RecordFirstByte records the first byte of the response. Later calls only record
// that the server makes progress.
func (f *InFlight) RecordFirstByte(now clock.Instant) {
	f.load.recordData(now)
	if !f.started {
		storeMax(&f.load.latestStarted, int64(f.sentAt))
		f.start()
		if w := f.load.window.Load(); w != nil && f.inTime > 0 {
			w.RecordResponse(f.sentAt, now.Sub(f.sentAt) <= f.inTime, now)
		}
	}
}

// RecordRefused records that the server refused the request.
func (f *InFlight) RecordRefused(now clock.Instant) {
	f.ticket.Refuse(now)
	f.load.recordData(now)
	if w := f.load.window.Load(); w != nil {
		w.RecordFailure(f.sentAt, now)
	}
	if !f.started {
		f.start()
	}
}

// start ends the wait for the first byte.
func (f *InFlight) start() {
	f.started = true
	f.load.awaitingFirstByte.Add(-1)
	f.load.pendingPrefill.Add(-f.prefill)
}

// End removes the request from the server's load. Later calls do nothing.
func (f *InFlight) End(now clock.Instant) {
	if f.ended {
		return
	}
	f.ended = true
	f.ticket.End()
	if !f.started {
		f.start()
		if w := f.load.window.Load(); w != nil && f.inTime > 0 && now.Sub(f.sentAt) > f.inTime {
			w.RecordResponse(f.sentAt, false, now)
		}
	}
	f.load.active.Add(-1)
	f.load.memory.Add(-f.memory)
}

// SentAt returns when the request was sent.
func (f *InFlight) SentAt() clock.Instant { return f.sentAt }

// RecordRefusal records that the server refused a request for lack of capacity.
// Until the given instant the server gets new requests only if the others score
// worse.
func (l *Load) RecordRefusal(until clock.Instant) { l.fullUntil.Store(int64(until)) }

// full reports whether the server refused a request recently.
func (l *Load) full(now clock.Instant) bool { return now < clock.Instant(l.fullUntil.Load()) }

// RecordFailure records a request that failed without a complete response. It
// counts against the circuit breaker.
func (l *Load) RecordFailure(now clock.Instant) {
	l.Breaker.RecordFailure(now)
	l.errorShare.add(1)
	l.RecordServerError(now)
}

// RecordServerError records that the server failed a request, for its window only.
func (l *Load) RecordServerError(now clock.Instant) {
	if w := l.window.Load(); w != nil {
		w.RecordFailure(0, now)
	}
}

// RecordErrorResponse records a request that the server answered with an error.
func (l *Load) RecordErrorResponse(clock.Instant) { l.errorShare.add(1) }

// RecordSuccess records a request that the server answered.
func (l *Load) RecordSuccess(now clock.Instant) {
	if l.Breaker.IsOpen() {
		l.beginSlowStart("breaker closed", now)
	}
	l.Breaker.RecordSuccess()
	l.errorShare.add(0)
}

// decayingRate is a rate of events with exponential decay.
type decayingRate struct {
	mu    sync.Mutex
	count float64
	at    clock.Instant
}

// stallingDecay is the time constant of the rate of stalling prompts: a few times
// the duration of a stream.
const stallingDecay = 5 * time.Second

func (d *decayingRate) add(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.count++
}

// rate returns the events per second.
func (d *decayingRate) rate(now clock.Instant) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.count / stallingDecay.Seconds()
}

// decay discounts earlier events. The caller holds the lock.
func (d *decayingRate) decay(now clock.Instant) {
	if now > d.at {
		d.count *= math.Exp(-now.Sub(d.at).Seconds() / stallingDecay.Seconds())
		d.at = now
	}
}

// smoothedShare is an exponentially smoothed share of events, as the bits of a
// float64.
type smoothedShare struct{ bits atomic.Uint64 }

// errorSmoothing is the weight of the newest request in the share of errors.
const errorSmoothing = 0.08

// add records one event, 0 or 1. A lost race loses it.
func (r *smoothedShare) add(sample float64) {
	old := r.bits.Load()
	mean := math.Float64frombits(old)
	r.bits.CompareAndSwap(old, math.Float64bits(mean+errorSmoothing*(sample-mean)))
}

func (r *smoothedShare) value() float64 { return math.Float64frombits(r.bits.Load()) }
