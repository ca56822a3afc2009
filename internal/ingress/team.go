package ingress

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// MaxKeyBytes is the maximum length of a key. Keys of the users' platform have 20 bytes.
const MaxKeyBytes = 256

// KeyDigest is the SHA-256 digest of a key. Tables hold digests only.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key, and false for one without bytes or with more than
// MaxKeyBytes.
func DigestKey(key string) (KeyDigest, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyDigest{}, false
	}
	var buffer [MaxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)]), true
}

// KeyID identifies a key among VMs without revealing it: the first bytes of its digest. It is
// never zero.
type KeyID uint64

// ID returns the ID of the key.
func (d KeyDigest) ID() KeyID { return KeyID(max(1, binary.BigEndian.Uint64(d[:8]))) }

// TeamLimit bounds the units per second that a team may use at all VMs together.
type TeamLimit struct {
	// PerSecond and Burst are in units; no limit applies if PerSecond is zero.
	PerSecond, Burst float64
	// Tokens means that a unit is a token of a prompt or of its maximum output. Otherwise
	// it is a request.
	Tokens bool
	// PlainTokens is the number of tokens of a request that states none.
	PlainTokens int64
}

// Units returns the units of a request that states the given number of tokens; zero means
// that it states none.
func (l *TeamLimit) Units(tokens int64) int64 {
	switch {
	case !l.Tokens:
		return 1
	case tokens <= 0:
		return l.PlainTokens
	default:
		return tokens
	}
}

// Team is a customer to whom requests are accounted by their keys.
type Team struct {
	Name string
	// Keys are the digests of the team's keys.
	Keys []KeyDigest
	// Priority goes before that of the routes; 0 is the highest.
	Priority int
	Limit    TeamLimit
	// HomeRegions are the regions that may serve the team; empty means all.
	HomeRegions []string
	// rank is that of Priority among the priorities of all teams.
	rank int
}

// Permits reports whether the region may serve the team. A nil team is that of a request
// without one.
func (t *Team) Permits(region string) bool {
	return t == nil || len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// teams are the teams of a Table.
type teams struct {
	byName   map[string]*Team
	byDigest map[KeyDigest]*Team
	byKeyID  map[KeyID]*Team
	// routePriorities are the different priorities of the routes in ascending order, and
	// levels is the number of combinations with those of the teams.
	routePriorities []int
	levels          int
	// limited means that at least one team has a limit.
	limited bool
}

func newTeams(list []*Team, routes []*Route) teams {
	t := teams{byName: map[string]*Team{}, byDigest: map[KeyDigest]*Team{}, byKeyID: map[KeyID]*Team{}}
	var priorities []int
	for _, team := range list {
		if t.byName[team.Name] != nil {
			continue
		}
		t.byName[team.Name] = team
		priorities = append(priorities, team.Priority)
		for _, digest := range team.Keys {
			if t.byDigest[digest] == nil {
				t.byDigest[digest], t.byKeyID[digest.ID()] = team, team
			}
		}
	}
	priorities = sortedSet(priorities)
	for _, team := range t.byName {
		team.rank = slices.Index(priorities, team.Priority)
		t.limited = t.limited || team.Limit.PerSecond > 0
	}
	for _, r := range routes {
		t.routePriorities = append(t.routePriorities, r.Priority)
	}
	t.routePriorities = sortedSet(t.routePriorities)
	t.levels = len(priorities) * len(t.routePriorities)
	return t
}

func sortedSet(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// HasTeams reports whether requests have to name a team by its key.
func (t *Table) HasTeams() bool { return len(t.teams.byName) > 0 }

// HasLimits reports whether teams share the servers by limits.
func (t *Table) HasLimits() bool { return t.teams.limited }

// Team returns the team with the name, or nil.
func (t *Table) Team(name string) *Team { return t.teams.byName[name] }

// Teams returns the number of teams and a function that visits them in no particular order.
func (t *Table) Teams() (n int, visit func(yield func(*Team) bool)) {
	return len(t.teams.byName), func(yield func(*Team) bool) {
		for _, team := range t.teams.byName {
			if !yield(team) {
				return
			}
		}
	}
}

// Identify returns the team that holds the key and the key's ID, or nil. Its time depends on
// the length of the key only: what is compared are digests.
func (t *Table) Identify(key string) (*Team, KeyID) {
	digest, ok := DigestKey(key)
	if !ok {
		return nil, 0
	}
	team := t.teams.byDigest[digest]
	if team == nil {
		return nil, 0
	}
	return team, digest.ID()
}

// TeamOfKey returns the team that holds the key with the ID, or nil.
func (t *Table) TeamOfKey(id KeyID) *Team { return t.teams.byKeyID[id] }

// Priority returns the priority of a team's requests of a route, from 0 (highest) to lowest:
// the team's priority goes before the route's. Without a team it is the route's.
func (t *Table) Priority(route *Route, team *Team, lowest int) int {
	if team == nil || t.teams.levels <= len(t.teams.routePriorities) {
		return min(route.Priority, lowest)
	}
	level := team.rank*len(t.teams.routePriorities) + max(0, slices.Index(t.teams.routePriorities, route.Priority))
	if t.teams.levels > lowest+1 {
		level = level * (lowest + 1) / t.teams.levels
	}
	return level
}
