package gateway

import (
	"runtime"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

// state is the state dump of a gateway. It contains no idempotency keys and no
// request bodies.
type state struct {
	Self        snapshot.Identity `json:"self"`
	Version     string            `json:"version"`
	Revision    uint64            `json:"revision"`
	Unconfirmed bool              `json:"unconfirmed"`
	// ConfirmedAgeSeconds is the time since the configuration was last
	// confirmed. It is nil if no source has confirmed it yet.
	ConfirmedAgeSeconds *float64                                      `json:"confirmedAgeSeconds,omitempty"`
	Leaving             bool                                          `json:"leaving"`
	Members             map[string]*snapshot.Member                   `json:"members"`
	Backends            map[string]*snapshot.BackendStatus            `json:"backends"`
	Summaries           map[string]map[string]*snapshot.RegionSummary `json:"summaries"`
	Config              any                                           `json:"config"`
	Fleet               any                                           `json:"fleet"`
	Bookings            any                                           `json:"bookings"`
	Routing             any                                           `json:"routing"`
	Goroutines          int                                           `json:"goroutines"`
	HeapBytes           uint64                                        `json:"heapBytes"`
}

// state returns a state dump.
func (g *gateway) state() any {
	s := g.publisher.Load()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return state{
		Self: g.self, Version: version.String(),
		Revision: s.Config.Revision, Unconfirmed: s.ConfigUnconfirmed,
		ConfirmedAgeSeconds: confirmedAge(s, g.now()),
		Leaving:             s.Leaving, Members: s.Members, Backends: s.Backends, Summaries: s.Summaries,
		Config: g.config.State(), Fleet: g.fleet.State(),
		Bookings: g.booking.State(), Routing: g.route.State(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
	}
}

// confirmedAge returns the seconds since the configuration was last confirmed,
// or nil if it is unconfirmed.
func confirmedAge(s *snapshot.Snapshot, now clock.Instant) *float64 {
	if s.ConfigUnconfirmed {
		return nil
	}
	age := now.Sub(s.ConfigConfirmedAt).Seconds()
	return &age
}
