package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// delegation is the time for which an exchange delegates a VM's share: an idle VM's
	// exchange may fail once.
	delegation = 3 * time.Second
	// refillLevel is the part of the bucket that is kept for demand, before local allowances
	// are refilled.
	refillLevel = 0.5
	// senderLifetime is for how long the last sequence number of a VM without a delegation
	// is kept. Older messages delegate nothing.
	senderLifetime = time.Minute
)

// Ledger holds the buckets of the teams of which this VM is the owner. It is safe for
// concurrent use.
type Ledger struct {
	incarnation string
	bounds      Bounds

	mu     sync.Mutex
	active int
	shards [Shards]ledgerShard
}

type ledgerShard struct {
	senders map[string]*sender
	buckets map[string]*bucket
	// shares is the sum of the shares delegated now, and entitled the integral of it over
	// time in seconds, both as of at.
	shares, entitled float64
	at               clock.Instant
}

// sender is a VM that delegates its share of the rate.
type sender struct {
	incarnation string
	sequence    uint64
	share       float64
	until       clock.Instant
	heard       clock.Instant
}

// bucket holds the units of a team as of an instant and a value of ledgerShard.entitled.
type bucket struct {
	plan
	level, entitled float64
	at              clock.Instant
}

// NewLedger returns a ledger without teams.
func NewLedger(incarnation string, bounds Bounds) *Ledger {
	l := &Ledger{incarnation: incarnation, bounds: bounds, active: 1}
	for i := range l.shards {
		l.shards[i] = ledgerShard{senders: map[string]*sender{}, buckets: map[string]*bucket{}}
	}
	return l
}

// SetTeams replaces the limits. Buckets of new teams are empty.
func (l *Ledger) SetTeams(limits Limits, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.shards {
		s := &l.shards[i]
		s.advance(now)
		for name, b := range s.buckets {
			if limit, ok := limits[name]; !ok {
				delete(s.buckets, name)
			} else if limit != b.limit {
				s.refill(b)
				b.plan = newPlan(limit, l.bounds, l.active, 0)
				s.refill(b)
			}
		}
	}
	for name, limit := range limits {
		s := &l.shards[ShardOf(name)]
		if s.buckets[name] == nil {
			s.buckets[name] = &bucket{plan: newPlan(limit, l.bounds, l.active, 0), entitled: s.entitled, at: s.at}
		}
	}
}

// SetActive sets the number of VMs that may be active.
func (l *Ledger) SetActive(vms int, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if vms == l.active {
		return
	}
	l.active = vms
	for i := range l.shards {
		s := &l.shards[i]
		s.advance(now)
		for _, b := range s.buckets {
			s.refill(b)
			b.plan = newPlan(b.limit, l.bounds, vms, 0)
			s.refill(b)
		}
	}
}

