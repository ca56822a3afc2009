package admission

import (
	"math"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// teamIdleTimeout is how long a team counts as active after its last request. Shares are
	// divided among active teams.
	teamIdleTimeout = 5 * time.Second
	// creditTime and creditRequests bound the credit of a team that uses less than its share:
	// that of its share in the time, and of as many requests.
	creditTime     = 2 * time.Second
	creditRequests = 4
	// refusedDecay is the time constant with which refused requests of a team are forgotten.
	refusedDecay = time.Second
)

// team is the state of a team that has sent requests lately.
type team struct {
	weight   float64
	inFlight int
	// waiting is the number of waiting requests of each priority.
	waiting    [MaxPriority + 1]int
	lastActive clock.Instant
	// credit is what the team has left of its share of this VM's slots, in slot-seconds, as of
	// creditAt.
	credit   float64
	creditAt clock.Instant
	// refused is the decaying number of refused requests as of refusedAt. Their callers are
	// expected to come back.
	refused   float64
	refusedAt clock.Instant
}

// teamOf returns the team of a request, which counts as active from now on.
func (g *Gate) teamOf(r *Request, now clock.Instant) *team {
	g.evict(now)
	t := g.teams[r.Team]
	if t == nil {
		t = &team{creditAt: now, credit: math.MaxFloat64}
		g.teams[r.Team] = t
	}
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	g.weight += weight - t.weight
	t.weight, t.lastActive = weight, now
	g.updateCredit(t, now)
	return t
}

// evict removes teams without requests for teamIdleTimeout.
func (g *Gate) evict(now clock.Instant) {
	if now.Sub(g.evictedAt) < teamIdleTimeout/4 {
		return
	}
	g.evictedAt = now
	g.weight = 0 // recomputed, so that rounding errors don't add up
	for name, t := range g.teams {
		if t.inFlight == 0 && t.waiting == [MaxPriority + 1]int{} && now.Sub(t.lastActive) > teamIdleTimeout {
			delete(g.teams, name)
			continue
		}
		g.weight += t.weight
	}
}

// share returns the team's share of the slots that this VM may use.
func (g *Gate) share(t *team) float64 {
	return max(g.limit, g.window.share) * t.weight / g.weight
}

// updateCredit adds the team's share of this VM's slots since the last update.
func (g *Gate) updateCredit(t *team, now clock.Instant) {
	share, request := g.share(t), g.meanDuration().Seconds()
	longest := max(creditTime.Seconds()*share, creditRequests*request)
	earned := share * max(0, now.Sub(t.creditAt).Seconds())
	t.credit = min(longest, max(-longest, t.credit)+earned)
	t.creditAt = now
}

// withinShare reports whether the team has used less than its share of this VM's slots.
func (g *Gate) withinShare(t *team, now clock.Instant) bool {
	g.updateCredit(t, now)
	return t.credit > 0
}

// recordRefused counts a refused request of the team and returns the time after which a retry
// is useful: once the requests of the team that wait or were refused lately can have been served.
func (t *team) recordRefused(r *Request, duration time.Duration, now clock.Instant) time.Duration {
	t.refused *= math.Exp(-now.Sub(t.refusedAt).Seconds() / refusedDecay.Seconds())
	t.refused++
	t.refusedAt = now
	slots := max(r.Share, float64(t.inFlight), minWindow)
	after := r.Expected + time.Duration(t.refused*float64(duration)/slots)
	return min(max(after, minRetryAfter), maxRetryAfter)
}
