package limits

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// burstTime is how much of a rate may be used at once.
	burstTime = 2 * time.Second
	// demandWindow is the time over which demand is smoothed.
	demandWindow = 5 * time.Second
	// idleTime is how long an idle team's state is kept.
	idleTime = time.Minute
	// refreshTime is how often a team's part is worked out again.
	refreshTime = 500 * time.Millisecond
)

// Limiter bounds what teams use of this gateway. The state of a team exists
// only while the team is in use.
type Limiter struct {
	now     clock.Clock
	teams   sync.Map // team name -> *team
	reports atomic.Pointer[map[string]*report]
	hearing sync.Mutex // serializes Heard only
	swept   atomic.Int64
}

// team is the state of a team in use.
type team struct {
	mu       sync.Mutex // never held across I/O
	requests *rate.Limiter
	tokens   *rate.Limiter
	inFlight int
	demand   float64 // requests a second
	seen     clock.Instant
	set      clock.Instant // when the rates were last worked out
	limits   *objects.LimitsSpec
}

// NewLimiter returns a limiter without state.
func NewLimiter(now clock.Clock) *Limiter {
	l := &Limiter{now: now}
	l.reports.Store(&map[string]*report{})
	return l
}

// Admit takes one request with the given number of tokens out of the team's
// limits. A nil release means that the request is refused, and that room is
// expected after the given time. Release must be called when the request ends.
func (l *Limiter) Admit(s *snapshot.Snapshot, name string, tokens int) (release func(), wait time.Duration) {
	spec := limitsOf(s.Config, name)
	if spec == nil {
		return func() {}, 0
	}
	now := l.now()
	l.sweep(now)
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(now)
	if t.limits != spec || now.Sub(t.set) >= refreshTime {
		t.apply(spec, partitionOf(s).part(name, t.demand, *l.reports.Load(), now), now)
	}
	if spec.Concurrent > 0 && t.inFlight >= spec.Concurrent {
		return nil, time.Second
	}
	if wait := t.take(tokens, now); wait > 0 {
		return nil, wait
	}
	t.inFlight++
	return func() { t.end(l.now()) }, 0
}

func (l *Limiter) team(name string) *team {
	if t, ok := l.teams.Load(name); ok {
		return t.(*team)
	}
	t, _ := l.teams.LoadOrStore(name, &team{})
	return t.(*team)
}

// count adds a request to the smoothed demand.
func (t *team) count(now clock.Instant) {
	t.demand = t.decayed(now) + 1/demandWindow.Seconds()
	t.seen = now
}

func (t *team) decayed(now clock.Instant) float64 {
	if t.seen == 0 {
		return 0
	}
	return t.demand * math.Exp(-now.Sub(t.seen).Seconds()/demandWindow.Seconds())
}

// apply sets the rates to this gateway's part of the limits.
func (t *team) apply(spec *objects.LimitsSpec, part float64, now clock.Instant) {
	t.limits, t.set = spec, now
	t.requests = setRate(t.requests, spec.RequestsPerSecond*part, now)
	t.tokens = setRate(t.tokens, spec.TokensPerSecond*part, now)
}

func setRate(l *rate.Limiter, perSecond float64, now clock.Instant) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(math.Ceil(perSecond*burstTime.Seconds())))
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), burst)
		// The bucket starts full at the instant of its first use.
		l.AllowN(at(now), 0)
		return l
	}
	l.SetLimitAt(at(now), rate.Limit(perSecond))
	l.SetBurstAt(at(now), burst)
	return l
}

// take takes a request and its tokens, or returns when there will be room.
func (t *team) take(tokens int, now clock.Instant) time.Duration {
	request, wait := reserve(t.requests, 1, now)
	if wait > 0 {
		return wait
	}
	_, wait = reserve(t.tokens, tokens, now)
	if wait > 0 && request != nil {
		request.CancelAt(at(now))
	}
	return wait
}

// reserve takes n from a bucket, or returns when there will be room. A request
// for more than the bucket holds needs a full bucket.
func reserve(l *rate.Limiter, n int, now clock.Instant) (*rate.Reservation, time.Duration) {
	if l == nil {
		return nil, 0
	}
	r := l.ReserveN(at(now), min(n, l.Burst()))
	if wait := r.DelayFrom(at(now)); wait > 0 {
		r.CancelAt(at(now))
		return nil, wait
	}
	return r, 0
}

func (t *team) end(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.demand, t.seen = t.decayed(now), now
}

// Report returns this gateway's demand, for its peers.
func (l *Limiter) Report(vm string) Report {
	const least = 0.01 // requests a second
	r, now := Report{VM: vm}, l.now()
	l.teams.Range(func(name, value any) bool {
		t := value.(*team)
		t.mu.Lock()
		demand := t.decayed(now)
		t.mu.Unlock()
		if demand >= least {
			r.Demands = append(r.Demands, Demand{Team: name.(string), PerSecond: demand})
		}
		return true
	})
	return r
}

// Heard takes in a peer's demand.
func (l *Limiter) ApplyReport(r Report) {
	l.hearing.Lock()
	defer l.hearing.Unlock()
	now := l.now()
	next := map[string]*report{}
	for vm, old := range *l.reports.Load() {
		if now.Sub(old.heard) <= reportAge {
			next[vm] = old
		}
	}
	demands := make(map[string]float64, len(r.Demands))
	for _, d := range r.Demands {
		demands[d.Team] = d.PerSecond
	}
	next[r.VM] = &report{heard: now, demands: demands}
	l.reports.Store(&next)
}

// sweep forgets teams that have been idle.
func (l *Limiter) sweep(now clock.Instant) {
	last := l.swept.Load()
	if now.Sub(clock.Instant(last)) < idleTime/4 || !l.swept.CompareAndSwap(last, int64(now)) {
		return
	}
	l.teams.Range(func(name, value any) bool {
		t := value.(*team)
		t.mu.Lock()
		idle := t.inFlight == 0 && now.Sub(t.seen) > idleTime
		t.mu.Unlock()
		if idle {
			l.teams.CompareAndDelete(name, value)
		}
		return true
	})
}

// TeamCount returns the number of teams with state.
func (l *Limiter) TeamCount() int {
	n := 0
	l.teams.Range(func(any, any) bool { n++; return true })
	return n
}

func limitsOf(config *objects.Set, name string) *objects.LimitsSpec {
	t := config.Teams[name]
	if t == nil || t.Spec.Limits == "" {
		return nil
	}
	limits := config.Limits[t.Spec.Limits]
	if limits == nil {
		return nil
	}
	return &limits.Spec
}

// at returns an instant in the form that package rate takes.
func at(now clock.Instant) time.Time { return time.Unix(0, int64(now)) }
