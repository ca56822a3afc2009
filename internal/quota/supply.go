package quota

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// minSupply is the shortest validity of units that an agent passes on.
const minSupply = 50 * time.Millisecond

// Supply answers the request of another VM of the region, whose agent this VM is, with units
// of this VM's wallets. It returns nil if the request is malformed.
func (w *Wallets) Supply(q *Request, now clock.Instant) *Response {
	if q.VM == "" || q.Shard < 0 || q.Shard >= Shards {
		return nil
	}
	r := &Response{Owner: w.incarnation}
	teams, link := *w.teams.Load(), w.link(q.Shard)
	for i := range q.Teams {
		if t := teams[q.Teams[i].Team]; t != nil {
			r.Teams = append(r.Teams, t.supply(&q.Teams[i], link, now))
		}
	}
	return r
}

// supply takes what another VM wants from the wallet.
func (t *wallet) supply(want *Want, l *link, now clock.Instant) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	valid := time.Duration(supplyLease * float64(t.lease))
	held := t.local
	for i := range t.grants {
		if t.grants[i].expires > now.Add(minSupply) {
			held += t.grants[i].units
		}
	}
	g := Grant{Team: want.Team, Granted: want.portion(int64(held + rounding))}
	rest := float64(g.Granted)
	for i := range t.grants {
		if from := &t.grants[i]; rest > 0 && from.units > 0 && from.expires > now.Add(minSupply) {
			taken := min(rest, from.units)
			from.units -= taken
			rest -= taken
			valid = min(valid, from.expires.Sub(now))
		}
	}
	t.local = max(0, t.local-rest)
	g.ValidMs = max(1, valid.Milliseconds())
	t.asked += g.Granted
	missing := max(0, want.Wanted-g.Granted)
	if missing > 0 && (t.isScarce(now) || l.hasFailed()) {
		g.Scarce = true
		g.RetryAfterMs = t.retryAfter(float64(max(1, want.Least)), held-float64(g.Granted), now).Milliseconds()
	}
	if missing > 0 {
		t.waiting += missing
		if unit := max(1, want.Unit); t.least == 0 || unit < t.least {
			t.least = unit
		}
	}
	t.announce(l, missing > 0 && !g.Scarce || !g.Scarce && t.local < urgentLevel*t.plan.local)
	return g
}
