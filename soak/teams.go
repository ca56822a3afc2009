package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// Runs with teams: clients bear keys, keys are removed and added while VMs are killed, paused and
// cut off from the registry, which is also restored from copies.

const (
	// revocationBound is the time after the confirmation of a configuration from which the
	// keys that it removed open nothing.
	revocationBound = 5 * time.Second
	// limitRate is the limit of the limited team and its burst in requests, limitTeamWindow the
	// span in which its requests are counted, and limitTeamOverage and limitTeamSlack by how
	// much they may exceed the limit.
	limitRate                        = 20
	limitTeamWindow                  = 8 * time.Second
	limitTeamOverage, limitTeamSlack = 0.25, 40
	// revocationShare is the number of changes of keys for each other fault.
	revocationShare = 0.5
)

// The teams. The keys of the changing team are removed one after the other; the home region of
// the homed one is that of homeZone.
const (
	steadyTeam, changingTeam, homedTeam, limitedTeam = "steady", "changing", "homed", "limited"
	homeZone                                         = "north-a"
)

// teams are the keys and their removals.
type teams struct {
	mu sync.Mutex
	// key is the number of the changing team's key, and removedAt when earlier ones were
	// removed.
	key       int
	removedAt map[string]time.Time
}

func changingKey(n int) string { return fmt.Sprint(changingTeam, "-key-", n) }

// edit adds the teams to a configuration.
func (t *teams) edit(config map[string]any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	platformtest.AddTeams(config,
		platformtest.Team{Name: steadyTeam, Key: steadyTeam + "-key"},
		platformtest.Team{Name: changingTeam, Key: changingKey(t.key)},
		platformtest.Team{Name: homedTeam, Key: homedTeam + "-key", Homes: []string{platformtest.Zones[homeZone]}},
		platformtest.Team{Name: limitedTeam, Key: limitedTeam + "-key", PerSecond: limitRate})
}

// draw returns the key of a random team. Clients of the changing team go on with a removed key
// for some time.
func (t *teams) draw(rng *rand.Rand) string {
	name := []string{steadyTeam, changingTeam, homedTeam, limitedTeam}[rng.IntN(4)]
	if name != changingTeam {
		return name + "-key"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return changingKey(max(0, t.key-rng.IntN(3)))
}

// changeKey replaces the key of the changing team.
func (h *Harness) changeKey() {
	t := &h.teams
	t.mu.Lock()
	removed := changingKey(t.key)
	t.key++
	t.mu.Unlock()
	version := h.configure()
	t.mu.Lock()
	t.removedAt[removed] = time.Now()
	t.mu.Unlock()
	h.logFault("configuration %d without %s", version, removed)
}

// injectTeamFault changes the keys or restores the registry from a copy, which has the keys of
// before. It draws from a source of its own.
func (h *Harness) injectTeamFault() {
	switch draw := h.registryRNG.Float64(); {
	case draw < revocationShare:
		h.changeKey()
	case draw < revocationShare+registryFaultShare/2:
		h.restoreStore()
	}
}

// headerOf returns the header of a request with the key.
func headerOf(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// teamBounds are the bounds of teams in the settings of the VMs.
var teamBounds = platformtest.TeamBounds{Revocation: revocationBound, LimitWindow: limitTeamWindow, LimitOverage: limitTeamOverage, LimitSlack: limitTeamSlack}

// checkTeams checks what servers received against the keys of the requests.
func (h *Harness) checkTeams(requests []request, runs map[string][]platformtest.Execution) {
	keys := map[string]request{}
	for _, r := range requests {
		keys[r.id] = r
	}
	var limited []time.Time
	for id, list := range runs {
		r := keys[id]
		if at, removed := h.teams.removedAt[r.key]; removed && r.sentAt.Sub(at) > revocationBound {
			h.recordViolation("%s ran, sent with %s %v after its removal", id, r.key, r.sentAt.Sub(at))
		}
		for _, run := range list {
			if strings.HasPrefix(r.key, homedTeam) && h.ZoneOf(run.Replica) != homeZone {
				h.recordViolation("%s of the team with a home region ran at %s", id, run.Replica)
			}
			if strings.HasPrefix(r.key, limitedTeam) {
				limited = append(limited, run.StartedAt)
			}
		}
	}
	slices.SortFunc(limited, time.Time.Compare)
	most, first := 0, 0
	for last, at := range limited {
		for at.Sub(limited[first]) > limitTeamWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	allowed := (limitRate*limitTeamWindow.Seconds()+limitRate)*(1+limitTeamOverage) + limitTeamSlack
	if float64(most) > allowed {
		h.recordViolation("%d requests of the limited team ran within %v, %v allowed", most, limitTeamWindow, allowed)
	}
	h.logFault("%d keys removed, at most %d requests of the limited team within %v", len(h.teams.removedAt), most, limitTeamWindow)
	for _, r := range h.replicas {
		for _, a := range r.Arrivals() {
			key := keys[a.ID].key
			if len(a.Credentials) > 0 || len(a.Team) != 1 || !strings.HasPrefix(key, a.Team[0]+"-key") {
				h.recordViolation("%s with %q reached %s with the credentials %q for the teams %q", a.ID, key, r.id, a.Credentials, a.Team)
			}
		}
	}
}
