package soak

import (
	"slices"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// stableWindow is the time after a fault of a VM, or after a limit was named, from
	// which the limit binds the VM.
	stableWindow = 6 * time.Second
	// A replica may get limitOverage times what its limit allows in any limitWindow,
	// and limitSlack requests.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitedShare is the share of the zones in which replicas name limits.
	limitedShare = 0.8
)

// namedLimit is the request limit that a replica names for the whole run.
type namedLimit struct {
	*replica
	value string
	at    time.Time
}

// nameLimits makes some replicas name a request limit: an engine, all engines or the
// plain replica of a zone. Some limits are not a positive number.
func (h *Harness) nameLimits() {
	values := []string{"0.4", "0.4", "1", "1", "3", "3", "8", "0", "-2", "lots"}
	for _, zone := range zones {
		if h.statementRNG.Float64() >= limitedShare {
			continue
		}
		value, choice := values[h.statementRNG.IntN(len(values))], h.statementRNG.IntN(3)
		var limited []*replica
		for _, r := range h.sortedReplicas() {
			if r.Zone == zone && (r.Service == platformtest.PlainService) == (choice == 2) {
				limited = append(limited, r)
			}
		}
		if choice == 0 || h.copies.singleVM { // where there are no engines elsewhere
			limited = limited[:min(1, len(limited))]
		}
		for _, r := range limited {
			h.nameLimit(r, value)
		}
	}
}

// nameLimit makes a replica, and those that replace it later, name a request limit.
func (h *Harness) nameLimit(r *replica, value string) {
	h.logFault("%s names the limit %q", r.ID, value)
	r.SetRequestLimit(value)
	h.mu.Lock()
	defer h.mu.Unlock()
	r.limit = value
	h.limits = append(h.limits, namedLimit{r, value, time.Now()})
}

// checkLimits checks that replicas got no more requests than their limits allow from
// the VMs of their region. A VM is excused for stableWindow after a signal or a start,
// and requests that a fault of the replica's connections held up don't count.
func (h *Harness) checkLimits(requests []request) {
	entries := h.entries(requests)
	for _, l := range h.limits {
		perSecond, err := strconv.ParseFloat(l.value, 64)
		if err != nil || perSecond <= 0 {
			continue
		}
		allowed := int(limitOverage*perSecond*limitWindow.Seconds()) + limitSlack
		var counted []time.Time
		for _, a := range l.Arrivals() {
			p := entries[a.ID]
			if p == nil || p.Zone != l.Zone || a.At.Before(l.at.Add(stableWindow)) || p.signalledWithin(a.At.Add(-stableWindow), a.At) || l.heldUpAt(a.At) {
				continue
			}
			counted = append(counted, a.At)
			for a.At.Sub(counted[0]) > limitWindow {
				counted = counted[1:]
			}
			if len(counted) > allowed {
				h.recordViolation("%s named a limit of %s requests a second and got %d in %v; allowed %d", l.ID, l.value, len(counted), limitWindow, allowed)
				break
			}
		}
	}
}

// entries returns the VMs to which clients sent the requests, by ID.
func (h *Harness) entries(requests []request) map[string]*process {
	entries := map[string]*process{}
	for _, r := range requests {
		i := slices.IndexFunc(h.vms, func(p *process) bool { return p.Name == r.vm })
		entries[r.id] = h.vms[i]
	}
	return entries
}

// signalledWithin reports whether the process got a signal or started in the span.
func (p *process) signalledWithin(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.signals, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// heldUpAt reports whether a fault of the connections to the replica lasted at the
// time, or had ended less than stableWindow before.
func (r *replica) heldUpAt(at time.Time) bool {
	return slices.ContainsFunc(r.heldUp, func(p period) bool { return !at.Before(p.from) && at.Before(p.to.Add(stableWindow)) })
}
