package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/breaker"
	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// reportAge is how long a server's report of its load counts: several
	// intervals of polling.
	reportAge = 1500 * time.Millisecond
	// peerAge is how long what a neighbour says of its own load counts:
	// several intervals of the exchange.
	peerAge = 1500 * time.Millisecond
	// paceSmoothing is the weight of a new measurement of a server's pace.
	paceSmoothing = 0.15
	// paceAge is how long a measurement of the pace counts.
	paceAge = 5 * time.Second
	// minPace and maxPace bound one measurement.
	minPace, maxPace = 0.3, 30
	// stepSmoothing is the weight of a new measurement of the time of a token,
	// and stepAge how long it counts without a newer one. Engines with many
	// streams give dozens of measurements a second.
	stepSmoothing = 0.08
	stepAge       = 1500 * time.Millisecond
)

// Report is a backend server's own word of its load.
type Report struct {
	Running, Queued int
	// MemoryUsed is the memory that can't be freed, of MemoryTotal, in tokens.
	MemoryUsed, MemoryTotal int
	Heard                   clock.Instant
}

// Usage is what one gateway has at a backend server.
type Usage struct {
	Active int
	// ReadingUs is the time in microseconds until the prompts are read that
	// have their turn or wait for it.
	ReadingUs int64
	// Memory is the number of tokens of the requests in progress.
	Memory int
	// Heavy is the rate, per second, of prompts whose reading holds up all
	// streams of the engine.
	Heavy float64
	// TokenUs is the measured time of a token of the streams there in
	// microseconds, reading of prompts in between included; zero is unknown.
	TokenUs int64
}

// Add returns the usage of two gateways together. Each of them counts the
// turns that it knows of, those of the other included.
func (u Usage) Add(o Usage) Usage {
	return Usage{
		Active: u.Active + o.Active, ReadingUs: max(u.ReadingUs, o.ReadingUs),
		Memory: u.Memory + o.Memory, Heavy: u.Heavy + o.Heavy, TokenUs: max(u.TokenUs, o.TokenUs),
	}
}

// heardUsage is the sum of the neighbours' usage of a server.
type heardUsage struct {
	Usage
	at clock.Instant
}

// Load is this process's record of one incarnation of a backend server.
type Load struct {
	Breaker breaker.Breaker
	Pace    Pacer

	active, memory atomic.Int64
	// readUntil is the instant at which all prompts are read that have their
	// turn or wait for it, as far as this VM knows.
	readUntil atomic.Int64
	// unread is the time in nanoseconds that the prompts need which were sent
	// and have no first byte yet.
	unread atomic.Int64
	// token is the measured time of a token in milliseconds, as the bits of a
	// float64; tokenAt is when it was last measured.
	token   atomic.Uint64
	tokenAt atomic.Int64
	heavy   decayed
	others  atomic.Pointer[heardUsage]
	report  atomic.Pointer[Report]
	// beyond is what the report showed beyond the own requests, as the bits
	// of a float64.
	beyond atomic.Uint64
	// pace is the measured time of a step over the expected one, as the bits
	// of a float64; paceAt is when it was last measured.
	pace   atomic.Uint64
	paceAt atomic.Int64
	// unstarted counts requests without a first byte; progress is the instant
	// of the last sign of life.
	unstarted atomic.Int32
	progress  atomic.Int64
	// missed counts polls without an answer since the last one.
	missed atomic.Int32
	// fullUntil is the instant until which the server counts as full.
	fullUntil atomic.Int64
	errors    rate
	// suspectUntil is the instant until which another VM's word counts that
	// the server doesn't answer.
	suspectUntil atomic.Int64
	// doubt is the instant until which the server counts as cold because it
	// failed lately.
	doubt atomic.Int64
	// shunnedUntil is the instant until which the server gets no new work, as
	// the VM that gives the turns there found that it fails.
	shunnedUntil atomic.Int64
}

// Own returns what this process has at the server.
func (l *Load) Own(now clock.Instant) Usage {
	return Usage{
		Active: int(l.active.Load()), ReadingUs: l.reading(now).Microseconds(), Memory: int(l.memory.Load()),
		Heavy: l.heavy.rate(now), TokenUs: int64(l.tokenMs(now) * 1000),
	}
}

// SetOthers takes in the sum of what the neighbours say of their own use.
func (l *Load) SetOthers(u Usage, now clock.Instant) {
	l.others.Store(&heardUsage{Usage: u, at: now})
	raise(&l.readUntil, int64(now.Add(time.Duration(u.ReadingUs)*time.Microsecond)))
}

// raise stores value if it is higher.
func raise(v *atomic.Int64, value int64) {
	for {
		old := v.Load()
		if old >= value || v.CompareAndSwap(old, value) {
			return
		}
	}
}

// reading returns the time until all prompts are read that have their turn or
// were sent.
func (l *Load) reading(now clock.Instant) time.Duration {
	turns := min(maxBacklog, max(0, clock.Instant(l.readUntil.Load()).Sub(now)))
	return max(turns, time.Duration(l.unread.Load())-readAhead)
}

