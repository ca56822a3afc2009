package health

import (
	"slices"
	"time"
)

// Report is the body of a response to GET /load.
type Report struct {
	Running         int      `json:"running"`
	Queued          int      `json:"queued"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
	Loaded          []string `json:"loaded"`
	Role            string   `json:"role"`
	Fence           uint64   `json:"fence"`
	Leaving         bool     `json:"leaving"`
}

// State returns the fields of the report that change rarely.
func (r Report) State() State {
	loaded := slices.Clone(r.Loaded)
	slices.Sort(loaded)
	return State{Healthy: true, Leaving: r.Leaving, Role: r.Role, Fence: r.Fence, Loaded: loaded}
}

// Load returns the load in the report.
func (r Report) Load() Load {
	return Load{
		Running: clamp(r.Running), Queued: clamp(r.Queued),
		DecitokensPerSecond: clamp(int(r.TokensPerSecond * 10)),
	}
}

// smallChangeAfter is the age of the published load from which any difference is
// published.
const smallChangeAfter = 10 * time.Second

// ShouldPublish reports whether a load differs enough from the published one of
// the given age to be published.
func ShouldPublish(published, l Load, age time.Duration) bool {
	if l == published {
		return false
	}
	if age >= smallChangeAfter {
		return true
	}
	return (l.Queued == 0) != (published.Queued == 0) ||
		DiffersSignificantly(published.Running, l.Running) ||
		DiffersSignificantly(published.Queued, l.Queued) ||
		DiffersSignificantly(published.DecitokensPerSecond, l.DecitokensPerSecond)
}

// DiffersSignificantly reports whether two counts differ by more than one and by
// more than an eighth of the old count.
func DiffersSignificantly(old, new uint32) bool {
	return max(old, new)-min(old, new) > max(1, old/8)
}

// ProbeFailureCounter counts consecutive failed probes of a backend server.
type ProbeFailureCounter struct{ failed int }

// RecordFailure records a failed probe and reports whether the backend server
// now counts as unhealthy.
func (c *ProbeFailureCounter) RecordFailure() bool {
	c.failed++
	return c.failed >= probeFailuresToUnhealthy
}

// RecordSuccess resets the count after a successful probe.
func (c *ProbeFailureCounter) RecordSuccess() { c.failed = 0 }
