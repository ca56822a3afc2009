package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// This file decides for which team a request is served, and whether it may still be sent.

const (
	// maxUnknownKeyAge is the age of this VM's knowledge of the configuration up to which
	// an unknown key is refused for good. The key may have been added since: VMs that follow
	// the registry know a change about a second later.
	maxUnknownKeyAge = 2 * time.Second
	// retryUnconfirmed is the time after which a caller may ask again if this VM's
	// configuration may be out of date.
	retryUnconfirmed = time.Second
)

// Knowledge is how recent this VM's configuration is.
type Knowledge interface {
	// Age returns the time since the configuration in force was certainly the newest, and
	// false if that isn't known.
	Age(now clock.Instant) (time.Duration, bool)
	// Permits reports whether the configuration is recent enough to serve a request for
	// which a key is needed.
	Permits(now clock.Instant) bool
}

// TeamLimits bounds what teams use at all VMs together.
type TeamLimits interface {
	// Admit takes the units of a request from the team's limit. It may wait for up to
	// maxWait. It returns false with the time after which a retry may be admitted if the
	// limit is reached.
	Admit(ctx context.Context, team *ingress.Team, units int64, maxWait time.Duration) (retryAfter time.Duration, ok bool)
	// Return gives back the units of a request that was admitted and did not run.
	Return(team *ingress.Team, units int64)
}

// identify sets the team of a caller's request by its key, which is removed from the header:
// it goes no further than this VM. A request that another VM sent names its team. It returns
// a refusal if the request may not be served.
func (x *transaction) identify() *verdict.Refusal {
	if !x.table.HasTeams() {
		return nil
	}
	if x.req.Entry != "" && x.req.Key != 0 {
		x.Protocol.SetTeam(x.req.Header, x.req.Team)
		return x.authorize()
	}
	// A VM of an earlier build sends the key with its hops.
	key := x.Protocol.Key(x.req.Header)
	x.Protocol.SetTeam(x.req.Header, "")
	if x.route.Public {
		return nil
	}
	team, id := x.table.Identify(key)
	if team == nil {
		return x.unknownKeyRefusal()
	}
	x.team, x.req.Team, x.req.Key = team, team.Name, id
	x.Protocol.SetTeam(x.req.Header, team.Name)
	return x.authorize()
}

// unknownKeyRefusal returns the refusal of a request without a known key. It is final only
// if this VM's configuration is recent.
func (x *transaction) unknownKeyRefusal() *verdict.Refusal {
	age, known := x.Knowledge.Age(x.Now())
	if !known || age > maxUnknownKeyAge {
		return verdict.Busy(verdict.CodeUnconfirmed, "the key is unknown, but this VM's configuration may be out of date", jitter(retryUnconfirmed))
	}
	return verdict.Refuse(http.StatusUnauthorized, verdict.CodeUnauthenticated, "the key is missing or unknown")
}

// authorize returns a refusal if the request may not be sent now: its key no longer belongs
// to its team by the newest configuration, or that may be out of date. It is called before
// each send.
func (x *transaction) authorize() *verdict.Refusal {
	newest := x.Table()
	if x.req.Key == 0 {
		if newest != x.table && newest.HasTeams() && !x.isPublic(newest) {
			return verdict.Busy(verdict.CodeUnconfirmed, "the configuration has changed, and requests need a key now", jitter(retryAfterFailure))
		}
		return nil
	}
	if newest.HasTeams() {
		team := newest.TeamOfKey(x.req.Key)
		if team == nil || team.Name != x.req.Team {
			return verdict.Refuse(http.StatusUnauthorized, verdict.CodeUnauthenticated, "the key has been removed")
		}
		x.team = team
	}
	now := x.Now()
	if !x.Knowledge.Permits(now) {
		age, _ := x.Knowledge.Age(now)
		x.Log.Debug("request of a team not sent: the configuration may be out of date", "request", x.req.ID, "team", x.req.Team, "age", age)
		return verdict.Busy(verdict.CodeUnconfirmed, "this VM's configuration may be out of date", jitter(retryUnconfirmed))
	}
	return nil
}

// isPublic reports whether requests like this one need no key by a table.
func (x *transaction) isPublic(t *ingress.Table) bool {
	route := t.Match(x.req.Host, x.req.Path)
	return route != nil && route.Public
}

// authorizationRefusal is authorize for the loop of sends: a request that may have run before
// is refused for that.
func (x *transaction) authorizationRefusal(ctx context.Context) *verdict.Refusal {
	refusal := x.authorize()
	if refusal == nil || x.lastOutcome == nil {
		return refusal
	}
	if x.possibleRuns == 0 && x.lastOutcome.notRun && !x.w.Started() {
		return refusal
	}
	return x.failureRefusal(ctx, x.lastOutcome)
}

// maxLimitWaitShare is the longest wait for units of a team's limit, as a fraction of the
// latency objective, and maxLimitWait its bound.
const (
	maxLimitWaitShare = 0.125
	maxLimitWait      = 250 * time.Millisecond
)

// takeUnits takes the units of a caller's request from its team's limit. Other VMs take none
// for a hop. It returns a refusal if the limit is reached.
func (x *transaction) takeUnits(ctx context.Context) *verdict.Refusal {
	if x.team == nil || x.req.Entry != "" || x.team.Limit.PerSecond <= 0 || x.TeamLimits == nil {
		return nil
	}
	units := x.team.Limit.Units(x.req.Demand.StatedTokens())
	wait := min(maxLimitWait, time.Duration(maxLimitWaitShare*float64(x.route.LatencyObjective)))
	after, ok := x.TeamLimits.Admit(ctx, x.team, units, wait)
	if !ok {
		refusal := verdict.Busy(verdict.CodeLimited, "the team's limit is reached", after)
		refusal.Status = http.StatusTooManyRequests
		return refusal
	}
	x.units = units
	return nil
}

// returnUnits gives the units of a request back that did not run.
func (x *transaction) returnUnits(refusal *verdict.Refusal) {
	if x.units > 0 && refusal != nil && refusal.Verdict == verdict.NotRun {
		x.TeamLimits.Return(x.team, x.units)
		x.units = 0
	}
}