// readAhead is what is read of the prompts without a first byte at any time: a
// half of the one that is being read, and those that have only their fixed time
// to the first byte left.
const readAhead = 120 * time.Millisecond

// idleSince reports whether no prompt was being read since the given instant.
func (l *Load) idleSince(at clock.Instant) bool { return clock.Instant(l.readUntil.Load()) < at }

// maxBacklog bounds the time until a turn: estimates of what came before add
// up. An engine that is further behind shows it by prompts without a first
// byte.
const maxBacklog = 500 * time.Millisecond

// Turn gives a prompt its turn to be read after those before it, and returns
// when that is. The rest that follows lets streams go on before the next turn.
func (l *Load) Turn(read, rest time.Duration, now clock.Instant) clock.Instant {
	for {
		old := l.readUntil.Load()
		start := min(max(clock.Instant(old), now), now.Add(maxBacklog))
		if l.readUntil.CompareAndSwap(old, int64(start.Add(read+rest))) {
			return start
		}
	}
}

// SetReport takes in the server's answer to a poll of this VM.
func (l *Load) SetReport(r Report) {
	l.missed.Store(0)
	l.TakeReport(r)
}

// TakeReport takes in a report that another VM heard. It says nothing of this
// VM's own way to the server.
func (l *Load) TakeReport(r Report) {
	l.report.Store(&r)
	own := float64(l.active.Load())
	l.beyond.Store(math.Float64bits(max(0, float64(r.Running+r.Queued)-own)))
}

// Missed records that the server did not answer a poll.
func (l *Load) Missed() int32 { return l.missed.Add(1) }

// Lost reports whether several polls in a row got no answer.
func (l *Load) Lost() bool { return l.missed.Load() >= pollsToLose }

// InDoubt reports whether the server should be asked often: a poll got no
// answer, another VM suspects it, or requests wait for a first byte.
func (l *Load) InDoubt(now clock.Instant) bool {
	return l.missed.Load() > 0 || now < clock.Instant(l.suspectUntil.Load()) || l.silence(now) > doubtfulSilence
}

// Suspect makes the server be asked often for a while.
func (l *Load) Suspect(now clock.Instant) { l.suspectUntil.Store(int64(now.Add(suspectFor))) }

const (
	// suspectFor is how long the word of another VM counts.
	suspectFor = time.Second
	// doubtfulSilence is the wait for a first byte that is unusual.
	doubtfulSilence = 600 * time.Millisecond
)

// pollsToLose is the number of unanswered polls after which a server gets no
// new work.
const pollsToLose = 2

// Shun takes the word of another VM that the server gets no new work for now.
func (l *Load) Shun(now clock.Instant) { l.shunnedUntil.Store(int64(now.Add(shunFor))) }

// shunFor is how long such a word counts: a few exchanges of a large region.
const shunFor = 500 * time.Millisecond

func (l *Load) shunned(now clock.Instant) bool { return now < clock.Instant(l.shunnedUntil.Load()) }

// Doubt makes the server count as cold until the given instant.
func (l *Load) Doubt(until clock.Instant) { l.doubt.Store(int64(until)) }

// total is the use of a server by all gateways.
type total struct {
	active, readingMs, memory, heavy float64
	// tokenMs is the measured time of a token; zero is unknown.
	tokenMs float64
}

func (l *Load) total(now clock.Instant) total {
	own := l.Own(now)
	var others Usage
	if o := l.others.Load(); o != nil && now.Sub(o.at) < peerAge {
		others = o.Usage
	}
	sum := own.Add(others)
	t := total{
		active: float64(sum.Active), readingMs: toMs(l.reading(now)),
		memory: float64(sum.Memory), heavy: sum.Heavy, tokenMs: float64(sum.TokenUs) / 1000,
	}
	if others.ReadingUs > 0 {
		told := time.Duration(others.ReadingUs)*time.Microsecond - now.Sub(l.others.Load().at)
		t.readingMs = max(t.readingMs, toMs(told))
	}
	if r := l.report.Load(); r != nil && now.Sub(r.Heard) < reportAge {
		// The report shows VMs that are not heard here.
		t.active = max(t.active, float64(own.Active)+math.Float64frombits(l.beyond.Load()))
		t.memory = max(t.memory, float64(r.MemoryUsed))
	}
	return t
}

// reportAge returns the age of the server's last report, or -1 without one.
func (l *Load) reportAge(now clock.Instant) time.Duration {
	r := l.report.Load()
	if r == nil {
		return -1
	}
	return now.Sub(r.Heard)
}

// memoryTotal returns the server's memory as it reported it, or the given one.
func (l *Load) memoryTotal(configured int) float64 {
	if r := l.report.Load(); r != nil && r.MemoryTotal > 0 {
		return float64(r.MemoryTotal)
	}
	return float64(configured)
}

// paceOf returns the measured time of a step over the expected one.
func (l *Load) paceOf(now clock.Instant) float64 {
	bits := l.pace.Load()
	if bits == 0 || now.Sub(clock.Instant(l.paceAt.Load())) > paceAge {
		return 1
	}
	return math.Float64frombits(bits)
}

