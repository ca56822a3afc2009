package health

import (
	"slices"
	"time"
)

// Report is the body of an answer to GET /load.
type Report struct {
	Running         int      `json:"running"`
	Queued          int      `json:"queued"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
	Loaded          []string `json:"loaded"`
	Role            string   `json:"role"`
	Fence           uint64   `json:"fence"`
	Leaving         bool     `json:"leaving"`
}

// State returns the part of the report that changes rarely.
func (r Report) State() State {
	loaded := slices.Clone(r.Loaded)
	slices.Sort(loaded)
	return State{Healthy: true, Leaving: r.Leaving, Role: r.Role, Fence: r.Fence, Loaded: loaded}
}

// Load returns the exact load of the report.
func (r Report) Load() Load {
	return Load{
		Running: clamp(r.Running), Queued: clamp(r.Queued),
		DecitokensPerSecond: clamp(int(r.TokensPerSecond * 10)),
	}
}

// settleAfter is the age of the published load at which a small difference is
// published all the same.
const settleAfter = 10 * time.Second

// ShouldPublish reports whether a load differs by enough from the published
// one of the given age.
func ShouldPublish(published, l Load, age time.Duration) bool {
	if l == published {
		return false
	}
	if age >= settleAfter {
		return true
	}
	return (l.Queued == 0) != (published.Queued == 0) ||
		DiffersSignificantly(published.Running, l.Running) ||
		DiffersSignificantly(published.Queued, l.Queued) ||
		DiffersSignificantly(published.DecitokensPerSecond, l.DecitokensPerSecond)
}

// DiffersSignificantly reports whether two counts differ by more than one and by more than an
// eighth.
func DiffersSignificantly(old, new uint32) bool {
	return max(old, new)-min(old, new) > max(1, old/8)
}

// ProbeCount counts failed probes of a backend server in a row.
type ProbeCount struct{ failed int }

// RecordFailure notes a failed probe and reports whether the backend server now
// counts as unhealthy.
func (c *ProbeCount) RecordFailure() bool {
	c.failed++
	return c.failed >= probeFailures
}

// RecordSuccess notes a successful probe.
func (c *ProbeCount) RecordSuccess() { c.failed = 0 }
