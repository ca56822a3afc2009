package edge

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/quota"
)

// This file logs and counts what teamLimits decides.

// recordRefusal records that a request of a team was refused, for the log.
func (l *teamLimits) recordRefusal(team *ingress.Team, units int64) {
	now := l.Now()
	l.refusedMu.Lock()
	r := l.refused[team.Name]
	begins := r == nil
	if begins {
		r = &refusal{logged: len(l.refused) < maxRefusalLines}
		l.refused[team.Name] = r
	}
	r.last = now
	r.count++
	logged := r.logged
	l.refusedMu.Unlock()
	if begins && logged {
		l.logRefusals("requests of a team begin to be refused: its limit is reached", team, now, "units", units)
	}
}

// logRefusals logs the state of a team that begins or ends to be refused.
func (l *teamLimits) logRefusals(message string, team *ingress.Team, now clock.Instant, more ...any) {
	s, _ := l.wallets.State(team.Name, now)
	link := l.wallets.LinkState(team.Name)
	age := time.Duration(-1)
	if link.AnsweredAt != 0 {
		age = now.Sub(link.AnsweredAt)
	}
	l.Log.Warn(message, append([]any{
		"team", team.Name, "limit", team.Limit.PerSecond, "burst", team.Limit.Burst, "tokens", team.Limit.Tokens,
		"demand", int64(s.Demand), "allowance", int64(s.Local), "maxAllowance", int64(s.LocalMax), "leased", int64(s.Leased), "ownShare", int64(s.Own),
		"scarce", s.Scarce, "vms", s.VMs, "owner", link.Owner, "ownerFailed", link.Failed, "exchangeAge", age,
	}, more...)...)
}

// observe logs the teams that are no longer refused, and updates the metrics.
func (l *teamLimits) observe(now clock.Instant) {
	table := l.table.Load()
	l.refusedMu.Lock()
	for name, r := range l.refused {
		if now.Sub(r.last) < refusalsEnd {
			continue
		}
		delete(l.refused, name)
		if team := table.Team(name); team != nil && r.logged {
			l.logRefusals("requests of a team are no longer refused", team, now, "refused", r.count)
		}
	}
	l.Scope.Gauge("refused_teams").Update(float64(len(l.refused)))
	l.refusedMu.Unlock()
	l.wallets.EachTeam(l.countTeam)
}

// otherTeams is the name of the series of teams that have none of their own.
const otherTeams = "other"

// countTeam adds what happened to a team's requests since the last call to its series. Teams
// without requests get none.
func (l *teamLimits) countTeam(name string, s quota.Stats) {
	t := l.series[name]
	if t == nil {
		if s == (quota.Stats{}) {
			return
		}
		label := name
		if len(l.series) >= maxTeamSeries-1 {
			label = otherTeams
		}
		scope := l.Scope.Tagged(map[string]string{"team": label})
		t = &teamSeries{admitted: scope.Counter("admitted"), refused: scope.Counter("refused"), granted: scope.Counter("granted_units")}
		l.series[name] = t
	}
	if s.Admitted < t.last.Admitted || s.Refused < t.last.Refused || s.Granted < t.last.Granted {
		t.last = quota.Stats{} // the team was removed and added again
	}
	t.admitted.Inc(int64(s.Admitted - t.last.Admitted))
	t.refused.Inc(int64(s.Refused - t.last.Refused))
	t.granted.Inc(int64(s.Granted - t.last.Granted))
	t.last = s
}

// limitState is the state of a team's limit in the state dump.
type limitState struct {
	quota.State
	Owner string
	// ExchangeAgeMs is the time in milliseconds since the owner last answered, or -1 if it
	// never has.
	ExchangeAgeMs int64
	OwnerFailed   bool
}

// state returns the state of a team's limit, or nil if it has none.
func (l *teamLimits) state(team string, now clock.Instant) *limitState {
	s, ok := l.wallets.State(team, now)
	if !ok {
		return nil
	}
	link := l.wallets.LinkState(team)
	out := &limitState{State: s, Owner: link.Owner, ExchangeAgeMs: -1, OwnerFailed: link.Failed}
	if link.AnsweredAt != 0 {
		out.ExchangeAgeMs = now.Sub(link.AnsweredAt).Milliseconds()
	}
	return out
}