// measure takes in a measured time over the expected one.
func (l *Load) measure(ratio float64, now clock.Instant) {
	ratio = min(max(ratio, minPace), maxPace)
	old := l.pace.Load()
	next := ratio
	if old != 0 && now.Sub(clock.Instant(l.paceAt.Load())) <= paceAge {
		value := math.Float64frombits(old)
		next = value + paceSmoothing*(ratio-value)
	}
	// A lost race loses one measurement.
	l.pace.CompareAndSwap(old, math.Float64bits(next))
	l.paceAt.Store(int64(now))
}

// tokenMs returns the measured time of a token in milliseconds, or zero.
func (l *Load) tokenMs(now clock.Instant) float64 {
	if now.Sub(clock.Instant(l.tokenAt.Load())) > stepAge {
		return 0
	}
	return math.Float64frombits(l.token.Load())
}

// measureToken takes in a measured time of a token in milliseconds.
func (l *Load) measureToken(ms float64, now clock.Instant) {
	old, next := l.token.Load(), ms
	if mean := l.tokenMs(now); mean > 0 {
		next = mean + stepSmoothing*(ms-mean)
	}
	// A lost race loses one measurement.
	l.token.CompareAndSwap(old, math.Float64bits(next))
	l.tokenAt.Store(int64(now))
}

// silence returns for how long requests have waited for a first byte since the
// server last gave a sign of life.
func (l *Load) silence(now clock.Instant) time.Duration {
	if l.unstarted.Load() <= 0 {
		return 0
	}
	return max(0, now.Sub(clock.Instant(l.progress.Load())))
}

// Work is one request's place at a backend server.
type Work struct {
	load    *Load
	memory  int64
	reading int64
	begun   clock.Instant
	started bool
	ended   bool
}

// Begin records that a request is sent to the server.
func (l *Load) Begin(d *Demand, e *Estimate, now clock.Instant) *Work {
	w := &Work{load: l, begun: now, memory: int64(d.memory()), reading: int64(e.Reading)}
	l.active.Add(1)
	l.unread.Add(w.reading)
	l.memory.Add(w.memory)
	if e.Heavy {
		l.heavy.add(now)
	}
	if l.unstarted.Add(1) == 1 {
		l.progress.Store(int64(now))
	}
	return w
}

// Started records the first byte of the answer.
func (w *Work) Started(now clock.Instant) {
	w.load.progress.Store(int64(now))
	if w.started {
		return
	}
	w.started = true
	w.load.unstarted.Add(-1)
	w.load.unread.Add(-w.reading)
}

// End gives the place back.
func (w *Work) End(now clock.Instant) {
	if w.ended {
		return
	}
	w.ended = true
	if !w.started {
		w.load.unstarted.Add(-1)
		w.load.unread.Add(-w.reading)
	}
	w.load.active.Add(-1)
	w.load.memory.Add(-w.memory)
}

// Begun returns when the request was sent.
func (w *Work) Begun() clock.Instant { return w.begun }

// Refused records that the server refused a request for want of room: it gets
// no new work until the given instant, unless there is no other server.
func (l *Load) Refused(until clock.Instant) { l.fullUntil.Store(int64(until)) }

// full reports whether the server refused a request a moment ago.
func (l *Load) full(now clock.Instant) bool { return now < clock.Instant(l.fullUntil.Load()) }

// Failed records a request that broke at the server.
func (l *Load) Failed(now clock.Instant) {
	l.Breaker.RecordFailure(now)
	l.errors.add(1)
}

// Erred records a request that the server answered with a failure.
func (l *Load) Erred(clock.Instant) { l.errors.add(1) }

// Succeeded records a request that the server answered.
func (l *Load) Succeeded() {
	l.Breaker.RecordSuccess()
	l.errors.add(0)
}

// decayed is a rate of events that fades.
type decayed struct {
	mu    sync.Mutex
	count float64
	at    clock.Instant
}

// heavyFading is the time in which the memory of heavy prompts fades: a few
// times as long as a stream lasts.
const heavyFading = 5 * time.Second

func (d *decayed) add(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fade(now)
	d.count++
}

// rate returns the events per second.
func (d *decayed) rate(now clock.Instant) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fade(now)
	return d.count / heavyFading.Seconds()
}

func (d *decayed) fade(now clock.Instant) {
	if now > d.at {
		d.count *= math.Exp(-now.Sub(d.at).Seconds() / heavyFading.Seconds())
		d.at = now
	}
}

// rate is a smoothed share of events, as the bits of a float64.
type rate struct{ bits atomic.Uint64 }

// errorSmoothing is the weight of the newest request in the share of errors.
const errorSmoothing = 0.08

// add takes in one event, 0 or 1. A lost race loses it.
func (r *rate) add(sample float64) {
	old := r.bits.Load()
	mean := math.Float64frombits(old)
	r.bits.CompareAndSwap(old, math.Float64bits(mean+errorSmoothing*(sample-mean)))
}

func (r *rate) value() float64 { return math.Float64frombits(r.bits.Load()) }
