package soak

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// maxConfigDelay is how long after a change of the configuration requests may still be
	// served by the one before.
	maxConfigDelay = 4 * time.Second
	// maxOverlap is how long a server may still work on a stream that goes on elsewhere.
	maxOverlap = 400 * time.Millisecond
	// longEventInterval is the time between two events of a stream that lasts long enough for
	// its runs to overlap.
	longEventInterval = 200 * time.Millisecond
	// maxStandstill is the longest standstill of a server that is no reason to let its
	// requests go on elsewhere.
	maxStandstill = 1500 * time.Millisecond
)

// changingRoute holds when the route that changes was unsafe. It is safe at first.
type changingRoute struct {
	mu     sync.Mutex
	unsafe bool
	since  time.Time
	// past are the earlier periods.
	past []period
}

// toggle changes the kind of the route and returns whether it is unsafe from now on.
func (c *changingRoute) toggle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.unsafe {
		c.past = append(c.past, period{c.since, now})
	}
	c.unsafe, c.since = !c.unsafe, now
	return c.unsafe
}

// unsafeDuring reports whether the route was unsafe all the time.
func (c *changingRoute) unsafeDuring(span period) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	covers := func(p period) bool { return p.from.Before(span.from) && span.to.Before(p.to) }
	return c.unsafe && c.since.Before(span.from) || slices.ContainsFunc(c.past, covers)
}

// changeKind changes the kind of the route that changes.
func (h *Harness) changeKind() {
	unsafe := h.changing.toggle()
	h.logFault("configuration %d: %s is unsafe: %t", h.configure(), platformtest.PathChanging, unsafe)
}

// edit adds the route to a configuration.
func (c *changingRoute) edit(config map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	platformtest.AddChangingRoute(config, c.unsafe)
}

// injectRunFault starts one random fault of the servers in processes of their own, of the
// links between VMs, of a VM's view of the registry, or changes the kind of a route. It draws
// from a source of its own.
func (h *Harness) injectRunFault() {
	kinds := []func(){h.pauseServer, h.pauseServer, h.killServer, h.degradeServerLink, h.degradePeerLink, h.degradePeerLink, h.showStaleStore, h.changeKind}
	kinds[h.runRNG.IntN(len(kinds))]()
}

// configure writes a new version of the configuration and returns it.
func (h *Harness) configure() uint64 {
	switch {
	case h.Teams:
		return h.Configure(h.teams.edit)
	case h.CountRuns:
		return h.Configure(h.changing.edit)
	}
	return h.Configure(nil)
}

// checkOverlaps checks that no server works on a stream while it goes on at another one.
func (h *Harness) checkOverlaps(requests []request) {
	sentAt := map[string]time.Time{}
	for _, r := range requests {
		if first, known := sentAt[r.id]; !known || r.sentAt.Before(first) {
			sentAt[r.id] = r.sentAt
		}
	}
	streams := map[string][]platformtest.Execution{}
	for _, e := range h.Executions.All() {
		if strings.Contains(e.Path, "/stream/") {
			streams[e.Stream] = append(streams[e.Stream], e)
		}
	}
	pairs := 0
	for stream, list := range streams {
		// The client's requests follow one another. The runs of one request go on in the order
		// in which they start.
		slices.SortFunc(list, func(a, b platformtest.Execution) int {
			if a.ID != b.ID {
				return sentAt[a.ID].Compare(sentAt[b.ID])
			}
			return a.StartedAt.Compare(b.StartedAt)
		})
		for i, next := range list {
			for _, e := range list[:i] {
				pairs++
				// An earlier request of the client may reach its server last.
				both := e.StartedAt
				if next.StartedAt.After(both) {
					both = next.StartedAt
				}
				if e.Replica == next.Replica || !e.EndedAt.IsZero() && e.EndedAt.Sub(both) <= maxOverlap || h.overlapExcused(e, next, lastSent(requests, e)) {
					continue
				}
				h.recordViolation("stream %s ran at %s (for %s, request %s) until %v after it went on at %s (for %s, request %s, after event %d)",
					stream, e.Replica, h.vmAt(e.CallerIP), e.ID, e.EndedAt.Sub(both), next.Replica, h.vmAt(next.CallerIP), next.ID, next.LastEventID)
			}
		}
	}
	h.logFault("%d pairs of runs of one stream", pairs)
}

// lastSent returns when the request of a run was sent last before the run started, or when
// the run started if that isn't known.
func lastSent(requests []request, e platformtest.Execution) time.Time {
	last, known := e.StartedAt, false
	for _, r := range requests {
		if r.id == e.ID && !r.sentAt.After(e.StartedAt) && (!known || r.sentAt.After(last)) {
			last, known = r.sentAt, true
		}
	}
	return last
}

// vmAt returns the name of the VM with the address.
func (h *Harness) vmAt(ip string) string {
	for _, p := range h.vms {
		if p.IP == ip {
			return p.Name
		}
	}
	return ip
}

// overlapExcused reports whether the VM that sent the earlier run's request couldn't end it
// before the next one started, or recall the next one: a VM was stopped or killed since the client
// sent the request, or the earlier run's server was out of reach or stood still. A standstill of a
// moment is no reason for the VM to send the request elsewhere, but the client may go elsewhere at
// any time.
func (h *Harness) overlapExcused(e, next platformtest.Execution, sentAt time.Time) bool {
	span := period{e.StartedAt, next.StartedAt.Add(maxOverlap)}
	if h.vmStopped(e.CallerIP, period{sentAt, span.to}) || h.vmStopped(next.CallerIP, period{sentAt, next.StartedAt}) {
		return true
	}
	tolerated := maxStandstill
	if e.ID != next.ID {
		tolerated = 0
	}
	// A server that goes on begins with what it received meanwhile. The VM may have left it
	// before if its connections were reset.
	since, toleratedNext := period{e.StartedAt.Add(-platformtest.DefaultTimeout), span.to}, maxStandstill
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.ContainsFunc(h.heldUp[next.Replica], since.overlaps) {
		toleratedNext = 0
	}
	return slices.ContainsFunc(h.heldUp[e.Replica], span.overlaps) || stoodStill(h.standstills[e.Replica], span, tolerated) ||
		stoodStill(h.standstills[next.Replica], since, toleratedNext)
}

// vmStopped reports whether the VM with the address was stopped or killed during a time.
func (h *Harness) vmStopped(ip string, span period) bool {
	for _, p := range h.vms {
		if p.IP != ip {
			continue
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.ContainsFunc(p.pauses, span.overlaps) ||
			slices.ContainsFunc(p.stops, func(at time.Time) bool { return span.overlaps(period{at, at}) })
	}
	return false
}

// stoodStill reports whether one of the standstills during a time lasted longer than tolerated.
func stoodStill(standstills []period, span period, tolerated time.Duration) bool {
	return slices.ContainsFunc(standstills, func(p period) bool { return p.to.Sub(p.from) > tolerated && span.overlaps(p) })
}

func (p period) overlaps(q period) bool { return !p.to.Before(q.from) && !q.to.Before(p.from) }

// holdUp records that a replica is out of reach for a time.
func (h *Harness) holdUp(id string, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldUp[id] = append(h.heldUp[id], period{time.Now(), time.Now().Add(length)})
}
