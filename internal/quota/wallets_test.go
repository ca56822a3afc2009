package quota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

var testBounds = Bounds{Window: 8 * time.Second, Overage: 0.25, Slack: 2000}

// newTestWallets returns the wallets of the only VM, with the limit of "t" and half of 1,500
// units as its local allowance.
func newTestWallets(now clock.Instant) (*Wallets, *ingress.Team) {
	team := &ingress.Team{Name: "t", Limit: ingress.TeamLimit{PerSecond: 1000, Burst: 4000}}
	w := NewWallets("vm", "1", testBounds, true, now)
	w.SetActive(1, now)
	w.SetTeams(Limits{"t": team.Limit}, now)
	w.SetActive(1, now.Add(startupPeriod))
	return w, team
}

// Guards against units that stay used by requests that didn't run, and against more than were
// taken.
func TestReturnedUnitsCanBeUsedAgain(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	w, team := newTestWallets(now)
	state, _ := w.State("t", now)
	whole := int64(state.Local)
	is.True(w.Take(team, whole, now).Granted)
	is.True(!w.Take(team, whole, now).Granted)
	w.Return(team, whole, now)
	is.True(w.Take(team, whole, now).Granted)
	w.Return(team, 100*whole, now) // all beyond the allowance expires
	state, _ = w.State("t", now.Add(maxLease))
	is.Equal(state.Local, state.LocalMax)
	is.Equal(state.Leased, 0.0)
}

// Guards against a request that can never be admitted but drains the units of others, and
// against sums that overflow.
func TestRequestAboveBoundIsRefusedWithoutDemand(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	w, team := newTestWallets(now)
	for _, units := range []int64{20_000, math.MaxInt32, math.MaxInt64} {
		is.Equal(w.Take(team, units, now), Decision{RetryAfter: maxRetryAfter})
	}
	is.True(w.Take(team, -5, now).Granted)
	q := w.Request(ShardOf("t"), "vm", now.Add(time.Second))
	for _, want := range q.Teams {
		is.Equal(want.Wanted, int64(0))
	}
}

// Guards against a changed configuration that takes effect late.
func TestChangedLimitTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	w, team := newTestWallets(now)
	l := NewLedger("1", testBounds)
	l.SetTeams(Limits{"t": team.Limit}, now)
	lower := Limits{"t": {PerSecond: 0.01}}
	w.SetTeams(lower, now)
	l.SetTeams(lower, now)
	state, _ := w.State("t", now)
	is.True(state.Local <= 0.3*(0.25*0.08+2000))
	is.True(l.shards[ShardOf("t")].buckets["t"].maxRate < 0.02)
	w.SetTeams(Limits{}, now)
	l.SetTeams(Limits{}, now)
	is.True(w.Take(team, 1_000_000, now).Granted) // no limit any more
	is.Equal(len(l.shards[ShardOf("t")].buckets), 0)
	table := ingress.NewTable(1, nil, nil, ingress.Limits{}, &ingress.Team{Name: "none"}, team)
	is.Equal(len(LimitsOf(table)), 1) // a rate of 0 is no limit
}

// Guards against grants and shares that are used after they have been given to others: those of
// a late answer, and a share that is delegated to a second owner.
func TestLateMessagesBringNothing(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	w, team := newTestWallets(now)
	shard := ShardOf("t")
	owners := map[string]*Ledger{"a": NewLedger("a/1", testBounds), "b": NewLedger("b/1", testBounds)}
	exchange := func(owner string) *Request {
		now = now.Add(100 * time.Millisecond)
		q := w.Request(shard, owner, now)
		w.Apply(q, owner, owners[owner].Exchange(q, now), now, now)
		return q
	}
	shares := func(owner string) float64 {
		owners[owner].Exchange(&Request{VM: "other", Shard: shard}, now)
		return owners[owner].shards[shard].shares
	}
	exchange("a")
	is.Equal(shares("a"), 0.0) // the clock of the owner was not known
	late := exchange("a")
	is.Equal(shares("a"), 1.0)
	exchange("b")
	exchange("b")
	is.Equal(shares("a")+shares("b"), 1.0)
	now = now.Add(delegation)
	exchange("b")
	is.Equal(shares("a"), 0.0)
	owners["a"].Exchange(late, now)
	is.Equal(shares("a"), 0.0) // delivered again, or late
	is.Equal(shares("b"), 1.0)

	state, _ := w.State("t", now)
	q := w.Request(shard, "b", now)
	grant := &Response{Owner: "b/1", Teams: []Grant{{Team: "t", Granted: 500}}}
	w.Apply(q, "b", grant, now, now.Add(maxLease))
	after, _ := w.State("t", now.Add(maxLease))
	is.Equal(after.Local+after.Leased, state.Local+state.Leased)
	is.True(w.Take(team, 1, now).Granted)
}
