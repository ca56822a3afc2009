package httpapi

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// entriesMaxAge is how long callers may cache a response of /v1/entries.
	entriesMaxAge = 2 * time.Second
	// DefaultKeyWindow is how long a key prefix is valid if no policy sets a key
	// window.
	DefaultKeyWindow = 10 * time.Minute
)

// Entry describes an entry VM.
type Entry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

// Entries is the response body of /v1/entries.
type Entries struct {
	Entries         []Entry `json:"entries"`
	KeyPrefix       string  `json:"keyPrefix"`
	KeyValidSeconds int     `json:"keyValidSeconds"`
	GoodForSeconds  int     `json:"goodForSeconds"`
}

func (c *callers) serveEntries(w http.ResponseWriter, r *http.Request) {
	s := c.Publisher.Load()
	team, target := r.URL.Query().Get("team"), r.URL.Query().Get("model")
	result := Entries{
		Entries:         RankEntries(s, team),
		KeyPrefix:       c.KeyPrefix(),
		KeyValidSeconds: int(keyWindow(s, target) / time.Second),
		GoodForSeconds:  int(entriesMaxAge / time.Second),
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(result)
}

// keyWindow returns the key window of the target's policy or, if that is unknown,
// the shortest window of all policies, which is at most DefaultKeyWindow.
func keyWindow(s *snapshot.Snapshot, target string) time.Duration {
	if p := s.Config.PolicyOf(target); p != nil && p.Spec.KeyWindow > 0 {
		return p.Spec.KeyWindow.AsDuration()
	}
	window := DefaultKeyWindow
	for _, p := range s.Config.Policies {
		if p.Spec.KeyWindow > 0 {
			window = min(window, p.Spec.KeyWindow.AsDuration())
		}
	}
	return window
}

// RankEntries returns the entry VMs that the team may use, in order of
// preference: VMs that aren't leaving first, then reachable VMs, then VMs in this
// region. VMs of equal rank are in random order to spread the load.
func RankEntries(s *snapshot.Snapshot, team string) []Entry {
	members := make([]*snapshot.Member, 0, len(s.Members))
	for _, m := range s.Members {
		permitted := team == "" || s.Config.Permits(team, m.Region)
		if permitted && m.CallerAddress != "" {
			members = append(members, m)
		}
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b *snapshot.Member) int { return rankPenalty(s, a) - rankPenalty(s, b) })
	entries := make([]Entry, len(members))
	for i, m := range members {
		entries[i] = Entry{VM: m.VM, Address: m.CallerAddress, Region: m.Region, Leaving: m.Leaving}
	}
	return entries
}

// The penalties of an entry VM are added up; the lowest sum ranks first. Each is
// a distinct power of two, so that a larger one outweighs all smaller ones.
const (
	penaltyOtherRegion = 1
	penaltyUnreachable = 2
	penaltyLeaving     = 4
)

func rankPenalty(s *snapshot.Snapshot, m *snapshot.Member) int {
	penalty := 0
	if m.Region != s.Self.Region {
		penalty += penaltyOtherRegion
	}
	if !m.Reachable && m.VM != s.Self.VM {
		penalty += penaltyUnreachable
	}
	if m.Leaving {
		penalty += penaltyLeaving
	}
	return penalty
}
