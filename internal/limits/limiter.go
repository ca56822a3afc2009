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
	// burstWindow is the length of time whose allowance may be used at once.
	burstWindow = 2 * time.Second
	// demandWindow is the time constant of the smoothed demand.
	demandWindow = 5 * time.Second
	// idleRetention is how long the state of an idle team is kept.
	idleRetention = time.Minute
	// refreshInterval is the time between two computations of a team's share.
	refreshInterval = 500 * time.Millisecond
)

// Limiter enforces the limits of teams at this gateway. It keeps state only for
// teams in use.
type Limiter struct {
	now       clock.Clock
	teams     sync.Map // team name -> *teamState
	reports   atomic.Pointer[map[string]*report]
	reportsMu sync.Mutex // serializes ApplyReport only
	lastSweep atomic.Int64
}

// teamState is the state of a team in use.
type teamState struct {
	mu       sync.Mutex // never held across I/O
	requests *rate.Limiter
	tokens   *rate.Limiter
	inFlight int
	demand   float64 // requests per second, as of demandAt
	demandAt clock.Instant
	ratesAt  clock.Instant // when the rates were last set
	spec     *objects.LimitsSpec
}

// NewLimiter returns a limiter that has no state yet.
func NewLimiter(now clock.Clock) *Limiter {
	l := &Limiter{now: now}
	l.reports.Store(&map[string]*report{})
	return l
}

// Admit charges one request with the given number of tokens to the team's
// limits. A nil release means that the request is refused; wait is then the
// time after which a retry may be admitted. Otherwise the caller must call
// release when the request ends.
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
	t.recordRequest(now)
	if t.spec != spec || now.Sub(t.ratesAt) >= refreshInterval {
		t.setRates(spec, newPartition(s).gatewayShare(name, t.demand, *l.reports.Load(), now), now)
	}
	if spec.Concurrent > 0 && t.inFlight >= spec.Concurrent {
		return nil, time.Second
	}
	if wait := t.take(tokens, now); wait > 0 {
		return nil, wait
	}
	t.inFlight++
	return func() { t.release(l.now()) }, 0
}

// team returns the state of the team, and creates it if needed.
func (l *Limiter) team(name string) *teamState {
	if t, ok := l.teams.Load(name); ok {
		return t.(*teamState)
	}
	t, _ := l.teams.LoadOrStore(name, &teamState{})
	return t.(*teamState)
}

// recordRequest adds a request to the smoothed demand.
func (t *teamState) recordRequest(now clock.Instant) {
	t.demand = t.decayedDemand(now) + 1/demandWindow.Seconds()
	t.demandAt = now
}

// decayedDemand returns the smoothed demand as of now, in requests per second.
func (t *teamState) decayedDemand(now clock.Instant) float64 {
	if t.demandAt == 0 {
		return 0
	}
	return t.demand * math.Exp(-now.Sub(t.demandAt).Seconds()/demandWindow.Seconds())
}

// setRates sets the rates to this gateway's share of the limits.
func (t *teamState) setRates(spec *objects.LimitsSpec, share float64, now clock.Instant) {
	t.spec, t.ratesAt = spec, now
	t.requests = setRate(t.requests, spec.RequestsPerSecond*share, now)
	t.tokens = setRate(t.tokens, spec.TokensPerSecond*share, now)
}

// setRate returns the bucket with the given rate. It creates the bucket if l is
// nil, and returns nil, which means no limit, for a rate of zero.
func setRate(l *rate.Limiter, perSecond float64, now clock.Instant) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(math.Ceil(perSecond*burstWindow.Seconds())))
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), burst)
		// Starts the bucket full at now.
		l.AllowN(now.Time(), 0)
		return l
	}
	l.SetLimitAt(now.Time(), rate.Limit(perSecond))
	l.SetBurstAt(now.Time(), burst)
	return l
}

// take charges one request and its tokens. If either bucket holds too little,
// it charges nothing and returns the time until a retry may succeed.
func (t *teamState) take(tokens int, now clock.Instant) time.Duration {
	request, wait := reserve(t.requests, 1, now)
	if wait > 0 {
		return wait
	}
	_, wait = reserve(t.tokens, tokens, now)
	if wait > 0 && request != nil {
		request.CancelAt(now.Time())
	}
	return wait
}

// reserve takes n from a bucket, or returns the time until n are available. A
// request for more than the size of the bucket needs a full bucket.
func reserve(l *rate.Limiter, n int, now clock.Instant) (*rate.Reservation, time.Duration) {
	if l == nil {
		return nil, 0
	}
	r := l.ReserveN(now.Time(), min(n, l.Burst()))
	if wait := r.DelayFrom(now.Time()); wait > 0 {
		r.CancelAt(now.Time())
		return nil, wait
	}
	return r, 0
}

func (t *teamState) release(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.demand, t.demandAt = t.decayedDemand(now), now
}

// Report returns the demand at this gateway, to be sent to its peers.
func (l *Limiter) Report(vm string) Report {
	const minReported = 0.01 // requests per second
	r, now := Report{VM: vm}, l.now()
	l.teams.Range(func(name, value any) bool {
		t := value.(*teamState)
		t.mu.Lock()
		demand := t.decayedDemand(now)
		t.mu.Unlock()
		if demand >= minReported {
			r.Demands = append(r.Demands, Demand{Team: name.(string), PerSecond: demand})
		}
		return true
	})
	return r
}

// ApplyReport records the demand that a peer reported, and drops reports older
// than maxReportAge.
func (l *Limiter) ApplyReport(r Report) {
	l.reportsMu.Lock()
	defer l.reportsMu.Unlock()
	now := l.now()
	next := map[string]*report{}
	for vm, old := range *l.reports.Load() {
		if now.Sub(old.receivedAt) <= maxReportAge {
			next[vm] = old
		}
	}
	demands := make(map[string]float64, len(r.Demands))
	for _, d := range r.Demands {
		demands[d.Team] = d.PerSecond
	}
	next[r.VM] = &report{receivedAt: now, demands: demands}
	l.reports.Store(&next)
}

// sweep evicts teams that have been idle for idleRetention.
func (l *Limiter) sweep(now clock.Instant) {
	last := l.lastSweep.Load()
	if now.Sub(clock.Instant(last)) < idleRetention/4 || !l.lastSweep.CompareAndSwap(last, int64(now)) {
		return
	}
	l.teams.Range(func(name, value any) bool {
		t := value.(*teamState)
		t.mu.Lock()
		idle := t.inFlight == 0 && now.Sub(t.demandAt) > idleRetention
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

// limitsOf returns the limits of the team, or nil if it has none.
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