// Exchange answers a VM's request. It returns nil if the request is malformed.
func (l *Ledger) Exchange(r *Request, now clock.Instant) *Response {
	if r.VM == "" || r.Shard < 0 || r.Shard >= Shards {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.shards[r.Shard]
	s.advance(now)
	l.delegate(s, r, now)
	resp := &Response{Owner: l.incarnation, Clock: int64(now) / int64(time.Microsecond), Active: l.active}
	for i := range r.Teams {
		if b := s.buckets[r.Teams[i].Team]; b != nil {
			s.refill(b)
			resp.Teams = append(resp.Teams, s.grant(b, &r.Teams[i]))
		}
	}
	return resp
}

// delegate records the sender's delegation, unless a later request has been answered. The end
// of a delegation counts from before the request was sent, so that it ends here no later than
// its sender assumes, however long the message took.
func (l *Ledger) delegate(s *ledgerShard, r *Request, now clock.Instant) {
	d := s.senders[r.VM]
	if d == nil {
		d = &sender{}
		s.senders[r.VM] = d
	}
	if d.incarnation != r.Incarnation {
		d.incarnation, d.sequence = r.Incarnation, 0
	}
	d.heard = now
	if r.Owner != l.incarnation || r.Sequence <= d.sequence || r.Fresh && d.until <= now {
		return
	}
	d.sequence = r.Sequence
	length := min(delegation, time.Duration(r.DelegateMs)*time.Millisecond)
	if d.until = clock.Instant(r.At * int64(time.Microsecond)).Add(length); length <= 0 || d.until <= now {
		d.until, d.share = now, 0
	} else {
		d.share = 1 / float64(max(1, r.Active, l.active))
	}
	s.sum()
}

// advance adds up the delegated shares until now, and ends those that have expired.
func (s *ledgerShard) advance(now clock.Instant) {
	if s.at == 0 {
		s.at = now
	}
	var expired []*sender
	for vm, d := range s.senders {
		if d.share > 0 && d.until <= now {
			expired = append(expired, d)
		} else if d.share == 0 && now.Sub(d.heard) > senderLifetime {
			delete(s.senders, vm)
		}
	}
	slices.SortFunc(expired, func(a, b *sender) int { return int(a.until.Sub(b.until)) })
	for _, d := range expired {
		s.addTime(d.until)
		d.share = 0
		s.sum()
	}
	s.addTime(now)
}

func (s *ledgerShard) addTime(now clock.Instant) {
	if now > s.at {
		s.entitled += s.shares * now.Sub(s.at).Seconds()
		s.at = now
	}
}

// sum updates the sum of the shares. If it has decreased, all buckets lose the part that the
// other owner's may hold from now on.
func (s *ledgerShard) sum() {
	before := s.shares
	s.shares = 0
	for _, d := range s.senders {
		s.shares += d.share
	}
	if s.shares = min(1, s.shares); s.shares < before {
		for _, b := range s.buckets {
			s.refill(b)
		}
	}
}

// refill adds the units that a bucket got since the last call.
func (s *ledgerShard) refill(b *bucket) {
	added := min(b.rate*(s.entitled-b.entitled), b.maxRate*s.at.Sub(b.at).Seconds())
	b.entitled, b.at = s.entitled, s.at
	b.level = min(b.level+added, s.capacity(b))
}

// capacity returns the part of a bucket's capacity that belongs to the shares delegated here.
// More than half of the shares suffice for one unit: no other owner can have as many.
func (s *ledgerShard) capacity(b *bucket) float64 {
	c := b.plan.capacity * s.shares
	if s.shares > 0.5 && b.plan.capacity >= 1 {
		return max(c, 1)
	}
	return c
}

// rounding is added to a level before it is rounded down, as sums of shares of a unit are inexact.
const rounding = 1e-6

// grant takes what a VM wants from the bucket. A VM's demand goes before the refill of local
// allowances.
func (s *ledgerShard) grant(b *bucket, w *Want) Grant {
	g := Grant{Team: w.Team, Granted: w.portion(int64(b.level + rounding))}
	g.Scarce = g.Granted < w.Wanted
	b.level -= float64(g.Granted)
	if g.Scarce {
		g.RetryAfterMs = s.timeUntil(b, float64(max(1, w.Least))).Milliseconds()
		return g
	}
	if spare := int64(b.level - refillLevel*s.capacity(b)); spare > 0 && w.Refill > 0 {
		// The half that is left is for the next VM.
		refill := min((spare+1)/2, w.Refill)
		g.Granted += refill
		b.level -= float64(refill)
	}
	return g
}

// portion returns what is granted if a number of units is available. If that is not enough, it
// is for whole requests: a part of a request's units would expire unused.
func (w *Want) portion(available int64) int64 {
	wanted, least := max(0, w.Wanted), max(0, w.Least)
	switch {
	case wanted <= available:
		return wanted
	case available < least:
		return 0
	case w.Unit > 0:
		return available - (available-least)%w.Unit
	default:
		return max(0, available)
	}
}

// maxRetryAfter bounds the time after which a caller is told to try again.
const maxRetryAfter = 8 * time.Second

// timeUntil returns the time until the bucket holds a number of units.
func (s *ledgerShard) timeUntil(b *bucket, units float64) time.Duration {
	rate := min(b.rate*s.shares, b.maxRate)
	return secondsUntil(units-b.level, rate)
}

// secondsUntil returns the time in which a number of units is created, up to maxRetryAfter.
func secondsUntil(units, rate float64) time.Duration {
	if units <= 0 {
		return 0
	}
	seconds := units / rate
	if rate <= 0 || seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
